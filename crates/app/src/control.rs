//! The platform's calls for operators.

use hyper::{Method, StatusCode};
use sillward_admin::{Answering, Reply, Route};
use sillward_forwarding::Message;
use sillward_lifecycle::{Event, Said};
use sillward_listener::Life;
use sillward_logging::log;
use sillward_metrics::{Counters, View};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// All of them.
pub fn routes(
    life: &Rc<Life>,
    counters: &Rc<Counters>,
    node: &mpsc::Sender<Message>,
) -> Vec<Route> {
    let ready = {
        let life = life.clone();
        Route::new(Method::GET, "/control/ready", move || {
            match life.can_serve() {
                true => Reply::yes("ready\n"),
                false => Reply::no(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            }
        })
    };
    let figures = {
        let (counters, node) = (counters.clone(), node.clone());
        let answer = move || -> Answering {
            let (counters, node) = (counters.clone(), node.clone());
            Box::pin(async move { Reply::yes(counters.text(view(&node).await)) })
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
        told(life, "/control/out-of-service", Event::OutOfService),
        told(life, "/control/in-service", Event::InService),
    ]
}

/// What the node says of its list. One that has ended has none.
async fn view(node: &mpsc::Sender<Message>) -> View {
    let (ask, told) = oneshot::channel();
    match node.send(Message::View(ask)).await {
        Ok(()) => told.await.unwrap_or_default(),
        Err(_) => View::default(),
    }
}

fn told(life: &Rc<Life>, path: &'static str, event: Event) -> Route {
    let life = life.clone();
    Route::new(Method::POST, path, move || match life.handle(event) {
        Said::Yes => {
            log(format_args!("an operator called {path}"));
            Reply::yes("done\n")
        }
        Said::Leaving => Reply::no(StatusCode::CONFLICT, "the node is leaving\n"),
    })
}
