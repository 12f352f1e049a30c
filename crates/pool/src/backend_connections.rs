//! The state of one backend in a pool: its address, its idle connections and the attempts that wait for one.

use crate::{Acquired, Connection, ConnectionProtocol};
use sillward_balancer::{Endpoint, Outcome, ServerState};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// A connection that is not in use.
pub(crate) struct IdleConnection<P: ConnectionProtocol> {
    connection: Connection<P>,
    since: Duration,
    /// When the reuse delay ends, by which a duplicate response to its last request would have arrived.
    reusable_at: Duration,
}

/// The connections to one backend.
pub(crate) struct BackendConnections<P: ConnectionProtocol> {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) state: ServerState,
    started_at: Option<Duration>,
    /// Counts changes of the backend that make its connections unusable. Connections of an earlier epoch are not reused.
    pub(crate) epoch: u64,
    /// When the pool was notified that the backend is draining or removed.
    pub(crate) drain_notified_at: Option<Duration>,
    /// Idle connections in the order in which they became idle.
    idle: Vec<IdleConnection<P>>,
    /// The number of attempts that wait until an idle connection is reusable: at most one per idle connection.
    pub(crate) waiting_for_idle: usize,
    /// Attempts that wait for a connection, in the order of arrival.
    pub(crate) waiters: VecDeque<oneshot::Sender<Acquired<P>>>,
    /// The number of dials in progress, at least the number of waiters whenever a waiter is added.
    pub(crate) dials: usize,
}

impl<P: ConnectionProtocol> Default for BackendConnections<P> {
    fn default() -> Self {
        BackendConnections {
            address: None,
            state: ServerState::default(),
            started_at: None,
            epoch: 0,
            drain_notified_at: None,
            idle: Vec::new(),
            waiting_for_idle: 0,
            waiters: VecDeque::new(),
            dials: 0,
        }
    }
}

impl<P: ConnectionProtocol> BackendConnections<P> {
    /// Applies the backend's entry in the endpoint list.
    pub(crate) fn update(&mut self, endpoint: &Endpoint, address: SocketAddr, now: Duration) {
        let is_replaced = self.address != Some(address) || self.started_at != endpoint.started_at;
        let is_ready = endpoint.state == ServerState::Ready;
        self.address = Some(address);
        self.started_at = endpoint.started_at;
        self.state = endpoint.state;
        if is_ready {
            self.drain_notified_at = None;
        } else {
            self.drain_notified_at.get_or_insert(now);
        }
        // Connections to an earlier incarnation, or to a backend that accepts no new requests, are no longer usable.
        if is_replaced || !is_ready {
            self.start_epoch();
        }
    }

    /// Marks the backend as no longer in the endpoint list.
    pub(crate) fn remove(&mut self, now: Duration) {
        self.state = ServerState::Removed;
        self.drain_notified_at.get_or_insert(now);
        self.start_epoch();
    }

    /// Starts a new epoch: closes the idle connections, and those in use when they are released.
    fn start_epoch(&mut self) {
        self.epoch += 1;
        self.idle.clear();
    }

    /// Whether the state can be dropped. A dial in progress still needs it.
    pub(crate) fn is_obsolete(&self) -> bool {
        self.state == ServerState::Removed && self.dials == 0
    }

    /// Adds an idle connection, or closes it if it can't be reused.
    pub(crate) fn add_idle(
        &mut self,
        connection: Connection<P>,
        now: Duration,
        reusable_at: Duration,
    ) {
        if connection.is_usable() && connection.epoch == self.epoch {
            self.push_idle(connection, now, reusable_at);
        }
    }

    fn push_idle(&mut self, connection: Connection<P>, now: Duration, reusable_at: Duration) {
        self.idle.push(IdleConnection {
            connection,
            since: now,
            reusable_at,
        });
    }

    /// Takes the reusable connection that became idle last. Closes unusable and expired ones that it finds first.
    pub(crate) fn take_idle(
        &mut self,
        now: Duration,
        idle_timeout: Duration,
    ) -> Option<Connection<P>> {
        while let Some(position) = self.idle.iter().rposition(|idle| now >= idle.reusable_at) {
            let idle = self.idle.remove(position);
            if idle.connection.is_usable() && now.saturating_sub(idle.since) < idle_timeout {
                return Some(idle.connection);
            }
        }
        None
    }

    /// When the next idle connection that no other attempt waits for becomes reusable. The connections are in the order
    /// in which they became idle.
    pub(crate) fn next_reusable_at(&self) -> Option<Duration> {
        self.idle
            .get(self.waiting_for_idle)
            .map(|idle| idle.reusable_at)
    }

    /// Drops connections that the backend has closed or that have reached the idle timeout.
    pub(crate) fn close_expired(&mut self, now: Duration, idle_timeout: Duration) {
        self.idle.retain(|idle| {
            !P::is_closed(&idle.connection.session) && now.saturating_sub(idle.since) < idle_timeout
        });
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// When the connection that has been idle longest became idle.
    pub(crate) fn idle_since(&self) -> Option<Duration> {
        self.idle.first().map(|idle| idle.since)
    }

    /// Closes the connection that has been idle longest. Panics if there is none.
    pub(crate) fn close_longest_idle(&mut self) {
        drop(self.idle.remove(0));
    }

    /// The number of idle connections.
    #[cfg(test)]
    pub(crate) fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// Removes the waiters whose attempt has ended.
    pub(crate) fn drop_closed_waiters(&mut self) {
        self.waiters.retain(|waiter| !waiter.is_closed());
    }

    /// Gives reusable connections to the waiters, in the order of arrival. Connections from their dials serve later
    /// requests.
    pub(crate) fn serve_waiters(&mut self, now: Duration, idle_timeout: Duration) {
        self.drop_closed_waiters();
        while !self.waiters.is_empty() {
            let Some(connection) = self.take_idle(now, idle_timeout) else {
                return;
            };
            let Some(waiter) = self.waiters.pop_front() else {
                return;
            };
            if let Err(Ok(returned)) = waiter.send(Ok(connection)) {
                self.push_idle(returned, now, Duration::ZERO);
            }
        }
    }

    /// Fails the waiters in excess of the dials in progress, in the order of arrival.
    pub(crate) fn fail_excess_waiters(&mut self, outcome: Outcome) {
        self.drop_closed_waiters();
        while self.waiters.len() > self.dials {
            let Some(waiter) = self.waiters.pop_front() else {
                break;
            };
            let _ = waiter.send(Err(outcome)); // fails only if the attempt has just ended
        }
    }
}
