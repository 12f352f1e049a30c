//! Builds the requests for backends.

use crate::headers::{CALL_ID, IDEMPOTENCY_KEY, TIME_BUDGET_MS};
use crate::outgoing_body::OutgoingBody;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};
use sillward_forwarding::{Call, PayloadFormat};
use std::net::SocketAddr;
use std::time::Duration;

/// The path of a load report.
const LOAD_REPORT_PATH: &str = "/stats";
/// The path of a liveness check.
const LIVENESS_PATH: &str = "/health/live";

/// The parts of a call's request that are the same for all attempts.
pub(super) struct CallRequest {
    method: Method,
    target: PathAndQuery,
    call_id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    content_type: Option<HeaderValue>,
}

impl CallRequest {
    /// The request of a call; `None` if HTTP cannot carry the call.
    pub(super) fn new(call: &Call) -> Option<Self> {
        let format = call.payload.format;
        let is_plain = format == PayloadFormat::PLAIN;
        // Attempts over different protocols are recognised as the same request only if their keys are identical. A call
        // without a key, or with a key that HTTP would alter, is therefore not sent over HTTP.
        if !is_plain && call.idempotency_window.is_some() {
            call.idempotency_key
                .as_ref()
                .filter(|key| is_unaltered_by_http(key))?;
        }
        let idempotency_key = match &call.idempotency_key {
            Some(key) => Some(header_value(key)?),
            None => None,
        };
        Some(CallRequest {
            method: if call.safe && is_plain {
                Method::GET
            } else {
                Method::POST
            },
            target: PathAndQuery::from_maybe_shared(call.target.clone()).ok()?,
            call_id: header_value(&call.call_id)?,
            idempotency_key,
            content_type: (!is_plain).then(|| HeaderValue::from_static(format.0)),
        })
    }

    /// The HTTP request for a backend at `address`, which has `time_budget` to respond.
    pub(super) fn into_http(
        self,
        address: SocketAddr,
        time_budget: Duration,
        body: OutgoingBody,
    ) -> Request<OutgoingBody> {
        let time_budget_ms = time_budget.as_millis().max(1) as u64;
        let mut request = Request::new(body);
        *request.method_mut() = self.method;
        *request.uri_mut() = self.target.into();
        let headers = request.headers_mut();
        headers.insert(HOST, host(address));
        headers.insert(CALL_ID, self.call_id);
        headers.insert(TIME_BUDGET_MS, time_budget_ms.into());
        if let Some(key) = self.idempotency_key {
            headers.insert(IDEMPOTENCY_KEY, key);
        }
        if let Some(content_type) = self.content_type {
            headers.insert(CONTENT_TYPE, content_type);
        }
        request
    }
}

/// The health check of a backend at `address`: a request for its load report if backends send load reports, else a liveness
/// check.
pub(super) fn health_check_request(
    address: SocketAddr,
    reports_enabled: bool,
    body: OutgoingBody,
) -> Request<OutgoingBody> {
    let path = if reports_enabled {
        LOAD_REPORT_PATH
    } else {
        LIVENESS_PATH
    };
    let mut request = Request::new(body);
    *request.method_mut() = Method::GET;
    *request.uri_mut() = Uri::from_static(path);
    request.headers_mut().insert(HOST, host(address));
    request
}

fn is_unaltered_by_http(key: &[u8]) -> bool {
    !key.is_empty() && key.iter().all(u8::is_ascii_graphic)
}

fn header_value(bytes: &Bytes) -> Option<HeaderValue> {
    HeaderValue::from_maybe_shared(bytes.clone()).ok()
}

fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("backend"))
}
