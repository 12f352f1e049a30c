//! The report line that an older process sends to a newer one.

use sillward_hot_restart::{MAX_REPORT_BYTES, Resources, decode, encode};

#[test]
fn decodes_an_encoded_line_and_no_truncated_or_malformed_one() {
    let resources = Resources {
        client_connections: 12,
        backend_connections: 34,
        body_bytes: 56,
    };
    let largest = Resources {
        client_connections: usize::MAX,
        backend_connections: usize::MAX,
        body_bytes: usize::MAX,
    };
    let line = encode(resources);
    assert!(line.len() <= MAX_REPORT_BYTES && encode(largest).len() <= MAX_REPORT_BYTES);
    assert_eq!(decode(&line), Some(resources));
    for length in 0..line.len() {
        assert_eq!(decode(&line[..length]), None, "truncated to {length}");
    }
    for malformed in [
        "sillward-holds 2 1 1 1\n",
        "sillward-holds 1 1 1 1 1\n",
        "sillward-holds 1 1 -1 1\n",
        "x\n",
        "\n",
    ] {
        assert_eq!(decode(malformed), None, "{malformed:?}");
    }
}
