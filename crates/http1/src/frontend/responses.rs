//! The responses to clients.

use crate::request_error::RequestError;
use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use sillward_forwarding::FinalResponse;
use std::time::Duration;

/// The response for a final response of the node that is not streamed.
pub(super) fn final_response(response: FinalResponse) -> Response<ResponseBody> {
    match response {
        FinalResponse::Complete(payload) => complete(StatusCode::OK, payload.bytes),
        FinalResponse::Rejected { retry_after, .. } => rejection(retry_after),
        FinalResponse::TimedOut => complete(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
        // An HTTP/1.0 client cannot distinguish the end of a response of unknown length from a failed connection.
        FinalResponse::Failed | FinalResponse::Streamed { .. } => {
            complete(StatusCode::BAD_GATEWAY, Bytes::new())
        }
    }
}

/// The response to a health check by the load balancer in front of the node.
pub(super) fn health_response(healthy: bool) -> Response<ResponseBody> {
    let status = if healthy {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    complete(status, Bytes::new())
}

/// The response to a request that was not accepted.
pub(super) fn error_response(error: RequestError) -> Response<ResponseBody> {
    complete(error.status(), Bytes::from(error.to_string()))
}

fn rejection(retry_after: Option<Duration>) -> Response<ResponseBody> {
    let mut response = complete(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let retry_after = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(value)) = retry_after.map(HeaderValue::try_from) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn complete(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Complete(body));
    *response.status_mut() = status;
    response
}
