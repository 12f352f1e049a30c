//! Tests of a connection's send queue.

use sillward_peer_transport::send_queue::{self, OutboundMessage, SendQueue};

#[test]
fn keeps_the_newest_message_of_each_slot_within_a_bound() {
    let mut queue = SendQueue::default();
    let outbound = |slot, byte, length| OutboundMessage {
        topic: 9,
        slot,
        bytes: vec![byte; length],
    };
    for version in 0..200 {
        queue.push(outbound(1, version, 1_000));
        queue.push(outbound(2, version, 1_000));
    }
    assert_eq!(queue.superseded, 398);
    assert_eq!(queue.pop(), Some(outbound(1, 199, 1_000)));
    assert_eq!(queue.pop(), Some(outbound(2, 199, 1_000)));
    assert!(queue.is_empty());
    for slot in 0..1_000 {
        queue.push(outbound(slot, 0, 1_000));
    }
    let mut bytes = 0;
    while let Some(message) = queue.pop() {
        bytes += message.bytes.len();
    }
    assert!(
        bytes <= send_queue::MAX_BYTES && bytes > send_queue::MAX_BYTES - 2_000,
        "{bytes}"
    );
    assert!(queue.dropped > 700);
}
