//! Dialling backends. A slow dial is hedged with a second one, and a connection that is established too late for its
//! attempt serves a later request.

use super::Pool;
use crate::connection_limit::ConnectionSlot;
use crate::{Acquired, Connection, ConnectionProtocol};
use sillward_balancer::{Outcome, ServerId};
use sillward_logging::log_peer;
use sillward_runtime::Stream;
use sillward_runtime::net::TcpStream;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{Instant, timeout, timeout_at};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A dial that has timed out for its attempt is abandoned after this multiple of the connect timeout more.
const LATE_DIAL_FACTOR: u32 = 4;
/// A dial is slow once it has taken this multiple of the smoothed dial time.
const SLOW_DIAL_FACTOR: u32 = 3;
/// The weights of the previous value and of a new sample in the smoothed dial time.
const PREVIOUS_WEIGHT: f64 = 0.875;
const SAMPLE_WEIGHT: f64 = 0.125;
/// Linux error numbers for a shortage of file descriptors or local ports.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

/// The target of a dial, and the time until which an attempt waits for it.
#[derive(Clone, Copy)]
pub(super) struct DialTarget {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) epoch: u64,
    pub(super) deadline: Instant,
}

/// Whether a dial is the first one or its hedge.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DialKind {
    /// The first dial, which may be hedged if it is slow.
    First,
    /// The second dial, started because the first is slow.
    Hedge,
}

/// The smoothed dial time before the first dial, chosen so that no dial is slow before its timeout.
pub(super) fn initial_dial_time(connect_timeout: Duration) -> Duration {
    connect_timeout / SLOW_DIAL_FACTOR
}

impl<P: ConnectionProtocol> Pool<P> {
    /// Opens a connection and gives it to the attempt that has waited longest.
    ///
    /// At the deadline, the dial has failed for that attempt. A connection that is established a little later serves a
    /// later request, since it has already cost the backend a handshake.
    pub(super) async fn dial(
        self: Rc<Self>,
        target: DialTarget,
        slot: ConnectionSlot,
        kind: DialKind,
    ) {
        let started_at = Instant::now();
        let mut connecting = std::pin::pin!(self.connect(target, slot));
        let slow_at =
            (started_at + self.smoothed_dial_time.get() * SLOW_DIAL_FACTOR).min(target.deadline);
        let mut connected = timeout_at(slow_at, connecting.as_mut()).await;
        if connected.is_err() {
            if kind == DialKind::First && slow_at < target.deadline {
                self.start_hedged_dial(target);
            }
            connected = timeout_at(target.deadline, connecting.as_mut()).await;
        }
        match connected {
            Ok(Ok(connection)) => {
                self.record_dial_time(started_at.elapsed());
                self.end_dial(target.server);
                self.release_unused(connection);
                // Waiters are in excess only if the connection is of an earlier epoch, which is no fault of the backend.
                self.fail_excess_waiters(target.server, Outcome::NotSent);
            }
            Ok(Err(outcome)) => {
                self.end_dial(target.server);
                self.fail_excess_waiters(target.server, outcome);
            }
            Err(_) => {
                self.end_dial(target.server);
                self.fail_excess_waiters(target.server, Outcome::ConnectFailed);
                // When connections are scarce, a late dial would occupy one that an attempt could use.
                if self.limit.is_over_half() {
                    return;
                }
                let late_timeout = self.timeouts.get().connect_timeout * LATE_DIAL_FACTOR;
                if let Ok(Ok(late)) = timeout(late_timeout, connecting).await {
                    self.release_unused(late);
                }
            }
        }
    }

    /// Starts a second dial if an attempt still waits and at most half of the allowed connections are open.
    fn start_hedged_dial(self: &Rc<Self>, target: DialTarget) {
        if self.limit.is_over_half() {
            return;
        }
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&target.server) else {
            return;
        };
        backend.drop_closed_waiters();
        if backend.waiters.is_empty() || backend.epoch != target.epoch {
            return;
        }
        backend.dials += 1;
        let slot = self.limit.reserve();
        let pool = self.clone();
        // Boxed because the future would otherwise contain itself.
        spawn_local(async move { Box::pin(pool.dial(target, slot, DialKind::Hedge)).await });
    }

    async fn connect(self: &Rc<Self>, target: DialTarget, slot: ConnectionSlot) -> Acquired<P> {
        let stream = match TcpStream::connect(target.address).await {
            Ok(stream) => stream,
            Err(error) if is_local_resource_shortage(&error) => {
                log_peer(format_args!("cannot dial a backend: {error}"));
                self.close_longest_idle();
                return Err(Outcome::NotSent);
            }
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        let (stream, socket) = Stream::new(stream);
        let session = self
            .protocol
            .handshake(stream)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        Ok(Connection {
            server: target.server,
            epoch: target.epoch,
            session,
            socket,
            _slot: slot,
        })
    }

    fn record_dial_time(&self, observed: Duration) {
        let previous = self.smoothed_dial_time.get();
        let smoothed = previous.mul_f64(PREVIOUS_WEIGHT) + observed.mul_f64(SAMPLE_WEIGHT);
        self.smoothed_dial_time.set(smoothed);
    }

    fn end_dial(&self, server: ServerId) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&server) {
            backend.dials -= 1;
        }
    }

    fn fail_excess_waiters(&self, server: ServerId, outcome: Outcome) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&server) {
            backend.fail_excess_waiters(outcome);
        }
    }
}

/// Whether the error is a shortage of file descriptors or ports on this node, which says nothing about the backend.
fn is_local_resource_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL))
}
