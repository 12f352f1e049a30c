//! Calls and input that a session turns down, and the replies that say so.

use super::Session;
use crate::calls::{self, InvalidCall, ReplyContext};
use crate::wire::{Encoding, ExceptionKind, NotFramed, exception};
use sillward_forwarding::{Call, FinalResponse};
use sillward_logging::log_peer;
use sillward_metrics::RequestOutcome;

/// The response to a client that sends HTTP to the Thrift listener.
const HTTP_RESPONSE: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 36\r\n\
Connection: close\r\n\r\nThis listener speaks framed Thrift.\n";

/// Why the input yields no complete frame.
pub(super) enum FrameError<'a> {
    /// The frame was not complete in time.
    Slow,
    /// There was no memory for the frame, of which this is the beginning.
    NoMemory(&'a [u8]),
    /// The input is not framed Thrift, or the frame is too long.
    NotFramed(NotFramed),
}

impl Session {
    /// Rejects a call that is not admitted.
    pub(super) fn reject_over_limit(&mut self, call: &Call, context: &ReplyContext) {
        log_peer("rejected a call: too many are open");
        let counters = &self.frontend.counters;
        counters.over_request_limit();
        counters.request_ended(call.class, RequestOutcome::Rejected);
        let frame = self.rejection(context);
        self.queue_reply(frame, None);
    }

    /// Rejects a call that is too late for a response before the process exits.
    pub(super) fn reject_shutting_down(&mut self, call: &Call, context: &ReplyContext) {
        log_peer("rejected a call: it is too late for a response before the process exits");
        let counters = &self.frontend.counters;
        counters.rejected_by_shutdown();
        counters.request_ended(call.class, RequestOutcome::Rejected);
        if call.expects_response {
            let frame = self.rejection(context);
            self.queue_reply(frame, None);
        }
    }

    /// The reply to a call that was not submitted.
    fn rejection(&self, context: &ReplyContext) -> Vec<u8> {
        let retry_after = self.frontend.settings.get().settings.limits.max_retry_after;
        let rejected = FinalResponse::Rejected {
            retry_after,
            never_ran: true,
        };
        calls::encode_response(&self.frontend.config, context, rejected)
    }

    pub(super) fn reject_invalid(&mut self, invalid: InvalidCall) {
        if let Some(frame) = invalid.reply_frame {
            self.queue_reply(frame, None);
        }
        self.read_closed |= invalid.ends_connection;
    }

    /// Replies to input that yields no complete frame.
    pub(super) fn reject_input(&mut self, error: FrameError<'_>) {
        let strict = Encoding::Binary { strict: true };
        let protocol_error = |encoding, text: &str| {
            exception(encoding, "", 0, ExceptionKind::ProtocolError, text, None)
        };
        self.frame_deadline = None;
        let (frame, ends_connection) = match error {
            FrameError::NoMemory(begin) => {
                match calls::read_call_head(&self.frontend.config, begin) {
                    Ok(message) => {
                        log_peer("rejected a call: no memory for its frame");
                        (self.rejection(&ReplyContext::of(&message)), false)
                    }
                    Err(invalid) => return self.reject_invalid(invalid),
                }
            }
            FrameError::Slow => (
                protocol_error(strict, "too slow: the frame is not whole after 2 s"),
                true,
            ),
            FrameError::NotFramed(NotFramed::Http) => (HTTP_RESPONSE.to_vec(), true),
            FrameError::NotFramed(NotFramed::Unframed) => {
                let text = "this listener takes framed messages only";
                // The client reads no frames either, so the reply goes without the frame's length.
                (protocol_error(strict, text).split_off(4), true)
            }
            FrameError::NotFramed(NotFramed::Tls) => (Vec::new(), true),
            FrameError::NotFramed(NotFramed::Length(length)) => {
                let max = self.frontend.config.limits.max_frame_bytes;
                (
                    protocol_error(strict, &format!("a frame of {length} bytes: {max} at most")),
                    true,
                )
            }
        };
        if !frame.is_empty() {
            self.queue_reply(frame, None);
        }
        self.read_closed |= ends_connection;
    }
}
