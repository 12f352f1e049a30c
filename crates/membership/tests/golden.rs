//! Compares the encoded messages between members with golden files: the wire format must not change.

use prost::Message;
use sillward_membership::wire::{
    Frame, FrameKind, MemberValue, MetadataMessage, SyncMessage, Update,
};

/// Asserts that a message encodes to the bytes of the fixture, and that they decode to an equal message.
fn assert_golden<M: Message + Default + PartialEq>(message: &M, fixture: &str) {
    let bytes = message.encode_to_vec();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, fixture.trim());
    assert!(M::decode(bytes.as_slice()).is_ok_and(|decoded| decoded == *message));
}

fn update(state: u32) -> Update {
    Update {
        name: "n7".to_owned(),
        address: vec![127, 0, 0, 1, 0x1f, 0x0a],
        epoch: 3,
        salt: 0xfeed_beef,
        refutation: 2,
        state,
        suspected_by: 0x1234,
    }
}

fn value() -> MemberValue {
    MemberValue {
        name: "n7".to_owned(),
        epoch: 3,
        salt: 0xfeed_beef,
        key: "about".to_owned(),
        version: 4,
        value: vec![1, 2, 3],
    }
}

#[test]
fn frames_of_every_kind_keep_their_bytes() {
    let kinds = [
        FrameKind::Gossip,
        FrameKind::Ping,
        FrameKind::Ack,
        FrameKind::IndirectPing,
        FrameKind::Nack,
        FrameKind::Join,
        FrameKind::Welcome,
    ];
    let fixtures = include_str!("golden/frames.hex").lines();
    assert_eq!(fixtures.clone().count(), kinds.len());
    for (kind, fixture) in kinds.into_iter().zip(fixtures) {
        let frame = Frame {
            kind: kind as i32,
            sequence: 77,
            target: Some(update(1)),
            updates: (0..4).map(update).collect(),
            values: vec![value()],
            digest: 0x0bad_cafe,
        };
        assert_golden(&frame, fixture);
    }
}

#[test]
fn anti_entropy_messages_keep_their_bytes() {
    let sync = SyncMessage {
        step: 3,
        digests: vec![1, 0xffff_ffff],
        buckets: 0x8000_0000_0000_0001,
        updates: vec![update(0)],
        values: vec![value()],
        member_digests: vec![5, 6],
        requested: vec![7],
    };
    assert_golden(&sync, include_str!("golden/sync.hex"));
}

#[test]
fn metadata_keeps_its_bytes() {
    let metadata = MetadataMessage {
        zone: "tembalang".to_owned(),
        region: "java".to_owned(),
        build: "0.1.0".to_owned(),
        capabilities: vec!["rules1".to_owned(), "outcomes1".to_owned()],
    };
    assert_golden(&metadata, include_str!("golden/about.hex"));
}
