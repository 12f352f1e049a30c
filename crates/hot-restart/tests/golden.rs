//! Compares the report line that an older process of a node sends to a newer one with a golden file.

use sillward_hot_restart::{Resources, decode, encode};

#[test]
fn report_line_matches_the_golden_file() {
    let resources = Resources {
        client_connections: 12,
        backend_connections: 345,
        body_bytes: 6_789_012,
    };
    assert_eq!(encode(resources), include_str!("golden/report.txt"));
    assert_eq!(decode(include_str!("golden/report.txt")), Some(resources));
}
