//! The line by which an older process reports to a newer one.

use sillward_hot_restart::{MAX_REPORT_BYTES, Resources, decode, encode};

#[test]
fn a_line_reads_as_it_was_written_and_none_cut_or_changed_does() {
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
    for cut in 0..line.len() {
        assert_eq!(decode(&line[..cut]), None, "cut at {cut}");
    }
    for bad in [
        "sillward-holds 2 1 1 1\n",
        "sillward-holds 1 1 1 1 1\n",
        "sillward-holds 1 1 -1 1\n",
        "x\n",
        "\n",
    ] {
        assert_eq!(decode(bad), None, "{bad:?}");
    }
}
