//! Acquiring a connection: an idle one, or whichever of a released and a new one is ready first.

use super::Pool;
use super::dial::{DialKind, DialTarget};
use crate::{Acquired, Connection, ConnectionProtocol};
use sillward_balancer::{Outcome, ServerId};
use sillward_logging::log_peer;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{Instant, sleep_until};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

impl<P: ConnectionProtocol> Pool<P> {
    /// Acquires the most recently used idle connection, or whichever is ready first: an idle one that becomes
    /// reusable, a released one or a new one.
    ///
    /// Cancellation safe: a connection that was delivered but not received goes back to the pool.
    ///
    /// # Errors
    /// The outcome of the attempt: [`Outcome::ConnectFailed`], or [`Outcome::NotSent`] if the cause is not the
    /// backend's.
    pub async fn acquire(self: &Rc<Self>, server: ServerId) -> Acquired<P> {
        loop {
            match self.take_idle(server)? {
                Idle::Ready(connection) => return Ok(connection),
                Idle::ReusableAt(reusable_at) => {
                    let _waiting = IdleWaiter::new(self, server);
                    sleep_until(self.clock.instant(reusable_at)).await;
                }
                Idle::None => break,
            }
        }
        let mut waiter = ConnectionWaiter {
            pool: self,
            receiver: self.enqueue(server)?,
        };
        (&mut waiter.receiver)
            .await
            .unwrap_or(Err(Outcome::NotSent))
    }

    fn take_idle(&self, server: ServerId) -> Result<Idle<P>, Outcome> {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&server).ok_or(Outcome::NotSent)?;
        let idle_timeout = self.timeouts.get().idle_timeout;
        if let Some(connection) = backend.take_idle(self.clock.now(), idle_timeout) {
            return Ok(Idle::Ready(connection));
        }
        Ok(backend
            .next_reusable_at()
            .map_or(Idle::None, Idle::ReusableAt))
    }

    /// Waits in the queue of the backend's connections. Starts a dial unless one is in progress that no other waits
    /// for.
    fn enqueue(
        self: &Rc<Self>,
        server: ServerId,
    ) -> Result<oneshot::Receiver<Acquired<P>>, Outcome> {
        if let Some(target) = self.dial_target(server)? {
            self.start_dial(target)?;
        }
        let (waiter, receiver) = oneshot::channel();
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&server).ok_or(Outcome::NotSent)?;
        backend.waiters.push_back(waiter);
        Ok(receiver)
    }

    /// What one more waiter needs dialled, if anything.
    fn dial_target(&self, server: ServerId) -> Result<Option<DialTarget>, Outcome> {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&server).ok_or(Outcome::NotSent)?;
        backend.drop_closed_waiters();
        if backend.dials > backend.waiters.len() {
            return Ok(None);
        }
        Ok(Some(DialTarget {
            server,
            address: backend.address.ok_or(Outcome::NotSent)?,
            epoch: backend.epoch,
            deadline: Instant::now() + self.timeouts.get().connect_timeout,
        }))
    }

    fn start_dial(self: &Rc<Self>, target: DialTarget) -> Result<(), Outcome> {
        if self.limit.is_reached() && !self.close_longest_idle() {
            log_peer("no connection is available for an attempt: it was not sent");
            return Err(Outcome::NotSent);
        }
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&target.server).ok_or(Outcome::NotSent)?;
        backend.dials += 1;
        spawn_local(
            self.clone()
                .dial(target, self.limit.reserve(), DialKind::First),
        );
        Ok(())
    }
}

/// The idle connections to a backend.
enum Idle<P: ConnectionProtocol> {
    /// One that may be used.
    Ready(Connection<P>),
    /// The next one will be reusable then.
    ReusableAt(Duration),
    /// There is none, or others wait for each.
    None,
}

/// An attempt that waits until an idle connection is reusable.
struct IdleWaiter<'a, P: ConnectionProtocol> {
    pool: &'a Pool<P>,
    server: ServerId,
}

impl<'a, P: ConnectionProtocol> IdleWaiter<'a, P> {
    fn new(pool: &'a Pool<P>, server: ServerId) -> Self {
        if let Some(backend) = pool.backends.borrow_mut().get_mut(&server) {
            backend.waiting_for_idle += 1;
        }
        IdleWaiter { pool, server }
    }
}

impl<P: ConnectionProtocol> Drop for IdleWaiter<'_, P> {
    fn drop(&mut self) {
        if let Some(backend) = self.pool.backends.borrow_mut().get_mut(&self.server) {
            backend.waiting_for_idle = backend.waiting_for_idle.saturating_sub(1);
        }
    }
}

/// An attempt in the queue. Dropped, it returns a connection that was delivered meanwhile: it has cost the backend a
/// handshake.
struct ConnectionWaiter<'a, P: ConnectionProtocol> {
    pool: &'a Pool<P>,
    receiver: oneshot::Receiver<Acquired<P>>,
}

impl<P: ConnectionProtocol> Drop for ConnectionWaiter<'_, P> {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Ok(connection)) = self.receiver.try_recv() {
            self.pool.release_unused(connection);
        }
    }
}
