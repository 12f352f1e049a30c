//! The encodings of settings, messages and a voter's file, compared with golden files.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Snapshot, Storage, StorageOp};
use prost::Message;
use sillward_consensus::messages::{
    Datagram, Envelope, FetchVersions, LeaseRequest, LeaseResponse, LinkMessage, Proposal,
    VoterIncarnation, VoterMessage,
};
use sillward_consensus::storage::MemoryStorage;
use sillward_consensus::voter_state::{LogSnapshot, VoterState};
use sillward_fleet_settings::{FleetSettings, Idempotency, Key, Value, Version};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn settings() -> FleetSettings {
    let mut settings = FleetSettings::default();
    let values = [
        (
            Key::Idempotency("read".to_owned()),
            Value::Idempotency(Idempotency::Idempotent),
        ),
        (
            Key::Idempotency("submit".to_owned()),
            Value::Idempotency(Idempotency::Keyed(600)),
        ),
        (
            Key::Idempotency("correct".to_owned()),
            Value::Idempotency(Idempotency::NonIdempotent),
        ),
        (
            Key::LatencyObjective("read".to_owned()),
            Value::Milliseconds(400),
        ),
        (Key::Deadline("read".to_owned()), Value::Milliseconds(1000)),
        (Key::MaxAttempts, Value::Count(3)),
        (Key::Hedging, Value::Flag(true)),
        (Key::EjectedBackend("s-1".to_owned()), Value::Flag(true)),
        (Key::RejectedTenant("brebes".to_owned()), Value::Flag(false)),
        (
            Key::ZoneOrder,
            Value::Names(vec!["a".to_owned(), "b".to_owned()]),
        ),
    ];
    for (key, value) in values {
        settings
            .insert(key, value)
            .expect("a valid value of the key");
    }
    settings
}

fn version(number: u64) -> Version {
    Version {
        number,
        id: 0x0102_0304_0506_0708 + number,
        author: "ops".to_owned(),
        reason: "a test".to_owned(),
        settings: settings().to_json(),
    }
}

fn proposal(base: u64) -> Proposal {
    Proposal {
        base,
        version: version(base + 1),
    }
}

#[test]
fn settings_keep_their_json() {
    assert_eq!(
        settings().to_json(),
        include_str!("golden/settings.json").trim()
    );
    assert_eq!(
        FleetSettings::from_json(include_str!("golden/settings.json").trim())
            .map_err(|e| e.to_string()),
        Ok(settings())
    );
}

#[test]
fn messages_between_nodes_and_voters_keep_their_bytes() {
    let request = LeaseRequest {
        log_id: 0x1122_3344,
        session: 0x99,
        number: 7,
        known_version: 5,
    };
    let response = LeaseResponse {
        log_id: 0x1122_3344,
        session: 0x99,
        number: 7,
        newest: 6,
        consented: 5,
        granted: true,
    };
    let fetch = FetchVersions {
        log_id: 0x1122_3344,
        after: 4,
    };
    let datagram = Datagram {
        request: Some(request),
        response: Some(response),
        fetch: Some(fetch),
        versions: vec![1, 2],
    };
    let bytes = datagram.encode_to_vec();
    assert_eq!(hex(&bytes), include_str!("golden/word.hex").trim());
    assert_eq!(Datagram::decode(bytes.as_slice()), Ok(datagram));
}

#[test]
fn messages_between_voters_keep_their_bytes() {
    let incarnation = VoterIncarnation {
        storage_id: 11,
        number: 12,
        process_id: 13,
    };
    let voter_messages = [
        VoterMessage::Engine(vec![4, 5, 6]),
        VoterMessage::Incarnation(incarnation),
        VoterMessage::IncarnationSeen {
            incarnation,
            newer: None,
        },
        VoterMessage::IncarnationSeen {
            incarnation,
            newer: Some(VoterIncarnation {
                number: 14,
                ..incarnation
            }),
        },
    ];
    let link_messages = [
        LinkMessage::Versions(vec![version(1), version(2)]),
        LinkMessage::Propose(proposal(2)),
    ];
    let mut encoded: Vec<_> = voter_messages
        .into_iter()
        .map(|message| {
            hex(&Envelope {
                log_id: 0x77,
                message,
            }
            .encode())
        })
        .collect();
    encoded.extend(link_messages.iter().map(|message| {
        hex(&Envelope {
            log_id: 0x77,
            message: message.clone(),
        }
        .encode())
    }));
    assert_eq!(
        encoded.join("\n"),
        include_str!("golden/between.hex").trim()
    );
    for message in link_messages {
        let bytes = Envelope {
            log_id: 0x77,
            message: message.clone(),
        }
        .encode();
        assert_eq!(
            Envelope::<LinkMessage>::decode(&bytes).map(|envelope| envelope.message),
            Some(message)
        );
    }
}

/// A voter's file in which no part is empty.
fn voter_file() -> Vec<u8> {
    let memory = MemoryStorage::new(VoterState::initial(0x77, 2, 3, 99));
    memory.update(|state| {
        state.seen_incarnations[0] = Some(VoterIncarnation {
            storage_id: 1,
            number: 2,
            process_id: 3,
        })
    });
    let ballot = Ballot {
        config_id: 1,
        n: 2,
        priority: 3,
        pid: 2,
    };
    let mut storage = memory.clone();
    let operations = vec![
        StorageOp::AppendEntries(vec![proposal(0), proposal(1), proposal(2)]),
        StorageOp::SetPromise(ballot),
        StorageOp::SetAcceptedRound(ballot),
        StorageOp::SetDecidedIndex(2),
        StorageOp::Trim(1),
        StorageOp::SetCompactedIdx(1),
        StorageOp::SetSnapshot(Some(LogSnapshot::create(&[proposal(0)]))),
    ];
    storage
        .write_atomically(operations)
        .expect("in-memory storage does not fail");
    memory.read(VoterState::encode)
}

#[test]
fn voter_file_keeps_its_bytes_and_can_be_decoded() {
    assert_eq!(
        hex(&voter_file()),
        include_str!("golden/voter-file.hex").trim()
    );
    let state = VoterState::decode(&voter_file(), 0x77, 2, 3).expect("the file is valid");
    assert_eq!(state.encode(), voter_file());
    assert_eq!(MemoryStorage::new(state).history().newest(), 2);
}
