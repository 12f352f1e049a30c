//! Acquiring a connection: an idle one, or a released or new one, whichever is available first.

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
    /// Acquires the connection that became idle last. If none is reusable, waits until an idle one is, or else for a
    /// released or a new one, whichever is available first.
    ///
    /// Cancel safe: a connection that was delivered but not received is returned to the pool.
    ///
    /// # Errors
    /// The outcome of the attempt: [`Outcome::ConnectFailed`], or [`Outcome::NotSent`] if the backend is not the cause.
    pub async fn acquire(self: &Rc<Self>, server: ServerId) -> Acquired<P> {
        loop {
            match self.take_idle(server)? {
                IdleLookup::Ready(connection) => return Ok(connection),
                IdleLookup::ReusableAt(reusable_at) => {
                    let _waiting = IdleWaitGuard::new(self, server);
                    sleep_until(self.clock.instant(reusable_at)).await;
                }
                IdleLookup::None => break,
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

    fn take_idle(&self, server: ServerId) -> Result<IdleLookup<P>, Outcome> {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&server).ok_or(Outcome::NotSent)?;
        let idle_timeout = self.timeouts.get().idle_timeout;
        if let Some(connection) = backend.take_idle(self.clock.now(), idle_timeout) {
            return Ok(IdleLookup::Ready(connection));
        }
        Ok(backend
            .next_reusable_at()
            .map_or(IdleLookup::None, IdleLookup::ReusableAt))
    }

    /// Adds a waiter to the backend's queue. Starts a dial unless one is in progress that no other waiter needs.
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

    /// The target to dial for one more waiter; `None` if the dials in progress suffice.
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
            log_peer("an attempt was not sent: the limit on backend connections is reached");
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

/// The result of looking for an idle connection to a backend.
enum IdleLookup<P: ConnectionProtocol> {
    /// A connection that may be used.
    Ready(Connection<P>),
    /// The time when the next connection becomes reusable.
    ReusableAt(Duration),
    /// There is no idle connection, or other attempts wait for each of them.
    None,
}

/// Counts an attempt that waits until an idle connection is reusable, until it is dropped.
struct IdleWaitGuard<'a, P: ConnectionProtocol> {
    pool: &'a Pool<P>,
    server: ServerId,
}

impl<'a, P: ConnectionProtocol> IdleWaitGuard<'a, P> {
    fn new(pool: &'a Pool<P>, server: ServerId) -> Self {
        if let Some(backend) = pool.backends.borrow_mut().get_mut(&server) {
            backend.waiting_for_idle += 1;
        }
        IdleWaitGuard { pool, server }
    }
}

impl<P: ConnectionProtocol> Drop for IdleWaitGuard<'_, P> {
    fn drop(&mut self) {
        if let Some(backend) = self.pool.backends.borrow_mut().get_mut(&self.server) {
            backend.waiting_for_idle = backend.waiting_for_idle.saturating_sub(1);
        }
    }
}

/// An attempt in the queue. When dropped, it returns a connection that was delivered but not received, since a new one
/// would cost the backend another handshake.
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
