//! What a caller's message must be to be taken, and how it is answered: without I/O.

use crate::backend::is_reply;
use crate::config::{FrontendConfig, Method};
use crate::method_names;
use crate::wire::{
    BinaryReader, CompactReader, DecodeError, Encoding, ExceptionKind, Head, Kind, Message, Reader,
    Scalar, exception, read_fields, read_head, transcode,
};
use crate::{BINARY, COMPACT};
use bytes::Bytes;
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{Idempotency, NewRequest};
use sillward_forwarding::{
    Call, CallProgress, FinalResponse, Payload, ResponseValidator, key_hash,
};
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

const LONGEST_BUDGET_MS: i64 = 600_000;
/// The longest station key and idempotency key.
const LONGEST_KEY: usize = 256;

/// Whose answer it is: how a caller knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    encoding: Encoding,
    name: String,
    pub seqid: i32,
}

impl Caller {
    pub fn of(message: &Message<'_>) -> Self {
        let Head { name, seqid, .. } = message.head;
        Caller {
            encoding: message.encoding,
            name: method_names::reply_name(name).to_owned(),
            seqid,
        }
    }
}

/// A message that can be taken.
pub struct ValidatedCall {
    pub new: NewRequest,
    pub call: Call,
    pub caller: Caller,
}

/// Why a message is not taken.
#[derive(Debug)]
pub struct InvalidCall {
    /// The answer's frame; `None` where nobody waits for one.
    pub frame: Option<Vec<u8>>,
    /// Nobody can tell what follows: the connection ends.
    pub last: bool,
}

/// Reads a message's head, as far as `bytes` have it.
pub fn head<'a>(terms: &FrontendConfig, bytes: &'a [u8]) -> Result<Message<'a>, InvalidCall> {
    let message = read_head(bytes, &terms.limits).map_err(|fault| {
        let encoding = crate::wire::encoding_of(bytes).unwrap_or(Encoding::Binary { strict: true });
        let text = format!("no message: {fault}");
        let frame = exception(encoding, "", 0, ExceptionKind::ProtocolError, &text, None);
        InvalidCall {
            frame: Some(frame),
            last: true,
        }
    })?;
    match message.head.kind {
        Kind::Call | Kind::Oneway => Ok(message),
        Kind::Reply | Kind::Exception => Err(turned(
            &message,
            ExceptionKind::InvalidMessageType,
            "neither a call nor a oneway call",
        )),
    }
}

fn turned(message: &Message<'_>, kind: ExceptionKind, text: &str) -> InvalidCall {
    let answered = message.head.kind != Kind::Oneway;
    let frame = answered.then(|| {
        let Caller {
            encoding,
            name,
            seqid,
        } = Caller::of(message);
        exception(encoding, &name, seqid, kind, text, None)
    });
    InvalidCall { frame, last: false }
}

/// Reads a message as the terms word it. What does not fit never reaches a backend.
pub fn check(
    terms: &FrontendConfig,
    site: &PlatformSettings,
    bytes: Bytes,
    call_id: u128,
    now: Duration,
) -> Result<ValidatedCall, InvalidCall> {
    let message = head(terms, &bytes)?;
    let bad = |text: &str| turned(&message, ExceptionKind::ProtocolError, text);
    let method = method(terms, message.head.name)
        .ok_or_else(|| turned(&message, ExceptionKind::UnknownMethod, "unknown method"))?;
    let paths = [
        method.station_key.as_ref(),
        method.idempotency_key.as_ref(),
        method.tenant.as_ref(),
        method.time_budget.as_ref(),
    ];
    let found = match message.encoding {
        Encoding::Binary { .. } => {
            let mut reader = BinaryReader::new(message.body);
            read_fields(&mut reader, &paths, &terms.limits).map(|found| (found, reader.rest()))
        }
        Encoding::Compact => {
            let mut reader = CompactReader::new(message.body);
            read_fields(&mut reader, &paths, &terms.limits).map(|found| (found, reader.rest()))
        }
    };
    let (found, rest) =
        found.map_err(|fault| bad(&format!("arguments that can't be read: {fault}")))?;
    if !rest.is_empty() {
        return Err(bad(&format!(
            "arguments that can't be read: {}",
            DecodeError::Behind
        )));
    }

    let station = found[0].map_or(method.default_station_key.clone().into_bytes(), |key| {
        key.text()
    });
    let key = found[1].map(|key| key.text());
    if station.len() > LONGEST_KEY || key.as_ref().is_some_and(|key| key.len() > LONGEST_KEY) {
        return Err(bad("a key of more than 256 bytes"));
    }
    if !site.active_classes[method.class] {
        return Err(turned(
            &message,
            ExceptionKind::UnknownMethod,
            "its class is none of the settings any more",
        ));
    }
    let class = &site.settings.classes[method.class];
    let window = match class.idempotency {
        Idempotency::Keyed { window, .. } => Some(window),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    };
    if window.is_some() && key.as_ref().is_none_or(Vec::is_empty) && !method.key_from_content {
        return Err(bad("no idempotency key"));
    }
    let tenant = match found[2] {
        Some(name) => {
            let name = name.text();
            site.tenant(&name).ok_or_else(|| bad("unknown tenant"))?
        }
        None if site.tenant_names.is_empty() => 0,
        None => method.default_tenant.ok_or_else(|| bad("no tenant"))?,
    };
    let budget = match found[3] {
        Some(Scalar::Number(ms)) if (1..=LONGEST_BUDGET_MS).contains(&ms) => {
            Duration::from_millis(ms as u64)
        }
        Some(_) => return Err(bad("no budget that makes sense")),
        None => method.default_time_budget,
    };

    let station_number = match std::str::from_utf8(&station) {
        Ok("") => 0,
        Ok(text) => key_hash(text),
        Err(_) => hashed(&station),
    };
    let new = NewRequest {
        class: method.class,
        tenant,
        key: station_number,
        remaining: budget,
        ..NewRequest::default()
    };
    let caller = Caller::of(&message);
    let form = if message.encoding == Encoding::Compact {
        COMPACT
    } else {
        BINARY
    };
    let call = Call {
        class: method.class,
        safe: class.idempotency == Idempotency::Idempotent,
        target: target(&site.class_names[method.class], &station),
        call_id: format!("{call_id:032x}").into(),
        idempotency_key: key.filter(|key| !key.is_empty()).map(Bytes::from),
        response_validator: Some(judge(&bytes, terms)),
        expects_response: message.head.kind != Kind::Oneway,
        payload: Payload {
            format: form,
            bytes: bytes.clone(),
        },
        streaming_body: None,
        client_connected_check: None, // the front knows the caller; of a oneway call nobody waits
        deadline: Cell::new(now + budget),
        idempotency_window: window,
        progress: CallProgress::default(),
    };
    Ok(ValidatedCall { new, call, caller })
}

fn judge(call: &Bytes, terms: &FrontendConfig) -> ResponseValidator {
    let (call, limits) = (call.clone(), terms.limits);
    Rc::new(move |body| {
        read_head(&call, &limits).is_ok_and(|message| is_reply(body, &message, &limits))
    })
}

fn method<'a>(terms: &'a FrontendConfig, name: &str) -> Option<&'a Method> {
    let (service, name) = method_names::split(name);
    terms
        .methods
        .iter()
        .find(|method| method.name == name && method.service.as_deref() == service)
}

/// Where an HTTP backend finds the call: its class first and its station last, whatever bytes that has.
fn target(class: &str, station: &[u8]) -> Bytes {
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

fn hashed(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// The frame of a final answer, in its caller's words. Refused, failed and timed out are told apart by the type
/// of the `TApplicationException`.
pub fn worded(terms: &FrontendConfig, caller: &Caller, answer: FinalResponse) -> Vec<u8> {
    let Caller {
        encoding,
        name,
        seqid,
    } = caller;
    let except = |kind, text: &str, retry| exception(*encoding, name, *seqid, kind, text, retry);
    let failed = || {
        except(
            ExceptionKind::InternalError,
            "failed: it may have run",
            None,
        )
    };
    match answer {
        FinalResponse::Complete(content)
            if content.format == BINARY || content.format == COMPACT =>
        {
            let reworded = read_head(&content.bytes, &terms.limits).and_then(|message| {
                let head = Head {
                    kind: message.head.kind,
                    name,
                    seqid: *seqid,
                };
                transcode(&message, *encoding, head, &terms.limits)
            });
            // A reply that is compact in time may be too large for a frame in binary.
            reworded.unwrap_or_else(|_| failed())
        }
        // A caller judges its answers whole, so that none comes in parts.
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
            except(ExceptionKind::UnsupportedClientType, &text, ms)
        }
        FinalResponse::TimedOut => except(
            ExceptionKind::MissingResult,
            "timed out: it may have run",
            None,
        ),
    }
}
