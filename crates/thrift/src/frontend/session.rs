//! A client's connection: reads framed calls, with several in flight, and writes the replies.

mod input;
mod rejections;
mod reply_queue;

use super::Frontend;
use crate::calls::{self, ReplyContext, ValidatedCall};
use crate::wire::{FrameProgress, FrameReader};
use bytes::Bytes;
use input::Input;
use reply_queue::ReplyQueue;
use sillward_balancer::NewRequest;
use sillward_forwarding::{Call, FinalResponse, MemoryReservation, RequestPermit};
use sillward_listener::{AfterRequest, ClientConnection, READ_TIMEOUT};
use sillward_runtime::Stream;
use sillward_runtime::task::{JoinSet, spawn_local};
use sillward_runtime::time::{Instant, sleep_until};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A connection is closed after the caller has acknowledged no byte of its replies for this long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The most that is read at once: each connection holds as much, and what it has not parsed yet.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// While more than this many bytes of replies wait to be written, no further call of the connection is processed.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// How a call of a connection ended.
enum CallEnd {
    /// Its reply is ready.
    Reply {
        seqid: i32,
        frame: Vec<u8>,
        reservation: Option<MemoryReservation>,
    },
    /// It was a oneway call.
    Oneway,
}

/// A client's connection.
pub(super) struct Session {
    frontend: Rc<Frontend>,
    stream: Stream,
    connection: Rc<ClientConnection>,
    reader: FrameReader,
    /// The memory of the frame that is being read.
    reservation: MemoryReservation,
    /// Bytes that were read but not parsed yet, as they follow a waiting frame; at most one chunk.
    unparsed: VecDeque<u8>,
    /// When the frame that is being read must be complete.
    frame_deadline: Option<Instant>,
    /// Input that has to wait for other calls of the connection, or for the limit of oneway calls.
    waiting: Option<Input>,
    /// Set while the waiting input is a oneway call for which the limit has no permit.
    awaits_oneway_permit: bool,
    /// The permit of the waiting oneway call.
    oneway_permit: Option<RequestPermit>,
    /// The calls in flight, oneway calls among them.
    calls: JoinSet<CallEnd>,
    /// The sequence numbers of the calls in flight that have a reply.
    open_seqids: BTreeSet<i32>,
    /// Frames of replies that have not been written completely.
    unwritten: ReplyQueue,
    /// Whether a call has been accepted since the connection was last idle.
    busy: bool,
    /// Whether reading has ended because the input is invalid or there is no memory for a frame.
    read_closed: bool,
    /// Whether the node has asked for the connection to be closed.
    closing: bool,
    /// Set once the node has asked for the connection to end: how many bytes are still read of those that had arrived then.
    last_bytes: Option<usize>,
}

impl Session {
    /// The session of a connection that was just accepted. `reservation` is the memory of its first frame.
    pub(super) fn new(
        frontend: Rc<Frontend>,
        stream: Stream,
        connection: Rc<ClientConnection>,
        reservation: MemoryReservation,
    ) -> Self {
        let reader = FrameReader::new(frontend.config.limits.max_frame_bytes);
        Session {
            frontend,
            stream,
            connection,
            reader,
            reservation,
            unparsed: VecDeque::new(),
            frame_deadline: None,
            waiting: None,
            awaits_oneway_permit: false,
            oneway_permit: None,
            calls: JoinSet::new(),
            open_seqids: BTreeSet::new(),
            unwritten: ReplyQueue::default(),
            busy: false,
            read_closed: false,
            closing: false,
            last_bytes: None,
        }
    }

    /// Reads calls and writes replies until the connection ends.
    pub(super) async fn run(&mut self) {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            self.parse_frames();
            if self.is_idle() {
                if self.busy && !self.read_closed {
                    self.busy = false;
                    // A frame that has begun has its own time limit, `frame_deadline`.
                    self.frontend
                        .connections
                        .request_finished(&self.connection, AfterRequest::KeepAlive);
                }
                let closed_when_idle = self.closing
                    && !self.reader.is_in_frame()
                    && self.connection.read_would_block();
                if self.read_closed || self.last_bytes == Some(0) || closed_when_idle {
                    break;
                }
            }
            let Session {
                calls,
                stream,
                connection,
                unwritten,
                frontend,
                ..
            } = self;
            let may_read = self.waiting.is_none()
                && !self.read_closed
                && self.last_bytes != Some(0)
                && self.unparsed.is_empty();
            let read_bytes = chunk.len().min(self.last_bytes.unwrap_or(usize::MAX));
            let frame_deadline = self.frame_deadline;
            let reply_bytes = unwritten.next_bytes();
            tokio::select! {
                biased;
                Some(done) = calls.join_next(), if !calls.is_empty() => {
                    // A call's task failed only if it panicked: the client sees the connection close.
                    match done {
                        Ok(CallEnd::Reply { seqid, frame, reservation }) => {
                            self.open_seqids.remove(&seqid);
                            self.queue_reply(frame, reservation);
                        }
                        Ok(CallEnd::Oneway) => {}
                        Err(_) => return,
                    }
                }
                count = stream.write(reply_bytes), if !reply_bytes.is_empty() => match count {
                    Ok(count) if count > 0 => self.unwritten.advance(count),
                    _ => return,
                },
                count = stream.read(&mut chunk[..read_bytes]), if may_read => match count {
                    // The client has closed the connection, which cancels its calls.
                    Ok(0) | Err(_) => return,
                    Ok(count) => {
                        self.unparsed.extend(&chunk[..count]);
                        self.last_bytes = self.last_bytes.map(|left| left.saturating_sub(count));
                    }
                },
                permit = frontend.oneway_limit.admit(), if self.awaits_oneway_permit => {
                    self.awaits_oneway_permit = false;
                    self.oneway_permit = Some(permit);
                }
                () = connection.close_requested(), if !self.closing => self.closing = true,
                () = connection.finish_requested(), if self.last_bytes.is_none() => {
                    self.last_bytes = Some(connection.unread_bytes());
                }
                () = sleep_until(frame_deadline.unwrap_or_else(Instant::now)), if frame_deadline.is_some() => {
                    self.frame_deadline = None;
                    let beginning = Bytes::copy_from_slice(self.reader.beginning());
                    self.handle_input(Input::SlowFrame(beginning));
                }
                () = stream.write_stalled_for(WRITE_TIMEOUT), if !unwritten.is_empty() => return,
            }
        }
        self.frontend
            .connections
            .request_finished(&self.connection, AfterRequest::Close);
        self.connection.lingering_close(&self.stream).await;
    }

    /// Whether no call is in flight or waiting and every reply has been written.
    fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.unwritten.is_empty() && self.waiting.is_none()
    }

    /// Queues a reply. The small frames that the node generates itself have no memory reservation.
    fn queue_reply(&mut self, frame: Vec<u8>, reservation: Option<MemoryReservation>) {
        self.connection.response_started();
        self.unwritten.push(frame, reservation);
    }

    /// Parses frames from the bytes that were read, until one of them has to wait.
    fn parse_frames(&mut self) {
        if !self.awaits_oneway_permit {
            if let Some(input) = self.waiting.take() {
                self.handle_input(input);
            }
        }
        if self.unwritten.frame_bytes() > MAX_UNWRITTEN_BYTES {
            return;
        }
        while self.waiting.is_none() && !self.read_closed && !self.unparsed.is_empty() {
            let reservation = &mut self.reservation;
            let bytes = self.unparsed.make_contiguous();
            let (used, progress) = self
                .reader
                .take(bytes, &mut |bytes| reservation.try_grow(bytes));
            self.unparsed.drain(..used);
            if self.unparsed.is_empty() {
                self.unparsed = VecDeque::new(); // an idle connection holds no buffer
            }
            let reservation = match progress {
                FrameProgress::Incomplete => {
                    self.frame_deadline = self
                        .frame_deadline
                        .or_else(|| Some(Instant::now() + READ_TIMEOUT));
                    continue;
                }
                _ => self
                    .frontend
                    .budget
                    .try_reserve(0)
                    .map(|new| std::mem::replace(&mut self.reservation, new)),
            };
            self.frame_deadline = None;
            match (progress, reservation) {
                (FrameProgress::Complete(frame), Some(reservation)) => {
                    let frame = reservation.attach(frame.into());
                    self.handle_input(Input::Frame(frame));
                }
                (FrameProgress::Discarded(beginning), _) => {
                    self.handle_input(Input::DiscardedFrame(beginning.into()));
                }
                (FrameProgress::NotFramed(reason), _) => {
                    self.handle_input(Input::NotFramed(reason));
                }
                _ => self.read_closed = true,
            }
        }
    }

    /// Handles a complete frame, which has not to wait any more.
    fn handle_frame(&mut self, frame: Bytes) {
        let config = &self.frontend.config;
        let oneway_permit = self.oneway_permit.take();
        self.connection.request_opened();
        self.busy = true;
        let frontend = self.frontend.clone();
        let now = frontend.node.clock().now();
        match calls::validate(
            config,
            &frontend.settings.snapshot(),
            frame.clone(),
            frontend.new_call_id(),
            now,
        ) {
            Ok(ValidatedCall {
                request,
                call,
                context,
            }) if !frontend.lifecycle.accepts_request(request.wanted_within()) => {
                self.reject_shutting_down(&call, &context);
            }
            Ok(ValidatedCall { request, call, .. }) if !call.expects_response => {
                match self.admit_oneway(oneway_permit) {
                    Some(permit) => self.submit_oneway(permit, request, call, now),
                    None => self.waiting = Some(Input::Frame(frame)),
                }
            }
            Ok(ValidatedCall {
                request,
                call,
                context,
            }) => match frontend.limit.try_admit() {
                Some(permit) => self.submit(permit, request, call, context, now),
                None => self.reject_over_limit(&call, &context),
            },
            Err(invalid) => self.reject_invalid(invalid),
        }
    }

    /// Submits a call whose reply goes to this connection. The end of the connection cancels it.
    fn submit(
        &mut self,
        permit: RequestPermit,
        request: NewRequest,
        mut call: Call,
        context: ReplyContext,
        received_at: Duration,
    ) {
        let frontend = self.frontend.clone();
        call.client_connected_check = Some(self.connection.connected_check());
        self.open_seqids.insert(context.seqid);
        self.calls.spawn_local(async move {
            let node = &frontend.node;
            let response = node.submit(permit, request, call, received_at).await;
            let response = response.unwrap_or(FinalResponse::Failed);
            let (frame, reservation) = frontend.reply(&context, response);
            CallEnd::Reply {
                seqid: context.seqid,
                frame,
                reservation,
            }
        });
    }

    /// The permit of a oneway call: the one that it has waited for, or a free one. Without one its frame waits, and with it all that the client sends on this connection:
    /// there is no reply by which the client could be told to send less.
    fn admit_oneway(&mut self, permit: Option<RequestPermit>) -> Option<RequestPermit> {
        let permit = permit.or_else(|| self.frontend.oneway_limit.try_admit());
        self.awaits_oneway_permit = permit.is_none();
        permit
    }

    /// Submits a oneway call, which counts as a call of this connection. It outlives the connection, since its client may
    /// disconnect at once.
    fn submit_oneway(
        &mut self,
        permit: RequestPermit,
        request: NewRequest,
        call: Call,
        received_at: Duration,
    ) {
        let frontend = self.frontend.clone();
        frontend.oneway_calls.set(frontend.oneway_calls.get() + 1);
        let submission = spawn_local(async move {
            let node = &frontend.node;
            let _ = node.submit(permit, request, call, received_at).await;
        });
        self.calls.spawn_local(async move {
            let _ = submission.await; // fails only if the submission panicked
            CallEnd::Oneway
        });
    }
}
