//! The handle through which front ends submit requests to the node.

use crate::{Call, FinalResponse, RequestMessage, RequestPermit};
use sillward_balancer::{NewRequest, RequestId};
use sillward_runtime::Clock;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A request that a front end has accepted.
pub struct AcceptedRequest {
    /// The request as the decision module sees it.
    pub request: NewRequest,
    /// When its last byte was received, or when the front end accepted it if the body is still being received.
    pub received_at: Duration,
    /// The request to send to backends.
    pub call: Call,
    /// Sends the final response to the front end.
    pub response_sender: oneshot::Sender<FinalResponse>,
    /// The request's part of the limit of open requests.
    pub permit: RequestPermit,
}

/// A handle to the node's event loop, for front ends. Clones share the counter of request numbers.
#[derive(Clone)]
pub struct NodeHandle {
    clock: Clock,
    messages: mpsc::UnboundedSender<RequestMessage>,
    last_id: Rc<Cell<u64>>,
}

impl NodeHandle {
    /// A handle to the node that receives `messages`.
    pub(crate) fn new(clock: Clock, messages: mpsc::UnboundedSender<RequestMessage>) -> Self {
        NodeHandle {
            clock,
            messages,
            last_id: Rc::default(),
        }
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Submits an admitted request under a new number and waits for its final response; `None` if the node has stopped.
    ///
    /// Dropping the future before it completes notifies the node that the client has disconnected.
    pub async fn submit(
        &self,
        permit: RequestPermit,
        request: NewRequest,
        call: Call,
        received_at: Duration,
    ) -> Option<FinalResponse> {
        self.submit_streaming(permit, request, call, received_at, std::future::pending())
            .await
    }

    /// As [`NodeHandle::submit`], for a request whose body is still being received: `body_received` resolves to the
    /// time of its last byte.
    pub async fn submit_streaming(
        &self,
        permit: RequestPermit,
        mut request: NewRequest,
        call: Call,
        received_at: Duration,
        body_received: impl Future<Output = Duration>,
    ) -> Option<FinalResponse> {
        let id = self.next_id();
        request.id = id;
        let (response_sender, response) = oneshot::channel();
        let mut disconnect_guard = DisconnectGuard {
            id,
            messages: Some(&self.messages),
        };
        let accepted = Box::new(AcceptedRequest {
            request,
            received_at,
            call,
            response_sender,
            permit,
        });
        self.messages.send(RequestMessage::New(accepted)).ok()?;
        let mut response = std::pin::pin!(response);
        let early = tokio::select! {
            biased;
            response = response.as_mut() => Some(response),
            received_at = body_received => {
                self.messages.send(RequestMessage::BodyReceived(id, received_at)).ok()?;
                None
            }
        };
        let response = match early {
            Some(response) => response,
            None => response.await,
        };
        disconnect_guard.disarm();
        Some(response.unwrap_or(FinalResponse::Failed))
    }

    fn next_id(&self) -> RequestId {
        self.last_id.set(self.last_id.get() + 1);
        RequestId(self.last_id.get())
    }
}

/// Notifies the node that the client has disconnected if dropped before it is disarmed.
struct DisconnectGuard<'a> {
    id: RequestId,
    messages: Option<&'a mpsc::UnboundedSender<RequestMessage>>,
}

impl DisconnectGuard<'_> {
    fn disarm(&mut self) {
        self.messages = None;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(messages) = self.messages {
            let _ = messages.send(RequestMessage::ClientDisconnected(self.id)); // fails only if the node has ended
        }
    }
}
