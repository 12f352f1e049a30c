//! Reads the responses of backends. A short response is buffered completely, so that an incomplete one results in a failed
//! attempt instead of a truncated response to the client.

use super::BackendClient;
use crate::headers::{LOAD_REPORT, REJECTED};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use sillward_balancer::{LoadReport, Outcome, ServerId};
use sillward_forwarding::{MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES, READ_BUFFER_BYTES};
use sillward_logging::log_peer;
use sillward_runtime::time::{Instant, timeout_at};
use std::error::Error;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// How long a response of unknown length is buffered before it is streamed, however few bytes have arrived: the client may be
/// waiting for the first bytes of a long response.
const STREAMING_DELAY: Duration = Duration::from_millis(100);

/// How responses that are too long to be buffered are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LongResponses {
    /// They are streamed to the client.
    Streamed,
    /// They are dropped, and count as errors of the backend.
    Dropped,
}

/// A backend's response.
pub(super) struct ReceivedResponse {
    pub(super) outcome: Outcome,
    pub(super) report: Option<LoadReport>,
    pub(super) body: Option<ReceivedBody>,
}

/// The body of a backend's response.
pub(super) enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes of a long body, and its length if known.
    Partial {
        first: Bytes,
        length: Option<u64>,
        rest: Incoming,
    },
}

/// The reason for which a response is dropped.
#[derive(Debug, thiserror::Error)]
enum ResponseError {
    /// Its end could not be distinguished from a failed connection.
    #[error("the response has no Content-Length, Transfer-Encoding or Connection: close")]
    MissingLength,
    #[error("the response is longer than 32 MiB")]
    TooLarge,
    #[error("the response is too long to be buffered and cannot be streamed")]
    NotStreamable,
    #[error("the memory budget for bodies is exhausted")]
    OutOfMemory,
    #[error("the response is incomplete")]
    Incomplete(#[source] hyper::Error),
}

impl BackendClient {
    /// Reads a response: completely, or the first bytes if it is long and can be streamed.
    pub(super) async fn read_response(
        &self,
        server: ServerId,
        long_responses: LongResponses,
        response: Response<Incoming>,
    ) -> ReceivedResponse {
        let (head, body) = response.into_parts();
        let report = self.load_report(&head.headers);
        let failed = |outcome, report| ReceivedResponse {
            outcome,
            report,
            body: None,
        };
        match self.read_body(&head, body, long_responses).await {
            Ok(body) => ReceivedResponse {
                outcome: outcome(&head),
                report,
                body: Some(body),
            },
            Err(ResponseError::Incomplete(error)) => failed(transport_failure(&error), None),
            Err(error) => {
                log_peer(format_args!(
                    "server {:x}: dropped a response: {error}",
                    server.0
                ));
                failed(Outcome::Error, report)
            }
        }
    }

    async fn read_body(
        &self,
        head: &Parts,
        body: Incoming,
        long_responses: LongResponses,
    ) -> Result<ReceivedBody, ResponseError> {
        let can_stream = head.status == StatusCode::OK && long_responses == LongResponses::Streamed;
        let Some(length) = body.size_hint().exact() else {
            if !has_detectable_end(&head.headers) {
                return Err(ResponseError::MissingLength);
            }
            return self.read_body_of_unknown_length(body, can_stream).await;
        };
        if length > MAX_BODY_BYTES {
            return Err(ResponseError::TooLarge);
        }
        if length <= MAX_BUFFERED_RESPONSE_BYTES as u64 {
            return self.read_short_body(length as usize, body).await;
        }
        if !can_stream {
            return Err(ResponseError::NotStreamable);
        }
        Ok(ReceivedBody::Partial {
            first: Bytes::new(),
            length: Some(length),
            rest: body,
        })
    }

    async fn read_short_body(
        &self,
        length: usize,
        mut body: Incoming,
    ) -> Result<ReceivedBody, ResponseError> {
        let reservation = self
            .budget
            .try_reserve(length)
            .ok_or(ResponseError::OutOfMemory)?;
        let mut bytes = BytesMut::with_capacity(length);
        while let Some(frame) = body.frame().await {
            bytes.extend_from_slice(&frame_data(frame)?);
        }
        Ok(ReceivedBody::Complete(reservation.attach(bytes.freeze())))
    }

    /// Reads a body whose memory reservation grows with its buffer. If it can be streamed, reading stops after
    /// [`STREAMING_DELAY`] or [`MAX_BUFFERED_RESPONSE_BYTES`].
    async fn read_body_of_unknown_length(
        &self,
        mut body: Incoming,
        can_stream: bool,
    ) -> Result<ReceivedBody, ResponseError> {
        let mut reserved = READ_BUFFER_BYTES;
        let mut reservation = self
            .budget
            .try_reserve(reserved)
            .ok_or(ResponseError::OutOfMemory)?;
        let mut bytes = BytesMut::new();
        let streaming_begins = Instant::now() + STREAMING_DELAY;
        loop {
            let frame = if can_stream {
                timeout_at(streaming_begins, body.frame()).await
            } else {
                Ok(body.frame().await)
            };
            let Ok(frame) = frame else {
                break;
            };
            let Some(frame) = frame else {
                return Ok(ReceivedBody::Complete(reservation.attach(bytes.freeze())));
            };
            bytes.extend_from_slice(&frame_data(frame)?);
            let mut fits = bytes.len() <= MAX_BUFFERED_RESPONSE_BYTES;
            while fits && bytes.capacity() > reserved {
                fits = reservation.try_grow(READ_BUFFER_BYTES);
                reserved += READ_BUFFER_BYTES;
            }
            if !fits && !can_stream {
                return Err(ResponseError::NotStreamable);
            }
            if !fits {
                break;
            }
        }
        Ok(ReceivedBody::Partial {
            first: reservation.attach(bytes.freeze()),
            length: None,
            rest: body,
        })
    }

    fn load_report(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let value = headers
            .get(LOAD_REPORT)
            .filter(|_| self.load_reports.is_enabled())?;
        let report = value
            .to_str()
            .ok()
            .and_then(|text| self.load_reports.parse(text));
        if report.is_none() {
            log_peer(format_args!("dropped a malformed load report: {value:?}"));
        }
        report
    }
}

/// The data of a frame; empty for trailers.
fn frame_data(frame: Result<Frame<Bytes>, hyper::Error>) -> Result<Bytes, ResponseError> {
    let frame = frame.map_err(ResponseError::Incomplete)?;
    Ok(frame.into_data().unwrap_or_default())
}

/// Whether the end of a body of unknown length can be distinguished from a failed connection: it is chunked, or its head
/// announces that the connection closes after it.
fn has_detectable_end(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING)
        || headers.get_all(CONNECTION).iter().any(contains_close)
}

fn contains_close(connection: &HeaderValue) -> bool {
    connection
        .as_bytes()
        .split(|byte| *byte == b',')
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// The outcome of a complete response. Only a rejection promises that the request never ran.
fn outcome(head: &Parts) -> Outcome {
    let is_rejection = || head.headers.get(REJECTED).is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejection() => {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    }
}

/// The outcome of an exchange that did not complete. If the connection ended, the backend's process may have died. Bytes that
/// are not HTTP show that a process is running there: they count as an ordinary error, not as a reason to eject the backend.
pub(super) fn transport_failure(error: &hyper::Error) -> Outcome {
    let is_malformed = error.is_parse()
        || error
            .source()
            .and_then(|source| source.downcast_ref::<io::Error>())
            .is_some_and(|source| {
                matches!(
                    source.kind(),
                    ErrorKind::InvalidInput | ErrorKind::InvalidData
                )
            });
    if is_malformed {
        Outcome::Error
    } else {
        Outcome::Reset
    }
}
