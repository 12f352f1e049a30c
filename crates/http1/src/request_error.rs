//! The reasons for which a client's request is not accepted.

use hyper::StatusCode;

/// The reason for which a request is not accepted. Its text is the response's body, and part of the interface to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RequestError {
    /// The body might end in two places, which permits request smuggling.
    #[error("a head that frames its body twice")]
    AmbiguousFraming,
    #[error("no coding but chunked, please")]
    UnsupportedTransferCoding,
    #[error("no length")]
    MissingLength,
    #[error("body over 32 MiB")]
    BodyTooLarge,
    #[error("no path")]
    MissingPath,
    #[error("unknown class")]
    UnknownClass,
    #[error("a header stands twice")]
    DuplicateHeader,
    #[error("wrong method for this class")]
    WrongMethod,
    #[error("a body where none belongs")]
    UnexpectedBody,
    #[error("no Idempotency-Key")]
    MissingIdempotencyKey,
    #[error("no X-Call-Id")]
    InvalidCallId,
    #[error("no X-Budget-Ms that makes sense")]
    InvalidTimeBudget,
    #[error("unknown tenant")]
    UnknownTenant,
    #[error("too slow")]
    BodyTooSlow,
    #[error("broken body")]
    IncompleteBody,
    #[error("a request with this X-Call-Id is open")]
    CallIdInUse,
}

impl RequestError {
    /// The status of the response. No status promises that a retry is safe.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            RequestError::AmbiguousFraming
            | RequestError::MissingLength
            | RequestError::MissingPath
            | RequestError::DuplicateHeader
            | RequestError::UnexpectedBody
            | RequestError::MissingIdempotencyKey
            | RequestError::InvalidCallId
            | RequestError::InvalidTimeBudget
            | RequestError::IncompleteBody => StatusCode::BAD_REQUEST,
            RequestError::UnknownTenant => StatusCode::FORBIDDEN,
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            RequestError::CallIdInUse => StatusCode::CONFLICT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::UnsupportedTransferCoding => StatusCode::NOT_IMPLEMENTED,
        }
    }
}
