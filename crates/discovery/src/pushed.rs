//! Where the list is pushed: a watch that is always open, with backoff between attempts.

use crate::address::AddressChanges;
use crate::feed::ListFeed;
use crate::timing::{INITIAL_BACKOFF, MAX_BACKOFF, STABLE_WATCH};
use crate::watch::watch;
use sillward_logging::log;
use sillward_runtime::random::Random;
use sillward_runtime::time::{Instant, sleep};
use std::time::Duration;

/// Watches for good. A watch that breaks changes nothing: the node's list stays as it is.
pub(crate) async fn run(feed: &mut ListFeed, mut addresses: AddressChanges, random: Random) {
    let mut backoff = Backoff::new(random);
    loop {
        let opened = Instant::now();
        // A watch that is dropped here is opened anew at the new address.
        let error = tokio::select! {
            biased;
            error = watch(feed) => error,
            address = addresses.next() => {
                feed.move_to(address);
                backoff.reset();
                continue;
            }
        };
        if opened.elapsed() > STABLE_WATCH {
            backoff.reset();
        } else {
            backoff.increase();
        }
        log(format_args!(
            "the watch of {} broke: {error}",
            feed.address()
        ));
        let delay = backoff.jittered();
        tokio::select! {
            biased;
            () = sleep(delay) => {}
            address = addresses.next() => {
                feed.move_to(address);
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

    /// Between half and all of the delay, so that nodes whose watches broke together do not call together.
    fn jittered(&mut self) -> Duration {
        self.delay.mul_f64(0.5 + self.random.next_f64() / 2.0)
    }
}
