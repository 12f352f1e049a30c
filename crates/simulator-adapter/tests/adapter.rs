//! Runs the adapter as a process: complete frames as input and output, and error messages for invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"NInstances": 2, "Surprise": {"Deep": [1]}, "Classes": [{"Target": 400.0, "GiveUp": 1000.0,
    "Idempotency": "free", "Unheard": true}]}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sillward-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The write fails if the adapter stops reading at invalid input.
    let _ = child
        .stdin
        .take()
        .expect("a piped standard input")
        .write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

struct Batch {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    fn new() -> Self {
        Batch {
            count: 0,
            records: Vec::new(),
            tail: Vec::new(),
        }
    }
    fn record(mut self, code: u8, instance: u16, fields: &[&[u8]]) -> Self {
        let mut record = vec![code];
        record.extend(instance.to_be_bytes());
        fields.iter().for_each(|field| record.extend(*field));
        record.resize(48, 0);
        self.records.extend(record);
        self.count += 1;
        self
    }
    /// Adds the start of an instance, with its settings in the tail.
    fn start(mut self, instance: u16, settings: &[u8]) -> Self {
        let at = (self.tail.len() as u32).to_be_bytes();
        self.tail.extend(settings);
        self.record(
            1,
            instance,
            &[
                &9u64.to_be_bytes(),
                &at,
                &(settings.len() as u32).to_be_bytes(),
            ],
        )
    }
    /// Adds a full endpoint list of `servers` ready servers.
    fn list(mut self, instance: u16, servers: u16) -> Self {
        let at = (self.tail.len() as u32).to_be_bytes();
        for number in 0..servers {
            let mut entry = vec![10, 0, 0, 1];
            entry.extend(number.to_be_bytes());
            entry.extend([0, 0, 0, 0, 2]);
            entry.resize(23, 0);
            self.tail.extend(entry);
        }
        self.record(
            2,
            instance,
            &[
                &[1],
                &1u32.to_be_bytes(),
                &at,
                &u32::from(servers).to_be_bytes(),
            ],
        )
    }
    fn request(self, instance: u16, id: u64) -> Self {
        let remaining = 900f64.to_be_bytes();
        self.record(3, instance, &[&id.to_be_bytes(), &[0; 12], &remaining])
    }
    fn frame(self, number: u32) -> Vec<u8> {
        let mut frame = Vec::new();
        frame.extend(number.to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend((f64::from(number) * 10.0).to_be_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}

/// The action codes of each reply.
fn replies(output: &[u8]) -> Vec<Vec<u8>> {
    let u32_at =
        |at: usize| u32::from_be_bytes(output[at..at + 4].try_into().expect("four bytes")) as usize;
    let (mut at, mut replies) = (0, Vec::new());
    while at < output.len() {
        let (length, count) = (u32_at(at + 4), u32_at(at + 8));
        replies.push((0..count).map(|i| output[at + 12 + 32 * i]).collect());
        at += 12 + length;
    }
    replies
}

#[test]
fn instances_are_independent_restart_within_a_batch_and_end_with_the_input() {
    let settings = SETTINGS.as_bytes();
    let first = Batch::new()
        .start(1, settings)
        .list(1, 2)
        .start(2, settings)
        .list(2, 2)
        .frame(1);
    let requests = Batch::new().request(1, 5).request(2, 6).frame(2);
    // Instance 1 restarts within one batch; the request for instance 2 comes after its stop and is ignored.
    let restart = Batch::new()
        .record(10, 1, &[])
        .start(1, settings)
        .list(1, 1)
        .request(1, 7)
        .record(10, 2, &[])
        .request(2, 8)
        .frame(3);
    let output = run(&[first, requests, restart, Batch::new().frame(4)].concat());
    assert!(output.status.success());
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), 4);
    let sends = |reply: usize| replies[reply].iter().filter(|code| **code == 76).count();
    assert_eq!(
        (sends(0), sends(1), sends(2), replies[3].len()),
        (0, 2, 1, 0)
    );
}

#[test]
fn a_batch_of_over_a_megabyte_gets_a_complete_reply() {
    let start = Batch::new()
        .start(1, SETTINGS.as_bytes())
        .list(1, 40)
        .frame(1);
    let many = (0..25_000)
        .fold(Batch::new(), |batch, id| batch.request(1, id))
        .frame(2);
    assert!(many.len() > 1_000_000);
    let output = run(&[start, many].concat());
    assert!(output.status.success());
    let replies = replies(&output.stdout);
    // Each request is sent, rejected or held with a timer.
    let decided = replies[1]
        .iter()
        .filter(|code| [76, 75, 68].contains(code))
        .count();
    assert!(decided >= 25_000);
}

#[test]
fn bad_input_ends_with_one_error_line_and_no_partial_reply() {
    let good = Batch::new()
        .start(1, SETTINGS.as_bytes())
        .list(1, 2)
        .frame(1);
    let cases = [
        (good[..30].to_vec(), "batch 1: 10 of"),
        (
            Batch::new().record(77, 1, &[]).frame(9),
            "batch 9: record 0: unknown event code 77",
        ),
        (
            Batch::new().start(1, b"{\"Classes\": 5}").frame(3),
            "batch 3: record 0: bad settings:",
        ),
        (
            Batch::new().start(1, b"{\"Classes\": []}").frame(3),
            "batch 3: record 0: bad settings: no classes",
        ),
        (
            Batch::new().start(1, b"\xff\xfe").frame(3),
            "batch 3: record 0: bad settings:",
        ),
        (
            [&good[..], &[0, 0, 0]].concat(),
            "batch header: 3 of 20 bytes",
        ),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{expected}");
        assert!(
            stderr.starts_with(&format!("sillward-simulator-adapter: {expected}")),
            "{stderr}"
        );
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        replies(&output.stdout);
    }
}

#[test]
fn does_not_allocate_the_declared_length_before_the_bytes_arrive() {
    let mut frame = Batch::new().frame(1);
    frame[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    let output = run(&frame);
    assert!(String::from_utf8_lossy(&output.stderr).contains("batch 1: 0 of 4294967295 bytes"));
}

/// Compares all bytes of the replies to several kinds of events with the golden file.
#[test]
fn replies_match_the_golden_file() {
    let settings = SETTINGS.as_bytes();
    let start = Batch::new()
        .start(1, settings)
        .list(1, 2)
        .start(2, settings)
        .list(2, 3)
        .frame(1);
    let requests = (1..12)
        .fold(Batch::new(), |batch, id| {
            batch.request(1 + id as u16 % 2, id)
        })
        .frame(2);
    // Request 1 of instance 2 is served, request 2 of instance 1 is rejected by its server, a timer fires, a client disconnects.
    let elapsed = 20f64.to_be_bytes();
    let end = |id: u64, outcome: u8| {
        let mut fields = id.to_be_bytes().to_vec();
        fields.extend([0, 10, 0, 0, 1, 0, 0, outcome]);
        fields.extend(elapsed);
        fields.extend([0, 0]);
        fields
    };
    let ends = Batch::new()
        .record(5, 2, &[&end(1, 1)])
        .record(5, 1, &[&end(2, 2)])
        .record(7, 1, &[&4u64.to_be_bytes()])
        .record(6, 2, &[&3u64.to_be_bytes()])
        .frame(30);
    let output = run(&[start, requests, ends].concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let hex: String = output
        .stdout
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(hex, include_str!("golden/replies.hex").trim());
}
