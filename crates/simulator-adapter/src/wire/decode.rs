//! Decodes batches of events.

use super::error::{AdapterError, RecordError};
use super::{BATCH_HEADER, ENDPOINT_ENTRY, EVENT_RECORD, InstanceId, MAX_REPORT_VALUES};
use sillward_balancer::settings::{ReportField, millis};
use sillward_balancer::{
    AttemptEnd, Endpoint, EndpointUpdate, Event, HealthCheckEnd, LoadReport, NewRequest, Outcome,
    RequestId, ServerId, ServerState,
};
use std::io::Read;
use std::time::Duration;

/// Flags of a request.
const FLAG_EXPECTED_WORK: u8 = 1;
const FLAG_CLIENT_RETRY: u8 = 2;

/// The contents of one record of a batch.
#[derive(Debug, PartialEq)]
pub(crate) enum Input {
    /// The instance starts with this random seed and these settings (JSON).
    Start { seed: u64, settings: Vec<u8> },
    /// The instance was killed.
    Stop,
    /// An event for its balancer. The load report is separate, because the instance's settings name its values.
    Event(Event, Option<RawReport>),
}

/// The values of a load report, without their names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RawReport {
    values: [f32; MAX_REPORT_VALUES],
    count: usize,
}

/// Assigns the values of a report to the instance's report fields, in order.
pub(crate) fn named_report(raw: RawReport, fields: &[ReportField]) -> LoadReport {
    let mut report = LoadReport::default();
    for (field, value) in fields.iter().zip(&raw.values[..raw.count]) {
        field.set(&mut report, *value);
    }
    report
}

/// A batch of records.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) number: u32,
    /// The simulated time.
    pub(crate) clock: Duration,
    records: usize,
    body: Vec<u8>,
}

/// Reads one batch; `None` at the end of the input.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
    let header = read_up_to(input, BATCH_HEADER)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < BATCH_HEADER {
        return Err(AdapterError::ShortHeader {
            length: header.len(),
            expected: BATCH_HEADER,
        });
    }
    let fields = Fields(&header);
    let batch = fields.u32(0);
    let records = fields.u32(4) as usize;
    let expected = fields.u32(8) as usize;
    let clock_ms = fields.f64(12);
    if !clock_ms.is_finite() {
        return Err(AdapterError::Clock { batch });
    }
    let body = read_up_to(input, expected)?;
    if body.len() < expected {
        return Err(AdapterError::ShortBody {
            batch,
            length: body.len(),
            expected,
        });
    }
    let size = records.checked_mul(EVENT_RECORD);
    if size.is_none_or(|size| size > expected) {
        return Err(AdapterError::TooManyRecords {
            batch,
            records,
            length: expected,
        });
    }
    Ok(Some(Batch {
        number: batch,
        clock: millis(clock_ms),
        records,
        body,
    }))
}

/// Reads `length` bytes, or fewer at the end of the input. Does not allocate the declared length up front, because it may
/// be wrong.
fn read_up_to(input: &mut impl Read, length: usize) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    let mut limited = input.by_ref().take(length as u64);
    limited
        .read_to_end(&mut bytes)
        .map_err(AdapterError::Read)?;
    Ok(bytes)
}

impl Batch {
    /// The records in order, each with its instance.
    pub(crate) fn records(
        &self,
    ) -> impl Iterator<Item = Result<(InstanceId, Input), AdapterError>> + '_ {
        let (records, tail) = self.body.split_at(self.records * EVENT_RECORD);
        let records = records.chunks_exact(EVENT_RECORD).enumerate();
        records.map(move |(position, record)| {
            let fields = Fields(record);
            let input = decode(fields, tail).map_err(|error| self.record_error(position, error))?;
            Ok((fields.u16(1), input))
        })
    }

    /// Adds the batch and record number to an error.
    pub(crate) fn record_error(&self, record: usize, error: RecordError) -> AdapterError {
        AdapterError::Record {
            batch: self.number,
            record,
            error,
        }
    }
}

fn decode(fields: Fields<'_>, tail: &[u8]) -> Result<Input, RecordError> {
    let event = match fields.u8(0) {
        1 => {
            return Ok(Input::Start {
                seed: fields.u64(3),
                settings: tail_slice(tail, fields, 11, 1)?.to_vec(),
            });
        }
        2 => Event::EndpointList {
            update: endpoint_update(fields.u8(3))?,
            endpoints: endpoints(tail_slice(tail, fields, 8, ENDPOINT_ENTRY)?)?,
        },
        3 => Event::Request(new_request(fields)),
        4 => Event::ResponseStarted {
            id: RequestId(fields.u64(3)),
            attempt: fields.u8(19).into(),
            server: fields.server(20),
            report: None,
        },
        5 => return attempt_end(fields),
        6 => Event::ClientGone {
            id: RequestId(fields.u64(3)),
        },
        7 => Event::Timer {
            token: fields.u64(3),
        },
        8 => return health_check_end(fields),
        9 => Event::PeerMessage {
            from: fields.u32(3),
            data: tail_slice(tail, fields, 7, 1)?.to_vec(),
        },
        10 => return Ok(Input::Stop),
        code => return Err(RecordError::EventCode(code)),
    };
    Ok(Input::Event(event, None))
}

fn new_request(fields: Fields<'_>) -> NewRequest {
    let flags = fields.u8(39);
    let has_expected_work = flags & FLAG_EXPECTED_WORK != 0;
    NewRequest {
        id: RequestId(fields.u64(3)),
        class: fields.u16(11).into(),
        tenant: fields.u16(13).into(),
        key: fields.u64(15),
        remaining: millis(fields.f64(23)),
        expected_work: has_expected_work.then(|| millis(fields.f64(31))),
        client_retry: flags & FLAG_CLIENT_RETRY != 0,
        body_pending: false,
        policy: None, // each event is handled under the settings that came before it
    }
}

fn attempt_end(fields: Fields<'_>) -> Result<Input, RecordError> {
    let end = AttemptEnd {
        id: RequestId(fields.u64(3)),
        attempt: fields.u8(11).into(),
        server: fields.server(12),
        outcome: outcome(fields.u8(18))?,
        elapsed: millis(fields.f64(19)),
        has_final_response: fields.u8(27) != 0,
        body_consumed: false,
        report: None,
    };
    Ok(Input::Event(Event::AttemptEnded(end), fields.report(28)?))
}

fn health_check_end(fields: Fields<'_>) -> Result<Input, RecordError> {
    let end = HealthCheckEnd {
        server: fields.server(3),
        outcome: outcome(fields.u8(9))?,
        elapsed: millis(fields.f64(10)),
        report: None,
    };
    Ok(Input::Event(Event::HealthChecked(end), fields.report(18)?))
}

/// The part of the tail given by a start offset and a number of items of `size` bytes, both at `position` in the record.
fn tail_slice<'a>(
    tail: &'a [u8],
    fields: Fields<'_>,
    position: usize,
    size: usize,
) -> Result<&'a [u8], RecordError> {
    let start = fields.u32(position) as usize;
    let count = fields.u32(position + 4) as usize;
    let end = count
        .checked_mul(size)
        .and_then(|length| start.checked_add(length));
    let slice = end.and_then(|end| tail.get(start..end));
    slice.ok_or(RecordError::OutsideTail {
        count,
        size,
        start,
        tail: tail.len(),
    })
}

fn endpoint_update(code: u8) -> Result<EndpointUpdate, RecordError> {
    match code {
        0 => Ok(EndpointUpdate::Incremental),
        1 => Ok(EndpointUpdate::Full),
        2 => Ok(EndpointUpdate::Cached),
        3 => Ok(EndpointUpdate::Failed),
        _ => Err(RecordError::EndpointUpdate(code)),
    }
}

fn outcome(code: u8) -> Result<Outcome, RecordError> {
    match code {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Served),
        2 => Ok(Outcome::Rejected),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        _ => Err(RecordError::Outcome(code)),
    }
}

fn server_state(code: u8) -> Result<ServerState, RecordError> {
    match code {
        0 => Ok(ServerState::Removed),
        1 => Ok(ServerState::Draining),
        2 => Ok(ServerState::Ready),
        _ => Err(RecordError::ServerState(code)),
    }
}

fn endpoints(bytes: &[u8]) -> Result<Vec<Endpoint>, RecordError> {
    let entries = bytes.chunks_exact(ENDPOINT_ENTRY);
    entries.map(|entry| Fields(entry).endpoint()).collect()
}

/// Big-endian fields at fixed offsets of a record.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[offset..offset + N]);
        bytes
    }

    fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    fn u16(self, offset: usize) -> u16 {
        u16::from_be_bytes(self.bytes(offset))
    }

    fn u32(self, offset: usize) -> u32 {
        u32::from_be_bytes(self.bytes(offset))
    }

    fn u64(self, offset: usize) -> u64 {
        u64::from_be_bytes(self.bytes(offset))
    }

    fn f32(self, offset: usize) -> f32 {
        f32::from_be_bytes(self.bytes(offset))
    }

    fn f64(self, offset: usize) -> f64 {
        f64::from_be_bytes(self.bytes(offset))
    }

    /// An IPv4 address and a port, as one number.
    fn server(self, offset: usize) -> ServerId {
        ServerId(u64::from(self.u32(offset)) << 16 | u64::from(self.u16(offset + 4)))
    }

    /// A load report: the number of its values, and the values.
    fn report(self, offset: usize) -> Result<Option<RawReport>, RecordError> {
        let count = usize::from(self.u8(offset));
        if count > MAX_REPORT_VALUES {
            return Err(RecordError::ReportValues(count));
        }
        let values = [0, 1, 2, 3].map(|i| self.f32(offset + 1 + 4 * i));
        Ok((count > 0).then_some(RawReport { values, count }))
    }

    fn endpoint(self) -> Result<Endpoint, RecordError> {
        let started_ms = self.f64(15);
        Ok(Endpoint {
            id: self.server(0),
            zone: self.u8(6),
            machine_type: self.u8(7),
            cell: self.u16(8),
            state: server_state(self.u8(10))?,
            weight: self.f32(11),
            started_at: (started_ms > 0.0).then(|| millis(started_ms)),
        })
    }
}
