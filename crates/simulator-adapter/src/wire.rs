//! The simulator's frames: batches of events in, one reply with actions for each.

use sillward_balancer::settings::{ReportField, millis};
use sillward_balancer::{
    Action, AttemptEnd, Endpoint, EndpointUpdate, Event, HealthCheckEnd, LoadReport, NewRequest,
    Outcome, RequestId, ServerId, ServerState,
};
use std::io::{self, Read};
use std::time::Duration;

const BATCH_HEADER: usize = 20;
const EVENT: usize = 48;
const ACTION: usize = 32;
const ENTRY: usize = 23;

/// What one record of a batch says.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// The instance starts, with a seed and the text of its settings.
    Start { seed: u64, settings: Vec<u8> },
    /// The instance has been killed.
    Stop,
    /// Something for its decisions. The report, if any, still needs the columns of the instance.
    Event(Event, Option<RawReport>),
}

/// A load report's values, not yet named.
pub type RawReport = ([f32; 4], usize);

/// A batch as it came in.
#[derive(Debug)]
pub struct Batch {
    pub number: u32,
    pub clock: Duration,
    count: usize,
    body: Vec<u8>,
}

/// Reads one batch; `None` at the end of the input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut header = Vec::new();
    let failed = |e: io::Error| format!("cannot read: {e}");
    input
        .by_ref()
        .take(BATCH_HEADER as u64)
        .read_to_end(&mut header)
        .map_err(failed)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < BATCH_HEADER {
        return Err(format!(
            "batch header: {} of {BATCH_HEADER} bytes",
            header.len()
        ));
    }
    let at = Fields(&header);
    let (number, count, length) = (at.u32(0), at.u32(4) as usize, at.u32(8) as usize);
    let clock = at.f64(12);
    if !clock.is_finite() {
        return Err(format!("batch {number}: the clock is no number"));
    }
    // The length is only a claim: `take` lets memory grow with what has really arrived.
    let mut body = Vec::new();
    input
        .by_ref()
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(failed)?;
    if body.len() < length {
        return Err(format!("batch {number}: {} of {length} bytes", body.len()));
    }
    if count
        .checked_mul(EVENT)
        .is_none_or(|records| records > length)
    {
        return Err(format!(
            "batch {number}: {count} records do not fit in {length} bytes"
        ));
    }
    Ok(Some(Batch {
        number,
        clock: millis(clock),
        count,
        body,
    }))
}

impl Batch {
    /// The records in order, each with its instance.
    pub fn records(&self) -> impl Iterator<Item = Result<(u16, Input), String>> + '_ {
        let (records, tail) = self.body.split_at(self.count * EVENT);
        records
            .chunks_exact(EVENT)
            .enumerate()
            .map(move |(i, record)| {
                let at = Fields(record);
                input(at, tail)
                    .map(|input| (at.u16(1), input))
                    .map_err(|what| format!("batch {}: record {i}: {what}", self.number))
            })
    }
}

fn input(at: Fields, tail: &[u8]) -> Result<Input, String> {
    let id = || RequestId(at.u64(3));
    let plain = |event| Ok(Input::Event(event, None));
    match at.u8(0) {
        1 => Ok(Input::Start {
            seed: at.u64(3),
            settings: slice(tail, at, 11, 1)?.to_vec(),
        }),
        2 => plain(Event::EndpointList {
            update: list_kind(at.u8(3))?,
            endpoints: entries(slice(tail, at, 8, ENTRY)?)?,
        }),
        3 => {
            let flags = at.u8(39);
            plain(Event::Request(NewRequest {
                id: id(),
                class: at.u16(11).into(),
                tenant: at.u16(13).into(),
                key: at.u64(15),
                remaining: millis(at.f64(23)),
                expected_work: (flags & 1 != 0).then(|| millis(at.f64(31))),
                client_retry: flags & 2 != 0,
                body_pending: false,
            }))
        }
        4 => plain(Event::ResponseStarted {
            id: id(),
            attempt: at.u8(19).into(),
            server: at.server(20),
            report: None,
        }),
        5 => Ok(Input::Event(
            Event::AttemptEnded(AttemptEnd {
                id: id(),
                attempt: at.u8(11).into(),
                server: at.server(12),
                outcome: outcome(at.u8(18))?,
                elapsed: millis(at.f64(19)),
                answered: at.u8(27) != 0,
                body_consumed: false,
                report: None,
            }),
            at.report(28)?,
        )),
        6 => plain(Event::ClientGone { id: id() }),
        7 => plain(Event::Timer { token: at.u64(3) }),
        8 => Ok(Input::Event(
            Event::HealthChecked(HealthCheckEnd {
                server: at.server(3),
                outcome: outcome(at.u8(9))?,
                elapsed: millis(at.f64(10)),
                report: None,
            }),
            at.report(18)?,
        )),
        9 => plain(Event::PeerMessage {
            from: at.u32(3),
            data: slice(tail, at, 7, 1)?.to_vec(),
        }),
        10 => Ok(Input::Stop),
        code => Err(format!("unknown event code {code}")),
    }
}

/// The part of the tail that the field at `position` points to; its length counts things of `size` bytes.
fn slice<'a>(tail: &'a [u8], at: Fields, position: usize, size: usize) -> Result<&'a [u8], String> {
    let (start, count) = (at.u32(position) as usize, at.u32(position + 4) as usize);
    let end = count
        .checked_mul(size)
        .and_then(|length| start.checked_add(length));
    end.and_then(|end| tail.get(start..end)).ok_or_else(|| {
        format!(
            "points to {count} x {size} bytes at {start} of a tail of {}",
            tail.len()
        )
    })
}

fn list_kind(code: u8) -> Result<EndpointUpdate, String> {
    match code {
        0 => Ok(EndpointUpdate::Incremental),
        1 => Ok(EndpointUpdate::Full),
        2 => Ok(EndpointUpdate::Cached),
        3 => Ok(EndpointUpdate::Failed),
        _ => Err(format!("unknown list form {code}")),
    }
}

fn outcome(code: u8) -> Result<Outcome, String> {
    match code {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Served),
        2 => Ok(Outcome::Rejected),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        _ => Err(format!("unknown outcome {code}")),
    }
}

fn entries(bytes: &[u8]) -> Result<Vec<Endpoint>, String> {
    bytes
        .chunks_exact(ENTRY)
        .map(|entry| Fields(entry).entry())
        .collect()
}

/// Gives the values of a report their names.
pub fn named_report((values, count): RawReport, columns: &[ReportField]) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in columns.iter().zip(&values[..count]) {
        column.set(&mut report, *value);
    }
    report
}

/// Big-endian fields at fixed places of a record.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[at..at + N]);
        bytes
    }
    fn u8(self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }
    fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }
    fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }
    fn f32(self, at: usize) -> f32 {
        f32::from_be_bytes(self.bytes(at))
    }
    fn f64(self, at: usize) -> f64 {
        f64::from_be_bytes(self.bytes(at))
    }
    /// Four bytes of address and a port, kept together as one number.
    fn server(self, at: usize) -> ServerId {
        ServerId(u64::from(self.u32(at)) << 16 | u64::from(self.u16(at + 4)))
    }
    fn report(self, at: usize) -> Result<Option<RawReport>, String> {
        let count = usize::from(self.u8(at));
        if count > 4 {
            return Err(format!("a load report of {count} values"));
        }
        let values = [0, 1, 2, 3].map(|i| self.f32(at + 1 + 4 * i));
        Ok((count > 0).then_some((values, count)))
    }
    fn entry(self) -> Result<Endpoint, String> {
        let started = self.f64(15);
        Ok(Endpoint {
            id: self.server(0),
            zone: self.u8(6),
            machine_type: self.u8(7),
            cell: self.u16(8),
            state: match self.u8(10) {
                0 => ServerState::Removed,
                1 => ServerState::Draining,
                2 => ServerState::Ready,
                code => return Err(format!("unknown server state {code}")),
            },
            weight: self.f32(11),
            started_at: (started > 0.0).then(|| millis(started)),
        })
    }
}

/// The reply to one batch, as it grows.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Fail { id } => self.record(65, instance).u64(id.0),
            Action::HealthCheck { server } => self.record(66, instance).server(*server),
            Action::Log { text } => self.text(67, instance, text),
            Action::SetTimer { after, token } => {
                self.record(68, instance).millis(*after).u64(*token)
            }
            Action::CancelAttempt { id, attempt } => {
                self.record(69, instance).u64(id.0).u8(*attempt as u8)
            }
            Action::WatchEndpoints { on } => self.record(70, instance).u8((*on).into()),
            Action::FetchEndpoints => self.record(72, instance),
            Action::SendToPeer { to, data } => {
                let at = self.tail.len() as u32;
                self.tail.extend(data);
                let to = to.map_or(u16::MAX, |to| to as u16);
                self.record(73, instance)
                    .u16(to)
                    .u32(at)
                    .u32(data.len() as u32)
            }
            Action::CloseIdle { server } => self.record(74, instance).server(*server),
            Action::Reject { id, retry_after } => self
                .record(75, instance)
                .u64(id.0)
                .millis(retry_after.unwrap_or_default()),
            Action::Send {
                id,
                server,
                timeout,
            } => self
                .record(76, instance)
                .u64(id.0)
                .server(*server)
                .millis(*timeout),
        };
        self.close_record();
    }

    /// Reports that the decisions of an instance broke.
    pub fn push_fault(&mut self, instance: u16, text: &str) {
        self.text(71, instance, text);
        self.close_record();
    }

    /// The finished frame.
    pub fn frame(mut self, number: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(12 + self.records.len() + self.tail.len());
        frame.extend(number.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        frame
    }

    fn record(&mut self, code: u8, instance: u16) -> &mut Self {
        self.u8(code).u16(instance)
    }
    fn close_record(&mut self) {
        self.count += 1;
        self.records.resize(self.count as usize * ACTION, 0);
    }
    fn text(&mut self, code: u8, instance: u16, text: &str) -> &mut Self {
        let at = self.tail.len() as u32;
        self.tail.extend(text.as_bytes());
        self.record(code, instance).u32(at).u32(text.len() as u32)
    }
    fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend(bytes);
        self
    }
    fn u8(&mut self, value: u8) -> &mut Self {
        self.put(&[value])
    }
    fn u16(&mut self, value: u16) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn u32(&mut self, value: u32) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn u64(&mut self, value: u64) -> &mut Self {
        self.put(&value.to_be_bytes())
    }
    fn millis(&mut self, value: Duration) -> &mut Self {
        self.put(&(value.as_micros() as f64 / 1000.0).to_be_bytes())
    }
    fn server(&mut self, server: ServerId) -> &mut Self {
        self.u32((server.0 >> 16) as u32).u16(server.0 as u16)
    }
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
