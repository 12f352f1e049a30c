//! Tests of the envelope codec: forged and corrupt datagrams, other fleets, and older and newer builds.

mod common;

use common::{SECRET, codec, envelope};
use proptest::prelude::*;
use prost::Message;
use sillward_membership::Incarnation;
use sillward_membership::wire::{Frame, FrameKind, Update};
use sillward_peer_transport::envelope::{Envelope, EnvelopeCodec, Keys, RejectReason};

#[test]
fn opens_sealed_envelope() {
    let bytes = codec().seal(&envelope(9));
    assert_eq!(codec().open(&bytes), Ok(envelope(9)));
}

#[test]
fn rejects_invalid_datagrams_with_the_matching_reason() {
    let bytes = codec().seal(&envelope(1));
    assert_eq!(codec().open(&[]), Err(RejectReason::Length));
    assert_eq!(codec().open(&[1; 1401]), Err(RejectReason::Length));
    // A payload may be longer than a frame.
    let with_payload = |length| Envelope {
        frame: Frame::default(),
        topic: 2,
        payload: vec![7; length],
        ..envelope(1)
    };
    assert_eq!(
        codec().open(&codec().seal(&with_payload(1000))),
        Ok(with_payload(1000))
    );
    assert_eq!(
        codec().open(&codec().seal(&with_payload(1400))),
        Err(RejectReason::Length)
    );
    let mut long = envelope(1);
    long.frame.values[0].value = vec![7; 300];
    assert_eq!(
        codec().open(&codec().seal(&long)),
        Err(RejectReason::Length)
    );
    let mut other_version = bytes.clone();
    other_version[0] = 2;
    assert_eq!(codec().open(&other_version), Err(RejectReason::Version));
    let other_key = EnvelopeCodec::new(
        Keys::derive(b"another key, as long as the first one is"),
        "jateng",
        256,
    );
    assert_eq!(other_key.open(&bytes), Err(RejectReason::Authentication));
    let other_fleet = EnvelopeCodec::new(Keys::derive(SECRET), "diy", 256);
    assert_eq!(other_fleet.open(&bytes), Err(RejectReason::Fleet));
    let without_incarnation = Envelope {
        incarnation: Incarnation { epoch: 0, salt: 0 },
        ..envelope(1)
    };
    assert_eq!(
        codec().open(&codec().seal(&without_incarnation)),
        Err(RejectReason::Malformed)
    );
}

proptest! {
    #[test]
    fn rejects_corrupt_datagrams(place in 0usize..200, bit in 0u8..8, cut in 0usize..200) {
        let bytes = codec().seal(&envelope(1));
        let mut corrupt = bytes.clone();
        let place = place % bytes.len();
        corrupt[place] ^= 1 << bit;
        prop_assert!(codec().open(&corrupt).is_err());
        prop_assert!(codec().open(&bytes[..cut % bytes.len()]).is_err());
    }

    #[test]
    fn rejects_random_bytes(noise in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(codec().open(&noise).is_err());
    }
}

/// Guards against breaking a rolling upgrade: the files under `kept` were written by released builds, are never rewritten,
/// and must stay readable.
#[test]
fn reads_recorded_datagrams_of_all_builds() {
    let recorded = |name: &str| {
        let path = format!("{}/tests/kept/{name}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("a recorded file");
        let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
        let digit = |d: u8| (d as char).to_digit(16).expect("a digit") as u8;
        digits
            .chunks(2)
            .map(|pair| digit(pair[0]) << 4 | digit(pair[1]))
            .collect::<Vec<u8>>()
    };
    // The first build.
    assert_eq!(codec().open(&recorded("build-1.hex")), Ok(envelope(9)));
    // A newer build: unknown fields in the envelope, the frame, an update and a value, an unknown frame kind, and an unknown
    // member state.
    let newer = codec()
        .open(&recorded("newer.hex"))
        .expect("a valid datagram");
    assert_eq!(
        (newer.name.as_str(), newer.sequence, newer.to_salt),
        ("n3", 9, 1234)
    );
    assert_eq!(
        newer.frame.updates[0]
            .to_member_update()
            .map(|update| update.refutation),
        Some(2)
    );
    assert!(newer.frame.updates[1].to_member_update().is_none());
    assert_eq!(newer.frame.values, envelope(9).frame.values);
    assert!(FrameKind::try_from(newer.frame.kind).is_err());
    // An older build: without values, digest and refutations.
    let older = codec()
        .open(&recorded("older.hex"))
        .expect("a valid datagram");
    assert_eq!(
        (older.frame.digest, older.frame.updates[0].refutation),
        (0, 0)
    );
    // The first build can read datagrams of this one, because the bytes are identical.
    assert_eq!(codec().seal(&envelope(9)), recorded("build-1.hex"));
}

/// Writes the recorded files. Run manually, once, when a new build has to be recorded.
#[test]
#[ignore = "writes the recorded files"]
fn write_recorded_datagrams() {
    let hex = |bytes: &[u8]| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
            + "\n"
    };
    let path = |name: &str| format!("{}/tests/kept/{name}", env!("CARGO_MANIFEST_DIR"));
    let first = codec().seal(&envelope(9));
    std::fs::write(path("build-1.hex"), hex(&first)).expect("a file");
    // Computes the MAC directly, because the codec cannot produce these messages.
    let authenticated = |message: &[u8]| {
        let key = blake3::derive_key("sillward 2026-12-01 fleet frames", SECRET);
        let mut hasher = blake3::Hasher::new_keyed(&key);
        hasher.update(&[1]).update(message);
        [&[1], &hasher.finalize().as_bytes()[..16], message].concat()
    };
    let field = |number: u32, bytes: &[u8]| {
        let mut out = Vec::new();
        prost::encoding::encode_key(number, prost::encoding::WireType::LengthDelimited, &mut out);
        prost::encoding::encode_varint(bytes.len() as u64, &mut out);
        out.extend_from_slice(bytes);
        out
    };
    // The envelope message without its frame, which is the last field.
    let frame = envelope(9).frame;
    let head = &first[17..first.len() - field(8, &frame.encode_to_vec()).len()];
    let unknown = field(60, b"new");
    let update = [frame.updates[0].encode_to_vec(), unknown.clone()].concat();
    let unknown_state = Update {
        state: 9,
        ..frame.updates[0].clone()
    }
    .encode_to_vec();
    let value = [frame.values[0].encode_to_vec(), unknown.clone()].concat();
    let unknown_kind = Frame {
        kind: 42,
        sequence: 77,
        ..Frame::default()
    }
    .encode_to_vec();
    let newer = [
        unknown_kind,
        field(4, &update),
        field(4, &unknown_state),
        field(5, &value),
        unknown.clone(),
    ]
    .concat();
    let newer = [head, &unknown, &field(8, &newer)].concat();
    std::fs::write(path("newer.hex"), hex(&authenticated(&newer))).expect("a file");
    let older = Update {
        refutation: 0,
        suspected_by: 0,
        ..frame.updates[0].clone()
    };
    let older = Frame {
        values: Vec::new(),
        digest: 0,
        updates: vec![older],
        ..frame
    };
    let older = [head, &field(8, &older.encode_to_vec())].concat();
    std::fs::write(path("older.hex"), hex(&authenticated(&older))).expect("a file");
}
