//! Timeouts and backoff for each step of a request to discovery.
//!
//! In pushed mode discovery is an agent on the node's own machine. In polled mode discovery handles
//! requests one after the other.

use std::time::Duration;

/// The longest time until a change reaches the node, from when discovery had it and was reachable.
pub(crate) const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// From the start of a request to the response head, in pushed mode: an agent on the same machine responds at once.
pub(crate) const PUSH_HEAD_TIMEOUT: Duration = Duration::from_millis(600);
/// The same in polled mode: discovery keeps no request waiting for more than 2 s.
pub(crate) const POLL_HEAD_TIMEOUT: Duration = Duration::from_millis(2100);

/// Between the ends of two lines of a watch: discovery sends a line every 2 s. Data that completes no line doesn't
/// extend the timeout.
pub(crate) const LINE_TIMEOUT: Duration = Duration::from_millis(2500);
/// From the start of a request to the end of the watch's first line, in pushed mode: the response head adds no delay.
pub(crate) const PUSH_FIRST_LINE_TIMEOUT: Duration = LINE_TIMEOUT;
/// The same in polled mode: the timeout for the head, and the transfer of a list.
pub(crate) const POLL_FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2400);
/// From the start of a poll to the end of the response body: the transfer of a list takes as long as on a watch.
pub(crate) const POLL_BODY_TIMEOUT: Duration = POLL_FIRST_LINE_TIMEOUT;

/// The backoff after a stable watch.
pub(crate) const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff: a failed request and a successful one must both fit into [`UPDATE_DEADLINE`].
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// A watch that lasted longer than this resets the backoff.
pub(crate) const STABLE_WATCH_DURATION: Duration = LINE_TIMEOUT;

/// How long a watch continues after a malformed list was dropped. Lists that follow are still applied; then the list is
/// read again, because the dropped one may have contained a change.
pub(crate) const RESYNC_DELAY: Duration = Duration::from_secs(1);
/// How long a node with a cached list waits for the first response from discovery before it is ready with the cached
/// list.
pub(crate) const CACHED_READY_DELAY: Duration = Duration::from_secs(1);

// The worst case for an update: a watch times out, the next request fails as late as possible, and a backoff follows
// each.
const _: () = assert!(
    LINE_TIMEOUT.as_millis() + PUSH_FIRST_LINE_TIMEOUT.as_millis() + 2 * MAX_BACKOFF.as_millis()
        < UPDATE_DEADLINE.as_millis()
);
const _: () = assert!(POLL_FIRST_LINE_TIMEOUT.as_millis() <= PUSH_FIRST_LINE_TIMEOUT.as_millis());
