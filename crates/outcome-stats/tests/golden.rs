//! Golden bytes of the statistics that nodes tell each other.

use prost::Message;
use sillward_outcome_stats::words::{Answer, Ask, Said, Told, mark, pack, unpack};
use sillward_outcome_stats::{Asked, Backend, Cell, Class, Counts, Tally};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn counts() -> Counts {
    let mut counts = Counts::default();
    let (read, submit) = (Class::of("read"), Class::of("submit"));
    counts.asked.insert(
        read,
        Asked {
            first: 300,
            again: 2,
            shed: 1,
        },
    );
    counts.asked.insert(
        submit,
        Asked {
            first: 5,
            again: 0,
            shed: 0,
        },
    );
    let plain = Tally {
        sent: 40,
        in_time: 40,
        ..Tally::default()
    };
    let mut full = Tally {
        sent: 500,
        in_time: 450,
        late: 20,
        refused: 10,
        failed: 5,
        work_ms: 70_000,
        probes: 3,
        ..Tally::default()
    };
    full.times.put(7, 200);
    full.times.put(63, 1);
    for (backend, class, tally) in [
        (Backend(9), read, full),
        (Backend(9), submit, plain.clone()),
        (Backend::OTHERS, read, plain),
    ] {
        counts.cells.insert(Cell { backend, class }, tally);
    }
    counts
}

#[test]
fn packed_counts_keep_their_bytes() {
    let bytes = pack(&counts());
    assert_eq!(hex(&bytes), include_str!("golden/counts.hex").trim());
    assert_eq!(unpack(&bytes).map(|read| pack(&read)), Some(bytes));
}

#[test]
fn asks_and_answers_keep_their_bytes() {
    let ask = Ask {
        number: 3,
        since: 4,
        salt: 5,
        have: vec![6, 7],
        room: 800,
        since_sums: 9,
        own: true,
    };
    let told = Told {
        name: "n3".to_owned(),
        epoch: 2,
        salt: 0xfeed_beef,
        version: 300,
        age_ms: 900,
        span_ms: 5000,
        counts: pack(&counts()),
        groups: 16,
        group: 4,
        nodes: 18,
        heard: 17_500,
        largest: 120,
    };
    let answer = Answer {
        number: 3,
        until: 10,
        salt: 5,
        words: vec![told],
        until_sums: 2,
        more: true,
        own: false,
    };
    let said = Said {
        ask: Some(ask),
        answer: Some(answer),
    };
    let bytes = said.encode_to_vec();
    assert_eq!(hex(&bytes), include_str!("golden/said.hex").trim());
    assert_eq!(Said::decode(bytes.as_slice()), Ok(said));
}

#[test]
fn marks_are_as_they_were() {
    let marks = [
        mark("n3", 5, 0, 300),
        mark("n3", 5, 4, 301),
        mark("", 0, 0, 0),
    ];
    assert_eq!(
        marks.map(|mark| format!("{mark:08x}")).join("\n"),
        include_str!("golden/marks.hex").trim()
    );
}
