//! Golden text of the line that an older process of a node writes to the newer one.

use sillward_hot_restart::{Holding, line, read};

#[test]
fn the_line_of_what_is_held_keeps_its_text() {
    let holding = Holding {
        clients: 12,
        backends: 345,
        bytes: 6_789_012,
    };
    assert_eq!(line(holding), include_str!("golden/holding.txt"));
    assert_eq!(read(include_str!("golden/holding.txt")), Some(holding));
}
