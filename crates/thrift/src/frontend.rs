//! The frontend: reads framed calls from clients, with several in flight on a connection, and writes the replies.

use crate::calls::{self, InvalidCall, ReplyContext, ValidatedCall};
use crate::config::{FrontendConfig, ReplyOrder};
use crate::wire::{
    Encoding, ExceptionKind, FrameProgress, FrameReader, NotFramed, exception, read_head,
};
use bytes::Bytes;
use sillward_balancer::NewRequest;
use sillward_forwarding::{
    Call, FinalResponse, LiveSettings, MemoryBudget, MemoryReservation, NodeHandle,
    READ_BUFFER_BYTES, RequestLimit, RequestPermit,
};
use sillward_listener::{
    AfterRequest, ClientConnection, ConnectionHandler, ConnectionManager, READ_TIMEOUT,
    SharedLifecycle,
};
use sillward_logging::log_peer;
use sillward_metrics::{Counters, RequestOutcome};
use sillward_runtime::Stream;
use sillward_runtime::random::Random;
use sillward_runtime::task::{JoinSet, spawn_local};
use sillward_runtime::time::{Instant, sleep_until};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A connection is closed after this long without progress in writing replies to it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// While more than this many bytes of replies wait to be written, no further call of the connection is processed.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// The response to a client that sends HTTP to the Thrift listener.
const HTTP_RESPONSE: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 36\r\n\
Connection: close\r\n\r\nThis listener speaks framed Thrift.\n";

/// Serves clients that speak Thrift.
pub struct Frontend {
    node: NodeHandle,
    settings: Rc<LiveSettings>,
    config: FrontendConfig,
    connections: Rc<ConnectionManager>,
    lifecycle: Rc<SharedLifecycle>,
    counters: Rc<Counters>,
    /// The memory for frames.
    budget: MemoryBudget,
    /// The calls with a reply that may be open, over all connections.
    limit: RequestLimit,
    /// The oneway calls that may be open, over all connections, also of clients that have disconnected.
    oneway_limit: RequestLimit,
    random: RefCell<Random>,
    oneway_calls: Cell<u64>,
}

/// What a frontend uses of the node.
pub struct NodeServices {
    /// Takes requests.
    pub node: NodeHandle,
    /// The settings by which calls are read.
    pub settings: Rc<LiveSettings>,
    /// The connections that the frontend serves.
    pub connections: Rc<ConnectionManager>,
    /// The memory for frames.
    pub budget: MemoryBudget,
    /// Whether calls are still accepted.
    pub lifecycle: Rc<SharedLifecycle>,
    /// The node's counters.
    pub counters: Rc<Counters>,
}

impl Frontend {
    /// A frontend for the connections of the node's listener for Thrift. `seed` initialises the generator of call IDs.
    pub fn new(services: NodeServices, config: FrontendConfig, seed: u64) -> Rc<Self> {
        let NodeServices {
            node,
            settings,
            connections,
            budget,
            lifecycle,
            counters,
        } = services;
        Rc::new(Frontend {
            node,
            settings,
            limit: RequestLimit::new(config.max_open_calls),
            oneway_limit: RequestLimit::new(config.max_oneway_calls),
            config,
            connections,
            lifecycle,
            counters,
            budget,
            random: RefCell::new(Random::seeded(seed.rotate_left(32))),
            oneway_calls: Cell::new(0),
        })
    }

    /// The number of oneway calls accepted so far.
    pub fn oneway_calls(&self) -> u64 {
        self.oneway_calls.get()
    }

    /// The frame of a reply, and the memory for it.
    fn reply(
        &self,
        context: &ReplyContext,
        response: FinalResponse,
    ) -> (Vec<u8>, Option<MemoryReservation>) {
        let frame = calls::encode_response(&self.config, context, response);
        if let Some(reservation) = self.budget.try_reserve(frame.capacity()) {
            return (frame, Some(reservation));
        }
        log_peer("dropped a reply: no memory for its frame");
        let failed = calls::encode_response(&self.config, context, FinalResponse::Failed);
        (failed, None)
    }

    /// A random id for a call, unlikely to collide with that of another node's call.
    fn new_call_id(&self) -> u128 {
        let mut random = self.random.borrow_mut();
        (0..4).fold(0, |id, _| id << 32 | u128::from(random.next_u32()))
    }
}

impl ConnectionHandler for Frontend {
    async fn serve(self: Rc<Self>, stream: Stream, connection: Rc<ClientConnection>) {
        let Some(reservation) = self.budget.try_reserve(0) else {
            return;
        };
        let reader = FrameReader::new(self.config.limits.max_frame_bytes);
        let mut session = Session {
            frontend: self,
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
            unwritten: VecDeque::new(),
            written_of_first: 0,
            last_progress: Instant::now(),
            busy: false,
            read_closed: false,
            closing: false,
        };
        session.run().await;
    }
}

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
struct Session {
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
    /// A frame that has to wait for other calls of the connection, or for the limit of oneway calls.
    waiting: Option<Bytes>,
    /// Set while the waiting frame is a oneway call for which the limit has no permit.
    awaits_oneway_permit: bool,
    /// The permit of the waiting oneway call.
    oneway_permit: Option<RequestPermit>,
    /// The calls in flight, oneway calls among them.
    calls: JoinSet<CallEnd>,
    /// The sequence numbers of the calls in flight that have a reply.
    open_seqids: BTreeSet<i32>,
    /// Frames of replies that have not been written completely.
    unwritten: VecDeque<(Vec<u8>, Option<MemoryReservation>)>,
    /// How many bytes of the first of them have been written.
    written_of_first: usize,
    /// When bytes were last written, or when the first of the unwritten frames was queued.
    last_progress: Instant,
    /// Whether a call has been accepted since the connection was last idle.
    busy: bool,
    /// Whether reading has ended because the input is invalid or there is no memory for a frame.
    read_closed: bool,
    /// Whether the node has asked for the connection to be closed.
    closing: bool,
}

impl Session {
    async fn run(&mut self) {
        let mut chunk = [0; READ_BUFFER_BYTES];
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
                if self.read_closed || closed_when_idle {
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
            let may_read = self.waiting.is_none() && !self.read_closed && self.unparsed.is_empty();
            let write_deadline = self.last_progress + WRITE_TIMEOUT;
            let first_frame = unwritten
                .front()
                .map_or(&[][..], |(frame, _)| &frame[self.written_of_first..]);
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
                count = stream.write(first_frame), if !first_frame.is_empty() => match count {
                    Ok(count) if count > 0 => self.advance_written(count),
                    _ => return,
                },
                count = stream.read(&mut chunk), if may_read => match count {
                    // The client has closed the connection, which cancels its calls.
                    Ok(0) | Err(_) => return,
                    Ok(count) => self.unparsed.extend(&chunk[..count]),
                },
                permit = frontend.oneway_limit.admit(), if self.awaits_oneway_permit => {
                    self.awaits_oneway_permit = false;
                    self.oneway_permit = Some(permit);
                }
                () = connection.close_requested(), if !self.closing => self.closing = true,
                () = sleep_until(self.frame_deadline.unwrap_or(write_deadline)), if self.frame_deadline.is_some() => {
                    self.reject_input(FrameError::Slow);
                }
                () = sleep_until(write_deadline), if !unwritten.is_empty() => return,
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
        if self.unwritten.is_empty() {
            self.last_progress = Instant::now();
        }
        self.unwritten.push_back((frame, reservation));
    }

    fn advance_written(&mut self, count: usize) {
        self.last_progress = Instant::now();
        self.written_of_first += count;
        if self
            .unwritten
            .front()
            .is_some_and(|(frame, _)| self.written_of_first >= frame.len())
        {
            self.unwritten.pop_front();
            self.written_of_first = 0;
        }
    }

    /// Parses frames from the bytes that were read, until one of them has to wait.
    fn parse_frames(&mut self) {
        if !self.awaits_oneway_permit {
            if let Some(frame) = self.waiting.take() {
                self.handle_frame(frame);
            }
        }
        let unwritten: usize = self.unwritten.iter().map(|(frame, _)| frame.len()).sum();
        if unwritten > MAX_UNWRITTEN_BYTES {
            return;
        }
        while self.waiting.is_none() && !self.read_closed && !self.unparsed.is_empty() {
            let reservation = &mut self.reservation;
            let bytes = self.unparsed.make_contiguous();
            let (used, progress) = self
                .reader
                .take(bytes, &mut |bytes| reservation.try_grow(bytes));
            self.unparsed.drain(..used);
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
                    self.handle_frame(frame);
                }
                (FrameProgress::Discarded(begin), _) => {
                    self.reject_input(FrameError::NoMemory(&begin))
                }
                (FrameProgress::NotFramed(reason), _) => {
                    self.reject_input(FrameError::NotFramed(reason))
                }
                _ => self.read_closed = true,
            }
        }
    }

    /// Handles a complete frame, or lets it wait for other calls of the connection.
    fn handle_frame(&mut self, frame: Bytes) {
        let config = &self.frontend.config;
        let seqid = read_head(&frame, &config.limits).map(|message| message.head.seqid);
        let must_wait = match config.reply_order {
            ReplyOrder::Arrival => !self.open_seqids.is_empty() || !self.unwritten.is_empty(),
            ReplyOrder::Completion => seqid.is_ok_and(|seqid| self.open_seqids.contains(&seqid)),
        };
        if must_wait || self.calls.len() >= config.max_calls_in_flight {
            self.waiting = Some(frame);
            return;
        }
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
                    None => self.waiting = Some(frame),
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

    /// Rejects a call that is not admitted.
    fn reject_over_limit(&mut self, call: &Call, context: &ReplyContext) {
        log_peer("rejected a call: too many are open");
        let counters = &self.frontend.counters;
        counters.over_request_limit();
        counters.request_ended(call.class, RequestOutcome::Rejected);
        let frame = self.rejection(context);
        self.queue_reply(frame, None);
    }

    /// Rejects a call that is too late for a response before the process exits.
    fn reject_shutting_down(&mut self, call: &Call, context: &ReplyContext) {
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

    fn reject_invalid(&mut self, invalid: InvalidCall) {
        if let Some(frame) = invalid.reply_frame {
            self.queue_reply(frame, None);
        }
        self.read_closed |= invalid.ends_connection;
    }

    /// Replies to input that yields no complete frame.
    fn reject_input(&mut self, error: FrameError<'_>) {
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

/// Why the input yields no complete frame.
enum FrameError<'a> {
    /// The frame was not complete in time.
    Slow,
    /// There was no memory for the frame, of which this is the beginning.
    NoMemory(&'a [u8]),
    /// The input is not framed Thrift, or the frame is too long.
    NotFramed(NotFramed),
}
