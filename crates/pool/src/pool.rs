//! The connection pool of one protocol.

mod acquire;
mod dial;
mod release;

use crate::backend_connections::BackendConnections;
use crate::{ConnectionLimit, ConnectionProtocol, PoolTimeouts};
use sillward_balancer::{EndpointUpdate, ServerId};
use sillward_forwarding::{Backend, BackendUpdate};
use sillward_runtime::Clock;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::sleep;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use release::REUSE_DELAY;

/// The number of sweeps of idle connections per idle timeout.
const SWEEPS_PER_IDLE_TIMEOUT: u32 = 8;
/// The minimum interval between two sweeps.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(5);

/// The connections of one protocol to all its backends.
pub struct Pool<P: ConnectionProtocol> {
    /// The node's clock.
    pub clock: Clock,
    protocol: P,
    timeouts: Cell<PoolTimeouts>,
    backends: RefCell<BTreeMap<ServerId, BackendConnections<P>>>,
    limit: Rc<ConnectionLimit>,
    /// The exponentially weighted moving average of the durations of successful dials.
    smoothed_dial_time: Cell<Duration>,
}

impl<P: ConnectionProtocol> Pool<P> {
    /// Starts a pool without backends, and the task that closes expired idle connections.
    pub fn start(
        clock: Clock,
        protocol: P,
        timeouts: PoolTimeouts,
        limit: Rc<ConnectionLimit>,
    ) -> Rc<Self> {
        let pool = Rc::new(Pool {
            clock,
            protocol,
            timeouts: Cell::new(timeouts),
            backends: RefCell::default(),
            limit,
            smoothed_dial_time: Cell::new(dial::initial_dial_time(timeouts.connect_timeout)),
        });
        spawn_local(pool.clone().sweep_periodically());
        pool
    }

    /// Changes the timeouts.
    pub fn set_timeouts(&self, timeouts: PoolTimeouts) {
        self.timeouts.set(timeouts);
    }

    /// Applies an endpoint update.
    pub fn update_backends(&self, update: &BackendUpdate, now: Duration) {
        let mut backends = self.backends.borrow_mut();
        if matches!(update.kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            remove_unlisted(&mut backends, &update.backends, now);
        }
        for Backend { endpoint, address } in &update.backends {
            backends
                .entry(endpoint.id)
                .or_default()
                .update(endpoint, *address, now);
        }
        drop_obsolete(&mut backends);
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&server) {
            backend.close_idle();
        }
    }

    /// The address of a backend; `None` if no request may be sent to it, for instance because its drain grace has passed.
    pub fn usable_address(&self, server: ServerId) -> Option<SocketAddr> {
        let backends = self.backends.borrow();
        let backend = backends.get(&server)?;
        if let Some(notified_at) = backend.drain_notified_at {
            if self.clock.now() >= notified_at + self.timeouts.get().drain_grace {
                return None;
            }
        }
        backend.address
    }

    async fn sweep_periodically(self: Rc<Self>) {
        loop {
            let interval = self.timeouts.get().idle_timeout / SWEEPS_PER_IDLE_TIMEOUT;
            sleep(interval.max(MIN_SWEEP_INTERVAL)).await;
            self.sweep();
        }
    }

    /// Closes connections that have reached the idle timeout, before the backend closes them.
    fn sweep(&self) {
        let now = self.clock.now();
        let idle_timeout = self.timeouts.get().idle_timeout;
        let mut backends = self.backends.borrow_mut();
        for backend in backends.values_mut() {
            backend.close_expired(now, idle_timeout);
        }
        drop_obsolete(&mut backends);
    }

    /// Closes the connection, of all backends, that has been idle longest. Returns false if there is none.
    fn close_longest_idle(&self) -> bool {
        let mut backends = self.backends.borrow_mut();
        let longest = backends
            .values_mut()
            .filter(|backend| backend.idle_since().is_some())
            .min_by_key(|backend| backend.idle_since());
        match longest {
            Some(backend) => {
                backend.close_longest_idle();
                true
            }
            None => false,
        }
    }
}

/// Marks the backends that are not in a full list as removed.
fn remove_unlisted<P: ConnectionProtocol>(
    backends: &mut BTreeMap<ServerId, BackendConnections<P>>,
    list: &[Backend],
    now: Duration,
) {
    let listed: BTreeSet<ServerId> = list.iter().map(|backend| backend.endpoint.id).collect();
    for (id, backend) in backends {
        if !listed.contains(id) {
            backend.remove(now);
        }
    }
}

/// Drops the state of removed backends, which would otherwise accumulate over days.
fn drop_obsolete<P: ConnectionProtocol>(backends: &mut BTreeMap<ServerId, BackendConnections<P>>) {
    backends.retain(|_, backend| !backend.is_obsolete());
}

#[cfg(test)]
mod tests;
