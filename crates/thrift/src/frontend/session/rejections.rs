//! Calls and input that a session turns down, and the replies that say so.

use super::Session;
use crate::calls::{self, InvalidCall, ReplyContext, UNKNOWN_SEQID};
use crate::wire::{Encoding, ExceptionKind, Kind, NotFramed, exception};
use sillward_forwarding::{Call, FinalResponse};
use sillward_logging::log_peer;
use sillward_metrics::RequestOutcome;

/// The response to a client that sends HTTP to the Thrift listener.
const HTTP_RESPONSE: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 36\r\n\
Connection: close\r\n\r\nThis listener speaks framed Thrift.\n";

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

    /// Rejects a call for whose frame there was no memory.
    pub(super) fn reject_discarded(&mut self, beginning: &[u8]) {
        let message = match calls::read_call_head(&self.frontend.config, beginning) {
            Ok(message) => message,
            Err(invalid) => return self.reject_invalid(invalid),
        };
        log_peer("rejected a call: no memory for its frame");
        self.frontend.counters.out_of_memory();
        if message.head.kind != Kind::Oneway {
            let frame = self.rejection(&ReplyContext::of(&message));
            self.queue_reply(frame, None);
        }
    }

    /// Ends the connection after a frame that was not complete in time.
    pub(super) fn reject_slow(&mut self, beginning: &[u8]) {
        let text = "too slow: the frame is not whole after 2 s";
        match calls::read_call_head(&self.frontend.config, beginning) {
            Ok(message) => self.reject_invalid(calls::invalid_call(
                &message,
                ExceptionKind::ProtocolError,
                text,
            )),
            Err(_) => self.queue_reply(unnumbered_error(text), None),
        }
        self.read_closed = true;
    }

    /// Ends the connection after input that is not framed.
    pub(super) fn reject_not_framed(&mut self, reason: NotFramed) {
        let frame = match reason {
            NotFramed::Http => HTTP_RESPONSE.to_vec(),
            // The client reads no frames either, so the reply goes without the frame's length.
            NotFramed::Unframed => {
                unnumbered_error("this listener takes framed messages only").split_off(4)
            }
            NotFramed::Tls => Vec::new(),
            NotFramed::Length(length) => {
                let max = self.frontend.config.limits.max_frame_bytes;
                unnumbered_error(&format!("a frame of {length} bytes: {max} at most"))
            }
        };
        if !frame.is_empty() {
            self.queue_reply(frame, None);
        }
        self.read_closed = true;
    }
}

/// The reply to a message whose head is unknown.
fn unnumbered_error(text: &str) -> Vec<u8> {
    let strict = Encoding::Binary { strict: true };
    exception(
        strict,
        "",
        UNKNOWN_SEQID,
        ExceptionKind::ProtocolError,
        text,
        None,
    )
}
