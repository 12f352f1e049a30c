//! The client: starts with the cached list, then follows discovery.

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

/// A client of discovery.
pub struct DiscoveryClient {
    feed: ListFeed,
    cached_list: Option<String>,
    random: Random,
}

impl DiscoveryClient {
    /// Lists go to `messages`. `cached_list` is a list of discovery as this node last had it, perhaps out of date; `seed`
    /// is the node's.
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
            // Another sequence than that of the node's other generators with the same seed.
            random: Random::seeded(!seed),
        }
    }

    /// Whether the node knows enough to serve.
    pub fn ready(&self) -> Rc<Cell<bool>> {
        self.feed.ready()
    }

    /// Keeps the node's list up to date, from a new address whenever `addresses` changes. `orders` counts only where the
    /// list is polled; the client ends with it then.
    pub async fn run(
        mut self,
        orders: mpsc::Receiver<DiscoveryCommand>,
        addresses: watch::Receiver<SocketAddr>,
    ) {
        if let Some(list) = self.cached_list.take() {
            self.apply_cached(&list).await;
        }
        let addresses = AddressChanges::new(addresses);
        if self.feed.is_polled() {
            polled::run(&mut self.feed, orders, addresses).await;
        } else {
            pushed::run(&mut self.feed, addresses, self.random).await;
        }
    }

    async fn apply_cached(&mut self, list: &str) {
        let applied = self.feed.apply(list.as_bytes(), ListOrigin::Cache).await;
        let count = applied.unwrap_or_else(|error| {
            log(format_args!(
                "the configuration's known list was dropped: {error}"
            ));
            0
        });
        // It may be out of date: the first call may still bring a newer one before requests come.
        let ready = self.feed.ready();
        spawn_local(async move {
            sleep(CACHED_READY_DELAY).await;
            ready.set(ready.get() || count > 0);
        });
    }
}
