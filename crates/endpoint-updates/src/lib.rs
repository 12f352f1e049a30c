//! Carries what sources tell to the membership module, and what that comes to on to the node. Decides nothing.
#![forbid(unsafe_code)]

use sillward_balancer::{EndpointUpdate, ServerId};
use sillward_endpoints::{Line, Membership};
use sillward_forwarding::{Backend, BackendUpdate, Message};
use sillward_runtime::Clock;
use sillward_runtime::time::{Instant, sleep_until};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// How often what is held back is looked at.
const LOOK: Duration = Duration::from_millis(500);
/// The sources, by their place in the membership module.
const ROSTER: usize = 0;
const FURTHER: usize = 1;

/// What a source beside the roster tells.
#[derive(Debug)]
pub enum Telling {
    /// A whole list begins.
    Begin,
    /// Lines of it, or changes.
    Lines(Vec<Backend>),
    /// A backend is gone.
    Gone(ServerId),
    /// The whole list has been told.
    End,
    /// It is heard, and has nothing new.
    Heard,
    /// It has fallen silent.
    Silent,
}

/// The hub of the roster and a further source.
pub struct Hub {
    clock: Clock,
    membership: Rc<RefCell<Membership>>,
    node: mpsc::Sender<Message>,
    ready: Rc<Cell<bool>>,
}

impl Hub {
    /// `membership` has the roster as its first source and the further one as its second. `ready` is set once the
    /// further source has told its whole list.
    pub fn new(
        clock: Clock,
        membership: Rc<RefCell<Membership>>,
        node: mpsc::Sender<Message>,
        ready: Rc<Cell<bool>>,
    ) -> Self {
        Hub {
            clock,
            membership,
            node,
            ready,
        }
    }

    /// Carries on for as long as the node lives.
    pub async fn run(
        self,
        mut roster: mpsc::Receiver<Message>,
        mut further: mpsc::Receiver<Telling>,
    ) {
        let mut look_at = Instant::now() + LOOK;
        loop {
            let changed = tokio::select! {
                biased;
                () = sleep_until(look_at) => {
                    look_at = Instant::now() + LOOK;
                    self.membership.borrow_mut().believe(self.clock.now())
                }
                Some(message) = roster.recv() => match message {
                    Message::EndpointList(news) => self.roster(news).await,
                    other => {
                        let _ = self.node.send(other).await; // the roster sends lists alone
                        Vec::new()
                    }
                },
                Some(telling) = further.recv() => self.told(telling),
            };
            if changed.is_empty() {
                continue;
            }
            let backend = |line: Line| Backend {
                endpoint: line.entry,
                address: line.address,
            };
            let backends = changed.into_iter().map(backend).collect();
            let news = BackendUpdate {
                kind: EndpointUpdate::Incremental,
                backends,
            };
            if self.node.send(Message::EndpointList(news)).await.is_err() {
                return;
            }
        }
    }

    async fn roster(&self, news: BackendUpdate) -> Vec<Line> {
        let now = self.clock.now();
        if news.kind == EndpointUpdate::Failed {
            self.membership.borrow_mut().silent(ROSTER);
            let _ = self.node.send(Message::EndpointList(news)).await; // or the node has ended
            return Vec::new();
        }
        let lines = lines(&news.backends);
        let mut membership = self.membership.borrow_mut();
        if news.kind == EndpointUpdate::Incremental {
            return membership.tell(ROSTER, now, &lines);
        }
        membership.begin(ROSTER, now);
        let mut changed = membership.tell(ROSTER, now, &lines);
        changed.extend(membership.end(ROSTER, now));
        changed
    }

    fn told(&self, telling: Telling) -> Vec<Line> {
        let (now, mut membership) = (self.clock.now(), self.membership.borrow_mut());
        match telling {
            Telling::Begin => membership.begin(FURTHER, now),
            Telling::Lines(backends) => return membership.tell(FURTHER, now, &lines(&backends)),
            Telling::Gone(id) => return membership.remove(FURTHER, now, id),
            Telling::End => {
                self.ready.set(true);
                return membership.end(FURTHER, now);
            }
            Telling::Heard => membership.heard(FURTHER, now),
            Telling::Silent => membership.silent(FURTHER),
        }
        Vec::new()
    }
}

fn lines(backends: &[Backend]) -> Vec<Line> {
    backends
        .iter()
        .map(|backend| Line {
            entry: backend.endpoint,
            address: backend.address,
        })
        .collect()
}
