//! The bounds in time of each step of a call to discovery.
//!
//! Where the list is pushed, discovery is an agent on the node's own machine. Where it is polled, discovery works through
//! calls in turn.

use std::time::Duration;

/// How old a change may be when it reaches the node, from when discovery had it and was reachable.
pub(crate) const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// From a call's start to the head of its response, where the list is pushed: an agent on the same machine connects and
/// responds at once.
pub(crate) const PUSH_HEAD_TIMEOUT: Duration = Duration::from_millis(600);
/// The same where the list is polled: discovery lets no call wait for more than 2 s.
pub(crate) const POLL_HEAD_TIMEOUT: Duration = Duration::from_millis(2100);

/// Between the ends of two lines of a watch: discovery sends one every 2 s. Bytes that complete no line extend nothing.
pub(crate) const LINE_TIMEOUT: Duration = Duration::from_millis(2500);
/// From a call's start to the end of its watch's first line, where the list is pushed: the head adds nothing.
pub(crate) const PUSH_FIRST_LINE_TIMEOUT: Duration = LINE_TIMEOUT;
/// The same where the list is polled: the head's timeout and a list's transfer.
pub(crate) const POLL_FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2400);
/// From a poll's start to the end of its response's body: a list's transfer, as for a watch.
pub(crate) const POLL_BODY_TIMEOUT: Duration = POLL_FIRST_LINE_TIMEOUT;

/// The backoff after a watch that lasted.
pub(crate) const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff: a call that succeeds must fit into the deadline after one that failed.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// A watch that lasted longer than this was good: the backoff begins anew.
pub(crate) const STABLE_WATCH: Duration = LINE_TIMEOUT;

/// How long a watch goes on after a malformed list was dropped: what follows is still applied, then the list is read
/// again, since a change may have been in what was dropped.
pub(crate) const RESYNC_DELAY: Duration = Duration::from_secs(1);
/// How long a node that has a cached list waits for its first call before it is ready with the cached one.
pub(crate) const CACHED_READY_DELAY: Duration = Duration::from_secs(1);

// A watch that falls silent, a call that fails as late as it can, and a backoff after each.
const _: () = assert!(
    LINE_TIMEOUT.as_millis() + PUSH_FIRST_LINE_TIMEOUT.as_millis() + 2 * MAX_BACKOFF.as_millis()
        < UPDATE_DEADLINE.as_millis()
);
const _: () = assert!(POLL_FIRST_LINE_TIMEOUT.as_millis() <= PUSH_FIRST_LINE_TIMEOUT.as_millis());
