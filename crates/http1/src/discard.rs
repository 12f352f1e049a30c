//! Reads and discards request bodies that are not needed.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sillward_listener::{LINGER_TIMEOUT, MAX_DISCARDED_BYTES};
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{Instant, timeout_at};

/// Reads and discards the rest of a request's body, up to a time and a size limit. Closing a connection with unread bytes
/// resets it, and the client may then not receive the response.
pub(crate) fn discard_in_background(body: Incoming) {
    let until = Instant::now() + LINGER_TIMEOUT / 2;
    spawn_local(discard(body, until));
}

async fn discard(mut body: Incoming, until: Instant) {
    let mut discarded = 0;
    while let Ok(Some(Ok(frame))) = timeout_at(until, body.frame()).await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
    }
}
