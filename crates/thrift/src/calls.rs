//! Validates calls of clients and encodes the replies to them. Does no I/O.

use crate::backend::is_reply;
use crate::config::{FrontendConfig, Method};
use crate::method_names;
use crate::wire::{
    BinaryReader, CompactReader, DecodeError, Encoding, ExceptionKind, Head, Kind, Message, Reader,
    Scalar, exception, read_fields, read_head, transcode,
};
use crate::{BINARY, COMPACT};
use bytes::Bytes;
use sillward_balancer::{Idempotency, NewRequest};
use sillward_forwarding::{
    Call, FinalResponse, Payload, ResponseValidator, SettingsSnapshot, key_hash,
};
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// The sequence number of a reply to a message whose own number can't be read.
pub const UNKNOWN_SEQID: i32 = 0;

const MAX_TIME_BUDGET_MS: i64 = 600_000;
/// The longest station key and idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// What a reply takes over from its call, so that the client can match it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplyContext {
    encoding: Encoding,
    name: String,
    pub seqid: i32,
}

impl ReplyContext {
    pub fn of(message: &Message<'_>) -> Self {
        let Head { name, seqid, .. } = message.head;
        ReplyContext {
            encoding: message.encoding,
            name: method_names::reply_name(name).to_owned(),
            seqid,
        }
    }
}

/// A call that passed validation.
pub struct ValidatedCall {
    pub request: NewRequest,
    pub call: Call,
    pub context: ReplyContext,
}

/// The consequences of a message that is no valid call.
#[derive(Debug)]
pub struct InvalidCall {
    /// The frame of the reply; `None` for a oneway call, which has no reply.
    pub reply_frame: Option<Vec<u8>>,
    /// Whether the connection must be closed, as what follows can't be interpreted.
    pub ends_connection: bool,
}

/// Reads the head of a call, of which `bytes` may hold only the beginning.
pub fn read_call_head<'a>(
    config: &FrontendConfig,
    bytes: &'a [u8],
) -> Result<Message<'a>, InvalidCall> {
    let message = read_head(bytes, &config.limits).map_err(|error| {
        let encoding = crate::wire::encoding_of(bytes).unwrap_or(Encoding::Binary { strict: true });
        let text = format!("no message: {error}");
        let frame = exception(
            encoding,
            "",
            UNKNOWN_SEQID,
            ExceptionKind::ProtocolError,
            &text,
            None,
        );
        InvalidCall {
            reply_frame: Some(frame),
            ends_connection: true,
        }
    })?;
    match message.head.kind {
        Kind::Call | Kind::Oneway => Ok(message),
        Kind::Reply | Kind::Exception => Err(invalid_call(
            &message,
            ExceptionKind::InvalidMessageType,
            "neither a call nor a oneway call",
        )),
    }
}

/// Rejects a message whose head is valid; the connection goes on. A oneway call has no reply.
pub fn invalid_call(message: &Message<'_>, kind: ExceptionKind, text: &str) -> InvalidCall {
    let expects_reply = message.head.kind != Kind::Oneway;
    let reply_frame = expects_reply.then(|| {
        let ReplyContext {
            encoding,
            name,
            seqid,
        } = ReplyContext::of(message);
        exception(encoding, &name, seqid, kind, text, None)
    });
    InvalidCall {
        reply_frame,
        ends_connection: false,
    }
}

/// Validates a call against the configuration of its method and the platform's settings. Invalid calls never reach
/// a backend.
pub fn validate(
    config: &FrontendConfig,
    settings: &SettingsSnapshot,
    bytes: Bytes,
    call_id: u128,
    now: Duration,
) -> Result<ValidatedCall, InvalidCall> {
    let platform = &settings.platform;
    let message = read_call_head(config, &bytes)?;
    let protocol_error = |text: &str| invalid_call(&message, ExceptionKind::ProtocolError, text);
    let method = find_method(config, message.head.name)
        .ok_or_else(|| invalid_call(&message, ExceptionKind::UnknownMethod, "unknown method"))?;
    let paths = [
        method.station_key.as_ref(),
        method.idempotency_key.as_ref(),
        method.tenant.as_ref(),
        method.time_budget.as_ref(),
    ];
    let found = match message.encoding {
        Encoding::Binary { .. } => {
            let mut reader = BinaryReader::new(message.body);
            read_fields(&mut reader, &paths, &config.limits)
                .map(|found| (found, reader.remaining()))
        }
        Encoding::Compact => {
            let mut reader = CompactReader::new(message.body);
            read_fields(&mut reader, &paths, &config.limits)
                .map(|found| (found, reader.remaining()))
        }
    };
    let (found, rest) =
        found.map_err(|error| protocol_error(&format!("arguments that can't be read: {error}")))?;
    if !rest.is_empty() {
        return Err(protocol_error(&format!(
            "arguments that can't be read: {}",
            DecodeError::TrailingBytes
        )));
    }

    let station = found[0].map_or(method.default_station_key.clone().into_bytes(), |key| {
        key.text()
    });
    let key = found[1].map(|key| key.text());
    if station.len() > MAX_KEY_BYTES || key.as_ref().is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        return Err(protocol_error("a key of more than 256 bytes"));
    }
    if !platform.active_classes[method.class] {
        return Err(invalid_call(
            &message,
            ExceptionKind::UnknownMethod,
            "its class is none of the settings any more",
        ));
    }
    let class = &platform.settings.classes[method.class];
    let window = match class.idempotency {
        Idempotency::Keyed { window, .. } => Some(window),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    };
    if window.is_some() && key.as_ref().is_none_or(Vec::is_empty) && !method.key_from_content {
        return Err(protocol_error("no idempotency key"));
    }
    let tenant = match found[2] {
        Some(name) => {
            let name = name.text();
            platform
                .tenant(&name)
                .ok_or_else(|| protocol_error("unknown tenant"))?
        }
        None if platform.tenant_names.is_empty() => 0,
        None => method
            .default_tenant
            .ok_or_else(|| protocol_error("no tenant"))?,
    };
    let budget = match found[3] {
        Some(Scalar::Number(ms)) if (1..=MAX_TIME_BUDGET_MS).contains(&ms) => {
            Duration::from_millis(ms as u64)
        }
        Some(_) => return Err(protocol_error("no budget that makes sense")),
        None => method.default_time_budget,
    };

    let station_hash = match std::str::from_utf8(&station) {
        Ok("") => 0,
        Ok(text) => key_hash(text),
        Err(_) => hash_bytes(&station),
    };
    let request = NewRequest {
        class: method.class,
        tenant,
        key: station_hash,
        remaining: budget,
        policy: Some(settings.request_policy(method.class)),
        ..NewRequest::default()
    };
    let context = ReplyContext::of(&message);
    let format = if message.encoding == Encoding::Compact {
        COMPACT
    } else {
        BINARY
    };
    let call = Call {
        class: method.class,
        safe: class.idempotency == Idempotency::Idempotent,
        target: http_target(&platform.class_names[method.class], &station),
        call_id: format!("{call_id:032x}").into(),
        idempotency_key: key.filter(|key| !key.is_empty()).map(Bytes::from),
        response_validator: Some(reply_validator(&bytes, config)),
        expects_response: message.head.kind != Kind::Oneway,
        payload: Payload {
            format,
            bytes: bytes.clone(),
        },
        streaming_body: None,
        client_connected_check: None, // set by the frontend; a oneway call has no waiting client
        deadline: Cell::new(now + budget),
        idempotency_window: window,
        progress: Rc::default(),
    };
    Ok(ValidatedCall {
        request,
        call,
        context,
    })
}

/// Checks that a response body from a backend of another protocol is a reply to this call.
fn reply_validator(call: &Bytes, config: &FrontendConfig) -> ResponseValidator {
    let (call, limits) = (call.clone(), config.limits);
    Rc::new(move |body| {
        read_head(&call, &limits).is_ok_and(|message| is_reply(body, &message, &limits))
    })
}

fn find_method<'a>(config: &'a FrontendConfig, name: &str) -> Option<&'a Method> {
    let (service, name) = method_names::split(name);
    config
        .methods
        .iter()
        .find(|method| method.name == name && method.service.as_deref() == service)
}

/// The request target for HTTP backends: the class and the percent-encoded station key, which may hold any bytes.
fn http_target(class: &str, station: &[u8]) -> Bytes {
    let mut target = format!("/{class}/").into_bytes();
    for byte in station {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                target.push(*byte)
            }
            other => target.extend_from_slice(format!("%{other:02X}").as_bytes()),
        }
    }
    target.into()
}

fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// Encodes a final response as a reply frame in the call's encoding. The type of the `TApplicationException`
/// distinguishes rejected, failed and timed out.
pub fn encode_response(
    config: &FrontendConfig,
    context: &ReplyContext,
    response: FinalResponse,
) -> Vec<u8> {
    let ReplyContext {
        encoding,
        name,
        seqid,
    } = context;
    let exception_frame =
        |kind, text: &str, retry| exception(*encoding, name, *seqid, kind, text, retry);
    let failed = || {
        exception_frame(
            ExceptionKind::InternalError,
            "failed: it may have run",
            None,
        )
    };
    match response {
        FinalResponse::Complete(content)
            if content.format == BINARY || content.format == COMPACT =>
        {
            let transcoded = read_head(&content.bytes, &config.limits).and_then(|message| {
                let head = Head {
                    kind: message.head.kind,
                    name,
                    seqid: *seqid,
                };
                transcode(&message, *encoding, head, &config.limits)
            });
            // A reply within the limits in the compact encoding may exceed them in binary.
            transcoded.unwrap_or_else(|_| failed())
        }
        // The response validator needs a complete body, so no response to a Thrift call is streamed.
        FinalResponse::Complete(_) | FinalResponse::Streamed { .. } | FinalResponse::Failed => {
            failed()
        }
        FinalResponse::Rejected {
            retry_after,
            never_ran,
        } => {
            let ms = retry_after.map(|after| i32::try_from(after.as_millis()).unwrap_or(i32::MAX));
            let ran = if never_ran {
                "it never ran"
            } else {
                "it may have run, and to repeat it is harmless"
            };
            let text = match ms {
                Some(ms) => format!("refused: {ran}; try again in {ms} ms"),
                None => format!("refused: {ran}"),
            };
            exception_frame(ExceptionKind::UnsupportedClientType, &text, ms)
        }
        FinalResponse::TimedOut => exception_frame(
            ExceptionKind::MissingResult,
            "timed out: it may have run",
            None,
        ),
    }
}
