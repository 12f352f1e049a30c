//! Errors in the input.

use sillward_balancer::settings::SettingsError;
use std::io;
use thiserror::Error;

/// An error that ends the adapter.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    #[error("batch header: {length} of {expected} bytes")]
    ShortHeader { length: usize, expected: usize },
    #[error("batch {batch}: the clock is no number")]
    Clock { batch: u32 },
    #[error("batch {batch}: {length} of {expected} bytes")]
    ShortBody {
        batch: u32,
        length: usize,
        expected: usize,
    },
    #[error("batch {batch}: {records} records do not fit in {length} bytes")]
    TooManyRecords {
        batch: u32,
        records: usize,
        length: usize,
    },
    #[error("batch {batch}: record {record}: {error}")]
    Record {
        batch: u32,
        record: usize,
        #[source]
        error: RecordError,
    },
}

/// An error in one record of a batch.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    #[error("unknown event code {0}")]
    EventCode(u8),
    #[error("unknown list form {0}")]
    EndpointUpdate(u8),
    #[error("unknown outcome {0}")]
    Outcome(u8),
    #[error("unknown server state {0}")]
    ServerState(u8),
    #[error("a load report of {0} values")]
    ReportValues(usize),
    #[error("points to {count} x {size} bytes at {start} of a tail of {tail}")]
    OutsideTail {
        count: usize,
        size: usize,
        start: usize,
        tail: usize,
    },
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
