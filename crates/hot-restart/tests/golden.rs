//! Golden text of the line that an older process of a node writes to the newer one.

use sillward_hot_restart::{Resources, decode, encode};

#[test]
fn a_report_keeps_its_text() {
    let resources = Resources {
        client_connections: 12,
        backend_connections: 345,
        body_bytes: 6_789_012,
    };
    assert_eq!(encode(resources), include_str!("golden/report.txt"));
    assert_eq!(decode(include_str!("golden/report.txt")), Some(resources));
}
