//! A watch of discovery's endpoint list: applies its lists and detects when it is broken.

use crate::decoder::{WatchDecoder, WatchItem};
use crate::error::DiscoveryError;
use crate::feed::{ListFeed, ListOrigin};
use crate::request::{LIST_PATH, get};
use crate::timing::{LINE_TIMEOUT, RESYNC_DELAY};
use http_body_util::BodyExt;
use sillward_logging::log_peer;
use sillward_runtime::time::{Instant, timeout_at};
use std::convert::Infallible;
use std::time::Duration;

/// Runs a watch until it breaks and returns the error. If the future is dropped, the lists applied so far remain in
/// effect.
pub(crate) async fn watch(feed: &mut ListFeed) -> DiscoveryError {
    let Err(error) = Watch::new(feed.first_line_timeout()).run(feed).await;
    error
}

/// The state of a running watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Every received list was applied.
    InSync,
    /// A malformed list was dropped, so a change may be missing.
    Incomplete {
        /// When the first malformed list was dropped.
        since: Instant,
    },
}

struct Watch {
    state: State,
    /// The time by which the next line must be complete.
    line_deadline: Instant,
}

impl Watch {
    fn new(first_line_timeout: Duration) -> Self {
        Watch {
            state: State::InSync,
            line_deadline: Instant::now() + first_line_timeout,
        }
    }

    async fn run(mut self, feed: &mut ListFeed) -> Result<Infallible, DiscoveryError> {
        let path = format!("{LIST_PATH}?stream=1&index={}", feed.resume_version());
        let (response, _connection) = get(feed.address(), &path, feed.head_timeout()).await?;
        let mut body = response.into_body();
        let mut decoder = WatchDecoder::default();
        loop {
            let frame = timeout_at(self.deadline(), body.frame())
                .await
                .map_err(|_| self.timeout_error())?
                .ok_or(DiscoveryError::WatchEnded)??;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            decoder.push(&data);
            while let Some(item) = decoder.next_item() {
                self.apply(item, feed).await?;
            }
            if decoder.exceeds_limit() {
                return Err(DiscoveryError::LineTooLong);
            }
            // Data that completes no line must not keep the watch alive.
            if Instant::now() >= self.line_deadline {
                return Err(DiscoveryError::LineTimeout);
            }
        }
    }

    fn deadline(&self) -> Instant {
        match self.state {
            State::InSync => self.line_deadline,
            State::Incomplete { since } => self.line_deadline.min(since + RESYNC_DELAY),
        }
    }

    fn timeout_error(&self) -> DiscoveryError {
        match self.state {
            State::InSync => DiscoveryError::Timeout,
            State::Incomplete { .. } => DiscoveryError::ResyncDue,
        }
    }

    async fn apply(&mut self, item: WatchItem, feed: &mut ListFeed) -> Result<(), DiscoveryError> {
        self.line_deadline = Instant::now() + LINE_TIMEOUT;
        match item {
            WatchItem::Heartbeat => Ok(()),
            WatchItem::List(text) => self.apply_list(&text, feed).await,
            WatchItem::Truncated(bytes) => {
                self.drop_malformed(feed, format_args!("truncated after {bytes} bytes"));
                Ok(())
            }
        }
    }

    async fn apply_list(&mut self, text: &[u8], feed: &mut ListFeed) -> Result<(), DiscoveryError> {
        let version = feed.resume_version();
        match feed.apply(text, ListOrigin::Watch).await {
            Ok(_) => {
                // The next watch must resume from the version before the dropped list, so that its changes are sent
                // again.
                if self.state != State::InSync {
                    feed.set_resume_version(version);
                }
                Ok(())
            }
            Err(DiscoveryError::MalformedList(error)) => {
                self.drop_malformed(feed, format_args!("{error}"));
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    fn drop_malformed(&mut self, feed: &ListFeed, reason: std::fmt::Arguments<'_>) {
        log_peer(format_args!(
            "a malformed list of discovery at {} was dropped: {reason}",
            feed.address()
        ));
        if self.state == State::InSync {
            self.state = State::Incomplete {
                since: Instant::now(),
            };
        }
    }
}
