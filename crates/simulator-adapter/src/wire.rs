//! The simulator's frame format: batches of events as input, and one reply with actions for each. Integers and floats are
//! big-endian. Records have a fixed size; data of variable length is in a tail behind them.

mod decode;
mod encode;
mod error;

pub(crate) use decode::{Batch, Input, RawReport, named_report, read_batch};
pub(crate) use encode::Reply;
pub(crate) use error::{AdapterError, RecordError};

/// The number of an instance (a simulated node) on the wire.
pub(crate) type InstanceId = u16;

// Sizes in bytes.
const BATCH_HEADER: usize = 20;
const EVENT_RECORD: usize = 48;
const ACTION_RECORD: usize = 32;
const ENDPOINT_ENTRY: usize = 23;

/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;

#[cfg(test)]
mod tests;
