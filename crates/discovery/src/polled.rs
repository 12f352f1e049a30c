//! Discovery in polled mode: the decision module commands when to watch, and is notified when the watch breaks. Single
//! polls ([`DiscoveryCommand::Fetch`]) are supported, but the decision module doesn't request them at present.

use crate::address::AddressChanges;
use crate::decoder::MAX_LIST_BYTES;
use crate::error::DiscoveryError;
use crate::feed::{ListFeed, ListOrigin};
use crate::request::{LIST_PATH, get};
use crate::timing::POLL_BODY_TIMEOUT;
use crate::watch::watch;
use http_body_util::{BodyExt, Limited};
use sillward_forwarding::DiscoveryCommand;
use sillward_logging::log;
use sillward_runtime::time::{Instant, timeout_at};
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// The state of the watch that the decision module commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subscription {
    /// No watch is requested.
    Off,
    /// The watch is open or being opened.
    Watching,
    /// The watch broke. The decision module has been notified and commands when to open another.
    Broken,
}

impl Subscription {
    fn on_command(watch_requested: bool) -> Self {
        if watch_requested {
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

    /// Discovery's address changed: a requested watch is opened at the new address, even if the old one was broken.
    fn on_address_changed(self) -> Self {
        match self {
            Subscription::Off => Subscription::Off,
            Subscription::Watching | Subscription::Broken => Subscription::Watching,
        }
    }
}

/// An event that [`run`] handles.
enum Event {
    /// A command from the decision module; `None` once the node has shut down.
    Command(Option<DiscoveryCommand>),
    AddressChanged(SocketAddr),
    WatchBroken(DiscoveryError),
}

/// Runs the decision module's commands until the node shuts down.
pub(crate) async fn run(
    feed: &mut ListFeed,
    mut commands: mpsc::Receiver<DiscoveryCommand>,
    mut addresses: AddressChanges,
) {
    let mut subscription = Subscription::Off;
    loop {
        match next_event(feed, subscription, &mut commands, &mut addresses).await {
            Event::Command(None) => return,
            Event::Command(Some(DiscoveryCommand::Watch(watch_requested))) => {
                subscription = Subscription::on_command(watch_requested);
            }
            Event::Command(Some(DiscoveryCommand::Fetch)) => {
                if poll(feed, &mut addresses).await == PollOutcome::AddressChanged {
                    subscription = subscription.on_address_changed();
                }
            }
            Event::AddressChanged(address) => {
                feed.change_address(address);
                subscription = subscription.on_address_changed();
            }
            Event::WatchBroken(error) => {
                log(format_args!(
                    "the watch of discovery at {} broke: {error}",
                    feed.address()
                ));
                subscription = subscription.on_broken();
                feed.report_failure().await;
            }
        }
    }
}

/// Waits for the next event, with the watch running if it is requested. On any event the watch is dropped.
async fn next_event(
    feed: &mut ListFeed,
    subscription: Subscription,
    commands: &mut mpsc::Receiver<DiscoveryCommand>,
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
            command = commands.recv() => match command {
                // The watch is already open or being opened; reopening it would drop what it has received.
                Some(DiscoveryCommand::Watch(true)) if is_watching => {}
                command => return Event::Command(command),
            },
            address = addresses.next() => return Event::AddressChanged(address),
            error = watch.as_mut() => return Event::WatchBroken(error),
        }
    }
}

/// Whether discovery's address changed during a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollOutcome {
    /// The poll ended at the address where it started.
    AddressUnchanged,
    /// The address changed, and the list was polled at the new one.
    AddressChanged,
}

/// Polls the list, starting over at the new address if discovery's address changes. A failed poll is reported to the
/// node.
async fn poll(feed: &mut ListFeed, addresses: &mut AddressChanges) -> PollOutcome {
    let mut outcome = PollOutcome::AddressUnchanged;
    loop {
        let result = tokio::select! {
            biased;
            result = read_list(feed) => result,
            address = addresses.next() => {
                feed.change_address(address);
                outcome = PollOutcome::AddressChanged;
                continue;
            }
        };
        if let Err(error) = result {
            log(format_args!(
                "polling the endpoint list from discovery at {} failed: {error}",
                feed.address()
            ));
            feed.report_failure().await;
        }
        return outcome;
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
