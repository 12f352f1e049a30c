//! What a session has read, and when it is handled: replies to one sequence number keep the order of the calls.

use super::Session;
use crate::calls::UNKNOWN_SEQID;
use crate::config::ReplyOrder;
use crate::wire::{Kind, Message, NotFramed, read_head};
use bytes::Bytes;

/// A part of what a client sends: a frame, or what ends the connection.
pub(super) enum Input {
    /// A complete frame.
    Frame(Bytes),
    /// The beginning of a complete frame for which there was no memory.
    DiscardedFrame(Bytes),
    /// The beginning of a frame that was not complete in time.
    SlowFrame(Bytes),
    /// The input is not framed Thrift, or the frame is too long.
    NotFramed(NotFramed),
}

impl Input {
    /// The bytes of the message, as far as they are known.
    fn message(&self) -> &[u8] {
        match self {
            Input::Frame(bytes) | Input::DiscardedFrame(bytes) | Input::SlowFrame(bytes) => bytes,
            Input::NotFramed(_) => &[],
        }
    }
}

impl Session {
    /// Handles input, or lets it wait for other calls of the connection.
    ///
    /// Replies to one sequence number are written in the order of the calls, whether a backend or the node itself gives them:
    /// a client that has several calls open under one number takes the next reply for the first of them. So no reply is
    /// queued while an earlier call of its number is open.
    pub(super) fn handle_input(&mut self, input: Input) {
        if self.must_wait(&input) {
            self.waiting = Some(input);
            return;
        }
        match input {
            Input::Frame(frame) => self.handle_frame(frame),
            Input::DiscardedFrame(beginning) => self.reject_discarded(&beginning),
            Input::SlowFrame(beginning) => self.reject_slow(&beginning),
            Input::NotFramed(reason) => self.reject_not_framed(reason),
        }
    }

    fn must_wait(&self, input: &Input) -> bool {
        let config = &self.frontend.config;
        let is_whole = matches!(input, Input::Frame(_));
        if is_whole && self.calls.len() >= config.max_calls_in_flight {
            return true;
        }
        let message = read_head(input.message(), &config.limits);
        let is_oneway = |message: &Message<'_>| message.head.kind == Kind::Oneway;
        if !is_whole && message.as_ref().is_ok_and(is_oneway) {
            return false; // it is dropped without a reply
        }
        match config.reply_order {
            ReplyOrder::Arrival => !self.open_seqids.is_empty() || !self.unwritten.is_empty(),
            ReplyOrder::Completion => match message {
                Ok(message) => self.open_seqids.contains(&message.head.seqid),
                Err(_) => self.open_seqids.contains(&UNKNOWN_SEQID),
            },
        }
    }
}
