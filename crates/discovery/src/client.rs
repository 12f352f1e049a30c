//! The discovery client: applies the cached list, then follows discovery by polls or a watch.

use crate::address::AddressChanges;
use crate::feed::{ListFeed, ListOrigin};
use crate::timing::CACHED_READY_DELAY;
use crate::{polled, pushed};
use sillward_forwarding::{DiscoveryCommand, LiveSettings, Message};
use sillward_logging::log;
use sillward_runtime::random::Random;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::sleep;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// A client that keeps the node's endpoint list up to date with discovery.
pub struct DiscoveryClient {
    feed: ListFeed,
    cached_list: Option<String>,
    random: Random,
}

impl DiscoveryClient {
    /// Creates a client that sends lists to `messages`. `cached_list` is the last list that this node received from
    /// discovery, possibly out of date. `seed` is the node's random seed.
    pub fn new(
        address: SocketAddr,
        live: Rc<LiveSettings>,
        cached_list: Option<String>,
        seed: u64,
        messages: mpsc::Sender<Message>,
    ) -> Self {
        DiscoveryClient {
            feed: ListFeed::new(address, live, messages),
            cached_list,
            // Inverted, so that the sequence differs from those of the node's other generators with the same seed.
            random: Random::seeded(!seed),
        }
    }

    /// A flag that is set once the node's endpoint list suffices to serve requests.
    pub fn ready(&self) -> Rc<Cell<bool>> {
        self.feed.ready()
    }

    /// Keeps the node's list up to date, switching to a new address whenever `addresses` changes. `commands` is used
    /// only in polled mode, where the client returns once the channel is closed.
    pub async fn run(
        mut self,
        commands: mpsc::Receiver<DiscoveryCommand>,
        addresses: watch::Receiver<SocketAddr>,
    ) {
        if let Some(list) = self.cached_list.take() {
            self.apply_cached(&list).await;
        }
        let addresses = AddressChanges::new(addresses);
        if self.feed.is_polled() {
            polled::run(&mut self.feed, commands, addresses).await;
        } else {
            pushed::run(&mut self.feed, addresses, self.random).await;
        }
    }

    async fn apply_cached(&mut self, list: &str) {
        let applied = self.feed.apply(list.as_bytes(), ListOrigin::Cache).await;
        let count = applied.unwrap_or_else(|error| {
            log(format_args!(
                "the cached endpoint list from the configuration was dropped: {error}"
            ));
            0
        });
        // The cached list may be out of date: the delay lets the first response from discovery replace it before the
        // node serves requests.
        let ready = self.feed.ready();
        spawn_local(async move {
            sleep(CACHED_READY_DELAY).await;
            ready.set(ready.get() || count > 0);
        });
    }
}
