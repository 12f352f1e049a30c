//! Golden bytes of envelopes, of a link's messages and of the file that keeps the last incarnation.

use prost::Message;
use sillward_membership::words::{Frame, Kind};
use sillward_membership::{Life, Name};
use sillward_peer_transport::envelope::{Envelopes, Keys, Sealed};
use sillward_peer_transport::memory;
use sillward_peer_transport::session::{Channel, Hello, Long, Way};

const SECRET: &[u8] = b"a key that both ends of the test have";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn name() -> Name {
    Name::new("n3").expect("a name")
}

fn sealed(topic: u32) -> Sealed {
    let frame = Frame {
        kind: Kind::Ack as i32,
        number: 77,
        print: 0x0bad_cafe,
        ..Frame::default()
    };
    Sealed {
        name: name(),
        address: "127.0.0.1:7946".parse().expect("an address"),
        life: Life { epoch: 5, salt: 99 },
        number: 12,
        to: 1234,
        frame: if topic == 0 { frame } else { Frame::default() },
        topic,
        word: if topic == 0 {
            Vec::new()
        } else {
            vec![9, 8, 7]
        },
    }
}

#[test]
fn envelopes_keep_their_bytes() {
    let envelopes = Envelopes::new(Keys::of(SECRET), "jateng", 256);
    let written: Vec<_> = [0, 2]
        .map(|topic| hex(&envelopes.seal(&sealed(topic))))
        .into();
    assert_eq!(
        written.join("\n"),
        include_str!("golden/envelopes.hex").trim()
    );
    for topic in [0, 2] {
        assert_eq!(
            envelopes.open(&envelopes.seal(&sealed(topic))),
            Ok(sealed(topic))
        );
    }
}

#[test]
fn a_links_messages_keep_their_bytes() {
    let keys = Keys::of(SECRET);
    let hello = Hello::of(
        "jateng",
        &name(),
        Life { epoch: 5, salt: 99 },
        0x1122,
        0x3344,
    )
    .encode_to_vec();
    let long = Long {
        topic: 3,
        bytes: vec![1, 2, 3],
    }
    .encode_to_vec();
    let mut written = Vec::new();
    for way in [Way::There, Way::Back] {
        let mut channel = Channel::new(&keys, way);
        written.push(hex(&channel.seal(&hello)));
        channel.bind(0x1122, 0x3344);
        written.push(hex(&channel.seal(&long)));
        written.push(hex(&channel.seal(&long)));
    }
    assert_eq!(
        written.join("\n"),
        include_str!("golden/session.hex").trim()
    );
}

#[test]
fn the_file_of_the_last_incarnation_keeps_its_text() {
    let text = memory::text(&name(), 41);
    assert_eq!(text, include_str!("golden/incarnation.txt"));
    assert_eq!(memory::epoch(&name(), text.as_bytes()), Some(41));
    assert_eq!(memory::FILE, "life");
}
