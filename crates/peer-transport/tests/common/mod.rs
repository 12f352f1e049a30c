//! Fixtures: the codec and envelopes of a test fleet.
#![allow(dead_code, unreachable_pub)]

use sillward_membership::wire::{Frame, FrameKind, MemberValue, Update};
use sillward_membership::{Incarnation, Name};
use sillward_peer_transport::envelope::{Envelope, EnvelopeCodec, Keys};
use std::time::Duration;

pub const SECRET: &[u8] = b"a key that both ends of the test have";
pub const SECOND: Duration = Duration::from_secs(1);

pub fn name(name: &str) -> Name {
    Name::new(name).expect("a valid name")
}

pub fn codec() -> EnvelopeCodec {
    EnvelopeCodec::new(Keys::derive(SECRET), "jateng", 256)
}

pub fn envelope(number: u64) -> Envelope {
    let update = Update {
        name: "n7".to_owned(),
        address: vec![127, 0, 0, 1, 0x1f, 0x0a],
        epoch: 3,
        salt: 0xfeed_beef,
        refutation: 2,
        state: 1,
        suspected_by: 0x1234,
    };
    let value = MemberValue {
        name: "n7".to_owned(),
        epoch: 3,
        salt: 0xfeed_beef,
        key: "about".to_owned(),
        version: 4,
        value: vec![1, 2, 3],
    };
    let frame = Frame {
        kind: FrameKind::Ping as i32,
        sequence: 77,
        target: None,
        updates: vec![update],
        values: vec![value],
        digest: 0x0bad_cafe,
    };
    Envelope {
        name: Name::new("n3").expect("a name"),
        address: "127.0.0.1:7946".parse().expect("an address"),
        incarnation: Incarnation { epoch: 5, salt: 99 },
        sequence: number,
        to_salt: 1234,
        frame,
        topic: 0,
        payload: Vec::new(),
    }
}
