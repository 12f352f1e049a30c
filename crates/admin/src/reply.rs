//! Replies to operators.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

const PLAIN_TEXT: &str = "text/plain";
const JSON: &str = "application/json";

/// A reply.
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The media type of the text.
    pub content_type: &'static str,
    /// The body.
    pub text: String,
}

impl Reply {
    /// 200 with plain text.
    pub fn ok(text: impl Into<String>) -> Self {
        Reply::error(StatusCode::OK, text)
    }

    /// Plain text with another status: what is wrong.
    pub fn error(status: StatusCode, text: impl Into<String>) -> Self {
        Reply {
            status,
            content_type: PLAIN_TEXT,
            text: text.into(),
        }
    }

    /// 200 with JSON.
    pub fn json(text: String) -> Self {
        Reply {
            status: StatusCode::OK,
            content_type: JSON,
            text,
        }
    }
}

impl From<Reply> for Response<Full<Bytes>> {
    fn from(reply: Reply) -> Self {
        let mut response = Response::new(Full::new(Bytes::from(reply.text)));
        *response.status_mut() = reply.status;
        let content_type = HeaderValue::from_static(reply.content_type);
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }
}
