//! What a client's request must be to be taken: the checks of its head, and the reading of its body.

use crate::heads::Heads;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use sillward_balancer::Idempotency;
use sillward_balancer::settings::PlatformSettings;
use sillward_forwarding::{
    MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES, MAX_REPLAYABLE_BODY_BYTES, MemoryBudget,
    READ_BUFFER_BYTES, key_hash,
};
use sillward_logging::log_peer;
use sillward_runtime::time::{Instant, timeout, timeout_at};
use std::time::Duration;

const LONGEST_BUDGET_MS: u64 = 600_000;
const LONGEST_ID: usize = 256;
/// Headers that may stand once: a backend might read another of them than this node does.
const ONCE: [&str; 4] = ["x-call-id", "x-budget-ms", "idempotency-key", "x-caller"];

/// Why a request is turned down without being taken: a 4xx, which promises nothing.
pub type Bad = (StatusCode, &'static str);

const BAD: StatusCode = StatusCode::BAD_REQUEST;
const TOO_LONG: Bad = (StatusCode::PAYLOAD_TOO_LARGE, "body over 32 MiB");
/// A body of known length up to this is short: as long as an answer that is read whole.
const SHORT: usize = MAX_BUFFERED_RESPONSE_BYTES;
/// A client that sends nothing of a body for so long is turned down: whoever is bad is rid of in 3 s.
const SILENCE: Duration = Duration::from_secs(2);
/// A client may keep this node waiting for so long beside the time that its bytes take at the least rate: half of what
/// slow ones are promised, in bytes a second.
const PATIENCE: Duration = Duration::from_secs(2);
const LEAST_RATE: f64 = 32_000.0;

/// A head that has been checked, in the module's words and in those that go on.
pub struct Checked {
    pub path: PathAndQuery,
    pub call_id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub class: usize,
    pub tenant: usize,
    pub key: u64,
    pub budget: Duration,
    pub window: Option<Duration>,
    pub cost: Option<Duration>,
    pub client_retry: bool,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// With its last chunk.
    Chunked,
}

impl Framing {
    /// Bytes in all, where that is known.
    pub fn length(self) -> Option<u64> {
        match self {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        }
    }
}

/// Checks how the body is framed, from the head alone: nobody need send it first.
pub fn framing(head: &Parts, body: &Incoming, heads: &Heads) -> Result<Framing, Bad> {
    // It may hide a second request in the body.
    if heads.is_ambiguous() {
        return Err((BAD, "a head that frames its body twice"));
    }
    if let Some(coding) = head.headers.get(TRANSFER_ENCODING) {
        if !coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked")
        {
            return Err((StatusCode::NOT_IMPLEMENTED, "no coding but chunked, please"));
        }
        return Ok(Framing::Chunked);
    }
    let length = body.size_hint().exact().ok_or((BAD, "no length"))?;
    if length > MAX_BODY_BYTES {
        return Err(TOO_LONG);
    }
    Ok(Framing::Length(length))
}

/// Reads a head as the protocol words it. What does not fit never reaches a backend.
pub fn check(site: &PlatformSettings, head: Parts, framing: Framing) -> Result<Checked, Bad> {
    let path = head.uri.path_and_query().ok_or((BAD, "no path"))?.clone();
    let mut parts = path
        .path()
        .strip_prefix('/')
        .ok_or((BAD, "no path"))?
        .split('/');
    let name = parts.next().unwrap_or_default();
    let class = site
        .class(name)
        .ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
    let key = parts
        .next_back()
        .filter(|key| !key.is_empty())
        .map_or(0, key_hash);
    let terms = &site.settings.classes[class];

    if ONCE
        .iter()
        .any(|name| head.headers.get_all(*name).iter().nth(1).is_some())
    {
        return Err((BAD, "a header stands twice"));
    }
    let idempotency_key = head.headers.get("idempotency-key").cloned();
    let method = if terms.idempotency == Idempotency::Idempotent {
        Method::GET
    } else {
        Method::POST
    };
    if head.method != method {
        return Err((
            StatusCode::METHOD_NOT_ALLOWED,
            "wrong method for this class",
        ));
    }
    if method == Method::GET && framing != Framing::Length(0) {
        return Err((BAD, "a body where none belongs"));
    }
    let window = match terms.idempotency {
        Idempotency::Keyed { window, .. } if idempotency_key.is_some() => Some(window),
        Idempotency::Keyed { .. } => return Err((BAD, "no Idempotency-Key")),
        _ => None,
    };
    let call_id = head
        .headers
        .get("x-call-id")
        .filter(|id| (1..=LONGEST_ID).contains(&id.len()));
    let call_id = call_id.ok_or((BAD, "no X-Call-Id"))?.clone();
    let budget = text(&head.headers, "x-budget-ms").and_then(|text| text.parse::<u64>().ok());
    let budget = budget.filter(|ms| (1..=LONGEST_BUDGET_MS).contains(ms));
    let budget =
        Duration::from_millis(budget.ok_or((BAD, "no X-Budget-Ms that makes sense"))?);
    let caller = text(&head.headers, "x-caller");
    let tenant = caller.and_then(|caller| site.tenant(caller.as_bytes()));
    if tenant.is_none() && !site.tenant_names.is_empty() {
        return Err((StatusCode::FORBIDDEN, "unknown tenant"));
    }
    let cost = text(&head.headers, "x-call-cost").and_then(|text| text.parse().ok());
    Ok(Checked {
        path,
        call_id,
        idempotency_key,
        class,
        tenant: tenant.unwrap_or_default(),
        key,
        budget,
        window,
        cost: cost.map(Duration::from_micros),
        client_retry: head
            .headers
            .get("x-again")
            .is_some_and(|value| value == "1"),
    })
}

/// A body that is being read, at its client's pace.
pub struct Arriving {
    body: Incoming,
    /// How long this node has waited for it in all, and what has come.
    waited: Duration,
    received: u64,
    ended: bool,
}

/// How far a body was read at first.
pub enum First {
    /// To its end.
    Whole(Bytes),
    /// To what is kept of a long one.
    More(Bytes),
    /// There was no room for it.
    NoRoom,
}

impl Arriving {
    pub fn new(body: Incoming) -> Self {
        Arriving {
            body,
            waited: Duration::ZERO,
            received: 0,
            ended: false,
        }
    }

    /// The next bytes; `None` at the end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Bad> {
        loop {
            // How long the client may still take: back-pressure from a backend is not its time.
            let due = PATIENCE + Duration::from_secs_f64(self.received as f64 / LEAST_RATE);
            let until = due.saturating_sub(self.waited).min(SILENCE);
            let asked = Instant::now();
            let frame = timeout(until, self.body.frame()).await;
            self.waited += asked.elapsed();
            let frame = frame.map_err(|_| {
                log_peer(format_args!(
                    "a client's body was too slow: {} bytes in {:?} of waiting",
                    self.received, self.waited
                ));
                (StatusCode::REQUEST_TIMEOUT, "too slow")
            })?;
            let Some(frame) = frame else {
                self.ended = true;
                return Ok(None);
            };
            let Ok(data) = frame.map_err(|_| (BAD, "broken body"))?.into_data() else {
                continue;
            };
            self.received += data.len() as u64;
            if self.received > MAX_BODY_BYTES {
                return Err(TOO_LONG);
            }
            return Ok(Some(data));
        }
    }

    /// Reads what is kept of it, or all.
    pub async fn first(&mut self, framing: Framing, budget: &MemoryBudget) -> Result<First, Bad> {
        let length = framing
            .length()
            .and_then(|length| usize::try_from(length).ok());
        if length == Some(0) {
            self.ended = true;
            return Ok(First::Whole(Bytes::new()));
        }
        // A short one has its room before it is read; a long one's grows, and is what the short ones leave.
        let short = length.filter(|length| *length <= SHORT);
        let room = match short {
            Some(length) => budget.try_reserve(length),
            None => budget.try_reserve_for_long_body(SHORT),
        };
        let Some(mut room) = room else {
            return Ok(First::NoRoom);
        };
        let mut held = short.unwrap_or(SHORT);
        let mut whole = BytesMut::with_capacity(short.unwrap_or(READ_BUFFER_BYTES));
        while let Some(data) = self.next().await? {
            whole.extend_from_slice(&data);
            // What goes on growing doubles its buffer.
            while short.is_none() && whole.capacity() > held && room.try_grow_for_long_body(SHORT) {
                held += SHORT;
            }
            if short.is_none()
                && (whole.len() >= MAX_REPLAYABLE_BODY_BYTES || whole.capacity() > held)
            {
                return Ok(First::More(room.attach(whole.freeze())));
            }
        }
        if short.is_some_and(|length| whole.len() != length) {
            return Err((BAD, "broken body"));
        }
        Ok(First::Whole(room.attach(whole.freeze())))
    }

    /// Whether all of it has been read.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// What has not been read.
    pub fn into_rest(self) -> Incoming {
        self.body
    }
}

/// Reads on after the answer to a bad request, for a while and so far only: closed with bytes unread, the
/// connection would be reset, and its client might not see the answer.
pub async fn drain(mut body: Incoming, most: usize, until: Instant) {
    let mut read = 0;
    while let Ok(Some(Ok(frame))) = timeout_at(until, body.frame()).await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > most {
            return;
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
