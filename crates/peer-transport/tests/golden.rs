//! Guards the wire format of envelopes and connection messages, and the incarnation file format, with golden files.

use prost::Message;
use sillward_membership::wire::{Frame, FrameKind};
use sillward_membership::{Incarnation, Name};
use sillward_peer_transport::envelope::{Envelope, EnvelopeCodec, Keys};
use sillward_peer_transport::incarnation_file;
use sillward_peer_transport::session::{Channel, Direction, Hello, TopicMessage};

const SECRET: &[u8] = b"a key that both ends of the test have";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn name() -> Name {
    Name::new("n3").expect("a name")
}

fn sealed(topic: u32) -> Envelope {
    let frame = Frame {
        kind: FrameKind::Ack as i32,
        sequence: 77,
        digest: 0x0bad_cafe,
        ..Frame::default()
    };
    Envelope {
        name: name(),
        address: "127.0.0.1:7946".parse().expect("an address"),
        incarnation: Incarnation { epoch: 5, salt: 99 },
        sequence: 12,
        to_salt: 1234,
        frame: if topic == 0 { frame } else { Frame::default() },
        topic,
        payload: if topic == 0 {
            Vec::new()
        } else {
            vec![9, 8, 7]
        },
    }
}

#[test]
fn envelopes_match_golden_bytes() {
    let codec = EnvelopeCodec::new(Keys::derive(SECRET), "jateng", 256);
    let written: Vec<_> = [0, 2].map(|topic| hex(&codec.seal(&sealed(topic)))).into();
    assert_eq!(
        written.join("\n"),
        include_str!("golden/envelopes.hex").trim()
    );
    for topic in [0, 2] {
        assert_eq!(codec.open(&codec.seal(&sealed(topic))), Ok(sealed(topic)));
    }
}

#[test]
fn connection_messages_match_golden_bytes() {
    let keys = Keys::derive(SECRET);
    let hello = Hello::new(
        "jateng",
        &name(),
        Incarnation { epoch: 5, salt: 99 },
        0x1122,
        0x3344,
    )
    .encode_to_vec();
    let message = TopicMessage {
        topic: 3,
        bytes: vec![1, 2, 3],
    }
    .encode_to_vec();
    let mut written = Vec::new();
    for direction in [Direction::DialerToAcceptor, Direction::AcceptorToDialer] {
        let mut channel = Channel::new(&keys, direction);
        written.push(hex(&channel.seal(&hello)));
        channel.bind(0x1122, 0x3344);
        written.push(hex(&channel.seal(&message)));
        written.push(hex(&channel.seal(&message)));
    }
    assert_eq!(
        written.join("\n"),
        include_str!("golden/session.hex").trim()
    );
}

#[test]
fn incarnation_file_matches_golden_text() {
    let text = incarnation_file::encode(&name(), 41);
    assert_eq!(text, include_str!("golden/incarnation.txt"));
    assert_eq!(incarnation_file::decode(&name(), text.as_bytes()), Some(41));
    assert_eq!(incarnation_file::FILE_NAME, "life");
}
