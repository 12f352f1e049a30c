use super::{
    ACTION_RECORD, AdapterError, ENDPOINT_ENTRY, EVENT_RECORD, Input, Reply, named_report,
    read_batch,
};
use sillward_balancer::settings::{ReportField, millis};
use sillward_balancer::{
    Action, AttemptEnd, Endpoint, EndpointUpdate, Event, HealthCheckEnd, LoadReport, NewRequest,
    Outcome, RequestId, ServerId, ServerState,
};
use std::time::Duration;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ascii"), 16).expect("hex"))
        .collect()
}

fn padded(text: &str, size: usize) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(size, 0);
    bytes
}

fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = Vec::new();
    frame.extend(12u32.to_be_bytes());
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(((records.len() * EVENT_RECORD + tail.len()) as u32).to_be_bytes());
    frame.extend(hex("40c06e2000000000"));
    records.iter().for_each(|record| frame.extend(record));
    frame.extend(tail);
    frame
}

fn read(frame: &[u8]) -> Result<Vec<(u16, Input)>, AdapterError> {
    let batch = read_batch(&mut &frame[..])?.expect("a batch");
    batch.records().collect()
}

fn read_record(record: &str, tail: &str) -> (u16, Input) {
    read(&batch(&[padded(record, EVENT_RECORD)], &hex(tail)))
        .expect("a valid batch")
        .remove(0)
}

fn ms(ms: f64) -> Duration {
    millis(ms)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let frame = hex("00000001 00000000 00000000 40c06e2000000000");
    let batch = read_batch(&mut &frame[..])
        .expect("a valid batch")
        .expect("a batch");
    assert_eq!(
        (batch.number, batch.clock, batch.records().count()),
        (1, ms(8412.25), 0)
    );
    assert_eq!(Reply::default().frame(1), hex("00000001 00000000 00000000"));
}

#[test]
fn reads_a_batch_of_two_instances() {
    let records = [
        padded(
            "03 0003 000fb0475d3a91c4 0000 0000 91f03b7c55d20a64 406e000000000000 4028000000000000 01",
            EVENT_RECORD,
        ),
        padded("07 0003 000000000000004d", EVENT_RECORD),
        padded("06 0005 0004ed230e6f2b19", EVENT_RECORD),
    ];
    let frame = batch(&records, &[]);
    assert_eq!(frame[..12], hex("0000000c 00000003 00000090"));
    let request = NewRequest {
        id: RequestId(0x000f_b047_5d3a_91c4),
        class: 0,
        tenant: 0,
        key: 0x91f0_3b7c_55d2_0a64,
        remaining: ms(240.0),
        expected_work: Some(ms(12.0)),
        client_retry: false,
        body_pending: false,
        policy: None,
    };
    assert_eq!(
        read(&frame).expect("a valid batch"),
        [
            (3, Input::Event(Event::Request(request), None)),
            (3, Input::Event(Event::Timer { token: 0x4d }, None)),
            (
                5,
                Input::Event(
                    Event::ClientGone {
                        id: RequestId(0x0004_ed23_0e6f_2b19)
                    },
                    None
                )
            ),
        ]
    );
}

#[test]
fn encodes_a_reply_of_actions_and_a_log_line_byte_for_byte() {
    let mut reply = Reply::default();
    let server = ServerId(0x0a12_4a07_1b5b);
    reply.push(
        3,
        &Action::Send {
            id: RequestId(0x000f_b047_5d3a_91c4),
            server,
            timeout: ms(80.0),
        },
    );
    reply.push(
        3,
        &Action::SetTimer {
            after: ms(500.0),
            token: 0x4d,
        },
    );
    reply.push(
        5,
        &Action::Log {
            text: "two servers known".into(),
        },
    );
    let mut expected = hex("0000000c 00000071 00000003");
    expected.extend(padded(
        "4c 0003 000fb0475d3a91c4 0a124a07 1b5b 4054000000000000",
        ACTION_RECORD,
    ));
    expected.extend(padded(
        "44 0003 407f400000000000 000000000000004d",
        ACTION_RECORD,
    ));
    expected.extend(padded("43 0005 00000000 00000011", ACTION_RECORD));
    expected.extend(hex("74776f2073657276657273206b6e6f776e"));
    assert_eq!(reply.frame(12), expected);
}

#[test]
fn reads_an_endpoint_list() {
    let tail = "0a124a07 1b5b 00 00 0000 02 3f800000 0000000000000000
                0a9011f2 1b84 01 00 0000 02 3fc00000 40b7d40000000000";
    let (_, input) = read_record("02 0003 02 00000029 00000000 00000002", tail);
    let first = Endpoint {
        id: ServerId(0x0a12_4a07_1b5b),
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: None,
    };
    let second = Endpoint {
        id: ServerId(0x0a90_11f2_1b84),
        zone: 1,
        weight: 1.5,
        started_at: Some(ms(6100.0)),
        ..first
    };
    let list = Event::EndpointList {
        update: EndpointUpdate::Cached,
        endpoints: vec![first, second],
    };
    assert_eq!(input, Input::Event(list, None));
}

#[test]
fn reads_an_attempt_end() {
    let (_, input) = read_record(
        "05 0003 000fb0475d3a91c4 00 0a124a07 1b5b 01 4032800000000000 01 00",
        "",
    );
    let end = AttemptEnd {
        id: RequestId(0x000f_b047_5d3a_91c4),
        attempt: 0,
        server: ServerId(0x0a12_4a07_1b5b),
        outcome: Outcome::Served,
        elapsed: ms(18.5),
        has_final_response: true,
        body_consumed: false,
        report: None,
    };
    assert_eq!(input, Input::Event(Event::AttemptEnded(end), None));
}

#[test]
fn names_the_load_report_values_of_a_health_check_by_the_instances_fields() {
    let (_, input) = read_record(
        "08 0001 0a124a07 1b5b 01 3ff0000000000000 03 40400000 3f800000 3f000000",
        "",
    );
    let Input::Event(Event::HealthChecked(end), Some(raw)) = input else {
        panic!("{input:?}")
    };
    let expected = HealthCheckEnd {
        server: ServerId(0x0a12_4a07_1b5b),
        outcome: Outcome::Served,
        elapsed: ms(1.0),
        report: None,
    };
    assert_eq!(end, expected);
    let report = named_report(
        raw,
        &[
            ReportField::InFlight,
            ReportField::Unknown,
            ReportField::Utilisation,
        ],
    );
    let expected = LoadReport {
        in_flight: Some(3.0),
        utilisation: Some(0.5),
        ..LoadReport::default()
    };
    assert_eq!(report, expected);
}

#[test]
fn reads_starts_stops_response_starts_and_peer_messages() {
    let (instance, input) = read_record("01 0007 0000000000000009 00000001 00000002", "ff7b7d");
    assert_eq!(
        (instance, input),
        (
            7,
            Input::Start {
                seed: 9,
                settings: b"{}".to_vec()
            }
        )
    );
    assert_eq!(read_record("0a 0007", "").1, Input::Stop);
    let (_, input) = read_record(
        "04 0001 0000000000000005 4000000000000000 02 00000000 0007",
        "",
    );
    let started = Event::ResponseStarted {
        id: RequestId(5),
        attempt: 2,
        server: ServerId(7),
        report: None,
    };
    assert_eq!(input, Input::Event(started, None));
    let (_, input) = read_record("09 0001 00000002 00000000 00000002", "6869");
    assert_eq!(
        input,
        Input::Event(
            Event::PeerMessage {
                from: 2,
                data: b"hi".to_vec()
            },
            None
        )
    );
}

#[test]
fn encodes_each_further_action_byte_for_byte() {
    let (id, server) = (RequestId(5), ServerId(0x0102_0304_0506));
    let cases = [
        (Action::Fail { id }, "41 0003 0000000000000005", ""),
        (Action::HealthCheck { server }, "42 0003 01020304 0506", ""),
        (
            Action::CancelAttempt { id, attempt: 2 },
            "45 0003 0000000000000005 02",
            "",
        ),
        (Action::WatchEndpoints { on: true }, "46 0003 01", ""),
        (Action::FetchEndpoints, "48 0003", ""),
        (
            Action::SendToPeer {
                to: None,
                data: b"hi 7".to_vec(),
            },
            "49 0003 ffff 00000000 00000004",
            "68692037",
        ),
        (Action::CloseIdle { server }, "4a 0003 01020304 0506", ""),
        (
            Action::Reject {
                id,
                retry_after: Some(ms(500.0)),
            },
            "4b 0003 0000000000000005 407f400000000000",
            "",
        ),
        (
            Action::Reject {
                id,
                retry_after: None,
            },
            "4b 0003 0000000000000005",
            "",
        ),
    ];
    for (action, record, tail) in cases {
        let mut reply = Reply::default();
        reply.push(3, &action);
        let expected: Vec<u8> = [padded(record, ACTION_RECORD), hex(tail)].concat();
        assert_eq!(reply.frame(1)[12..], expected, "{action:?}");
    }
    let mut reply = Reply::default();
    reply.push_panic(3, "hi");
    assert_eq!(
        reply.frame(1)[12..],
        [
            padded("47 0003 00000000 00000002", ACTION_RECORD),
            b"hi".to_vec()
        ]
        .concat()
    );
}

#[test]
fn errors_name_the_batch_and_record_of_a_bad_frame() {
    let good = padded("0a 0001", EVENT_RECORD);
    let with = |bad: &str| batch(&[good.clone(), padded(bad, EVENT_RECORD)], b"tail");
    let cases = [
        (hex("00000001 0000"), "batch header: 6 of 20 bytes"),
        (with("0a 0001")[..60].to_vec(), "batch 12: 40 of 100 bytes"),
        (
            hex("0000000c 7fffffff 00000000 40c06e2000000000"),
            "batch 12: 2147483647 records do not fit",
        ),
        (
            hex("0000000c 00000000 00000000 7ff8000000000000"),
            "batch 12: the clock is no number",
        ),
        (with("0b 0001"), "batch 12: record 1: unknown event code 11"),
        (
            with("02 0001 04"),
            "batch 12: record 1: unknown list form 4",
        ),
        (
            with("02 0001 01 00000001 00000000 ffffffff"),
            "batch 12: record 1: points to 4294967295 x 23 bytes",
        ),
        (
            with("09 0001 00000001 00000003 00000002"),
            "batch 12: record 1: points to 2 x 1 bytes at 3 of a tail of 4",
        ),
        (
            with("08 0001 00000000 0001 08"),
            "batch 12: record 1: unknown outcome 8",
        ),
        (
            with("08 0001 00000000 0001 01 0000000000000000 05"),
            "batch 12: record 1: a load report of 5 values",
        ),
    ];
    for (frame, expected) in cases {
        let error = read(&frame).expect_err(expected).to_string();
        assert!(error.starts_with(expected), "{error} instead of {expected}");
    }
    let entry = padded("0a124a07 1b5b 00 00 0000 03", ENDPOINT_ENTRY);
    let error = read(&batch(
        &[padded(
            "02 0001 01 00000001 00000000 00000001",
            EVENT_RECORD,
        )],
        &entry,
    ));
    assert_eq!(
        error.expect_err("bad state").to_string(),
        "batch 12: record 0: unknown server state 3"
    );
}

#[test]
fn the_end_of_the_input_is_not_an_error() {
    assert!(read_batch(&mut &[][..]).expect("a valid batch").is_none());
}

#[test]
fn keeps_request_and_server_ids_unchanged() {
    let tail = "0a90ffff 1b84 02 00 0000 02 3f800000 0000000000000000";
    let (_, input) = read_record("02 0003 01 00000001 00000000 00000001", tail);
    let Input::Event(Event::EndpointList { endpoints, .. }, None) = input else {
        panic!("{input:?}")
    };
    let (_, input) = read_record(
        "03 0003 000fffffffffffff 0001 0002 0000000000000000 406e000000000000",
        "",
    );
    let Input::Event(Event::Request(new), None) = input else {
        panic!("{input:?}")
    };
    assert_eq!((new.class, new.tenant, new.expected_work), (1, 2, None));
    let mut reply = Reply::default();
    reply.push(
        3,
        &Action::Send {
            id: new.id,
            server: endpoints[0].id,
            timeout: new.remaining,
        },
    );
    let expected = padded(
        "4c 0003 000fffffffffffff 0a90ffff 1b84 406e000000000000",
        ACTION_RECORD,
    );
    assert_eq!(reply.frame(1)[12..], expected);
}
