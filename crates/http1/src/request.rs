//! What a client's request must be to be taken: the checks of its head, and the reading of its body.

use bytes::{Bytes, BytesMut};
use hillpick::Repeat;
use hillpick::settings::Site;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use sillward_core::{BODY_LIMIT, Lease, key_number};
use sillward_seam::time::{Instant, timeout_at};
use std::time::Duration;

const LONGEST_BUDGET_MS: u64 = 600_000;
const LONGEST_ID: usize = 256;
/// Headers that may stand once: a backend might read another of them than this node does.
const ONCE: [&str; 4] = ["x-call-id", "x-budget-ms", "idempotency-key", "x-caller"];

/// Why a request is turned down without being taken: a 4xx, which promises nothing.
pub type Bad = (StatusCode, &'static str);

const BAD: StatusCode = StatusCode::BAD_REQUEST;

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
    pub length: usize,
}

/// Checks how the body is framed, from the head alone: nobody need send it first.
pub fn length(head: &Parts, body: &Incoming) -> Result<usize, Bad> {
    // With a Content-Length beside it, it may hide a second request in the body. No client of the service
    // needs it, so none has to be told apart.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err((StatusCode::LENGTH_REQUIRED, "no Transfer-Encoding, please"));
    }
    let length = body.size_hint().exact().ok_or((BAD, "no length"))?;
    let length = usize::try_from(length).ok().filter(|length| *length <= BODY_LIMIT);
    length.ok_or((StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"))
}

/// Reads a head as the protocol words it. What does not fit never reaches a backend.
pub fn check(site: &Site, head: Parts, length: usize) -> Result<Checked, Bad> {
    let path = head.uri.path_and_query().ok_or((BAD, "no path"))?.clone();
    let mut parts = path.path().strip_prefix('/').ok_or((BAD, "no path"))?.split('/');
    let name = parts.next().unwrap_or_default();
    let class = site.class(name).ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
    let key = parts.next_back().filter(|key| !key.is_empty()).map_or(0, key_number);
    let terms = &site.settings.classes[class];

    if ONCE.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
        return Err((BAD, "a header stands twice"));
    }
    let idempotency_key = head.headers.get("idempotency-key").cloned();
    let method = if terms.repeat == Repeat::Safe { Method::GET } else { Method::POST };
    if head.method != method {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "wrong method for this class"));
    }
    if method == Method::GET && length > 0 {
        return Err((BAD, "a body where none belongs"));
    }
    let window = match terms.repeat {
        Repeat::Keyed { window, .. } if idempotency_key.is_some() => Some(window),
        Repeat::Keyed { .. } => return Err((BAD, "no Idempotency-Key")),
        _ => None,
    };
    let call_id = head.headers.get("x-call-id").filter(|id| (1..=LONGEST_ID).contains(&id.len()));
    let call_id = call_id.ok_or((BAD, "no X-Call-Id"))?.clone();
    let budget = text(&head.headers, "x-budget-ms").and_then(|text| text.parse::<u64>().ok());
    let budget = budget.filter(|ms| (1..=LONGEST_BUDGET_MS).contains(ms));
    let budget = Duration::from_millis(budget.ok_or((BAD, "no X-Budget-Ms that makes sense"))?);
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
        client_retry: head.headers.get("x-again").is_some_and(|value| value == "1"),
        length,
    })
}

/// Reads a body of that length, for which there is room, before its time is up.
pub async fn read(mut body: Incoming, length: usize, room: Lease, until: Instant) -> Result<Bytes, Bad> {
    if length == 0 {
        return Ok(Bytes::new());
    }
    let mut whole = BytesMut::with_capacity(length);
    while let Some(frame) =
        timeout_at(until, body.frame()).await.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "too slow"))?
    {
        let frame = frame.map_err(|_| (BAD, "broken body"))?;
        let Ok(data) = frame.into_data() else { continue };
        whole.extend_from_slice(&data);
    }
    if whole.len() != length {
        return Err((BAD, "broken body"));
    }
    Ok(room.keep(whole.freeze()))
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
