//! The platform's calls for operators.

use hyper::{Method, StatusCode};
use sillward_admin::{Reply, ReplyFuture, Route};
use sillward_forwarding::Message;
use sillward_lifecycle::{Event, EventOutcome};
use sillward_listener::SharedLifecycle;
use sillward_logging::log;
use sillward_metrics::{Counters, EndpointGauges};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// All of them.
pub fn routes(
    lifecycle: &Rc<SharedLifecycle>,
    counters: &Rc<Counters>,
    node: &mpsc::Sender<Message>,
) -> Vec<Route> {
    let ready = {
        let lifecycle = lifecycle.clone();
        Route::new(Method::GET, "/control/ready", move || {
            match lifecycle.can_serve() {
                true => Reply::ok("ready\n"),
                false => Reply::error(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            }
        })
    };
    let figures = {
        let (counters, node) = (counters.clone(), node.clone());
        let answer = move || -> ReplyFuture {
            let (counters, node) = (counters.clone(), node.clone());
            Box::pin(async move { Reply::ok(counters.render(view(&node).await)) })
        };
        Route {
            method: Method::GET,
            path: "/control/counters",
            answer: Box::new(answer),
        }
    };
    vec![
        ready,
        figures,
        told(lifecycle, "/control/out-of-service", Event::OutOfService),
        told(lifecycle, "/control/in-service", Event::InService),
    ]
}

/// What the node says of its list. One that has ended has none.
async fn view(node: &mpsc::Sender<Message>) -> EndpointGauges {
    let (ask, told) = oneshot::channel();
    match node.send(Message::EndpointGauges(ask)).await {
        Ok(()) => told.await.unwrap_or_default(),
        Err(_) => EndpointGauges::default(),
    }
}

fn told(lifecycle: &Rc<SharedLifecycle>, path: &'static str, event: Event) -> Route {
    let lifecycle = lifecycle.clone();
    Route::new(Method::POST, path, move || match lifecycle.handle(event) {
        EventOutcome::Applied => {
            log(format_args!("an operator called {path}"));
            Reply::ok("done\n")
        }
        EventOutcome::RejectedShuttingDown => {
            Reply::error(StatusCode::CONFLICT, "the node is leaving\n")
        }
    })
}
