//! The wire format of exchanged statistics, compared with golden files.

use prost::Message;
use sillward_outcome_stats::codec::{decode_counts, encode_counts};
use sillward_outcome_stats::wire::{
    PullRequest, PullResponse, ReportMessage, StatsMessage, report_mark,
};
use sillward_outcome_stats::{AttemptCounts, BackendClass, BackendId, CallCounts, ClassId, Counts};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn counts() -> Counts {
    let mut counts = Counts::default();
    let (read, submit) = (ClassId::of("read"), ClassId::of("submit"));
    counts.calls.insert(
        read,
        CallCounts {
            first: 300,
            retries: 2,
            rejected: 1,
        },
    );
    counts.calls.insert(
        submit,
        CallCounts {
            first: 5,
            retries: 0,
            rejected: 0,
        },
    );
    let plain = AttemptCounts {
        sent: 40,
        in_time: 40,
        ..AttemptCounts::default()
    };
    let mut full = AttemptCounts {
        sent: 500,
        in_time: 450,
        late: 20,
        rejected: 10,
        failed: 5,
        work_ms: 70_000,
        health_checks: 3,
        ..AttemptCounts::default()
    };
    full.latencies.add(7, 200);
    full.latencies.add(63, 1);
    for (backend, class, attempts) in [
        (BackendId(9), read, full),
        (BackendId(9), submit, plain.clone()),
        (BackendId::OTHERS, read, plain),
    ] {
        counts
            .attempts
            .insert(BackendClass { backend, class }, attempts);
    }
    counts
}

#[test]
fn encoded_counts_keep_their_bytes() {
    let bytes = encode_counts(&counts());
    assert_eq!(hex(&bytes), include_str!("golden/counts.hex").trim());
    assert_eq!(
        decode_counts(&bytes).map(|read| encode_counts(&read)),
        Some(bytes)
    );
}

#[test]
fn requests_and_responses_keep_their_bytes() {
    let request = PullRequest {
        number: 3,
        since: 4,
        salt: 5,
        known: vec![6, 7],
        max_bytes: 800,
        groups_since: 9,
        own_only: true,
    };
    let report = ReportMessage {
        name: "n3".to_owned(),
        epoch: 2,
        salt: 0xfeed_beef,
        version: 300,
        age_ms: 900,
        span_ms: 5000,
        counts: encode_counts(&counts()),
        groups: 16,
        group: 4,
        group_size: 18,
        represented_permille: 17_500,
        largest_share_permille: 120,
    };
    let response = PullResponse {
        number: 3,
        until: 10,
        salt: 5,
        reports: vec![report],
        groups_until: 2,
        truncated: true,
        own_only: false,
    };
    let message = StatsMessage {
        request: Some(request),
        response: Some(response),
    };
    let bytes = message.encode_to_vec();
    assert_eq!(hex(&bytes), include_str!("golden/said.hex").trim());
    assert_eq!(StatsMessage::decode(bytes.as_slice()), Ok(message));
}

#[test]
fn report_marks_keep_their_values() {
    let marks = [
        report_mark("n3", 5, 0, 300),
        report_mark("n3", 5, 4, 301),
        report_mark("", 0, 0, 0),
    ];
    assert_eq!(
        marks.map(|mark| format!("{mark:08x}")).join("\n"),
        include_str!("golden/marks.hex").trim()
    );
}
