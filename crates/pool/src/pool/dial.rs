//! Dialling backends. A slow dial is hedged with a second one; a connection that comes up too late for its attempt
//! serves a later request.

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

/// A dial that has failed for its attempt is abandoned after so many times the connect timeout more.
const LATE_DIAL_FACTOR: u32 = 4;
/// A dial that has taken so many times the usual time is slow.
const SLOW_DIAL_FACTOR: u32 = 3;
/// The weights of the previous estimate and of a new dial in the smoothed dial time.
const PREVIOUS_WEIGHT: f64 = 0.875;
const NEW_WEIGHT: f64 = 0.125;
/// The system's error numbers for a lack of descriptors or ports.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

/// What is dialled, and until when an attempt waits for it.
#[derive(Clone, Copy)]
pub(super) struct DialTarget {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) epoch: u64,
    pub(super) deadline: Instant,
}

/// Whether a dial may be hedged.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DialKind {
    /// The first dial, which is hedged if it is slow.
    First,
    /// The second dial beside a slow one.
    Hedge,
}

/// The estimate before the first dial: no dial is slow before its timeout.
pub(super) fn initial_dial_time(connect_timeout: Duration) -> Duration {
    connect_timeout / SLOW_DIAL_FACTOR
}

impl<P: ConnectionProtocol> Pool<P> {
    /// Opens a connection and gives it to the longest waiting attempt.
    ///
    /// When the deadline passes, the dial has failed for that attempt; a connection that comes up a little later has
    /// cost the backend a handshake and serves a later request.
    pub(super) async fn dial(
        self: Rc<Self>,
        target: DialTarget,
        slot: ConnectionSlot,
        kind: DialKind,
    ) {
        let began_at = Instant::now();
        let mut connecting = std::pin::pin!(self.connect(target, slot));
        let slow_at =
            (began_at + self.usual_dial_time.get() * SLOW_DIAL_FACTOR).min(target.deadline);
        let mut connected = timeout_at(slow_at, connecting.as_mut()).await;
        if connected.is_err() {
            if kind == DialKind::First && slow_at < target.deadline {
                self.start_hedged_dial(target);
            }
            connected = timeout_at(target.deadline, connecting.as_mut()).await;
        }
        match connected {
            Ok(Ok(connection)) => {
                self.observe_dial_time(began_at.elapsed());
                self.end_dial(target.server);
                self.release_unused(connection);
                // Waiters remain only if it was of an earlier epoch: no fault of the backend's.
                self.fail_excess_waiters(target.server, Outcome::NotSent);
            }
            Ok(Err(outcome)) => {
                self.end_dial(target.server);
                self.fail_excess_waiters(target.server, outcome);
            }
            Err(_) => {
                self.end_dial(target.server);
                self.fail_excess_waiters(target.server, Outcome::ConnectFailed);
                // With few descriptors left, a dial in progress would take the place of a connection in use.
                if self.limit.is_over_half() {
                    return;
                }
                let patience = self.timeouts.get().connect_timeout * LATE_DIAL_FACTOR;
                if let Ok(Ok(late)) = timeout(patience, connecting).await {
                    self.release_unused(late);
                }
            }
        }
    }

    /// Dials a second time while an attempt waits for the first, if there are plenty of descriptors.
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
        // Boxed: the future would contain itself.
        spawn_local(async move { Box::pin(pool.dial(target, slot, DialKind::Hedge)).await });
    }

    async fn connect(self: &Rc<Self>, target: DialTarget, slot: ConnectionSlot) -> Acquired<P> {
        let stream = match TcpStream::connect(target.address).await {
            Ok(stream) => stream,
            Err(error) if is_local_shortage(&error) => {
                log_peer(format_args!("cannot dial: {error}"));
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

    fn observe_dial_time(&self, observed: Duration) {
        let previous = self.usual_dial_time.get();
        let smoothed = previous.mul_f64(PREVIOUS_WEIGHT) + observed.mul_f64(NEW_WEIGHT);
        self.usual_dial_time.set(smoothed);
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

/// Whether this node lacks descriptors or ports, which says nothing of the backend.
fn is_local_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL))
}
