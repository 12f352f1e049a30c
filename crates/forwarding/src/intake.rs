//! The way from a front to the node, for one request at a time.

use crate::{Call, FinalResponse, Message};
use sillward_balancer::{NewRequest, RequestId};
use sillward_runtime::Clock;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A request that a front has taken.
pub struct AcceptedRequest {
    pub request: NewRequest,
    /// When its last byte had come.
    pub received_at: Duration,
    pub call: Call,
    pub reply: oneshot::Sender<FinalResponse>,
}

/// Takes requests in, for every front.
#[derive(Clone)]
pub struct NodeHandle {
    clock: Clock,
    messages: mpsc::Sender<Message>,
    /// The last number that a request was given.
    numbers: Rc<Cell<u64>>,
}

impl NodeHandle {
    pub fn new(clock: Clock, messages: mpsc::Sender<Message>) -> Self {
        NodeHandle {
            clock,
            messages,
            numbers: Rc::default(),
        }
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Hands a request to the node, under a number of its own, and waits for its one answer. Dropped before
    /// that, it tells the node that the client has left. `None` if the node has ended.
    pub async fn submit(&self, new: NewRequest, call: Call, at: Duration) -> Option<FinalResponse> {
        self.submit_streaming(new, call, at, std::future::pending())
            .await
    }

    /// As [`NodeHandle::submit`], for a request whose body is still coming: `arrived` tells when its last byte came.
    pub async fn submit_streaming(
        &self,
        mut new: NewRequest,
        call: Call,
        at: Duration,
        arrived: impl Future<Output = Duration>,
    ) -> Option<FinalResponse> {
        self.numbers.set(self.numbers.get() + 1);
        let id = RequestId(self.numbers.get());
        new.id = id;
        let (reply, answer) = oneshot::channel();
        // The place for the news that the client has left is kept now: a drop can't wait for one.
        let place = self.messages.clone().reserve_owned().await.ok()?;
        let mut gone = Gone {
            id,
            place: Some(place),
        };
        let taken = Box::new(AcceptedRequest {
            request: new,
            received_at: at,
            call,
            reply,
        });
        self.messages.send(Message::Request(taken)).await.ok()?;
        let mut answer = std::pin::pin!(answer);
        let early = tokio::select! {
            biased;
            answer = answer.as_mut() => Some(answer),
            at = arrived => {
                self.messages.send(Message::BodyReceived(id, at)).await.ok()?;
                None
            }
        };
        let answer = match early {
            Some(answer) => answer,
            None => answer.await,
        };
        let answer = answer.unwrap_or(FinalResponse::Failed);
        gone.place = None;
        Some(answer)
    }
}

/// A client that leaves drops the future that serves it, and this with it.
struct Gone {
    id: RequestId,
    place: Option<mpsc::OwnedPermit<Message>>,
}

impl Drop for Gone {
    fn drop(&mut self) {
        if let Some(place) = self.place.take() {
            place.send(Message::ClientGone(self.id));
        }
    }
}
