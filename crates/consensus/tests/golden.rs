//! Golden bytes of what goes between nodes and voters, and of a voter's file.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Snapshot, Storage, StorageOp};
use prost::Message;
use sillward_consensus::kept::{Base, Kept, Memory};
use sillward_consensus::words::{
    Answer, Ask, Between, Fetch, Long, Proposal, Sealed, Ticket, Word,
};
use sillward_fleet_settings::{Key, Repeat, Rules, Value, Version};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn rules() -> Rules {
    let mut rules = Rules::default();
    let values = [
        (Key::Repeat("read".to_owned()), Value::Repeat(Repeat::Safe)),
        (
            Key::Repeat("submit".to_owned()),
            Value::Repeat(Repeat::Keyed(600)),
        ),
        (
            Key::Repeat("correct".to_owned()),
            Value::Repeat(Repeat::Unsafe),
        ),
        (Key::Aim("read".to_owned()), Value::Ms(400)),
        (Key::Deadline("read".to_owned()), Value::Ms(1000)),
        (Key::Attempts, Value::Count(3)),
        (Key::Hedges, Value::Is(true)),
        (Key::Out("s-1".to_owned()), Value::Is(true)),
        (Key::Away("brebes".to_owned()), Value::Is(false)),
        (
            Key::Zones,
            Value::Names(vec!["a".to_owned(), "b".to_owned()]),
        ),
    ];
    for (key, value) in values {
        rules.put(key, value).expect("a value of its key");
    }
    rules
}

fn version(number: u64) -> Version {
    Version {
        number,
        id: 0x0102_0304_0506_0708 + number,
        author: "ops".to_owned(),
        why: "a test".to_owned(),
        rules: rules().text(),
    }
}

fn proposal(base: u64) -> Proposal {
    Proposal {
        base,
        version: version(base + 1),
    }
}

#[test]
fn the_text_of_settings_is_as_it_was() {
    assert_eq!(rules().text(), include_str!("golden/settings.json").trim());
    assert_eq!(
        Rules::read(include_str!("golden/settings.json").trim()),
        Ok(rules())
    );
}

#[test]
fn messages_between_nodes_and_voters_keep_their_bytes() {
    let ask = Ask {
        log: 0x1122_3344,
        session: 0x99,
        number: 7,
        knows: 5,
    };
    let answer = Answer {
        log: 0x1122_3344,
        session: 0x99,
        number: 7,
        newest: 6,
        consent: 5,
        right: true,
    };
    let fetch = Fetch {
        log: 0x1122_3344,
        after: 4,
    };
    let word = Word {
        ask: Some(ask),
        answer: Some(answer),
        fetch: Some(fetch),
        versions: vec![1, 2],
    };
    let bytes = word.encode_to_vec();
    assert_eq!(hex(&bytes), include_str!("golden/word.hex").trim());
    assert_eq!(Word::decode(bytes.as_slice()), Ok(word));
}

#[test]
fn messages_between_voters_keep_their_bytes() {
    let ticket = Ticket {
        stamp: 11,
        number: 12,
        run: 13,
    };
    let between = [
        Between::Engine(vec![4, 5, 6]),
        Between::Ticket(ticket),
        Between::Seen {
            of: ticket,
            better: None,
        },
        Between::Seen {
            of: ticket,
            better: Some(Ticket {
                number: 14,
                ..ticket
            }),
        },
    ];
    let long = [
        Long::Versions(vec![version(1), version(2)]),
        Long::Propose(proposal(2)),
    ];
    let mut written: Vec<_> = between
        .into_iter()
        .map(|word| hex(&Sealed { log: 0x77, word }.bytes()))
        .collect();
    written.extend(long.iter().map(|word| {
        hex(&Sealed {
            log: 0x77,
            word: word.clone(),
        }
        .bytes())
    }));
    assert_eq!(
        written.join("\n"),
        include_str!("golden/between.hex").trim()
    );
    for word in long {
        let bytes = Sealed {
            log: 0x77,
            word: word.clone(),
        }
        .bytes();
        assert_eq!(
            Sealed::<Long>::read(&bytes).map(|sealed| sealed.word),
            Some(word)
        );
    }
}

/// A voter's file with something in each of its parts.
fn file() -> Vec<u8> {
    let memory = Memory::of(Kept::founded(0x77, 2, 3, 99));
    memory.change(|kept| {
        kept.seen[0] = Some(Ticket {
            stamp: 1,
            number: 2,
            run: 3,
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
        StorageOp::SetSnapshot(Some(Base::create(&[proposal(0)]))),
    ];
    storage
        .write_atomically(operations)
        .expect("storage in memory");
    memory.look(Kept::bytes)
}

#[test]
fn a_voters_file_keeps_its_bytes_and_is_read() {
    assert_eq!(hex(&file()), include_str!("golden/voter-file.hex").trim());
    let read = Kept::read(&file(), 0x77, 2, 3).expect("a voter's file");
    assert_eq!(read.bytes(), file());
    assert_eq!(Memory::of(read).history().newest(), 2);
}
