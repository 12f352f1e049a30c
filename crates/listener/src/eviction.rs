//! Which connection is closed when the limit is reached and a client waits to be served.

use crate::connection::{ClientConnection, IdleSince};
use sillward_runtime::time::Instant;
use std::rc::Rc;
use std::time::Duration;

/// How long a closing connection is given to end by itself before it is ended.
pub(crate) const CLOSE_GRACE: Duration = Duration::from_millis(10);
/// How long a new client is given to send its first bytes. Without it, a full node would close each connection for the next
/// one while its request is on the way.
const FIRST_BYTES_GRACE: Duration = Duration::from_millis(20);
/// At most one connection in so many has that grace: silent clients beyond that are closed.
const FIRST_BYTES_GRACE_SHARE: usize = 8;

/// Closes one connection to make capacity for a new one. One that is closing already is waited for; otherwise an idle one is
/// closed. A connection with an open request is never closed.
pub(crate) fn evict_connection<'a>(
    connections: impl Iterator<Item = &'a Rc<ClientConnection>> + Clone,
    max_connections: usize,
) {
    let now = Instant::now();
    if let Some((since, connection)) = longest_closing(connections.clone()) {
        if now > since + CLOSE_GRACE && !connection.is_write_blocked() {
            connection.terminate();
        }
        return;
    }
    if let Some(connection) = idle_to_evict(connections, max_connections, now) {
        connection.close();
    }
}

fn longest_closing<'a>(
    connections: impl Iterator<Item = &'a Rc<ClientConnection>>,
) -> Option<(Instant, &'a Rc<ClientConnection>)> {
    connections
        .filter_map(|connection| Some((connection.closing_since()?, connection)))
        .min_by_key(|(since, _)| *since)
}

/// The first idle connection, in the order of [`IdleSince`], on which no byte waits to be read.
fn idle_to_evict<'a>(
    connections: impl Iterator<Item = &'a Rc<ClientConnection>>,
    max_connections: usize,
    now: Instant,
) -> Option<&'a Rc<ClientConnection>> {
    let mut idle: Vec<_> = connections
        .filter_map(|connection| Some((connection.idle_since()?, connection)))
        .collect();
    let has_grace = |idle_since: IdleSince| match idle_since {
        IdleSince::Accept(accepted) => now < accepted + FIRST_BYTES_GRACE,
        IdleSince::LastRequest(_) => false,
    };
    let with_grace = idle.iter().filter(|(since, _)| has_grace(*since)).count();
    if with_grace <= (max_connections / FIRST_BYTES_GRACE_SHARE).max(1) {
        idle.retain(|(since, _)| !has_grace(*since));
    }
    idle.sort_unstable_by_key(|(since, _)| *since);
    idle.into_iter()
        .map(|(_, connection)| connection)
        .find(|connection| connection.is_quiet())
}
