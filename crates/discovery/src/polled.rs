//! Where the list is polled: the decision module orders the watch, and is notified when it breaks. Single polls
//! ([`DiscoveryCommand::Fetch`]) are part of the wire and never ordered today.

use crate::address::AddressChanges;
use crate::request::{LIST_PATH, get};
use crate::decoder::MAX_LIST_BYTES;
use crate::error::DiscoveryError;
use crate::feed::{ListFeed, ListOrigin};
use crate::timing::POLL_BODY_TIMEOUT;
use crate::watch::watch;
use http_body_util::{BodyExt, Limited};
use sillward_forwarding::DiscoveryCommand;
use sillward_logging::log;
use sillward_runtime::time::{Instant, timeout_at};
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// The states of the watch that the decision module may order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subscription {
    /// None is ordered.
    Off,
    /// It is being opened, or open.
    Watching,
    /// It broke: the decision module was notified, and orders another.
    Broken,
}

impl Subscription {
    fn on_order(subscribe: bool) -> Self {
        if subscribe {
            Subscription::Watching
        } else {
            Subscription::Off
        }
    }

    fn on_broken(self) -> Self {
        match self {
            Subscription::Off => Subscription::Off,
            Subscription::Watching | Subscription::Broken => Subscription::Broken,
        }
    }

    /// A watch of the old address says nothing of the new one: what is ordered is opened there.
    fn on_moved(self) -> Self {
        match self {
            Subscription::Off => Subscription::Off,
            Subscription::Watching | Subscription::Broken => Subscription::Watching,
        }
    }
}

/// What ends the wait for an order.
enum Event {
    /// `None`: the node has ended.
    Order(Option<DiscoveryCommand>),
    Moved(SocketAddr),
    WatchBroken(DiscoveryError),
}

/// Follows orders until the node has ended.
pub(crate) async fn run(
    feed: &mut ListFeed,
    mut orders: mpsc::Receiver<DiscoveryCommand>,
    mut addresses: AddressChanges,
) {
    let mut subscription = Subscription::Off;
    loop {
        match next_event(feed, subscription, &mut orders, &mut addresses).await {
            Event::Order(None) => return,
            Event::Order(Some(DiscoveryCommand::Watch(subscribe))) => {
                subscription = Subscription::on_order(subscribe);
            }
            Event::Order(Some(DiscoveryCommand::Fetch)) => {
                if poll(feed, &mut addresses).await == Poll::Moved {
                    subscription = subscription.on_moved();
                }
            }
            Event::Moved(address) => {
                feed.move_to(address);
                subscription = subscription.on_moved();
            }
            Event::WatchBroken(error) => {
                log(format_args!(
                    "the watch of {} broke: {error}",
                    feed.address()
                ));
                subscription = subscription.on_broken();
                feed.report_failure().await;
            }
        }
    }
}

/// Watches, if that is ordered, until something else is to be done: the watch is dropped then.
async fn next_event(
    feed: &mut ListFeed,
    subscription: Subscription,
    orders: &mut mpsc::Receiver<DiscoveryCommand>,
    addresses: &mut AddressChanges,
) -> Event {
    let is_watching = subscription == Subscription::Watching;
    let watch = async {
        if is_watching {
            watch(feed).await
        } else {
            std::future::pending().await
        }
    };
    let mut watch = std::pin::pin!(watch);
    loop {
        tokio::select! {
            biased;
            order = orders.recv() => match order {
                // The watch that is ordered is open, or being opened: another would lose it.
                Some(DiscoveryCommand::Watch(true)) if is_watching => {}
                order => return Event::Order(order),
            },
            address = addresses.next() => return Event::Moved(address),
            error = watch.as_mut() => return Event::WatchBroken(error),
        }
    }
}

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Poll {
    /// At the address where it began.
    Done,
    /// Discovery moved meanwhile, and was polled at its new address.
    Moved,
}

/// Polls the list, at the new address if that changes meanwhile. A poll that fails is reported to the node.
async fn poll(feed: &mut ListFeed, addresses: &mut AddressChanges) -> Poll {
    let mut ended = Poll::Done;
    loop {
        let result = tokio::select! {
            biased;
            result = read_list(feed) => result,
            address = addresses.next() => {
                feed.move_to(address);
                ended = Poll::Moved;
                continue;
            }
        };
        if let Err(error) = result {
            log(format_args!(
                "the list of {} did not come: {error}",
                feed.address()
            ));
            feed.report_failure().await;
        }
        return ended;
    }
}

async fn read_list(feed: &mut ListFeed) -> Result<(), DiscoveryError> {
    let deadline = Instant::now() + POLL_BODY_TIMEOUT;
    let (response, _connection) = get(feed.address(), LIST_PATH, feed.head_timeout()).await?;
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect();
    let body = timeout_at(deadline, body)
        .await
        .map_err(|_| DiscoveryError::Timeout)?
        .map_err(DiscoveryError::Body)?;
    feed.apply(&body.to_bytes(), ListOrigin::Poll).await?;
    Ok(())
}
