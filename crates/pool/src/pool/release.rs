//! Releasing connections, which become idle or go to waiting attempts.

use super::Pool;
use crate::{Connection, ConnectionProtocol};
use sillward_balancer::ServerId;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::sleep_until;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection is not reused after a response. A faulty backend may send a duplicate response some
/// milliseconds later, which would be read as the response to the next request.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);

impl<P: ConnectionProtocol> Pool<P> {
    /// Releases a connection after a complete response. After [`REUSE_DELAY`] it is reusable, and goes to the attempt that
    /// has waited longest, if there is one.
    pub fn release(self: &Rc<Self>, connection: Connection<P>) {
        let server = connection.server;
        let reusable_at = self.clock.now() + REUSE_DELAY;
        self.add_idle(connection, reusable_at);
        if !self.has_waiters(server) {
            return;
        }
        let pool = self.clone();
        spawn_local(async move {
            sleep_until(pool.clock.instant(reusable_at)).await;
            pool.serve_waiters(server);
        });
    }

    /// Releases a connection that was not used since it was acquired or opened. It is reusable immediately.
    pub fn release_unused(&self, connection: Connection<P>) {
        let server = connection.server;
        self.add_idle(connection, Duration::ZERO);
        self.serve_waiters(server);
    }

    fn add_idle(&self, connection: Connection<P>, reusable_at: Duration) {
        let mut backends = self.backends.borrow_mut();
        if let Some(backend) = backends.get_mut(&connection.server) {
            backend.add_idle(connection, self.clock.now(), reusable_at);
        }
    }

    fn has_waiters(&self, server: ServerId) -> bool {
        self.backends
            .borrow()
            .get(&server)
            .is_some_and(|backend| !backend.waiters.is_empty())
    }

    fn serve_waiters(&self, server: ServerId) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&server) {
            backend.serve_waiters(self.clock.now(), self.timeouts.get().idle_timeout);
        }
    }
}
