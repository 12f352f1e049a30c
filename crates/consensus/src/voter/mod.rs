//! A voter: the log on the consensus engine, what must be on disk before anything that follows from it is sent, and the leases
//! that it grants. A voter whose storage is lost or older than what the others have seen of it does not vote.

mod incarnation;
mod interface;
mod output;

pub use interface::{Action, DisabledReason, Event, VoterStatus};

use crate::lease::LeaseGranter;
use crate::messages::{Envelope, LeaseRequest, Proposal, VoterIncarnation, VoterMessage};
use crate::storage::MemoryStorage;
use crate::timing::{InjectedBug, Timing};
use crate::voter_state::{LogLength, VoterState};
use incarnation::{Announcement, Incarnations};
use omnipaxos::messages::Message;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use output::Output;
use sillward_fleet_settings::{FleetSettings, History, MAX_REASON_BYTES, Version};
use sillward_membership::Name;
use std::time::Duration;

/// Between two ticks of the engine.
pub const TICK: Duration = Duration::from_millis(50);
/// Ticks without a heartbeat of the leader until another one is elected.
const ELECTION_TICKS: u64 = 8;
/// Ticks until the engine resends a message.
const RESEND_TICKS: u64 = 10;
/// Between two announcements of an incarnation that too few voters have confirmed.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Between two incarnations of a voting process.
const INCARNATION_INTERVAL: Duration = Duration::from_secs(10);
/// A voter that was silent for longer may have missed messages.
const RECONNECT_AFTER: Duration = Duration::from_secs(1);
/// Decided entries that stay in the log before it is compacted.
const MAX_UNCOMPACTED: usize = 32;
/// The longest proposal, in bytes: it must fit into a message of a link.
pub const MAX_PROPOSAL_BYTES: usize = 24 * 1024;

/// A voter.
pub struct Voter {
    log_id: u64,
    place: usize,
    storage: MemoryStorage,
    /// `None` unless the status is [`VoterStatus::Voting`].
    engine: Option<OmniPaxos<Proposal, MemoryStorage>>,
    leases: LeaseGranter,
    status: VoterStatus,
    incarnations: Incarnations,
    /// When the last message of each voter came, by place.
    last_heard: Vec<Option<Duration>>,
    /// The newest committed version, and the number of decided entries, that were reported.
    newest: u64,
    decided: usize,
    /// The newest and the consented version of the last notification.
    notified: (u64, u64),
    next_tick_at: Duration,
    next_announcement_at: Duration,
    next_incarnation_at: Duration,
    output: Output,
}

impl Voter {
    /// A voter that starts from what is on its disk. `process_id` is drawn for this process.
    pub fn new(timing: Timing, state: VoterState, process_id: u64, now: Duration) -> Self {
        let log_id = state.log_id;
        let place = state.place as usize;
        let voters = state.seen_incarnations.len();
        let storage = MemoryStorage::new(state);
        let newest = storage.history().newest();
        let incarnations = Incarnations::new(storage.clone(), place, voters, process_id);
        let skip_sync = timing.has_bug(InjectedBug::SendBeforeSync);
        Voter {
            log_id,
            place,
            engine: None,
            leases: LeaseGranter::new(timing, log_id, newest, now),
            status: VoterStatus::Joining,
            incarnations,
            last_heard: vec![None; voters + 1],
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

    /// Whether it votes.
    pub fn status(&self) -> &VoterStatus {
        &self.status
    }

    /// The leases that it has granted.
    pub fn leases(&self) -> &LeaseGranter {
        &self.leases
    }

    /// The committed versions in its log.
    pub fn history(&self) -> History {
        self.storage.history()
    }

    /// The length of its log.
    pub fn log_length(&self) -> LogLength {
        self.storage.read(VoterState::log_length)
    }

    /// The number of writes that have failed.
    pub fn failed_writes(&self) -> u64 {
        self.output.failed_writes()
    }

    /// The place of the leader, from 1 on, as far as this voter knows.
    pub fn leader(&self) -> Option<usize> {
        let (leader, _) = self.engine.as_ref()?.get_current_leader()?;
        Some(leader as usize)
    }

    /// Whether this voter is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.leader() == Some(self.place)
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

    /// Takes an event.
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
        self.output.take()
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
            // From now on: ticks that a pause has swallowed are not made up for.
            self.next_tick_at = now + TICK;
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

    /// Begins to vote once a majority has confirmed that this storage is the newest.
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
                pid: self.place as u64,
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
            self.last_heard[from].is_none_or(|at| now.saturating_sub(at) > RECONNECT_AFTER);
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
        match self.incarnations.confirm(from, incarnation, newer) {
            Announcement::Outdated => {}
            Announcement::Confirmed => self.join_if_confirmed(now),
            Announcement::Superseded(newer) => {
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
        let ends = match &message {
            Message::SequencePaxos(paxos) => (paxos.from, paxos.to),
            Message::BLE(ble) => (ble.from, ble.to),
        };
        // The engine does not check the sender.
        if ends != (from as u64, self.place as u64) {
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
        self.output.send(Action::SendLeaseResponse(from, response));
    }

    fn propose(&mut self, proposal: Proposal) {
        let version = &proposal.version;
        let bytes = version.settings.len() + version.reason.len() + version.author.len();
        let is_valid = bytes <= MAX_PROPOSAL_BYTES
            && version.reason.len() <= MAX_REASON_BYTES
            && version.author.len() <= MAX_REASON_BYTES
            && FleetSettings::from_json(&version.settings).is_ok();
        if let (Some(engine), true) = (&mut self.engine, is_valid) {
            // One that a reconfiguration blocks is sent again by its proposer.
            let _ = engine.append(proposal);
        }
    }

    /// Takes what the engine has decided and wants to send.
    fn poll_engine(&mut self, now: Duration) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let mut messages = Vec::new();
        engine.take_outgoing_messages(&mut messages);
        let log = self.storage.read(VoterState::log_length);
        if log.uncompacted > MAX_UNCOMPACTED {
            let _ = engine.snapshot(Some(log.decided), true); // if it fails, it is tried again after the next entry
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
            // Heartbeats follow from nothing on disk. A voter with a slow or failing disk sends none, so that another leads.
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
        self.output.send(Action::Committed(versions));
    }

    /// Notifies all nodes with leases of a change, so that none has to wait for its next request.
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
            self.output.send(Action::SendLeaseResponse(to, response));
        }
    }

    fn send_to_voter(&mut self, to: usize, message: VoterMessage) {
        let envelope = self.envelope(message);
        self.output.send(Action::SendToVoter(to, envelope));
    }

    fn envelope(&self, message: VoterMessage) -> Envelope {
        Envelope {
            log_id: self.log_id,
            message,
        }
    }
}
