//! Several backend protocols side by side: each backend speaks the one of its machine kind.

use crate::{Attempt, Backend, Backends, Ended, News, Stop, Task};
use hillpick::{ListKind, LoadReport, Outcome, ServerId, ServerState};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Passes attempts and news on to the protocol of the backend's machine kind.
pub struct Dispatch {
    protocols: Vec<Rc<dyn Backends>>,
    /// Which of them each machine kind speaks; the first where a kind is not named.
    by_kind: BTreeMap<u8, usize>,
    servers: RefCell<BTreeMap<ServerId, usize>>,
}

impl Dispatch {
    /// `first` is for every kind that `others` don't name.
    pub fn new(first: Rc<dyn Backends>, others: Vec<(u8, Rc<dyn Backends>)>) -> Self {
        let mut protocols = vec![first];
        let mut by_kind = BTreeMap::new();
        for (kind, protocol) in others {
            by_kind.insert(kind, protocols.len());
            protocols.push(protocol);
        }
        Dispatch { protocols, by_kind, servers: RefCell::default() }
    }

    fn of(&self, server: ServerId) -> Rc<dyn Backends> {
        let place = self.servers.borrow().get(&server).copied().unwrap_or_default();
        self.protocols[place].clone()
    }
}

impl Backends for Dispatch {
    fn attempt(self: Rc<Self>, attempt: Attempt, stopped: oneshot::Receiver<Stop>) -> Task<Ended> {
        self.of(attempt.server).attempt(attempt, stopped)
    }

    fn probe(self: Rc<Self>, server: ServerId) -> Task<(Outcome, Option<LoadReport>)> {
        self.of(server).probe(server)
    }

    fn listed(&self, news: &News, now: Duration) {
        let mut parts: Vec<Vec<Backend>> = vec![Vec::new(); self.protocols.len()];
        let mut servers = self.servers.borrow_mut();
        if matches!(news.kind, ListKind::Full | ListKind::Cached) {
            servers.clear();
        }
        for backend in &news.backends {
            let place = self.by_kind.get(&backend.entry.kind).copied().unwrap_or_default();
            let before = servers.insert(backend.entry.id, place);
            // What the other protocol still holds of it leads nowhere from now on.
            if let Some(before) = before.filter(|before| *before != place) {
                let mut gone = backend.clone();
                gone.entry.state = ServerState::Gone;
                parts[before].push(gone);
            }
            if backend.entry.state == ServerState::Gone {
                servers.remove(&backend.entry.id);
            }
            parts[place].push(backend.clone());
        }
        drop(servers);
        for (protocol, backends) in self.protocols.iter().zip(parts) {
            protocol.listed(&News { kind: news.kind, backends }, now);
        }
    }

    fn close_idle(&self, server: ServerId) {
        self.of(server).close_idle(server);
    }
}
