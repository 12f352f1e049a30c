//! Encodes replies with actions.

use super::{ACTION_RECORD, InstanceId};
use sillward_balancer::{Action, ServerId};
use std::time::Duration;

const CODE_FAIL: u8 = 65;
const CODE_HEALTH_CHECK: u8 = 66;
const CODE_LOG: u8 = 67;
const CODE_SET_TIMER: u8 = 68;
const CODE_CANCEL_ATTEMPT: u8 = 69;
const CODE_WATCH_ENDPOINTS: u8 = 70;
const CODE_PANIC: u8 = 71;
const CODE_FETCH_ENDPOINTS: u8 = 72;
const CODE_SEND_TO_PEER: u8 = 73;
const CODE_CLOSE_IDLE: u8 = 74;
const CODE_REJECT: u8 = 75;
const CODE_SEND: u8 = 76;
/// The receiver number that addresses all nodes.
const ALL_NODES: u16 = u16::MAX;

/// The reply to one batch, under construction.
#[derive(Default)]
pub(crate) struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub(crate) fn push(&mut self, instance: InstanceId, action: &Action) {
        match action {
            Action::Fail { id } => self.record(CODE_FAIL, instance).u64(id.0),
            Action::HealthCheck { server } => {
                self.record(CODE_HEALTH_CHECK, instance).server(*server)
            }
            Action::Log { text } => self.record(CODE_LOG, instance).in_tail(text.as_bytes()),
            Action::SetTimer { after, token } => {
                let record = self.record(CODE_SET_TIMER, instance);
                record.millis(*after).u64(*token)
            }
            Action::CancelAttempt { id, attempt } => {
                let record = self.record(CODE_CANCEL_ATTEMPT, instance);
                record.u64(id.0).u8(*attempt as u8)
            }
            Action::WatchEndpoints { on } => {
                self.record(CODE_WATCH_ENDPOINTS, instance).u8((*on).into())
            }
            Action::FetchEndpoints => self.record(CODE_FETCH_ENDPOINTS, instance),
            Action::SendToPeer { to, data } => {
                let to = to.map_or(ALL_NODES, |to| to as u16);
                self.record(CODE_SEND_TO_PEER, instance)
                    .u16(to)
                    .in_tail(data)
            }
            Action::CloseIdle { server } => self.record(CODE_CLOSE_IDLE, instance).server(*server),
            Action::Reject { id, retry_after } => {
                let record = self.record(CODE_REJECT, instance);
                record.u64(id.0).millis(retry_after.unwrap_or_default())
            }
            Action::Send {
                id,
                server,
                timeout,
            } => {
                let record = self.record(CODE_SEND, instance);
                record.u64(id.0).server(*server).millis(*timeout)
            }
        };
        self.close_record();
    }

    /// Appends a report that the balancer of an instance panicked.
    pub(crate) fn push_panic(&mut self, instance: InstanceId, message: &str) {
        self.record(CODE_PANIC, instance)
            .in_tail(message.as_bytes());
        self.close_record();
    }

    /// The frame of the complete reply.
    pub(crate) fn frame(mut self, batch: u32) -> Vec<u8> {
        let length = self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(12 + length);
        frame.extend(batch.to_be_bytes());
        frame.extend((length as u32).to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        frame
    }

    fn record(&mut self, code: u8, instance: InstanceId) -> &mut Self {
        self.u8(code).u16(instance)
    }

    /// Ends a record by padding it with zeros to its fixed size.
    fn close_record(&mut self) {
        self.count += 1;
        self.records.resize(self.count as usize * ACTION_RECORD, 0);
    }

    /// Appends bytes to the tail, and their offset and length to the record.
    fn in_tail(&mut self, bytes: &[u8]) -> &mut Self {
        let start = self.tail.len() as u32;
        self.tail.extend(bytes);
        self.u32(start).u32(bytes.len() as u32)
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
