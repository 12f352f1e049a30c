//! Discovery in pushed mode: a watch that is kept open, with backoff between attempts to open it.

use crate::address::AddressChanges;
use crate::feed::ListFeed;
use crate::timing::{INITIAL_BACKOFF, MAX_BACKOFF, STABLE_WATCH_DURATION};
use crate::watch::watch;
use sillward_logging::log;
use sillward_runtime::random::Random;
use sillward_runtime::time::{Instant, sleep};
use std::time::Duration;

/// Keeps a watch open indefinitely. While it is broken, the node keeps its list.
pub(crate) async fn run(feed: &mut ListFeed, mut addresses: AddressChanges, random: Random) {
    let mut backoff = Backoff::new(random);
    loop {
        let started_at = Instant::now();
        // On a change of address the watch is dropped and reopened at the new address.
        let error = tokio::select! {
            biased;
            error = watch(feed) => error,
            address = addresses.next() => {
                feed.change_address(address);
                backoff.reset();
                continue;
            }
        };
        if started_at.elapsed() > STABLE_WATCH_DURATION {
            backoff.reset();
        } else {
            backoff.increase();
        }
        log(format_args!(
            "the watch of discovery at {} broke: {error}",
            feed.address()
        ));
        let delay = backoff.jittered();
        tokio::select! {
            biased;
            () = sleep(delay) => {}
            address = addresses.next() => {
                feed.change_address(address);
                backoff.reset();
            }
        }
    }
}

/// Exponential backoff with jitter.
struct Backoff {
    delay: Duration,
    random: Random,
}

impl Backoff {
    fn new(random: Random) -> Self {
        Backoff {
            delay: INITIAL_BACKOFF,
            random,
        }
    }

    fn reset(&mut self) {
        self.delay = INITIAL_BACKOFF;
    }

    fn increase(&mut self) {
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }

    /// A random time between half and all of the delay, so that nodes whose watches broke together don't reconnect at
    /// the same time.
    fn jittered(&mut self) -> Duration {
        self.delay.mul_f64(0.5 + self.random.next_f64() / 2.0)
    }
}
