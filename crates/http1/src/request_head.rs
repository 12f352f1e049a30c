//! Checks the head of a client's request. A request that fails a check never reaches a backend.

use crate::head_scanner::HeadScanner;
use crate::headers::{CALL_COST, CALL_ID, CALLER, CLIENT_RETRY, IDEMPOTENCY_KEY, TIME_BUDGET_MS};
use crate::request_error::RequestError;
use hyper::Method;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use sillward_balancer::Idempotency;
use sillward_balancer::settings::PlatformSettings;
use sillward_forwarding::{MAX_BODY_BYTES, key_hash};
use std::time::Duration;

const MAX_TIME_BUDGET_MS: u64 = 600_000;
const MAX_CALL_ID_BYTES: usize = 256;
/// Headers that may occur only once: of repeated ones, a backend might use another value than this node.
const UNIQUE_HEADERS: [&str; 4] = [CALL_ID, TIME_BUDGET_MS, IDEMPOTENCY_KEY, CALLER];

/// A request head that passed the checks.
pub(crate) struct RequestHead {
    pub(crate) target: PathAndQuery,
    pub(crate) call_id: HeaderValue,
    pub(crate) idempotency_key: Option<HeaderValue>,
    /// The index of the class in the settings.
    pub(crate) class: usize,
    /// The index of the tenant in the settings; 0 if they name none.
    pub(crate) tenant: usize,
    /// The hash of the key in the path; 0 if there is none.
    pub(crate) key: u64,
    /// How long the client waits for the response.
    pub(crate) time_budget: Duration,
    /// How long backends remember the idempotency key, if the class has one.
    pub(crate) idempotency_window: Option<Duration>,
    /// The work that the client expects of the request.
    pub(crate) expected_work: Option<Duration>,
    /// Whether the request is a retry by the client.
    pub(crate) client_retry: bool,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By its last chunk.
    Chunked,
}

impl Framing {
    /// The body's length in bytes, if known.
    pub(crate) fn length(self) -> Option<u64> {
        match self {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        }
    }
}

/// Determines how the body is framed, from the head alone.
///
/// # Errors
/// The framing is ambiguous or not supported, or the body is too large.
pub(crate) fn body_framing(
    head: &Parts,
    body: &Incoming,
    head_scanner: &HeadScanner,
) -> Result<Framing, RequestError> {
    if head_scanner.is_ambiguous() {
        return Err(RequestError::AmbiguousFraming);
    }
    if let Some(coding) = head.headers.get(TRANSFER_ENCODING) {
        let coding = coding.as_bytes().trim_ascii();
        if !coding.eq_ignore_ascii_case(b"chunked") {
            return Err(RequestError::UnsupportedTransferCoding);
        }
        return Ok(Framing::Chunked);
    }
    let length = body
        .size_hint()
        .exact()
        .ok_or(RequestError::MissingLength)?;
    if length > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLarge);
    }
    Ok(Framing::Length(length))
}

impl RequestHead {
    /// Checks a head against the settings.
    ///
    /// # Errors
    /// The error of the first check that fails.
    pub(crate) fn check(
        settings: &PlatformSettings,
        head: Parts,
        framing: Framing,
    ) -> Result<RequestHead, RequestError> {
        let target = head
            .uri
            .path_and_query()
            .ok_or(RequestError::MissingPath)?
            .clone();
        let headers = &head.headers;
        let (class, key) = class_and_key(settings, target.path())?;
        let idempotency = &settings.settings.classes[class].idempotency;
        check_unique_headers(headers)?;
        check_method(&head.method, idempotency, framing)?;
        let idempotency_key = headers.get(IDEMPOTENCY_KEY).cloned();
        let idempotency_window = idempotency_window(idempotency, idempotency_key.as_ref())?;
        let call_id = call_id(headers)?;
        let time_budget = time_budget(headers)?;
        let tenant = tenant(settings, headers)?;
        Ok(RequestHead {
            target,
            call_id,
            idempotency_key,
            class,
            tenant,
            key,
            time_budget,
            idempotency_window,
            expected_work: expected_work(headers),
            client_retry: headers.get(CLIENT_RETRY).is_some_and(|value| value == "1"),
        })
    }
}

/// Splits a path of the form `/CLASS/...[/KEY]` into the class's index and the key's hash.
fn class_and_key(settings: &PlatformSettings, path: &str) -> Result<(usize, u64), RequestError> {
    let mut segments = path
        .strip_prefix('/')
        .ok_or(RequestError::MissingPath)?
        .split('/');
    let class_name = segments.next().unwrap_or_default();
    let class = settings
        .class(class_name)
        .ok_or(RequestError::UnknownClass)?;
    let key = segments.next_back().filter(|key| !key.is_empty());
    Ok((class, key.map_or(0, key_hash)))
}

fn check_unique_headers(headers: &HeaderMap) -> Result<(), RequestError> {
    let is_repeated = |name: &&str| headers.get_all(*name).iter().nth(1).is_some();
    if UNIQUE_HEADERS.iter().any(is_repeated) {
        return Err(RequestError::DuplicateHeader);
    }
    Ok(())
}

/// Idempotent classes are requested by GET without a body, others by POST.
fn check_method(
    method: &Method,
    idempotency: &Idempotency,
    framing: Framing,
) -> Result<(), RequestError> {
    let expected_method = match idempotency {
        Idempotency::Idempotent => Method::GET,
        _ => Method::POST,
    };
    if *method != expected_method {
        return Err(RequestError::WrongMethod);
    }
    if expected_method == Method::GET && framing != Framing::Length(0) {
        return Err(RequestError::UnexpectedBody);
    }
    Ok(())
}

fn idempotency_window(
    idempotency: &Idempotency,
    idempotency_key: Option<&HeaderValue>,
) -> Result<Option<Duration>, RequestError> {
    match idempotency {
        Idempotency::Keyed { window, .. } if idempotency_key.is_some() => Ok(Some(*window)),
        Idempotency::Keyed { .. } => Err(RequestError::MissingIdempotencyKey),
        _ => Ok(None),
    }
}

fn call_id(headers: &HeaderMap) -> Result<HeaderValue, RequestError> {
    headers
        .get(CALL_ID)
        .filter(|id| (1..=MAX_CALL_ID_BYTES).contains(&id.len()))
        .cloned()
        .ok_or(RequestError::InvalidCallId)
}

fn time_budget(headers: &HeaderMap) -> Result<Duration, RequestError> {
    text(headers, TIME_BUDGET_MS)
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|ms| (1..=MAX_TIME_BUDGET_MS).contains(ms))
        .map(Duration::from_millis)
        .ok_or(RequestError::InvalidTimeBudget)
}

/// The tenant's index; 0 whatever the header if the settings name no tenants.
fn tenant(settings: &PlatformSettings, headers: &HeaderMap) -> Result<usize, RequestError> {
    let tenant = text(headers, CALLER).and_then(|caller| settings.tenant(caller.as_bytes()));
    if tenant.is_none() && !settings.tenant_names.is_empty() {
        return Err(RequestError::UnknownTenant);
    }
    Ok(tenant.unwrap_or_default())
}

fn expected_work(headers: &HeaderMap) -> Option<Duration> {
    text(headers, CALL_COST)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_micros)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
