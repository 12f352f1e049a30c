//! Reads the body of a client's request, and enforces a minimum rate.

use crate::request_error::RequestError;
use crate::request_head::Framing;
use crate::upload_progress::UploadProgress;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sillward_forwarding::{
    MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES, MAX_REPLAYABLE_BODY_BYTES, MemoryBudget,
    MemoryReservation, READ_BUFFER_BYTES, STREAM_BUFFER_BYTES,
};
use sillward_logging::log_peer;
use sillward_runtime::time::{Instant, timeout};
use std::rc::Rc;
use std::time::Duration;

/// The maximum length of a short body, which is read completely before its request is submitted. The same as for responses
/// that are buffered.
const MAX_SHORT_BODY_BYTES: usize = MAX_BUFFERED_RESPONSE_BYTES;
/// How long a client may send no data of a body. The platform requires that misbehaving clients are disconnected within 3 s.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The total time for which a client may keep this node waiting, beyond the time of its bytes at the minimum rate.
const BODY_DELAY_ALLOWANCE: Duration = Duration::from_secs(2);
/// The minimum rate: half of the rate that the platform promises slow clients.
const MIN_BODY_BYTES_PER_SECOND: f64 = 32_000.0;

/// A body that is being read.
pub(crate) struct RequestBody {
    body: Incoming,
    /// The total time for which this node has waited for bytes.
    waited: Duration,
    progress: Rc<UploadProgress>,
    /// The memory for buffers of a long body.
    stream_buffers: Option<MemoryReservation>,
    ended: bool,
}

/// The first part of a body.
pub(crate) enum BodyStart {
    /// The complete body.
    Complete(Bytes),
    /// The start of a long body, kept for retries; the rest is still to be read.
    Partial(Bytes),
    /// The memory budget for bodies is exhausted.
    OutOfMemory,
}

impl RequestBody {
    /// A body of which nothing has been read.
    pub(crate) fn new(body: Incoming, progress: Rc<UploadProgress>) -> Self {
        RequestBody {
            body,
            waited: Duration::ZERO,
            progress,
            stream_buffers: None,
            ended: false,
        }
    }

    /// Reads the next bytes; `None` at the end of the body.
    ///
    /// # Errors
    /// The client is too slow, or the body is incomplete or too large.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, RequestError> {
        loop {
            let wait_began = Instant::now();
            self.progress.await_bytes();
            let frame = timeout(self.next_timeout(), self.body.frame()).await;
            self.waited += wait_began.elapsed();
            let Ok(frame) = frame else {
                log_peer(format_args!(
                    "a client sent its request body too slowly: {} bytes in {:?} of waiting",
                    self.progress.received_bytes(),
                    self.waited
                ));
                return Err(RequestError::BodyTooSlow);
            };
            let Some(frame) = frame else {
                self.progress.bytes_received(0);
                self.ended = true;
                return Ok(None);
            };
            let frame = frame.map_err(|_| RequestError::IncompleteBody)?;
            let Ok(data) = frame.into_data() else {
                continue; // trailers
            };
            self.progress.bytes_received(data.len() as u64);
            if self.progress.received_bytes() > MAX_BODY_BYTES {
                return Err(RequestError::BodyTooLarge);
            }
            return Ok(Some(data));
        }
    }

    /// How long the client may take to send the next bytes. Only the time that this node waits for the client counts, not
    /// the time of a slow backend.
    fn next_timeout(&self) -> Duration {
        let received_bytes = self.progress.received_bytes() as f64;
        let time_of_bytes = Duration::from_secs_f64(received_bytes / MIN_BODY_BYTES_PER_SECOND);
        let allowed = BODY_DELAY_ALLOWANCE + time_of_bytes;
        allowed.saturating_sub(self.waited).min(BODY_IDLE_TIMEOUT)
    }

    /// Reads a short body completely, or the part of a long body that is kept for retries.
    ///
    /// # Errors
    /// As [`RequestBody::next`].
    pub(crate) async fn read_start(
        &mut self,
        framing: Framing,
        budget: &MemoryBudget,
    ) -> Result<BodyStart, RequestError> {
        let length = framing
            .length()
            .and_then(|length| usize::try_from(length).ok());
        match length {
            Some(0) => {
                self.ended = true;
                Ok(BodyStart::Complete(Bytes::new()))
            }
            Some(length) if length <= MAX_SHORT_BODY_BYTES => {
                self.read_short_body(length, budget).await
            }
            _ => self.read_start_of_long_body(budget).await,
        }
    }

    /// Reads a short body, whose memory is reserved before it is read.
    async fn read_short_body(
        &mut self,
        length: usize,
        budget: &MemoryBudget,
    ) -> Result<BodyStart, RequestError> {
        let Some(reservation) = budget.try_reserve(length) else {
            return Ok(BodyStart::OutOfMemory);
        };
        let mut bytes = BytesMut::with_capacity(length);
        while let Some(data) = self.next().await? {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() != length {
            return Err(RequestError::IncompleteBody);
        }
        Ok(BodyStart::Complete(reservation.attach(bytes.freeze())))
    }

    /// Reads the start of a long body, whose memory reservation grows with its buffer, out of what short bodies leave.
    async fn read_start_of_long_body(
        &mut self,
        budget: &MemoryBudget,
    ) -> Result<BodyStart, RequestError> {
        let mut reserved = MAX_SHORT_BODY_BYTES;
        let stream_buffers = budget.try_reserve_for_long_body(STREAM_BUFFER_BYTES);
        let (Some(stream_buffers), Some(mut reservation)) =
            (stream_buffers, budget.try_reserve_for_long_body(reserved))
        else {
            return Ok(BodyStart::OutOfMemory);
        };
        self.stream_buffers = Some(stream_buffers);
        let mut bytes = BytesMut::with_capacity(READ_BUFFER_BYTES);
        while let Some(data) = self.next().await? {
            bytes.extend_from_slice(&data);
            // The buffer doubles its capacity when it grows.
            while bytes.capacity() > reserved
                && reservation.try_grow_for_long_body(MAX_SHORT_BODY_BYTES)
            {
                reserved += MAX_SHORT_BODY_BYTES;
            }
            if bytes.len() >= MAX_REPLAYABLE_BODY_BYTES || bytes.capacity() > reserved {
                return Ok(BodyStart::Partial(reservation.attach(bytes.freeze())));
            }
        }
        Ok(BodyStart::Complete(reservation.attach(bytes.freeze())))
    }

    /// How much was received, and when.
    pub(crate) fn progress(&self) -> &Rc<UploadProgress> {
        &self.progress
    }

    /// Whether the body has been read completely.
    pub(crate) fn is_ended(&self) -> bool {
        self.ended
    }

    /// The part that has not been read.
    pub(crate) fn into_unread(self) -> Incoming {
        self.body
    }
}
