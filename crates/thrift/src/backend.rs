//! The backends' side: attempts, what their replies tell, and probes.
//!
//! A frame runs only once it is whole. So an attempt whose frame the kernel has not taken to its last byte has
//! never run, and one whose frame it has may have run, whatever becomes of the connection.

use crate::config::{BackendConfig, RejectedReply};
use crate::method_names;
use crate::wire::{
    BinaryReader, BinaryWriter, CompactReader, CompactWriter, Encoding, FieldPath, FrameProgress,
    FrameReader, Head, Kind, Message, Reader, Scalar, Type, Writer, frame, read_exception,
    read_fields, read_head, transcode, write_head,
};
use crate::{BINARY, COMPACT};
use bytes::Bytes;
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{LoadReport, Outcome, ServerId};
use sillward_forwarding::{
    Attempt, AttemptResult, BackendProtocol, BackendUpdate, Call, Exchange, HEALTH_CHECK_TIMEOUT,
    HealthCheckResponse, LoadReportParser, LocalBoxFuture, MemoryBudget, Payload, PayloadFormat,
    READ_BUFFER_BYTES, StopReason, run_attempt,
};
use sillward_logging::log_peer;
use sillward_metrics::Counters;
use sillward_pool::{ConnectionProtocol, Pool, PoolTimeouts};
use sillward_runtime::Stream;
use sillward_runtime::time::timeout;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// So many connections in a row may turn out broken before a call has gone out on them.
const BROKEN_IN_A_ROW: usize = 4;

/// Framed Thrift over a connection to a backend.
pub struct Thrift {
    /// The bytes that the kernel may take before the backend does; `None` for what the system is set to.
    pub send_buffer_bytes: Option<usize>,
}

/// Carries one call at a time.
pub struct Line {
    stream: Stream,
    /// The last sequence number. A reply to an earlier call of this connection can't pass for one to this.
    seqid: Cell<i32>,
}

impl ConnectionProtocol for Thrift {
    type Session = Line;

    async fn handshake(&self, stream: Stream) -> io::Result<Line> {
        if let Some(bytes) = self.send_buffer_bytes {
            stream.set_send_buffer_size(bytes);
        }
        Ok(Line {
            stream,
            seqid: Cell::new(0),
        })
    }

    fn is_closed(_: &Line) -> bool {
        false // the pool asks the kernel before it hands one out
    }
}

/// The backends of one machine type that speak Thrift.
pub struct Backend {
    pool: Rc<Pool<Thrift>>,
    terms: BackendConfig,
    /// Room for messages.
    budget: MemoryBudget,
    reports: LoadReportParser,
    counters: Rc<Counters>,
}

/// Why there is no reply that can be used.
enum Broken {
    /// The connection ended, or broke.
    Ended,
    /// What came makes no sense, or there was no room for it.
    Nonsense(&'static str),
}

impl BackendProtocol for Backend {
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult> {
        Box::pin(async move {
            let written = Cell::new(false);
            run_attempt(
                &attempt,
                || written.get(),
                self.exchange(&attempt, &written),
                stopped,
            )
            .await
        })
    }

    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckResponse> {
        Box::pin(async move {
            timeout(HEALTH_CHECK_TIMEOUT, self.probed(server))
                .await
                .unwrap_or(HealthCheckResponse::from(Outcome::TimedOut))
        })
    }

    fn update_backends(&self, update: &BackendUpdate, now: Duration) {
        self.pool.update_backends(update, now);
    }

    fn apply_settings(&self, settings: &PlatformSettings) {
        self.pool
            .set_timeouts(PoolTimeouts::from_settings(settings));
    }

    fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }
}

impl Backend {
    pub fn new(
        pool: Rc<Pool<Thrift>>,
        terms: BackendConfig,
        budget: MemoryBudget,
        reports: LoadReportParser,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(Backend {
            pool,
            terms,
            budget,
            reports,
            counters,
        })
    }

    async fn exchange(self: &Rc<Self>, attempt: &Attempt, written: &Cell<bool>) -> Exchange {
        let (call, clock) = (&attempt.call, self.pool.clock);
        for _ in 0..BROKEN_IN_A_ROW {
            let connection = match self.pool.acquire(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return Exchange::from(outcome),
            };
            let line = &connection.session;
            line.seqid.set(line.seqid.get().wrapping_add(1));
            let seqid = line.seqid.get();
            // Before the claim: what can't be worded was never begun.
            let Some(frame) = self.worded(call, seqid) else {
                log_peer(format_args!(
                    "server {:x}: a call that can't be worded there",
                    attempt.server.0
                ));
                self.pool.release_unused(connection);
                return Exchange::from(Outcome::NotSent);
            };
            let Some(_room) = self.budget.try_reserve(frame.capacity()) else {
                log_peer("no room for a call's frame: not sent");
                self.pool.release_unused(connection);
                return Exchange::from(Outcome::NotSent);
            };
            let drained = self.pool.usable_address(attempt.server).is_none();
            if drained || !call.claim(clock.now(), attempt.deadline) {
                self.pool.release_unused(connection);
                return Exchange::from(Outcome::NotSent);
            }
            if !write_whole(&line.stream, &frame).await {
                // Its last byte was not taken: it never ran there, and another connection may have it.
                call.release_claim();
                continue;
            }
            written.set(true);
            self.counters.attempt_written();
            if !call.expects_response {
                self.pool.release(connection);
                return Exchange::from(Outcome::Served);
            }
            return match self.reply(&connection.session).await {
                Ok((body, behind)) => {
                    let read = self.read(&body, self.name(call).unwrap_or_default(), seqid, call);
                    // What is no reply to this call leaves the connection in a state that nobody knows.
                    match read {
                        Some(exchange) => {
                            if exchange.outcome.never_ran() {
                                call.release_claim();
                            }
                            if !behind {
                                self.pool.release(connection);
                            }
                            exchange
                        }
                        None => {
                            log_peer(format_args!(
                                "server {:x}: no reply to its call",
                                attempt.server.0
                            ));
                            Exchange::from(Outcome::Error)
                        }
                    }
                }
                Err(Broken::Ended) => Exchange::from(Outcome::Reset),
                Err(Broken::Nonsense(what)) => {
                    log_peer(format_args!(
                        "server {:x}: {what}: dropped",
                        attempt.server.0
                    ));
                    Exchange::from(Outcome::Error)
                }
            };
        }
        Exchange::from(Outcome::ConnectFailed)
    }

    /// The method's name as it goes on.
    fn name<'a>(&'a self, call: &'a Call) -> Option<&'a str> {
        if call.payload.format == PayloadFormat::PLAIN {
            let terms = self
                .terms
                .http_calls
                .iter()
                .find(|terms| terms.class == call.class)?;
            return Some(&terms.method);
        }
        read_head(&call.payload.bytes, &self.terms.limits)
            .ok()
            .map(|message| message.head.name)
    }

    /// The call's frame in these backends' encoding; `None` if it can't be worded there, or would not carry the
    /// key by which they know a repeat.
    fn worded(&self, call: &Call, seqid: i32) -> Option<Vec<u8>> {
        if call.streaming_body.is_some() {
            return None; // a frame begins with its length and holds a whole message
        }
        let (limits, encoding) = (&self.terms.limits, self.terms.encoding);
        if call.payload.format == PayloadFormat::PLAIN {
            let terms = self
                .terms
                .http_calls
                .iter()
                .find(|terms| terms.class == call.class)?;
            let key = match (&call.idempotency_key, terms.key) {
                (Some(key), Some(field)) => Some((field, &key[..])),
                // By the key alone would these backends know a repeat of it.
                (Some(_), None) if call.idempotency_window.is_some() => return None,
                _ => None,
            };
            let mut out = vec![0; 4];
            write_head(
                &mut out,
                encoding,
                Head {
                    kind: Kind::Call,
                    name: &terms.method,
                    seqid,
                },
            );
            let mut arguments = vec![
                (terms.target, &call.target[..]),
                (terms.body, &call.payload.bytes[..]),
            ];
            arguments.extend(key);
            arguments.sort_unstable_by_key(|(field, _)| *field);
            let out = match encoding {
                Encoding::Binary { .. } => {
                    let mut writer = BinaryWriter(out);
                    write_arguments(&mut writer, &arguments);
                    writer.0
                }
                Encoding::Compact => {
                    let mut writer = CompactWriter::after(out);
                    write_arguments(&mut writer, &arguments);
                    writer.out
                }
            };
            return (out.len() <= limits.max_written_bytes() + 4).then(|| frame(out));
        }
        let message = read_head(&call.payload.bytes, limits).ok()?;
        transcode(
            &message,
            encoding,
            Head {
                seqid,
                ..message.head
            },
            limits,
        )
        .ok()
    }

    /// Reads a reply's frame, and whether something came behind it.
    async fn reply(&self, line: &Line) -> Result<(Bytes, bool), Broken> {
        let mut lease = self
            .budget
            .try_reserve(0)
            .ok_or(Broken::Nonsense("no room for a reply"))?;
        let mut reader = FrameReader::new(self.terms.limits.max_frame_bytes);
        let mut chunk = [0; READ_BUFFER_BYTES];
        loop {
            let count = line
                .stream
                .read(&mut chunk)
                .await
                .map_err(|_| Broken::Ended)?;
            if count == 0 {
                return Err(Broken::Ended);
            }
            let (used, step) = reader.take(&chunk[..count], &mut |bytes| lease.try_grow(bytes));
            match step {
                FrameProgress::Incomplete => {}
                FrameProgress::Complete(body) => {
                    return Ok((lease.attach(body.into()), used < count));
                }
                FrameProgress::Discarded(_) => return Err(Broken::Nonsense("no room for a reply")),
                FrameProgress::NotFramed(_) => {
                    return Err(Broken::Nonsense("a reply that is too long, or no frame"));
                }
            }
        }
    }

    /// What a reply says; `None` if it is none to this call.
    fn read(&self, body: &Bytes, name: &str, seqid: i32, call: &Call) -> Option<Exchange> {
        let message = read_head(body, &self.terms.limits).ok()?;
        if message.head.seqid != seqid || !method_names::is_reply_name(message.head.name, name) {
            return None;
        }
        match message.head.kind {
            Kind::Reply => {}
            Kind::Exception => {
                let (number, _) = read_exception(&message, &self.terms.limits).ok()?;
                let never_ran = self
                    .terms
                    .rejected_replies
                    .contains(&RejectedReply::Exception(number));
                let outcome = if never_ran {
                    Outcome::Rejected
                } else {
                    Outcome::Error
                };
                return Some(Exchange::from(outcome));
            }
            Kind::Call | Kind::Oneway => return None,
        }
        let first = FieldPath::field(0);
        let plain = call.payload.format == PayloadFormat::PLAIN;
        let paths = [self.terms.load_report.as_ref(), plain.then_some(&first)];
        let (field, found) = match message.encoding {
            Encoding::Binary { .. } => {
                let mut reader = BinaryReader::new(message.body);
                let found = read_fields(&mut reader, &paths, &self.terms.limits).ok()?;
                (
                    first_field(BinaryReader::new(message.body)),
                    reader.rest().is_empty().then_some(found)?,
                )
            }
            Encoding::Compact => {
                let mut reader = CompactReader::new(message.body);
                let found = read_fields(&mut reader, &paths, &self.terms.limits).ok()?;
                (
                    first_field(CompactReader::new(message.body)),
                    reader.rest().is_empty().then_some(found)?,
                )
            }
        };
        let report = found[0].and_then(|report| self.report(report));
        let turned = field.is_some_and(|field| {
            self.terms
                .rejected_replies
                .contains(&RejectedReply::Field(field))
        });
        if turned {
            return Some(Exchange::failed(Outcome::Rejected, report));
        }
        if plain {
            // A void result has no field; an exception that the service declares has no place in HTTP.
            let answer = match (field, found[1]) {
                (Some(0), Some(value)) => Some(Payload::plain(value.text().into())),
                (None, _) => Some(Payload::plain(Bytes::new())),
                _ => None,
            };
            let outcome = if answer.is_some() {
                Outcome::Served
            } else {
                Outcome::Error
            };
            return Some(Exchange {
                outcome,
                report,
                response: answer,
            });
        }
        let form = if message.encoding == Encoding::Compact {
            COMPACT
        } else {
            BINARY
        };
        Some(Exchange {
            outcome: Outcome::Served,
            report,
            response: Some(Payload {
                format: form,
                bytes: body.clone(),
            }),
        })
    }

    fn report(&self, value: Scalar<'_>) -> Option<LoadReport> {
        let Scalar::Bytes(text) = value else {
            return None;
        };
        let text = std::str::from_utf8(text)
            .ok()
            .filter(|_| self.reports.is_enabled())?;
        let report = self.reports.parse(text);
        if report.is_none() {
            log_peer(format_args!(
                "a malformed load report was dropped: {text:?}"
            ));
        }
        report
    }

    async fn probed(self: &Rc<Self>, server: ServerId) -> HealthCheckResponse {
        let connection = match self.pool.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return HealthCheckResponse::from(outcome),
        };
        let Some(name) = self.terms.health_check_method.as_deref() else {
            self.pool.release(connection); // that it took a connection is its sign of life
            return HealthCheckResponse::from(Outcome::Served);
        };
        if self.pool.usable_address(server).is_none() {
            return HealthCheckResponse::from(Outcome::NotSent);
        }
        let line = &connection.session;
        line.seqid.set(line.seqid.get().wrapping_add(1));
        let seqid = line.seqid.get();
        let mut out = vec![0; 4];
        write_head(
            &mut out,
            self.terms.encoding,
            Head {
                kind: Kind::Call,
                name,
                seqid,
            },
        );
        out.push(0); // no arguments: a stop, in either encoding
        if !write_whole(&line.stream, &frame(out)).await {
            return HealthCheckResponse::from(Outcome::Reset);
        }
        match self.reply(line).await {
            Ok((body, behind)) => {
                let Some(report) = self.probe_report(&body, name, seqid) else {
                    return HealthCheckResponse::from(Outcome::Error);
                };
                if !behind {
                    self.pool.release(connection);
                }
                HealthCheckResponse {
                    outcome: Outcome::Served,
                    report,
                }
            }
            Err(Broken::Ended) => HealthCheckResponse::from(Outcome::Reset),
            Err(Broken::Nonsense(_)) => HealthCheckResponse::from(Outcome::Error),
        }
    }

    /// The report in a probe's reply; `None` if it is no reply to it.
    fn probe_report(&self, body: &[u8], name: &str, seqid: i32) -> Option<Option<LoadReport>> {
        let message = read_head(body, &self.terms.limits).ok()?;
        let Head {
            kind,
            name: answered,
            seqid: to,
        } = message.head;
        if kind != Kind::Reply || to != seqid || !method_names::is_reply_name(answered, name) {
            return None;
        }
        let paths = [self.terms.load_report.as_ref()];
        let found = match message.encoding {
            Encoding::Binary { .. } => read_fields(
                &mut BinaryReader::new(message.body),
                &paths,
                &self.terms.limits,
            ),
            Encoding::Compact => read_fields(
                &mut CompactReader::new(message.body),
                &paths,
                &self.terms.limits,
            ),
        };
        Some(found.ok()?[0].and_then(|report| self.report(report)))
    }
}

/// Whether the kernel has taken every byte. Dropped half way it has taken less, and the frame is never whole.
async fn write_whole(stream: &Stream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(count) if count > 0 => bytes = &bytes[count..],
            _ => return false,
        }
    }
    true
}

fn write_arguments(writer: &mut impl Writer, arguments: &[(i16, &[u8])]) {
    let saved = writer.struct_begin();
    for (field, value) in arguments {
        writer.field(Type::Bytes, *field);
        writer.bytes(value);
    }
    writer.struct_end(saved);
}

fn first_field<'a>(mut reader: impl Reader<'a>) -> Option<i16> {
    reader.struct_begin();
    reader.field().ok().flatten().map(|(_, id)| id)
}

/// Whether a body is a reply to that call, as a backend of another protocol brought it.
pub fn is_reply(body: &[u8], to: &Message<'_>, limits: &crate::wire::MessageLimits) -> bool {
    let Ok(message) = read_head(body, limits) else {
        return false;
    };
    let Head { kind, name, seqid } = message.head;
    kind == Kind::Reply
        && seqid == to.head.seqid
        && method_names::is_reply_name(name, to.head.name)
        && transcode(&message, message.encoding, message.head, limits).is_ok()
}
