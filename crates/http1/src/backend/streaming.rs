//! Streams long responses from backends to clients.

use super::{BackendClient, Http1};
use crate::backend::response::transport_failure;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use sillward_balancer::{LoadReport, Outcome};
use sillward_forwarding::{
    Attempt, BodyStream, IncompleteBody, MAX_BODY_BYTES, MemoryReservation, Payload, PayloadFormat,
    ResponseStarted, STREAM_BUFFER_BYTES,
};
use sillward_logging::log_peer;
use sillward_pool::Connection;
use sillward_runtime::time::{Instant, Sleep, sleep};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a backend may send no data of a streamed response before the attempt has timed out.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl BackendClient {
    /// Streams a response to the client, and returns its outcome.
    pub(super) async fn stream_response(
        self: &Rc<Self>,
        attempt: &Attempt,
        connection: Connection<Http1>,
        first: Bytes,
        length: Option<u64>,
        rest: Incoming,
        report: Option<LoadReport>,
    ) -> Outcome {
        let (end_sender, ended) = oneshot::channel();
        let rest = Box::new(StreamingResponse {
            body: rest,
            received_bytes: first.len() as u64,
            length,
            in_progress: Some(InProgress {
                connection,
                end_sender,
            }),
            client: self.clone(),
            _buffers: self.budget.try_reserve(STREAM_BUFFER_BYTES),
            idle_timeout: Box::pin(sleep(STREAM_IDLE_TIMEOUT)),
        });
        let started = ResponseStarted {
            id: attempt.id,
            number: attempt.number,
            payload: Payload {
                format: PayloadFormat::PLAIN,
                bytes: first,
            },
            length,
            report,
            rest,
        };
        let is_sent = attempt
            .response_started
            .take()
            .is_some_and(|sender| sender.send(started).is_ok());
        if !is_sent {
            return Outcome::Cancelled; // the node has shut down
        }
        // A response dropped before its end means that the client has disconnected or has received another response.
        ended.await.unwrap_or(Outcome::Cancelled)
    }
}

/// The rest of a response that is being streamed.
struct StreamingResponse {
    body: Incoming,
    received_bytes: u64,
    /// The total length in bytes, if known.
    length: Option<u64>,
    /// `None` once the response has ended.
    in_progress: Option<InProgress>,
    client: Rc<BackendClient>,
    /// The memory for what the connections hold of it. A response is not dropped for want of it, since its request has run: the
    /// reservations keep new requests out before.
    _buffers: Option<MemoryReservation>,
    idle_timeout: Pin<Box<Sleep>>,
}

/// The resources of a streamed response until its end.
struct InProgress {
    connection: Connection<Http1>,
    /// Reports the outcome.
    end_sender: oneshot::Sender<Outcome>,
}

impl StreamingResponse {
    /// Counts received bytes. A response of known length ends here, since its body is not polled after the last byte.
    fn receive(&mut self, data: Bytes) -> Result<Bytes, IncompleteBody> {
        self.received_bytes += data.len() as u64;
        if Some(self.received_bytes) == self.length {
            self.finish(Outcome::Served);
        }
        if self.received_bytes > MAX_BODY_BYTES {
            return Err(self.fail(Outcome::Error));
        }
        Ok(data)
    }

    fn fail(&mut self, outcome: Outcome) -> IncompleteBody {
        log_peer(format_args!(
            "a streamed response failed after {} bytes: {outcome:?}",
            self.received_bytes
        ));
        self.finish(outcome);
        IncompleteBody
    }

    /// Reports the outcome, and returns the connection to the pool if it can be reused.
    fn finish(&mut self, outcome: Outcome) {
        let Some(InProgress {
            connection,
            end_sender,
        }) = self.in_progress.take()
        else {
            return;
        };
        if outcome == Outcome::Served {
            self.client.pool.release(connection);
        } else {
            drop(connection);
        }
        let _ = end_sender.send(outcome); // fails if the node has shut down
    }
}

impl BodyStream for StreamingResponse {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => frame,
                Poll::Ready(Some(Err(error))) => {
                    let outcome = transport_failure(&error);
                    return Poll::Ready(Some(Err(self.fail(outcome))));
                }
                Poll::Ready(None) => {
                    self.finish(Outcome::Served);
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    ready!(self.idle_timeout.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(self.fail(Outcome::TimedOut))));
                }
            };
            self.idle_timeout
                .as_mut()
                .reset(Instant::now() + STREAM_IDLE_TIMEOUT);
            if let Ok(data) = frame.into_data() {
                return Poll::Ready(Some(self.receive(data)));
            }
        }
    }
}
