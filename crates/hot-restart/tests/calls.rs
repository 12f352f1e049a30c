//! What two processes of one node tell each other of their calls.

use sillward_hot_restart::{
    CallMessage, CallMessageDecoder, CallMessageError, CallTable, PeerId, encode_closed,
    encode_header, encode_listed, encode_opened,
};
use std::time::Duration;

const OLDER: PeerId = PeerId(0);
const NEWER: PeerId = PeerId(1);
const NOW: Duration = Duration::from_secs(100);

fn opened(id: &str) -> CallMessage {
    CallMessage::Opened(id.as_bytes().into())
}

fn closed(id: &str) -> CallMessage {
    CallMessage::Closed(id.as_bytes().into())
}

/// Guards against an identifier that is lost because a line comes in pieces.
#[test]
fn messages_are_decoded_whatever_their_pieces() {
    let mut encoded = Vec::new();
    encode_header(&mut encoded);
    encode_opened(b"a1", &mut encoded);
    encode_opened(b"+=-", &mut encoded);
    encode_listed(&mut encoded);
    encode_closed(b"a1", &mut encoded);
    for size in 1..=encoded.len() {
        let mut decoder = CallMessageDecoder::default();
        let mut messages = Vec::new();
        for piece in encoded.chunks(size) {
            decoder.decode(piece, &mut messages).expect("messages");
        }
        let expected = [
            opened("a1"),
            opened("+=-"),
            CallMessage::Listed,
            closed("a1"),
        ];
        assert_eq!(messages, expected, "pieces of {size}");
    }
}

/// Guards against another build's bytes that are taken for calls.
#[test]
fn what_is_no_message_is_an_error() {
    let long = [b"sillward-calls 1\n+".to_vec(), vec![b'x'; 600]].concat();
    for (bytes, error) in [
        (
            &b"sillward-calls 2\n+a\n"[..],
            CallMessageError::UnknownVersion,
        ),
        (
            b"sillward-holds 1 2 3 4\n",
            CallMessageError::UnknownVersion,
        ),
        (b"sillward-calls 1\na\n", CallMessageError::Malformed),
        (b"sillward-calls 1\n+\n", CallMessageError::Malformed),
        (b"sillward-calls 1\n=a\n", CallMessageError::Malformed),
        (b"sillward-calls 1\n\n", CallMessageError::Malformed),
        (&long, CallMessageError::TooLong),
    ] {
        let mut messages = Vec::new();
        let decoded = CallMessageDecoder::default().decode(bytes, &mut messages);
        assert_eq!((decoded, messages), (Err(error), Vec::new()));
    }
}

/// Guards against an identifier that is lost because what follows it is no message.
#[test]
fn messages_before_an_error_count() {
    let bytes = b"sillward-calls 1\n+a\n-b\n?\n+c\n";
    let mut messages = Vec::new();
    let decoded = CallMessageDecoder::default().decode(bytes, &mut messages);
    assert_eq!(decoded, Err(CallMessageError::Malformed));
    assert_eq!(messages, [opened("a"), closed("b")]);
}

/// Guards against a call that runs twice because the process that had it open has exited.
#[test]
fn an_identifier_is_in_use_until_it_is_closed_or_its_process_has_exited_for_some_time() {
    let mut table = CallTable::default();
    let in_use = |table: &CallTable, id: &str, now| table.is_in_use_elsewhere(id.as_bytes(), now);
    for message in [opened("a"), opened("b"), closed("a")] {
        table.apply(OLDER, &message).expect("room");
    }
    assert_eq!(table.apply(OLDER, &closed("a")), Ok(false), "nothing new");
    table.open(b"own");
    assert!(!in_use(&table, "a", NOW) && in_use(&table, "b", NOW));
    assert!(!in_use(&table, "own", NOW), "this process's own");
    assert_eq!(table.in_use().count(), 2);
    // What one process closes stays in use where another one has it.
    assert!(!table.is_in_use_beside(OLDER, b"b"));
    table.apply(NEWER, &opened("b")).expect("room");
    assert!(table.is_in_use_beside(OLDER, b"b") && table.is_in_use_beside(NEWER, b"b"));
    table.apply(NEWER, &closed("b")).expect("known");
    table.peer_exited(OLDER, NOW);
    let later = NOW + Duration::from_secs(59);
    assert!(table.release_expired(later).is_empty());
    assert!(in_use(&table, "b", later));
    assert_eq!(table.in_use().count(), 2, "a third process is told too");
    let expired = table.release_expired(NOW + Duration::from_secs(60));
    assert_eq!(expired, [b"b"[..].into()]);
    assert!(!in_use(&table, "b", NOW) && !table.retains_ids());
}

/// Guards against a peer that takes memory without end.
#[test]
fn a_process_has_a_limited_number_of_identifiers() {
    let mut table = CallTable::default();
    let accepted = (0..100_000)
        .take_while(|number| table.apply(OLDER, &opened(&number.to_string())).is_ok())
        .count();
    assert_eq!(accepted, 65_536);
}
