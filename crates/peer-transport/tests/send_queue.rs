//! The queue of a connection.

use sillward_peer_transport::send_queue::{self, OutboundMessage, SendQueue};

#[test]
fn keeps_the_newest_message_of_each_slot_within_a_bound() {
    let mut queue = SendQueue::default();
    let message = |slot, byte, length| OutboundMessage {
        topic: 9,
        slot,
        bytes: vec![byte; length],
    };
    for version in 0..200 {
        queue.push(message(1, version, 1_000));
        queue.push(message(2, version, 1_000));
    }
    assert_eq!(queue.superseded, 398);
    assert_eq!(queue.pop(), Some(message(1, 199, 1_000)));
    assert_eq!(queue.pop(), Some(message(2, 199, 1_000)));
    assert!(queue.is_empty());
    for slot in 0..1_000 {
        queue.push(message(slot, 0, 1_000));
    }
    let mut bytes = 0;
    while let Some(posted) = queue.pop() {
        bytes += posted.bytes.len();
    }
    assert!(
        bytes <= send_queue::MAX_BYTES && bytes > send_queue::MAX_BYTES - 2_000,
        "{bytes}"
    );
    assert!(queue.dropped > 700);
}
