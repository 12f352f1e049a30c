//! The backend client: attempts, the outcomes of replies, and health checks.
//!
//! A backend runs a call only once its frame is complete. So a call has not run unless the kernel took the last byte
//! of its frame, and may have run from then on, whatever happens to the connection.

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

/// How many connections an attempt uses at most, one after the other, while each breaks before the frame is written.
const MAX_CONNECTIONS_PER_ATTEMPT: usize = 4;

/// The framed transport on connections to backends.
pub struct Thrift {
    /// The size of the socket's send buffer, which bounds how many bytes the kernel takes before the backend reads
    /// them; `None` for the system's default.
    pub send_buffer_bytes: Option<usize>,
}

/// A connection to a backend, which carries one call at a time.
pub struct BackendSession {
    stream: Stream,
    /// The sequence number of the last call. It differs for each call, so that a late reply to an earlier call of the
    /// connection is not taken for the reply to the current one.
    seqid: Cell<i32>,
}

impl ConnectionProtocol for Thrift {
    type Session = BackendSession;

    async fn handshake(&self, stream: Stream) -> io::Result<BackendSession> {
        if let Some(bytes) = self.send_buffer_bytes {
            stream.set_send_buffer_size(bytes);
        }
        Ok(BackendSession {
            stream,
            seqid: Cell::new(0),
        })
    }

    fn is_closed(_: &BackendSession) -> bool {
        false // the pool checks the socket itself before it hands out a connection
    }
}

/// The client for the Thrift backends of one machine type.
pub struct BackendClient {
    pool: Rc<Pool<Thrift>>,
    config: BackendConfig,
    /// The memory for messages.
    budget: MemoryBudget,
    reports: LoadReportParser,
    counters: Rc<Counters>,
}

/// Why there is no usable reply.
enum ReplyError {
    /// The connection was closed or reset.
    Closed,
    /// The input is not a valid frame, or there was no memory for it.
    Invalid(&'static str),
}

impl BackendProtocol for BackendClient {
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
            timeout(HEALTH_CHECK_TIMEOUT, self.check_health(server))
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

impl BackendClient {
    pub fn new(
        pool: Rc<Pool<Thrift>>,
        config: BackendConfig,
        budget: MemoryBudget,
        reports: LoadReportParser,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(BackendClient {
            pool,
            config,
            budget,
            reports,
            counters,
        })
    }

    async fn exchange(self: &Rc<Self>, attempt: &Attempt, written: &Cell<bool>) -> Exchange {
        let (call, clock) = (&attempt.call, self.pool.clock);
        for _ in 0..MAX_CONNECTIONS_PER_ATTEMPT {
            let connection = match self.pool.acquire(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return Exchange::from(outcome),
            };
            let session = &connection.session;
            session.seqid.set(session.seqid.get().wrapping_add(1));
            let seqid = session.seqid.get();
            // Before the claim: a call that can't be encoded for this backend is not sent.
            let Some(frame) = self.encode_call(call, seqid) else {
                log_peer(format_args!(
                    "server {:x}: a call can't be encoded for this backend: not sent",
                    attempt.server.0
                ));
                self.pool.release_unused(connection);
                return Exchange::from(Outcome::NotSent);
            };
            let Some(_reservation) = self.budget.try_reserve(frame.capacity()) else {
                log_peer("no memory for a call's frame: not sent");
                self.pool.release_unused(connection);
                return Exchange::from(Outcome::NotSent);
            };
            let not_usable = self.pool.usable_address(attempt.server).is_none();
            if not_usable || !call.claim(clock.now(), attempt.deadline) {
                self.pool.release_unused(connection);
                return Exchange::from(Outcome::NotSent);
            }
            if !write_all(&session.stream, &frame).await {
                // The kernel did not take the last byte, so the call has not run and may go to another connection.
                call.release_claim();
                continue;
            }
            written.set(true);
            self.counters.attempt_written();
            if !call.expects_response {
                self.pool.release(connection);
                return Exchange::from(Outcome::Served);
            }
            return match self.read_reply(&connection.session).await {
                Ok((body, has_trailing_bytes)) => {
                    let exchange = self.parse_reply(
                        &body,
                        self.method_name(call).unwrap_or_default(),
                        seqid,
                        call,
                    );
                    // After anything but a reply to this call the state of the connection is unknown, so it is not
                    // reused.
                    match exchange {
                        Some(exchange) => {
                            if exchange.outcome.never_ran() {
                                call.release_claim();
                            }
                            if !has_trailing_bytes {
                                self.pool.release(connection);
                            }
                            exchange
                        }
                        None => {
                            log_peer(format_args!(
                                "server {:x}: received a message that is no reply to the call",
                                attempt.server.0
                            ));
                            Exchange::from(Outcome::Error)
                        }
                    }
                }
                Err(ReplyError::Closed) => Exchange::from(Outcome::Reset),
                Err(ReplyError::Invalid(reason)) => {
                    log_peer(format_args!(
                        "server {:x}: dropped a reply: {reason}",
                        attempt.server.0
                    ));
                    Exchange::from(Outcome::Error)
                }
            };
        }
        Exchange::from(Outcome::ConnectFailed)
    }

    /// The name of the method in the call to the backend.
    fn method_name<'a>(&'a self, call: &'a Call) -> Option<&'a str> {
        if call.payload.format == PayloadFormat::PLAIN {
            let mapping = self
                .config
                .http_calls
                .iter()
                .find(|mapping| mapping.class == call.class)?;
            return Some(&mapping.method);
        }
        read_head(&call.payload.bytes, &self.config.limits)
            .ok()
            .map(|message| message.head.name)
    }

    /// The call's frame in the backends' encoding; `None` if the call can't be encoded for them, or if the frame would
    /// lack the key by which they recognize a repeated call.
    fn encode_call(&self, call: &Call, seqid: i32) -> Option<Vec<u8>> {
        if call.streaming_body.is_some() {
            return None; // a frame begins with its length, which a streamed body doesn't tell in advance
        }
        let (limits, encoding) = (&self.config.limits, self.config.encoding);
        if call.payload.format == PayloadFormat::PLAIN {
            let mapping = self
                .config
                .http_calls
                .iter()
                .find(|mapping| mapping.class == call.class)?;
            let key = match (&call.idempotency_key, mapping.key) {
                (Some(key), Some(field)) => Some((field, &key[..])),
                // These backends could not recognize a repeat of a keyed call without its key.
                (Some(_), None) if call.idempotency_window.is_some() => return None,
                _ => None,
            };
            let mut out = vec![0; 4];
            write_head(
                &mut out,
                encoding,
                Head {
                    kind: Kind::Call,
                    name: &mapping.method,
                    seqid,
                },
            );
            let mut arguments = vec![
                (mapping.target, &call.target[..]),
                (mapping.body, &call.payload.bytes[..]),
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

    /// Reads a reply's frame, and reports whether further bytes followed it.
    async fn read_reply(&self, session: &BackendSession) -> Result<(Bytes, bool), ReplyError> {
        let mut reservation = self
            .budget
            .try_reserve(0)
            .ok_or(ReplyError::Invalid("no memory for it"))?;
        let mut reader = FrameReader::new(self.config.limits.max_frame_bytes);
        let mut chunk = vec![0; READ_BUFFER_BYTES];
        loop {
            let count = session
                .stream
                .read(&mut chunk)
                .await
                .map_err(|_| ReplyError::Closed)?;
            if count == 0 {
                return Err(ReplyError::Closed);
            }
            let (used, progress) =
                reader.take(&chunk[..count], &mut |bytes| reservation.try_grow(bytes));
            match progress {
                FrameProgress::Incomplete => {}
                FrameProgress::Complete(body) => {
                    return Ok((reservation.attach(body.into()), used < count));
                }
                FrameProgress::Discarded(_) => return Err(ReplyError::Invalid("no memory for it")),
                FrameProgress::NotFramed(_) => {
                    return Err(ReplyError::Invalid("it is too long, or not framed"));
                }
            }
        }
    }

    /// The result of a reply; `None` if the message is no reply to this call.
    fn parse_reply(&self, body: &Bytes, name: &str, seqid: i32, call: &Call) -> Option<Exchange> {
        let message = read_head(body, &self.config.limits).ok()?;
        if message.head.seqid != seqid || !method_names::is_reply_name(message.head.name, name) {
            return None;
        }
        match message.head.kind {
            Kind::Reply => {}
            Kind::Exception => {
                let (number, _) = read_exception(&message, &self.config.limits).ok()?;
                let never_ran = self
                    .config
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
        let result_path = FieldPath::field(0);
        let plain = call.payload.format == PayloadFormat::PLAIN;
        let paths = [
            self.config.load_report.as_ref(),
            plain.then_some(&result_path),
        ];
        let (field, found) = match message.encoding {
            Encoding::Binary { .. } => {
                let mut reader = BinaryReader::new(message.body);
                let found = read_fields(&mut reader, &paths, &self.config.limits).ok()?;
                (
                    first_field(BinaryReader::new(message.body)),
                    reader.remaining().is_empty().then_some(found)?,
                )
            }
            Encoding::Compact => {
                let mut reader = CompactReader::new(message.body);
                let found = read_fields(&mut reader, &paths, &self.config.limits).ok()?;
                (
                    first_field(CompactReader::new(message.body)),
                    reader.remaining().is_empty().then_some(found)?,
                )
            }
        };
        let report = found[0].and_then(|report| self.parse_report(report));
        let rejected = field.is_some_and(|field| {
            self.config
                .rejected_replies
                .contains(&RejectedReply::Field(field))
        });
        if rejected {
            return Some(Exchange::failed(Outcome::Rejected, report));
        }
        if plain {
            // The reply of a void method has no field. Exceptions that the service declares have no counterpart in
            // HTTP.
            let response = match (field, found[1]) {
                (Some(0), Some(value)) => Some(Payload::plain(value.text().into())),
                (None, _) => Some(Payload::plain(Bytes::new())),
                _ => None,
            };
            let outcome = if response.is_some() {
                Outcome::Served
            } else {
                Outcome::Error
            };
            return Some(Exchange {
                outcome,
                report,
                response,
            });
        }
        let format = if message.encoding == Encoding::Compact {
            COMPACT
        } else {
            BINARY
        };
        Some(Exchange {
            outcome: Outcome::Served,
            report,
            response: Some(Payload {
                format,
                bytes: body.clone(),
            }),
        })
    }

    fn parse_report(&self, value: Scalar<'_>) -> Option<LoadReport> {
        let Scalar::Bytes(text) = value else {
            return None;
        };
        let text = std::str::from_utf8(text)
            .ok()
            .filter(|_| self.reports.is_enabled())?;
        let report = self.reports.parse(text);
        if report.is_none() {
            log_peer(format_args!("dropped a malformed load report: {text:?}"));
        }
        report
    }

    async fn check_health(self: &Rc<Self>, server: ServerId) -> HealthCheckResponse {
        let connection = match self.pool.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return HealthCheckResponse::from(outcome),
        };
        let Some(name) = self.config.health_check_method.as_deref() else {
            self.pool.release(connection); // without a method to call, an accepted connection counts as healthy
            return HealthCheckResponse::from(Outcome::Served);
        };
        if self.pool.usable_address(server).is_none() {
            return HealthCheckResponse::from(Outcome::NotSent);
        }
        let session = &connection.session;
        session.seqid.set(session.seqid.get().wrapping_add(1));
        let seqid = session.seqid.get();
        let mut out = vec![0; 4];
        write_head(
            &mut out,
            self.config.encoding,
            Head {
                kind: Kind::Call,
                name,
                seqid,
            },
        );
        out.push(0); // no arguments: the stop byte is the same in both encodings
        if !write_all(&session.stream, &frame(out)).await {
            return HealthCheckResponse::from(Outcome::Reset);
        }
        match self.read_reply(session).await {
            Ok((body, has_trailing_bytes)) => {
                let Some(report) = self.parse_health_check_reply(&body, name, seqid) else {
                    return HealthCheckResponse::from(Outcome::Error);
                };
                if !has_trailing_bytes {
                    self.pool.release(connection);
                }
                HealthCheckResponse {
                    outcome: Outcome::Served,
                    report,
                }
            }
            Err(ReplyError::Closed) => HealthCheckResponse::from(Outcome::Reset),
            Err(ReplyError::Invalid(_)) => HealthCheckResponse::from(Outcome::Error),
        }
    }

    /// The load report in a reply to a health check; `None` if the message is no reply to it.
    fn parse_health_check_reply(
        &self,
        body: &[u8],
        name: &str,
        seqid: i32,
    ) -> Option<Option<LoadReport>> {
        let message = read_head(body, &self.config.limits).ok()?;
        let Head {
            kind,
            name: reply_name,
            seqid: reply_seqid,
        } = message.head;
        if kind != Kind::Reply
            || reply_seqid != seqid
            || !method_names::is_reply_name(reply_name, name)
        {
            return None;
        }
        let paths = [self.config.load_report.as_ref()];
        let found = match message.encoding {
            Encoding::Binary { .. } => read_fields(
                &mut BinaryReader::new(message.body),
                &paths,
                &self.config.limits,
            ),
            Encoding::Compact => read_fields(
                &mut CompactReader::new(message.body),
                &paths,
                &self.config.limits,
            ),
        };
        Some(found.ok()?[0].and_then(|report| self.parse_report(report)))
    }
}

/// Writes all bytes, and returns whether the kernel took every one. If the future is dropped earlier, it took fewer,
/// and the frame stays incomplete.
async fn write_all(stream: &Stream, mut bytes: &[u8]) -> bool {
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

/// Whether a response body from a backend of another protocol is a reply to this call.
pub fn is_reply(body: &[u8], call: &Message<'_>, limits: &crate::wire::MessageLimits) -> bool {
    let Ok(message) = read_head(body, limits) else {
        return false;
    };
    let Head { kind, name, seqid } = message.head;
    kind == Kind::Reply
        && seqid == call.head.seqid
        && method_names::is_reply_name(name, call.head.name)
        && transcode(&message, message.encoding, message.head, limits).is_ok()
}
