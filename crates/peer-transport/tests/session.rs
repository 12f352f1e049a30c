//! Tests of message authentication on a connection.

mod common;

use common::{SECRET, name};
use prost::Message;
use sillward_membership::Incarnation;
use sillward_peer_transport::envelope::Keys;
use sillward_peer_transport::session::{Channel, Direction, Hello};

#[test]
fn opens_only_messages_of_its_own_connection_direction_and_position() {
    let keys = Keys::derive(SECRET);
    let pair = |nonces: (u64, u64)| {
        let (mut sender, mut receiver) = (
            Channel::new(&keys, Direction::DialerToAcceptor),
            Channel::new(&keys, Direction::DialerToAcceptor),
        );
        sender.bind(nonces.0, nonces.1);
        receiver.bind(nonces.0, nonces.1);
        (sender, receiver)
    };
    let (mut sender, mut receiver) = pair((1, 2));
    let (first, second) = (sender.seal(b"first"), sender.seal(b"second"));
    assert_eq!(receiver.open(&first[4..]), Some(&b"first"[..]));
    assert_eq!(receiver.open(&first[4..]), None, "replayed");
    let (_, mut other) = pair((1, 3));
    assert_eq!(other.open(&first[4..]), None, "on another connection");
    let (_, mut late) = pair((1, 2));
    assert_eq!(late.open(&second[4..]), None, "out of order");
    let mut back = Channel::new(&keys, Direction::AcceptorToDialer);
    back.bind(1, 2);
    assert_eq!(back.open(&first[4..]), None, "in the other direction");
    assert_eq!(Channel::frame_length([0xff; 4]), None);
    assert_eq!(Channel::frame_length([0, 0, 0, 3]), None);
    let hello = Hello::new(
        "jateng",
        &name("n1"),
        Incarnation { epoch: 1, salt: 1 },
        5,
        0,
    );
    assert!(Hello::parse(&hello.encode_to_vec(), "diy").is_none());
}
