//! The callers' side: takes frames, several calls of a connection at once, and writes the final answers that the
//! node gives.

use crate::calls::{self, Caller, InvalidCall, ValidatedCall};
use crate::config::{FrontendConfig, ReplyOrder};
use crate::wire::{
    Encoding, ExceptionKind, FrameProgress, FrameReader, NotFramed, exception, read_head,
};
use bytes::Bytes;
use sillward_forwarding::{
    FinalResponse, LiveSettings, MemoryBudget, MemoryReservation, NodeHandle, READ_BUFFER_BYTES,
};
use sillward_listener::{
    AfterRequest, ClientConnection, ConnectionHandler, ConnectionManager, READ_TIMEOUT,
};
use sillward_logging::log_peer;
use sillward_runtime::Stream;
use sillward_runtime::random::Random;
use sillward_runtime::task::{JoinSet, spawn_local};
use sillward_runtime::time::{Instant, sleep_until};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A caller that takes nothing of its answers for so long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// While so many bytes of answers wait to be taken, no further call of that connection is read.
const UNTAKEN: usize = 64 * 1024;
const HTTP_ANSWER: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 36\r\n\
Connection: close\r\n\r\nThis listener speaks framed Thrift.\n";

/// The front for callers that speak Thrift.
pub struct Frontend {
    intake: NodeHandle,
    live: Rc<LiveSettings>,
    terms: FrontendConfig,
    connections: Rc<ConnectionManager>,
    /// Room for frames.
    budget: MemoryBudget,
    random: RefCell<Random>,
    oneway: Cell<u64>,
}

impl Frontend {
    pub fn new(
        intake: NodeHandle,
        live: Rc<LiveSettings>,
        terms: FrontendConfig,
        connections: Rc<ConnectionManager>,
        budget: MemoryBudget,
        seed: u64,
    ) -> Rc<Self> {
        let random = RefCell::new(Random::seeded(seed.rotate_left(32)));
        Rc::new(Frontend {
            intake,
            live,
            terms,
            connections,
            budget,
            random,
            oneway: Cell::new(0),
        })
    }

    /// How many oneway calls have been taken.
    pub fn oneway_calls(&self) -> u64 {
        self.oneway.get()
    }

    /// A name for a call, which no other node's call is likely to have.
    fn call_id(&self) -> u128 {
        let mut random = self.random.borrow_mut();
        (0..4).fold(0, |id, _| id << 32 | u128::from(random.next_u32()))
    }
}

impl ConnectionHandler for Frontend {
    async fn serve(self: Rc<Self>, stream: Stream, connection: Rc<ClientConnection>) {
        let Some(room) = self.budget.try_reserve(0) else {
            return;
        };
        let reader = FrameReader::new(self.terms.limits.max_frame_bytes);
        let mut session = Session {
            front: self,
            stream,
            connection,
            reader,
            room,
            unread: VecDeque::new(),
            until: None,
            waiting: None,
            calls: JoinSet::new(),
            open: BTreeSet::new(),
            out: VecDeque::new(),
            taken: 0,
            progress: Instant::now(),
            busy: false,
            ended: false,
            leaving: false,
        };
        session.run().await;
    }
}

/// A caller's connection.
struct Session {
    front: Rc<Frontend>,
    stream: Stream,
    connection: Rc<ClientConnection>,
    reader: FrameReader,
    /// The room of the frame that is being read.
    room: MemoryReservation,
    /// What came behind a frame whose turn has not come; at most a chunk.
    unread: VecDeque<u8>,
    /// When the frame that is being read must be whole.
    until: Option<Instant>,
    /// A frame whose turn has not come.
    waiting: Option<Bytes>,
    calls: JoinSet<(i32, Vec<u8>, Option<MemoryReservation>)>,
    /// The sequence numbers of the calls that are open.
    open: BTreeSet<i32>,
    /// Answers' frames that wait to be taken, and how much of the first has been.
    out: VecDeque<(Vec<u8>, Option<MemoryReservation>)>,
    taken: usize,
    /// When the caller last took something, or had nothing to take.
    progress: Instant,
    /// A call has been taken since the connection was last idle.
    busy: bool,
    /// Nothing more is read: what came can't be.
    ended: bool,
    /// Told to close.
    leaving: bool,
}

impl Session {
    async fn run(&mut self) {
        let mut chunk = [0; READ_BUFFER_BYTES];
        loop {
            self.advance();
            if self.is_idle() {
                if self.busy && !self.ended {
                    self.busy = false;
                    // A frame that has begun has its own time, `until`.
                    self.front
                        .connections
                        .request_finished(&self.connection, AfterRequest::KeepAlive);
                }
                let nothing_more =
                    self.leaving && !self.reader.is_within() && self.connection.read_would_block();
                if self.ended || nothing_more {
                    break;
                }
            }
            let Session {
                calls,
                stream,
                connection,
                out,
                ..
            } = self;
            let may_read = self.waiting.is_none() && !self.ended && self.unread.is_empty();
            let taken_by = self.progress + WRITE_TIMEOUT;
            let answer = out
                .front()
                .map_or(&[][..], |(frame, _)| &frame[self.taken..]);
            tokio::select! {
                biased;
                Some(done) = calls.join_next(), if !calls.is_empty() => {
                    // A task that panicked would be this node's fault: its caller sees the connection end.
                    let Ok((seqid, frame, lease)) = done else { return };
                    self.open.remove(&seqid);
                    self.push(frame, lease);
                }
                count = stream.write(answer), if !answer.is_empty() => match count {
                    Ok(count) if count > 0 => self.took(count),
                    _ => return,
                },
                count = stream.read(&mut chunk), if may_read => match count {
                    // The caller has left: its calls go with it.
                    Ok(0) | Err(_) => return,
                    Ok(count) => self.unread.extend(&chunk[..count]),
                },
                () = connection.close_requested(), if !self.leaving => self.leaving = true,
                () = sleep_until(self.until.unwrap_or(taken_by)), if self.until.is_some() => {
                    self.turn_down(NotWhole::Slow);
                }
                () = sleep_until(taken_by), if !out.is_empty() => return,
            }
        }
        self.front
            .connections
            .request_finished(&self.connection, AfterRequest::Close);
        self.connection.lingering_close(&self.stream).await;
    }

    /// Whether no call is open and every answer has been taken.
    fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.out.is_empty() && self.waiting.is_none()
    }

    /// Small frames, which the node makes itself, have no lease.
    fn push(&mut self, frame: Vec<u8>, lease: Option<MemoryReservation>) {
        if self.out.is_empty() {
            self.progress = Instant::now();
        }
        self.out.push_back((frame, lease));
    }

    fn took(&mut self, count: usize) {
        self.progress = Instant::now();
        self.taken += count;
        if self
            .out
            .front()
            .is_some_and(|(frame, _)| self.taken >= frame.len())
        {
            self.out.pop_front();
            self.taken = 0;
        }
    }

    /// Takes frames out of what has come, for as long as their turn comes.
    fn advance(&mut self) {
        if let Some(frame) = self.waiting.take() {
            self.arrived(frame);
        }
        let untaken: usize = self.out.iter().map(|(frame, _)| frame.len()).sum();
        if untaken > UNTAKEN {
            return;
        }
        while self.waiting.is_none() && !self.ended && !self.unread.is_empty() {
            let room = &mut self.room;
            let bytes = self.unread.make_contiguous();
            let (used, step) = self.reader.take(bytes, &mut |bytes| room.try_grow(bytes));
            self.unread.drain(..used);
            let lease = match step {
                FrameProgress::Incomplete => {
                    self.until = self.until.or_else(|| Some(Instant::now() + READ_TIMEOUT));
                    continue;
                }
                _ => self
                    .front
                    .budget
                    .try_reserve(0)
                    .map(|new| std::mem::replace(&mut self.room, new)),
            };
            self.until = None;
            match (step, lease) {
                (FrameProgress::Complete(frame), Some(lease)) => {
                    let frame = lease.attach(frame.into());
                    self.arrived(frame);
                }
                (FrameProgress::Discarded(begin), _) => self.turn_down(NotWhole::NoRoom(&begin)),
                (FrameProgress::NotFramed(what), _) => self.turn_down(NotWhole::NotFramed(what)),
                _ => self.ended = true,
            }
        }
    }

    /// A whole frame: taken if its turn has come.
    fn arrived(&mut self, frame: Bytes) {
        let terms = &self.front.terms;
        let seqid = read_head(&frame, &terms.limits).map(|message| message.head.seqid);
        let later = match terms.reply_order {
            ReplyOrder::Arrival => !self.calls.is_empty() || !self.out.is_empty(),
            ReplyOrder::Completion => seqid.is_ok_and(|seqid| self.open.contains(&seqid)),
        };
        if later || self.calls.len() >= terms.max_calls_in_flight {
            self.waiting = Some(frame);
            return;
        }
        self.connection.request_opened();
        self.busy = true;
        let front = self.front.clone();
        let at = front.intake.clock().now();
        match calls::check(terms, &front.live.get(), frame, front.call_id(), at) {
            Ok(ValidatedCall { new, call, .. }) if !call.expects_response => {
                front.oneway.set(front.oneway.get() + 1);
                // Whoever called may leave at once: the call stays.
                spawn_local(async move {
                    let _ = front.intake.submit(new, call, at).await;
                });
            }
            Ok(ValidatedCall {
                new,
                mut call,
                caller,
            }) => {
                call.client_connected_check = Some(self.connection.connected_check());
                self.open.insert(caller.seqid);
                self.calls.spawn_local(async move {
                    let answer = front.intake.submit(new, call, at).await;
                    let answer = answer.unwrap_or(FinalResponse::Failed);
                    let frame = calls::worded(&front.terms, &caller, answer);
                    match front.budget.try_reserve(frame.capacity()) {
                        Some(lease) => (caller.seqid, frame, Some(lease)),
                        None => {
                            log_peer("no room for an answer's frame: dropped");
                            (
                                caller.seqid,
                                calls::worded(&front.terms, &caller, FinalResponse::Failed),
                                None,
                            )
                        }
                    }
                });
            }
            Err(turned) => self.turned(turned),
        }
    }

    fn turned(&mut self, turned: InvalidCall) {
        if let Some(frame) = turned.frame {
            self.push(frame, None);
        }
        self.ended |= turned.last;
    }

    /// Answers what will not be read.
    fn turn_down(&mut self, what: NotWhole<'_>) {
        let strict = Encoding::Binary { strict: true };
        let refuse = |encoding, text: &str| {
            exception(encoding, "", 0, ExceptionKind::ProtocolError, text, None)
        };
        self.until = None;
        let (frame, last) = match what {
            NotWhole::NoRoom(begin) => match calls::head(&self.front.terms, begin) {
                Ok(message) => {
                    log_peer("no room for a call's frame: refused");
                    let caller = Caller::of(&message);
                    let after = self.front.live.get().settings.limits.max_retry_after;
                    let refused = FinalResponse::Rejected {
                        retry_after: after,
                        never_ran: true,
                    };
                    (calls::worded(&self.front.terms, &caller, refused), false)
                }
                Err(turned) => return self.turned(turned),
            },
            NotWhole::Slow => (
                refuse(strict, "too slow: the frame is not whole after 2 s"),
                true,
            ),
            NotWhole::NotFramed(NotFramed::Http) => (HTTP_ANSWER.to_vec(), true),
            NotWhole::NotFramed(NotFramed::Unframed) => {
                let text = "this listener takes framed messages only";
                // In kind: without the frame's length.
                (refuse(strict, text).split_off(4), true)
            }
            NotWhole::NotFramed(NotFramed::Tls) => (Vec::new(), true),
            NotWhole::NotFramed(NotFramed::Length(length)) => {
                let most = self.front.terms.limits.max_frame_bytes;
                (
                    refuse(
                        strict,
                        &format!("a frame of {length} bytes: {most} at most"),
                    ),
                    true,
                )
            }
        };
        if !frame.is_empty() {
            self.push(frame, None);
        }
        self.ended |= last;
    }
}

/// What comes to no frame that can be taken.
enum NotWhole<'a> {
    Slow,
    /// There was no room for it; this is its beginning.
    NoRoom(&'a [u8]),
    NotFramed(NotFramed),
}
