//! Tests of the incarnation file format.

mod common;

use common::name;
use sillward_peer_transport::incarnation_file;

/// Guards against loading an epoch from a partly written or corrupt file, or from another node's file.
#[test]
fn rejects_truncated_corrupt_and_foreign_files() {
    let node = name("n1");
    let text = incarnation_file::encode(&node, 41);
    assert_eq!(incarnation_file::decode(&node, text.as_bytes()), Some(41));
    for cut in 0..text.len() {
        assert_eq!(
            incarnation_file::decode(&node, &text.as_bytes()[..cut]),
            None,
            "cut at {cut}"
        );
        let mut corrupt = text.clone().into_bytes();
        corrupt[cut] ^= 1;
        assert_eq!(
            incarnation_file::decode(&node, &corrupt),
            None,
            "corrupt at {cut}"
        );
    }
    assert_eq!(incarnation_file::decode(&name("n2"), text.as_bytes()), None);
}
