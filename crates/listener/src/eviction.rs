//! Chooses the connection to close when the connection limit is reached and a new client waits.

use crate::connection::{ClientConnection, IdleSince};
use sillward_runtime::time::Instant;
use std::rc::Rc;
use std::time::Duration;

/// How long a closing connection may take to end by itself before it is terminated.
pub(crate) const CLOSE_GRACE: Duration = Duration::from_millis(10);
/// How long a new connection that has sent no bytes is exempt from eviction. Without this grace, a node at its limit would
/// close each connection in favour of the next one while the request is still in transit.
const FIRST_BYTES_GRACE: Duration = Duration::from_millis(20);
/// The grace applies only while the number of connections within it is at most the connection limit divided by this.
/// Beyond that, silent clients are closed too.
const FIRST_BYTES_GRACE_DIVISOR: usize = 8;

/// Closes one connection to make room for a new one. If one is already closing, only terminates it, once
/// [`CLOSE_GRACE`] has passed; otherwise closes an idle one. A connection with an open request is never closed.
pub(crate) fn evict_connection<'a>(
    connections: impl Iterator<Item = &'a Rc<ClientConnection>> + Clone,
    max_connections: usize,
) {
    let now = Instant::now();
    if let Some((since, connection)) = find_longest_closing(connections.clone()) {
        if now > since + CLOSE_GRACE && !connection.is_write_blocked() {
            connection.terminate();
        }
        return;
    }
    if let Some(connection) = find_idle_to_evict(connections, max_connections, now) {
        connection.close();
    }
}

fn find_longest_closing<'a>(
    connections: impl Iterator<Item = &'a Rc<ClientConnection>>,
) -> Option<(Instant, &'a Rc<ClientConnection>)> {
    connections
        .filter_map(|connection| Some((connection.closing_since()?, connection)))
        .min_by_key(|(since, _)| *since)
}

/// The first idle connection without unread bytes, in the order of [`IdleSince`].
fn find_idle_to_evict<'a>(
    connections: impl Iterator<Item = &'a Rc<ClientConnection>>,
    max_connections: usize,
    now: Instant,
) -> Option<&'a Rc<ClientConnection>> {
    let mut idle: Vec<_> = connections
        .filter_map(|connection| Some((connection.idle_since()?, connection)))
        .collect();
    let is_in_grace = |idle_since: IdleSince| match idle_since {
        IdleSince::Accept(accepted) => now < accepted + FIRST_BYTES_GRACE,
        IdleSince::LastRequest(_) => false,
    };
    let in_grace_count = idle.iter().filter(|(since, _)| is_in_grace(*since)).count();
    if in_grace_count <= (max_connections / FIRST_BYTES_GRACE_DIVISOR).max(1) {
        idle.retain(|(since, _)| !is_in_grace(*since));
    }
    idle.sort_unstable_by_key(|(since, _)| *since);
    idle.into_iter()
        .map(|(_, connection)| connection)
        .find(|connection| connection.read_would_block())
}
