//! The service that runs a node's part in the consensus, and its event loop.

mod proposals;
mod receive;
mod send;

use crate::config::ConsensusConfig;
use crate::error::{ConsensusError, LostState};
use crate::voter_file;
use proposals::PendingProposal;
use sillward_consensus::messages::{
    Envelope, FetchVersions, LeaseRequest, LeaseResponse, Proposal,
};
use sillward_consensus::node::{self, Node};
use sillward_consensus::voter::{self, Voter, VoterStatus};
use sillward_consensus::voter_state::FILE_NAME;
use sillward_fleet_settings::{EffectiveValue, History, Key, Version, VersionStatus};
use sillward_logging::log;
use sillward_membership::Name;
use sillward_peer_transport::PeerTransport;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::sleep_until;
use sillward_runtime::{Clock, files, random};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// The most queued events: two requests of every member. Events beyond that are dropped like lost messages.
const MAX_QUEUED_EVENTS: usize = 8192;

/// An event that waits for the loop.
enum QueuedEvent {
    LeaseRequest(Name, LeaseRequest),
    /// From the voter with this index in the list of voters.
    LeaseResponse(usize, LeaseResponse),
    Fetch(Name, SocketAddr, FetchVersions),
    /// From the voter with this number.
    VoterMessage(usize, Envelope),
    Versions(Vec<Version>),
    Propose(Proposal),
    VersionObserved(u64),
}

/// The lease of this node after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseUpdate {
    /// When the lease expires, by the node's clock; zero if there is none.
    pub expires_at: Duration,
    /// Whether the versions that the node may act on have changed.
    pub status_changed: bool,
}

/// The numbers of sent messages, and of events that were dropped because the queue was full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Lease requests.
    pub requests: u64,
    /// Lease responses.
    pub responses: u64,
    /// Messages to other voters.
    pub voter_messages: u64,
    /// Requests for versions, and responses to them.
    pub fetches: u64,
    /// Dropped events.
    pub dropped: u64,
}

/// This node's part in the consensus.
pub struct ConsensusService {
    clock: Clock,
    fleet: Rc<PeerTransport>,
    config: ConsensusConfig,
    log_id: u64,
    /// This node's voter number, if it is a voter.
    own_voter_id: Option<usize>,
    node: RefCell<Node>,
    voter: RefCell<Option<Voter>>,
    /// Why this voter's state is treated as lost, if it is.
    lost_state: Option<LostState>,
    queue: RefCell<VecDeque<QueuedEvent>>,
    pending_proposals: RefCell<Vec<PendingProposal>>,
    wakeup: Notify,
    on_lease_update: Box<dyn Fn(LeaseUpdate)>,
    /// The slot of the last message over a link.
    last_slot: Cell<u32>,
    /// The newest version that this voter has announced to the fleet.
    announced_version: Cell<u64>,
    random: RefCell<random::Random>,
    /// Unbounded, but holds at most one result: a voter has only one write in progress.
    persist_results: mpsc::UnboundedSender<PersistResult>,
    message_counts: Cell<MessageCounts>,
}

/// The number of a write, and whether it succeeded.
type PersistResult = (u64, bool);

/// The results of a voter's writes, for [`ConsensusService::run`].
pub struct PersistResults(mpsc::UnboundedReceiver<PersistResult>);

impl ConsensusService {
    /// Starts the service. `on_lease_update` is called after each event of the node, before any other task can run.
    ///
    /// # Errors
    /// The configuration lacks the voter's folder, its file cannot be read, or the system provides no random numbers.
    pub fn start(
        fleet: Rc<PeerTransport>,
        clock: Clock,
        config: ConsensusConfig,
        on_lease_update: impl Fn(LeaseUpdate) + 'static,
    ) -> Result<(Rc<Self>, PersistResults), ConsensusError> {
        let now = clock.now();
        let name = fleet.with_membership(|membership| membership.local_node().name.clone());
        let log_id = config.log_id();
        let own_voter_id = config.voter_id(&name);
        let process_id = random::entropy().map_err(ConsensusError::Random)?;
        let session = random::entropy().map_err(ConsensusError::Random)?;
        let (voter, lost_state) = match own_voter_id {
            Some(voter_id) => start_voter(&config, voter_id, process_id, now)?,
            None => (None, None),
        };
        let node = Node::new(config.timing, log_id, config.voters.len(), session, now);
        let (persist_results, receiver) = mpsc::unbounded_channel();
        let service = Rc::new(ConsensusService {
            clock,
            fleet,
            config,
            log_id,
            own_voter_id,
            node: RefCell::new(node),
            voter: RefCell::new(voter),
            lost_state,
            queue: RefCell::default(),
            pending_proposals: RefCell::default(),
            wakeup: Notify::new(),
            on_lease_update: Box::new(on_lease_update),
            last_slot: Cell::new(0),
            announced_version: Cell::new(u64::MAX),
            random: RefCell::new(random::Random::seeded(session)),
            persist_results,
            message_counts: Cell::default(),
        });
        service.register_receivers();
        Ok((service, PersistResults(receiver)))
    }

    fn enqueue(&self, event: QueuedEvent) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() < MAX_QUEUED_EVENTS {
            queue.push_back(event);
            self.wakeup.notify_one();
        } else {
            self.count(|counts| &mut counts.dropped);
        }
    }

    fn count(&self, counter: fn(&mut MessageCounts) -> &mut u64) {
        let mut counts = self.message_counts.get();
        *counter(&mut counts) += 1;
        self.message_counts.set(counts);
    }

    /// Runs until `stop` completes. The future may be dropped at any await without losing an event: all events wait in the
    /// queue or in `results`.
    pub async fn run(self: Rc<Self>, results: PersistResults, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        let PersistResults(mut results) = results;
        loop {
            let due = self.clock.instant(self.next_wakeup());
            tokio::select! {
                biased;
                () = &mut stop => return,
                Some((number, success)) = results.recv() => {
                    self.handle_as_voter(voter::Event::Persisted(number, success));
                }
                () = self.wakeup.notified() => {}
                () = sleep_until(due) => {}
            }
            loop {
                let Some(event) = self.queue.borrow_mut().pop_front() else {
                    break;
                };
                self.dispatch(event);
            }
            self.handle_as_voter(voter::Event::Tick);
            self.handle_as_node(node::Event::Tick);
            self.send_pending_proposals();
        }
    }

    fn next_wakeup(&self) -> Duration {
        let now = self.clock.now();
        let mut at = self.node.borrow().next_wakeup(now);
        if let Some(voter) = &*self.voter.borrow() {
            at = at.min(voter.next_wakeup(now));
        }
        at.min(self.next_proposal_at().unwrap_or(at))
    }

    fn dispatch(self: &Rc<Self>, event: QueuedEvent) {
        match event {
            QueuedEvent::LeaseRequest(name, request) => {
                self.handle_as_voter(voter::Event::LeaseRequest(name, request));
            }
            QueuedEvent::LeaseResponse(voter_index, response) => {
                self.handle_as_node(node::Event::LeaseResponse(voter_index, response));
            }
            QueuedEvent::VoterMessage(voter_id, envelope) => {
                self.handle_as_voter(voter::Event::VoterMessage(voter_id, envelope));
            }
            QueuedEvent::Versions(versions) => {
                self.handle_as_node(node::Event::Versions(versions));
            }
            QueuedEvent::Propose(proposal) => {
                self.handle_as_voter(voter::Event::Propose(proposal));
            }
            QueuedEvent::VersionObserved(newest) => {
                self.handle_as_node(node::Event::VersionObserved(newest));
            }
            QueuedEvent::Fetch(name, address, fetch) => {
                self.send_versions(&name, address, &fetch);
            }
        }
    }

    fn handle_as_voter(self: &Rc<Self>, event: voter::Event) {
        let now = self.clock.now();
        let actions = match &mut *self.voter.borrow_mut() {
            Some(voter) => voter.handle(now, event),
            None => return,
        };
        for action in actions {
            match action {
                voter::Action::SendToVoter(to, envelope) => self.send_to_voter(to, &envelope),
                voter::Action::SendLeaseResponse(to, response) => {
                    self.send_lease_response(&to, response);
                }
                voter::Action::Persist(number, bytes) => self.persist(number, bytes),
                voter::Action::Committed(versions) => self.report_committed(versions),
                voter::Action::StatusChanged(status) => log_status(&status),
            }
        }
    }

    fn persist(&self, number: u64, bytes: Vec<u8>) {
        let results = self.persist_results.clone();
        let folder = self.config.folder.clone().unwrap_or_default();
        spawn_local(async move {
            let result = files::write_atomic_in_background(&folder.join(FILE_NAME), bytes).await;
            if let Err(e) = &result {
                log(format_args!(
                    "cannot write the voter's state in {}: {e}",
                    folder.display()
                ));
            }
            let _ = results.send((number, result.is_ok())); // the receiver is gone once the node stops
        });
    }

    fn report_committed(&self, versions: Vec<Version>) {
        for version in &versions {
            log(format_args!(
                "version {} of the settings is committed, by {}: {}",
                version.number, version.author, version.reason
            ));
        }
        self.enqueue(QueuedEvent::Versions(versions));
    }

    fn handle_as_node(self: &Rc<Self>, event: node::Event) {
        let now = self.clock.now();
        let actions = self.node.borrow_mut().handle(now, event);
        let status_changed = actions
            .iter()
            .any(|action| matches!(action, node::Action::StatusChanged));
        let expires_at = self.node.borrow().lease().expires_at();
        (self.on_lease_update)(LeaseUpdate {
            expires_at: expires_at.unwrap_or_default(),
            status_changed,
        });
        for action in actions {
            match action {
                node::Action::RequestLease(request) => self.send_lease_request(&request),
                node::Action::Fetch { after, from_voter } => self.send_fetch(after, from_voter),
                node::Action::StatusChanged => self.announce_newest(),
            }
        }
    }

    /// The versions that this node knows of, and whether it holds a lease.
    pub fn status(&self) -> VersionStatus {
        self.node.borrow().status(self.clock.now())
    }

    /// The effective values of `more_keys` and of all keys in versions that may be in force.
    pub fn effective_values(&self, more_keys: &[Key]) -> Vec<(Key, EffectiveValue)> {
        let node = self.node.borrow();
        node.history().effective_values(self.status(), more_keys)
    }

    /// As [`ConsensusService::effective_values`], but as if the node held no lease.
    pub fn conservative_values(&self, more_keys: &[Key]) -> Vec<(Key, EffectiveValue)> {
        let status = VersionStatus {
            has_lease: false,
            ..self.status()
        };
        let node = self.node.borrow();
        node.history().effective_values(status, more_keys)
    }

    /// The versions that this node has.
    pub fn history(&self) -> History {
        self.node.borrow().history().clone()
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    pub(crate) fn config(&self) -> &ConsensusConfig {
        &self.config
    }

    pub(crate) fn lost_state(&self) -> Option<&LostState> {
        self.lost_state.as_ref()
    }

    pub(crate) fn message_counts(&self) -> MessageCounts {
        self.message_counts.get()
    }

    /// Reads the state of this node.
    pub(crate) fn with_node<T>(&self, read: impl FnOnce(&Node) -> T) -> T {
        read(&self.node.borrow())
    }

    /// Reads the state of this voter; `None` if the node is not a voter or the voter's state is lost.
    pub(crate) fn with_voter<T>(&self, read: impl FnOnce(&Voter) -> T) -> Option<T> {
        self.voter.borrow().as_ref().map(read)
    }
}

/// Starts the voter from its file, or returns why its state is treated as lost.
fn start_voter(
    config: &ConsensusConfig,
    voter_id: usize,
    process_id: u64,
    now: Duration,
) -> Result<(Option<Voter>, Option<LostState>), ConsensusError> {
    let folder = config
        .folder
        .as_deref()
        .ok_or(ConsensusError::MissingFolder)?;
    match voter_file::load(folder, config, voter_id)? {
        Ok(state) => {
            let voter = Voter::new(config.timing, state, process_id, now);
            Ok((Some(voter), None))
        }
        Err(lost) => {
            log(format_args!("this voter does not vote: {lost}"));
            Ok((None, Some(lost)))
        }
    }
}

fn log_status(status: &VoterStatus) {
    match status {
        VoterStatus::Joining => {}
        VoterStatus::Voting => log("this voter has begun to vote"),
        VoterStatus::Disabled(reason) => {
            log(format_args!("this voter no longer votes: {reason}"));
        }
    }
}
