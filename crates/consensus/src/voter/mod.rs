//! A voter. It runs the log on the consensus engine, sends messages only once the state that they depend on is on disk, and
//! grants leases. A voter whose storage was lost, or is older than what other voters have seen of it, does not vote.
//!
//! Voters are numbered from 1 on in the order in which the log lists them.

mod incarnation;
mod interface;
mod output;

pub use interface::{Action, DisabledReason, Event, VoterStatus};

use crate::lease::LeaseGranter;
use crate::messages::{Envelope, LeaseRequest, Proposal, VoterIncarnation, VoterMessage};
use crate::storage::MemoryStorage;
use crate::timing::{InjectedBug, Timing};
use crate::voter_state::{LogLength, VoterState};
use incarnation::{AnnouncementResult, Incarnations};
use omnipaxos::messages::Message;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use output::Output;
use sillward_fleet_settings::{FleetSettings, History, MAX_REASON_BYTES, Version};
use sillward_membership::Name;
use std::time::Duration;

/// The interval between two ticks of the engine.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks without a heartbeat of the leader until a new leader is elected.
const ELECTION_TICKS: u64 = 8;
/// Ticks until the engine resends a message.
const RESEND_TICKS: u64 = 10;
/// The interval between two announcements of an incarnation that no majority has confirmed yet.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between two incarnations in a process that votes.
const INCARNATION_INTERVAL: Duration = Duration::from_secs(10);
/// A link to a voter that was silent for longer counts as reconnected: messages may have been lost.
const RECONNECT_THRESHOLD: Duration = Duration::from_secs(1);
/// The most decided entries in the log before it is compacted.
const MAX_UNCOMPACTED_ENTRIES: usize = 32;
/// The longest proposal, in bytes: it must fit into one message of a link.
pub const MAX_PROPOSAL_BYTES: usize = 24 * 1024;

/// A voter's state. Its caller passes it events and carries out its actions.
pub struct Voter {
    log_id: u64,
    id: usize,
    storage: MemoryStorage,
    /// `None` unless the status is [`VoterStatus::Voting`].
    engine: Option<OmniPaxos<Proposal, MemoryStorage>>,
    leases: LeaseGranter,
    status: VoterStatus,
    incarnations: Incarnations,
    /// When the last message of each voter was received, by voter number.
    last_heard: Vec<Option<Duration>>,
    /// The newest committed version that was reported.
    newest: u64,
    /// The number of decided entries that were processed.
    decided: usize,
    /// The newest and the consented version in the last notification.
    notified: (u64, u64),
    next_tick_at: Duration,
    next_announcement_at: Duration,
    next_incarnation_at: Duration,
    output: Output,
}

impl Voter {
    /// Creates a voter from the state on its disk. `process_id` is drawn at random for this process.
    pub fn new(timing: Timing, state: VoterState, process_id: u64, now: Duration) -> Self {
        let log_id = state.log_id;
        let id = state.voter_id as usize;
        let voter_count = state.seen_incarnations.len();
        let storage = MemoryStorage::new(state);
        let newest = storage.history().newest();
        let incarnations = Incarnations::new(storage.clone(), id, voter_count, process_id);
        let skip_sync = timing.has_bug(InjectedBug::SendBeforeSync);
        Voter {
            log_id,
            id,
            engine: None,
            leases: LeaseGranter::new(timing, log_id, newest, now),
            status: VoterStatus::Joining,
            incarnations,
            last_heard: vec![None; voter_count + 1],
            newest,
            decided: 0,
            notified: (0, 0),
            next_tick_at: now,
            next_announcement_at: now,
            next_incarnation_at: now + INCARNATION_INTERVAL,
            output: Output::new(storage.clone(), skip_sync),
            storage,
        }
    }

    /// Whether the voter votes, and why not.
    pub fn status(&self) -> &VoterStatus {
        &self.status
    }

    /// The leases that the voter has granted.
    pub fn leases(&self) -> &LeaseGranter {
        &self.leases
    }

    /// The committed versions in the voter's log.
    pub fn history(&self) -> History {
        self.storage.history()
    }

    /// The length of the voter's log.
    pub fn log_length(&self) -> LogLength {
        self.storage.read(VoterState::log_length)
    }

    /// The number of writes that have failed.
    pub fn failed_writes(&self) -> u64 {
        self.output.failed_writes()
    }

    /// The number of the leader, as far as this voter knows.
    pub fn leader(&self) -> Option<usize> {
        let (leader, _) = self.engine.as_ref()?.get_current_leader()?;
        Some(leader as usize)
    }

    /// Whether this voter is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.leader() == Some(self.id)
    }

    /// When [`Event::Tick`] is due.
    pub fn next_wakeup(&self, now: Duration) -> Duration {
        let mut at = match self.status {
            VoterStatus::Joining => self.next_announcement_at,
            VoterStatus::Voting => self.next_tick_at.min(self.next_incarnation_at),
            VoterStatus::Disabled(_) => now + INCARNATION_INTERVAL,
        };
        at = at.min(self.output.retry_at().unwrap_or(at));
        at = at.min(self.leases.next_expiry(now).unwrap_or(at));
        at.max(now)
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::VoterMessage(from, envelope) => self.handle_voter_message(now, from, envelope),
            Event::LeaseRequest(from, request) => self.handle_lease_request(now, from, &request),
            Event::Propose(proposal) => self.propose(proposal),
            Event::Persisted(number, success) => self.output.on_persisted(now, number, success),
        }
        self.poll_engine(now);
        self.notify_nodes(now);
        self.output.persist_if_changed(now);
        self.output.take_ready()
    }

    fn tick(&mut self, now: Duration) {
        self.output.retry_if_due(now);
        match self.status {
            VoterStatus::Disabled(_) => {}
            VoterStatus::Joining => {
                if now >= self.next_announcement_at {
                    self.next_announcement_at = now + ANNOUNCE_INTERVAL;
                    self.announce_incarnation();
                    self.join_if_confirmed(now);
                }
            }
            VoterStatus::Voting => self.tick_voting(now),
        }
    }

    fn tick_voting(&mut self, now: Duration) {
        if now >= self.next_incarnation_at {
            self.next_incarnation_at = now + INCARNATION_INTERVAL;
            self.incarnations.renew();
            self.announce_incarnation();
        }
        if now >= self.next_tick_at {
            // Counted from now, so that ticks missed during a pause are not made up for.
            self.next_tick_at = now + TICK_INTERVAL;
            if let Some(engine) = &mut self.engine {
                engine.tick();
            }
        }
    }

    fn announce_incarnation(&mut self) {
        let Some(incarnation) = self.incarnations.own() else {
            return;
        };
        for to in self.incarnations.others() {
            self.send_to_voter(to, VoterMessage::Incarnation(incarnation));
        }
    }

    /// Begins to vote if a majority has confirmed that this storage is the newest.
    fn join_if_confirmed(&mut self, now: Duration) {
        if self.status != VoterStatus::Joining || !self.incarnations.is_confirmed() {
            return;
        }
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig {
                configuration_id: 1,
                nodes: self.incarnations.all_ids(),
                flexible_quorum: None,
            },
            server_config: ServerConfig {
                pid: self.id as u64,
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                ..ServerConfig::default()
            },
        };
        match config.build(self.storage.clone()) {
            Ok(engine) => {
                self.engine = Some(engine);
                self.next_tick_at = now;
                self.incarnations.clear_confirmations();
                self.set_status(VoterStatus::Voting);
            }
            Err(e) => self.disable(DisabledReason::Engine(e.to_string())),
        }
    }

    fn disable(&mut self, reason: DisabledReason) {
        self.engine = None;
        self.set_status(VoterStatus::Disabled(reason));
    }

    fn set_status(&mut self, status: VoterStatus) {
        self.output.send_now(Action::StatusChanged(status.clone()));
        self.status = status;
    }

    fn handle_voter_message(&mut self, now: Duration, from: usize, envelope: Envelope) {
        if envelope.log_id != self.log_id || !self.incarnations.is_other(from) {
            return;
        }
        let was_silent =
            self.last_heard[from].is_none_or(|at| now.saturating_sub(at) > RECONNECT_THRESHOLD);
        self.last_heard[from] = Some(now);
        match envelope.message {
            VoterMessage::Incarnation(incarnation) => {
                let newer = self.incarnations.observe(from, incarnation);
                let seen = VoterMessage::IncarnationSeen { incarnation, newer };
                self.send_to_voter(from, seen);
            }
            VoterMessage::IncarnationSeen { incarnation, newer } => {
                self.handle_incarnation_seen(now, from, incarnation, newer);
            }
            VoterMessage::Engine(bytes) => self.handle_engine_message(from, &bytes, was_silent),
        }
    }

    fn handle_incarnation_seen(
        &mut self,
        now: Duration,
        from: usize,
        incarnation: VoterIncarnation,
        newer: Option<VoterIncarnation>,
    ) {
        match self.incarnations.handle_response(from, incarnation, newer) {
            AnnouncementResult::Outdated => {}
            AnnouncementResult::Confirmed => self.join_if_confirmed(now),
            AnnouncementResult::Superseded(newer) => {
                if !matches!(self.status, VoterStatus::Disabled(_)) {
                    self.disable(DisabledReason::Superseded {
                        from,
                        newer,
                        own: incarnation,
                    });
                }
            }
        }
    }

    fn handle_engine_message(&mut self, from: usize, bytes: &[u8], was_silent: bool) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let Ok(message) = postcard::from_bytes::<Message<Proposal>>(bytes) else {
            return;
        };
        let (sender, receiver) = match &message {
            Message::SequencePaxos(paxos) => (paxos.from, paxos.to),
            Message::BLE(ble) => (ble.from, ble.to),
        };
        // The engine does not check the sender.
        if (sender, receiver) != (from as u64, self.id as u64) {
            return;
        }
        if was_silent {
            engine.reconnected(from as u64);
        }
        engine.handle_incoming(message);
    }

    fn handle_lease_request(&mut self, now: Duration, from: Name, request: &LeaseRequest) {
        if self.status != VoterStatus::Voting || request.log_id != self.log_id {
            return;
        }
        self.poll_engine(now);
        let response = self.leases.handle_request(now, &from, request);
        self.output
            .send_when_persisted(Action::SendLeaseResponse(from, response));
    }

    fn propose(&mut self, proposal: Proposal) {
        let version = &proposal.version;
        let bytes = version.settings.len() + version.reason.len() + version.author.len();
        let is_valid = bytes <= MAX_PROPOSAL_BYTES
            && version.reason.len() <= MAX_REASON_BYTES
            && version.author.len() <= MAX_REASON_BYTES
            && FleetSettings::from_json(&version.settings).is_ok();
        if let (Some(engine), true) = (&mut self.engine, is_valid) {
            // The engine rejects entries during a reconfiguration; the proposer then sends the proposal again.
            let _ = engine.append(proposal);
        }
    }

    /// Collects the engine's decided entries and outgoing messages.
    fn poll_engine(&mut self, now: Duration) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let mut messages = Vec::new();
        engine.take_outgoing_messages(&mut messages);
        let log = self.storage.read(VoterState::log_length);
        if log.uncompacted > MAX_UNCOMPACTED_ENTRIES {
            // A failed snapshot is retried with the next call.
            let _ = engine.snapshot(Some(log.decided), true);
        }
        for message in messages {
            self.send_engine_message(now, &message);
        }
        if log.decided != self.decided {
            self.decided = log.decided;
            self.report_committed();
        }
    }

    fn send_engine_message(&mut self, now: Duration, message: &Message<Proposal>) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        match message {
            Message::SequencePaxos(paxos) => {
                self.send_to_voter(paxos.to as usize, VoterMessage::Engine(bytes));
            }
            // Heartbeats do not depend on the persisted state. A voter with a slow or failing disk sends none, so that another
            // voter becomes the leader.
            Message::BLE(ble) => {
                if self.output.is_disk_healthy(now) {
                    let envelope = self.envelope(VoterMessage::Engine(bytes));
                    self.output
                        .send_now(Action::SendToVoter(ble.to as usize, envelope));
                }
            }
        }
    }

    fn report_committed(&mut self) {
        let history = self.storage.history();
        if history.newest() <= self.newest {
            return;
        }
        let versions: Vec<Version> = history
            .iter()
            .filter(|version| version.number > self.newest)
            .cloned()
            .collect();
        self.newest = history.newest();
        self.leases.on_committed(self.newest);
        self.output.send_when_persisted(Action::Committed(versions));
    }

    /// Notifies all nodes with leases of a change, so that they need not wait for the response to their next request.
    fn notify_nodes(&mut self, now: Duration) {
        if self.status != VoterStatus::Voting {
            return;
        }
        let state = (self.newest, self.leases.consented(now));
        if state == self.notified {
            return;
        }
        self.notified = state;
        for (to, response) in self.leases.notifications(now) {
            self.output
                .send_when_persisted(Action::SendLeaseResponse(to, response));
        }
    }

    fn send_to_voter(&mut self, to: usize, message: VoterMessage) {
        let envelope = self.envelope(message);
        self.output
            .send_when_persisted(Action::SendToVoter(to, envelope));
    }

    fn envelope(&self, message: VoterMessage) -> Envelope {
        Envelope {
            log_id: self.log_id,
            message,
        }
    }
}
