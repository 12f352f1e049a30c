//! The handle through which front ends submit requests to the node.

use crate::{Call, FinalResponse, Message};
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
}

/// A handle to the node's event loop, for front ends. Clones share the counter of request numbers.
#[derive(Clone)]
pub struct NodeHandle {
    clock: Clock,
    messages: mpsc::Sender<Message>,
    last_id: Rc<Cell<u64>>,
}

impl NodeHandle {
    /// A handle to the node that receives `messages`.
    pub fn new(clock: Clock, messages: mpsc::Sender<Message>) -> Self {
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

    /// Submits a request under a new number and waits for its final response; `None` if the node has stopped.
    ///
    /// Dropping the future before it completes notifies the node that the client has disconnected.
    pub async fn submit(
        &self,
        request: NewRequest,
        call: Call,
        received_at: Duration,
    ) -> Option<FinalResponse> {
        self.submit_streaming(request, call, received_at, std::future::pending())
            .await
    }

    /// As [`NodeHandle::submit`], for a request whose body is still being received: `body_received` resolves to the
    /// time of its last byte.
    pub async fn submit_streaming(
        &self,
        mut request: NewRequest,
        call: Call,
        received_at: Duration,
        body_received: impl Future<Output = Duration>,
    ) -> Option<FinalResponse> {
        let id = self.next_id();
        request.id = id;
        let (response_sender, response) = oneshot::channel();
        // `drop` can't wait for space in the queue, so a permit is reserved before the request is sent.
        let permit = self.messages.clone().reserve_owned().await.ok()?;
        let mut disconnect_guard = DisconnectGuard {
            id,
            permit: Some(permit),
        };
        let accepted = Box::new(AcceptedRequest {
            request,
            received_at,
            call,
            response_sender,
        });
        self.messages.send(Message::Request(accepted)).await.ok()?;
        let mut response = std::pin::pin!(response);
        let early = tokio::select! {
            biased;
            response = response.as_mut() => Some(response),
            received_at = body_received => {
                self.messages.send(Message::BodyReceived(id, received_at)).await.ok()?;
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
struct DisconnectGuard {
    id: RequestId,
    permit: Option<mpsc::OwnedPermit<Message>>,
}

impl DisconnectGuard {
    fn disarm(&mut self) {
        self.permit = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.send(Message::ClientDisconnected(self.id));
        }
    }
}
