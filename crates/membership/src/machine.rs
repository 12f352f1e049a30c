//! The machine: events in, actions out.
//!
//! What a message proves: a frame that names this incarnation's salt was written after this incarnation began, since nobody knew the salt
//! before. So what is older than a incarnation (a replay, a frame held up on its way, words meant for the process that was here
//! before) is told apart without any clock, and "asked" means: somebody answered this incarnation.

use crate::incarnation::{Incarnation, MemberState, MemberUpdate, Name, NodeMetadata};
use crate::local_health::LocalHealth;
use crate::members::{Change, Member, Members};
use crate::probes::{Favour, Probe, Probes};
use crate::rumours::{Rumours, Subject};
use crate::sync::{self, Own, SyncStep};
use crate::values::{self, MAX_KEY_BYTES, MAX_VALUE_BYTES, Value, Values};
use crate::wire::{Frame, FrameKind, MemberValue, MetadataMessage, SyncMessage, Update};
use prost::Message;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// A turn at least this often, so that a pause is seen as one.
const TURN: Duration = Duration::from_millis(200);
/// A turn that comes so late says that this node is slow itself.
const LATE: Duration = Duration::from_millis(100);
/// Members that a rumour goes to at a time.
const FAN_OUT: usize = 3;
/// Frames of rumours alone, a second and at once: with a frame's 256 bytes and 28 of headers, and the probes beside them, a
/// node stays under 4 kB/s however much there is to tell.
const GOSSIP_RATE: f64 = 9.0;
const GOSSIP_BURST: f64 = 40.0;
/// Beyond so many rumours at once each is told less often: what some miss is found by comparing.
const MANY: usize = 16;
const FEWEST: u32 = 3;
/// Suspicions by so many others shorten the wait to its least.
const CONFIRMED: usize = 3;
/// NodeMetadata so many of those who hear of a suspicion look for themselves at once.
const VOLUNTEERS: u32 = 6;
/// Probes beyond the usual one that are begun in a turn.
const EXTRA: usize = 4;
/// Between two tries of one that asks: doubled up to the most.
const FIRST_ASK: Duration = Duration::from_millis(250);
const LAST_ASK: Duration = Duration::from_secs(2);
/// How often one that is gone, or a seed that is nobody's address, is asked whether it is there.
const REJOIN: Duration = Duration::from_secs(1);
/// What two nodes know may differ for so long before they compare it: rumours are faster than that.
const DIFFER: Duration = Duration::from_millis(1000);
/// Between two comparisons that this node begins; longer while they bring nothing.
const SYNC: Duration = Duration::from_secs(1);
const LONGEST_SYNC: Duration = Duration::from_secs(4);
/// Bytes a second that comparisons may cost a node, as the one that asks and as the one that answers: after a large one the
/// next waits. One that is asked too soon stays silent, and the asker tries another.
const SYNC_BYTES: f64 = 4_000.0;
/// Answers to strangers, and to those who speak to or from an earlier incarnation, a second.
const COURTESY: u32 = 100;
/// So many lives within that time, because another claims this name, are a conflict: this node is silent for that time.
const NAMESAKES: usize = 4;
const CONFLICT: Duration = Duration::from_secs(30);

/// A mistake, has_bug by the build that has them; in the shipped one none of these can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A process that was paused or called gone goes on in its old incarnation, and a restarted one takes the epoch it had.
    ReusedIncarnation,
    /// A missing answer counts as a death: no helper is asked, nobody is heard first.
    NoIndirectProbes,
    /// Those that are gone are kept for good.
    DeadKeptForever,
}

/// Times and bounds.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Between two probes of a node in good health.
    pub probe_interval: Duration,
    /// The shortest time that an answer is waited for.
    pub min_ack_timeout: Duration,
    /// The shortest time between a suspicion and its end; a pause that is longer ends a incarnation.
    pub min_suspicion_timeout: Duration,
    /// Between two turns of telling rumours on.
    pub gossip_interval: Duration,
    /// One that is gone is remembered for so long.
    pub dead_retention: Duration,
    /// The most members, the gone among them.
    pub max_members: usize,
    /// The most bytes of a frame without its envelope.
    pub max_frame_bytes: usize,
    /// Helpers that are asked for one that does not answer.
    pub indirect_probes: usize,
    /// A has_bug mistake; without the feature `faults` it is not looked at.
    pub injected_bug: Option<InjectedBug>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_interval: Duration::from_millis(500),
            min_ack_timeout: Duration::from_millis(100),
            min_suspicion_timeout: Duration::from_secs(1),
            gossip_interval: Duration::from_millis(100),
            dead_retention: Duration::from_secs(600),
            max_members: 2048,
            max_frame_bytes: 160,
            indirect_probes: 3,
            injected_bug: None,
        }
    }
}

/// This node, as the others are to know it.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Its name.
    pub name: Name,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// What it tells of itself.
    pub metadata: NodeMetadata,
    /// Whom it asks first; its own address may be among them.
    pub seeds: Vec<SocketAddr>,
}

/// How this node stands to the fleet. Whatever acts for the fleet asks this first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipStatus {
    /// It has asked, in this incarnation, and nobody has answered yet: it must not act on what it knew before.
    Joining,
    /// Somebody has answered this incarnation, and somebody is heard now.
    Joined,
    /// It hears nobody: what it holds of the others is what it last knew, and it calls nobody gone.
    Isolated,
    /// Another process claims its name.
    NameConflict,
}

/// What comes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has come.
    Tick,
    /// A frame whose envelope was good: keyed, of this fleet, with a number not seen before.
    Frame {
        /// Who sent it.
        name: Name,
        /// Where that one says that it is reached.
        address: SocketAddr,
        /// In which incarnation it is.
        incarnation: Incarnation,
        /// The salt of the incarnation that it capabilities to; 0 if it knows none.
        to_salt: u32,
        /// What it says.
        frame: Frame,
    },
    /// A step of bringing up to date, over a link whose both ends have shown that they are who they are now.
    Sync(SyncStep),
    /// This node ends in good order.
    Leave,
}

/// What goes out.
#[derive(Clone, Debug)]
pub enum Action {
    /// A frame, to the incarnation with that salt; 0 if none is known.
    Send {
        /// Where to.
        to: SocketAddr,
        /// To which incarnation.
        salt: u32,
        /// What.
        frame: Frame,
    },
    /// A step of bringing up to date, by link.
    Sync {
        /// To whom.
        to: Name,
        /// Where that one is reached.
        address: SocketAddr,
        /// What.
        message: SyncMessage,
    },
    /// A incarnation begins with this epoch, which the folder is to remember.
    StoreIncarnation(Incarnation),
    /// Worth a line of the log.
    Log(String),
}

/// What the machine counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Lives begun since the process started.
    pub incarnations: u64,
    /// Members that this node itself found not to answer.
    pub suspected: u64,
    /// Members that it called gone when its own wait was over.
    pub declared_dead: u64,
    /// Times that it spoke against a suspicion of itself.
    pub refutations: u64,
    /// Frames meant for an earlier incarnation.
    pub to_earlier_incarnation: u64,
    /// Frames from a incarnation that has ended.
    pub from_ended_incarnation: u64,
    /// Strangers' frames.
    pub from_strangers: u64,
    /// Frames of another process under this name, or this one's own.
    pub name_conflicts: u64,
    /// Claims and values that made no sense.
    pub invalid: u64,
    /// Claims for which there was no room.
    pub capacity_rejections: u64,
    /// Answers that were not given, as too many were.
    pub rate_limited_replies: u64,
    /// Comparisons begun, and those that brought something.
    pub syncs: u64,
    /// Those that brought something.
    pub productive_syncs: u64,
    /// Pauses that ended a incarnation.
    pub pauses: u64,
}

/// The machine.
pub struct Membership {
    settings: MembershipSettings,
    me: LocalNode,
    incarnation: Incarnation,
    refutation: u32,
    values: Values,
    members: Members,
    suspected: Vec<Name>,
    rumours: Rumours,
    probes: Probes,
    health: LocalHealth,
    dice: Pcg32,
    counters: Counters,
    /// The order of probes, taken from its end.
    ring: Vec<Name>,
    /// Those to look at soon, beside the usual order.
    soon: VecDeque<Name>,
    settled: bool,
    /// When the last event came, any incarnation's.
    last: Duration,
    /// When a fresh frame last came.
    heard: Option<Duration>,
    next_probe: Duration,
    next_gossip: Duration,
    /// Frames of rumours that may go out, as of when.
    gossip_left: (f64, Duration),
    next_ask: Duration,
    ask_pause: Duration,
    next_rejoin: Duration,
    differs: Option<Duration>,
    next_sync: Duration,
    sync_pause: Duration,
    /// Until when no comparison is answered.
    sync_answered: Duration,
    courtesy: (Duration, u32),
    lives: VecDeque<Duration>,
    silent_until: Duration,
    leaving: bool,
    out: Vec<Action>,
}

impl Membership {
    /// A node's first incarnation. `epoch` is the last that its folder remembers, 0 if it remembers none; `seed` must differ from
    /// start to start, since lives are told apart by what is drawn from it.
    pub fn new(
        settings: MembershipSettings,
        me: LocalNode,
        epoch: u32,
        seed: u64,
        now: Duration,
    ) -> Self {
        let mut peers = Membership {
            members: Members::new(settings.max_members),
            rumours: Rumours::new(settings.max_members * 2),
            health: LocalHealth::new(settings.min_ack_timeout),
            settings,
            me,
            incarnation: Incarnation { epoch, salt: 0 },
            refutation: 0,
            values: Values::default(),
            suspected: Vec::new(),
            probes: Probes::default(),
            dice: Pcg32::seed_from_u64(seed),
            counters: Counters::default(),
            ring: Vec::new(),
            soon: VecDeque::new(),
            settled: false,
            last: now,
            heard: None,
            next_probe: now,
            next_gossip: now,
            gossip_left: (GOSSIP_BURST, now),
            next_ask: now,
            ask_pause: FIRST_ASK,
            next_rejoin: now + REJOIN,
            differs: None,
            next_sync: now,
            sync_pause: SYNC,
            sync_answered: now,
            courtesy: (now, 0),
            lives: VecDeque::new(),
            silent_until: Duration::ZERO,
            leaving: false,
            out: Vec::new(),
        };
        let epoch = if peers.has_bug(InjectedBug::ReusedIncarnation) {
            epoch.max(1)
        } else {
            epoch.saturating_add(1)
        };
        peers.live(epoch, now);
        let about = MetadataMessage::from(&peers.me.metadata).encode_to_vec();
        // Bounded by whoever made the settings; one that is too long is not told, and the zone is empty to others.
        let _ = peers.publish("about", &about, now);
        peers
    }

    /// Takes an event in and gives what follows from it.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.wake(now);
        match event {
            Event::Tick => self.turn(now),
            Event::Frame {
                name,
                address,
                incarnation,
                to_salt,
                frame,
            } => self.frame(now, name, address, incarnation, to_salt, &frame),
            Event::Sync(step) => self.sync(now, &step),
            Event::Leave => self.leave(),
        }
        std::mem::take(&mut self.out)
    }

    /// When the next turn is due, whatever happens.
    pub fn next(&self) -> Duration {
        let mut next = self.last + TURN;
        if self.silent_until <= self.last {
            next = next.min(self.next_probe).min(self.next_rejoin);
            if !self.rumours.is_empty() || !self.soon.is_empty() {
                next = next.min(self.next_gossip);
            }
            if !self.settled {
                next = next.min(self.next_ask);
            }
            next = self.probes.next().map_or(next, |due| next.min(due));
        }
        next.max(self.last + Duration::from_millis(1))
    }

    /// How this node stands.
    pub fn status(&self, now: Duration) -> MembershipStatus {
        if self.silent_until > now {
            MembershipStatus::NameConflict
        } else if !self.settled {
            MembershipStatus::Joining
        } else if self.is_deaf(now) {
            MembershipStatus::Isolated
        } else {
            MembershipStatus::Joined
        }
    }

    /// This incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// This node.
    pub fn local(&self) -> &LocalNode {
        &self.me
    }

    /// All others that are known, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// One of the others.
    pub fn member(&self, name: &Name) -> Option<&Member> {
        self.members.get(name)
    }

    /// How many others live, as far as is known.
    pub fn active_count(&self) -> usize {
        self.members.living().len()
    }

    /// What was counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// This node's own health and the time of round trips.
    pub fn health(&self) -> &LocalHealth {
        &self.health
    }

    /// Rumours that are being told.
    pub fn pending_updates(&self) -> usize {
        self.rumours.len()
    }

    /// One digest of all that is known of the living; equal where two nodes know the same.
    pub fn digest(&self) -> u32 {
        sync::digest(&self.members, &self.own(&self.claim()))
    }

    /// Tells the fleet a value of this node's own.
    ///
    /// # Errors
    /// It is over the bounds of keys, values or their number.
    pub fn publish(&mut self, key: &str, bytes: &[u8], now: Duration) -> Result<(), &'static str> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err("the key's length is not within bounds");
        }
        if bytes.len() > MAX_VALUE_BYTES {
            return Err("the value is too long");
        }
        if self
            .values
            .get(key)
            .is_some_and(|value| *value.bytes == *bytes)
        {
            return Ok(());
        }
        let version = self
            .values
            .top()
            .checked_add(1)
            .ok_or("no version is left in this life")?;
        let value = Value {
            key: key.into(),
            version,
            bytes: bytes.into(),
        };
        if !self.values.take(value) {
            return Err("there are too many values");
        }
        self.rumours
            .add(Subject::Value(self.me.name.clone(), key.into()));
        self.next_gossip = self.next_gossip.min(now.max(self.last));
        Ok(())
    }

    fn has_bug(&self, injected_bug: InjectedBug) -> bool {
        cfg!(feature = "faults") && self.settings.injected_bug == Some(injected_bug)
    }

    fn claim(&self) -> MemberUpdate {
        MemberUpdate {
            name: self.me.name.clone(),
            address: self.me.address,
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: MemberState::Alive,
            suspected_by: 0,
        }
    }

    fn own<'a>(&'a self, claim: &'a MemberUpdate) -> Own<'a> {
        Own {
            claim,
            values: &self.values,
        }
    }

    fn is_me(&self, name: &Name) -> bool {
        *name == self.me.name
    }

    fn below(&mut self, bound: usize) -> usize {
        ((u64::from(self.dice.next_u32()) * bound as u64) >> 32) as usize
    }

    /// Between half of it and one and a half.
    fn about(&mut self, time: Duration) -> Duration {
        time / 2 + time * (self.dice.next_u32() >> 16) / 65536
    }

    /// Nobody has been heard for long enough that the fault may be this node's own.
    fn is_deaf(&self, now: Duration) -> bool {
        let patience = self.least_suspicion().max(self.settings.probe_interval * 2);
        self.heard
            .is_none_or(|heard| now.saturating_sub(heard) > patience)
    }

    fn least_suspicion(&self) -> Duration {
        self.settings
            .min_suspicion_timeout
            .max(self.health.base_ack_timeout() * 4)
    }

    // ---- Lives --------------------------------------------------------------------------------

    /// Sees a pause: if no event came for so long, others may have called this incarnation gone.
    fn wake(&mut self, now: Duration) {
        let slept = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        if slept <= self.settings.min_suspicion_timeout.max(TURN * 2)
            || self.has_bug(InjectedBug::ReusedIncarnation)
        {
            return;
        }
        self.counters.pauses += 1;
        self.out.push(Action::Log(format!(
            "was not running for {} ms",
            slept.as_millis()
        )));
        self.live(self.incarnation.epoch.saturating_add(1), now);
    }

    /// Begins a incarnation. What this node knows of others stays as what it last knew; it asks before it counts on it.
    fn live(&mut self, epoch: u32, now: Duration) {
        let salt = if self.has_bug(InjectedBug::ReusedIncarnation) {
            values::hash(&[self.me.name.as_str().as_bytes()]) // the same in each process of the name
        } else {
            self.dice.next_u32()
        };
        self.incarnation = Incarnation {
            epoch: epoch.max(1),
            salt: salt.max(1),
        };
        self.counters.incarnations += 1;
        self.refutation = 0;
        self.settled = false;
        self.heard = None;
        (self.next_ask, self.ask_pause) = (now, FIRST_ASK);
        self.next_probe = now + self.settings.probe_interval;
        self.probes.clear();
        self.soon.clear();
        // Waits that ran while nobody looked are begun anew.
        for name in &self.suspected {
            if let Some(suspicion) = self
                .members
                .get_mut(name)
                .and_then(|m| m.suspicion.as_mut())
            {
                suspicion.since = now;
            }
        }
        // Versions go on rising, so that a value is never told twice under one version of a incarnation.
        let keys: Vec<_> = self.values.iter().map(|value| value.key.clone()).collect();
        self.rumours.add(Subject::Member(self.me.name.clone()));
        for key in keys {
            self.rumours.add(Subject::Value(self.me.name.clone(), key));
        }
        self.out.push(Action::StoreIncarnation(self.incarnation));
    }

    /// Something is claimed of this node itself.
    fn claimed_of_me(&mut self, claim: &MemberUpdate, now: Duration) {
        if claim.incarnation < self.incarnation {
            return;
        }
        if claim.incarnation > self.incarnation {
            // A incarnation of this name that is not this process's: an earlier one that the folder forgot, or another process.
            self.lives.retain(|at| now.saturating_sub(*at) < CONFLICT);
            self.lives.push_back(now);
            if self.lives.len() > NAMESAKES {
                self.lives.clear();
                self.silent_until = now + CONFLICT + self.about(CONFLICT);
                let what = format!(
                    "another process claims the name {} at {}",
                    self.me.name, claim.address
                );
                self.out.push(Action::Log(what));
            }
            self.live(claim.incarnation.epoch.saturating_add(1), now);
            return;
        }
        if self.has_bug(InjectedBug::ReusedIncarnation) && !claim.state.is_active() {
            return;
        }
        if !claim.state.is_active() {
            self.out.push(Action::Log(format!(
                "was called gone in life {}",
                self.incarnation
            )));
            self.live(self.incarnation.epoch.saturating_add(1), now);
        } else if claim.refutation > self.refutation
            || (claim.refutation == self.refutation && claim.state == MemberState::Suspect)
        {
            self.refutation = claim.refutation.saturating_add(1);
            self.counters.refutations += 1;
            self.health.degrade(1);
            self.rumours.add(Subject::Member(self.me.name.clone()));
        } else if claim.state == MemberState::Suspect {
            // Its refutation against that has not got to whoever says so: the next frame has it.
            self.rumours.add(Subject::Member(self.me.name.clone()));
        }
    }

    fn leave(&mut self) {
        self.leaving = true;
        let claim = MemberUpdate {
            state: MemberState::Left,
            ..self.claim()
        };
        let update = Update::from(&claim);
        for name in self.some_living(FAN_OUT * 2, None) {
            let frame = Frame {
                updates: vec![update.clone()],
                digest: 0,
                ..Frame::default()
            };
            self.send(&name, frame);
        }
    }

    // ---- What comes in ------------------------------------------------------------------------

    fn frame(
        &mut self,
        now: Duration,
        name: Name,
        address: SocketAddr,
        incarnation: Incarnation,
        to_salt: u32,
        frame: &Frame,
    ) {
        if self.silent_until > now || self.leaving {
            return;
        }
        let kind = FrameKind::try_from(frame.kind).unwrap_or(FrameKind::Gossip); // a newer build's: its rumours are read
        let header = MemberUpdate {
            name,
            address,
            incarnation,
            refutation: 0,
            state: MemberState::Alive,
            suspected_by: 0,
        };
        if self.is_me(&header.name) {
            self.counters.name_conflicts += 1;
            if incarnation != self.incarnation {
                self.claimed_of_me(&header, now);
            }
            return;
        }
        if to_salt != self.incarnation.salt {
            if to_salt == 0 {
                self.counters.from_strangers += 1;
            } else {
                self.counters.to_earlier_incarnation += 1;
            }
            // Nothing that it says is believed: it may have been on its way since before this incarnation. It is told who is here.
            if (to_salt != 0 || kind == FrameKind::Join) && kind != FrameKind::Welcome {
                self.welcome(now, &header);
            }
            return;
        }
        self.heard = Some(now);
        let (updates, nonsense): (Vec<_>, Vec<_>) = frame
            .updates
            .iter()
            .map(Update::to_member_update)
            .partition(Option::is_some);
        self.counters.invalid += nonsense.len() as u64;
        let claims: Vec<MemberUpdate> = updates.into_iter().flatten().collect();
        let (of_me, of_others): (Vec<MemberUpdate>, Vec<MemberUpdate>) = claims
            .into_iter()
            .partition(|claim| self.is_me(&claim.name));
        for claim in &of_me {
            self.claimed_of_me(claim, now);
        }
        if !self.settled && to_salt == self.incarnation.salt {
            self.settled = true;
            self.out.push(Action::Log(format!(
                "was answered by {} in life {}",
                header.name, self.incarnation
            )));
            self.ask_to_sync(now, &header.name, header.address, true);
        }
        // Who has ended is not believed until it comes in a new incarnation; it is told so.
        if let Some(known) = self.members.get(&header.name) {
            if known.incarnation > incarnation
                || (known.incarnation == incarnation && !known.state.is_active())
            {
                self.counters.from_ended_incarnation += 1;
                let update = Update::from(&known.claim());
                self.notice(now, address, incarnation.salt, update);
                return;
            }
        }
        self.take(&header, now, true);
        if let Some(member) = self.members.get_mut(&header.name) {
            member.last_heard = Some(now);
        }
        for claim in &of_others {
            self.take(claim, now, true);
        }
        self.take_values(&frame.values, true);
        match kind {
            FrameKind::Ping => {
                let ack = Frame {
                    kind: FrameKind::Ack as i32,
                    sequence: frame.sequence,
                    ..Frame::default()
                };
                self.send(&header.name, ack);
            }
            FrameKind::Ack => self.acked(now, &header.name, frame.sequence),
            FrameKind::Nack => self.probes.nack(frame.sequence),
            FrameKind::IndirectPing => self.favour(now, &header.name, frame),
            FrameKind::Join | FrameKind::Welcome | FrameKind::Gossip => {}
        }
        self.compare(now, &header.name, header.address, frame.digest);
    }

    /// A claim about another member, from a frame or a link.
    fn take(&mut self, claim: &MemberUpdate, now: Duration, tell_on: bool) {
        let before = self.members.get(&claim.name).map(|member| member.state);
        let change = self.members.take(claim, now);
        let after = self.members.get(&claim.name).map(|member| member.state);
        match change {
            Change::Nothing => return,
            Change::NoRoom => {
                self.counters.capacity_rejections += 1;
                return;
            }
            Change::Born | Change::Reborn | Change::Updated => {}
        }
        self.suspected.retain(|name| *name != claim.name);
        if after == Some(MemberState::Suspect) {
            self.suspected.push(claim.name.clone());
        }
        if tell_on {
            self.rumours.add(Subject::Member(claim.name.clone()));
        }
        let living = after.is_some_and(MemberState::is_active);
        if change == Change::Born || change == Change::Reborn {
            let what = if change == Change::Born {
                "is there"
            } else {
                "is back"
            };
            if living {
                self.out.push(Action::Log(format!(
                    "{} {what} in life {}",
                    claim.name, claim.incarnation
                )));
                let place = self.below(self.ring.len() + 1);
                self.ring.insert(place, claim.name.clone());
            }
        }
        if before != after && !living {
            let what = if after == Some(MemberState::Left) {
                "has left"
            } else {
                "is gone"
            };
            self.out.push(Action::Log(format!(
                "{} {what} in life {}",
                claim.name, claim.incarnation
            )));
        }
        // Volunteers: the sooner several have looked, the sooner it is known one way or the other.
        if tell_on && before != after && after == Some(MemberState::Suspect) {
            let living = self.members.living().len() as u32;
            if self.dice.next_u32() % living.max(1) < VOLUNTEERS && self.soon.len() < 64 {
                self.soon.push_back(claim.name.clone());
            }
        }
    }

    fn take_values(&mut self, told: &[MemberValue], tell_on: bool) -> bool {
        let mut news = false;
        for told in told {
            let Some((name, incarnation, value)) = told.to_value() else {
                self.counters.invalid += 1;
                continue;
            };
            if self.is_me(&name) {
                continue; // this node alone knows what it tells
            }
            let key = value.key.clone();
            if self.members.take_value(&name, incarnation, value) {
                news = true;
                if tell_on {
                    self.rumours.add(Subject::Value(name, key));
                }
            }
        }
        news
    }

    fn acked(&mut self, now: Duration, from: &Name, number: u64) {
        if let Some(favour) = self.probes.favoured(number) {
            let ack = Frame {
                kind: FrameKind::Ack as i32,
                sequence: favour.number,
                ..Frame::default()
            };
            self.send(&favour.whose, ack);
            return;
        }
        let Some(probe) = self.probes.answered(number) else {
            // Too late for its probe, and still the best refutation on how long the way is.
            if let Some((target, asked)) = self
                .probes
                .late(number)
                .filter(|(target, _)| target == from)
            {
                self.tripped(&target, now.saturating_sub(asked));
            }
            return;
        };
        self.health.recover();
        if probe.target == *from {
            self.tripped(&probe.target, now.saturating_sub(probe.asked));
        } else if let Some(member) = self.members.get_mut(&probe.target) {
            member.probes.unanswered += 1; // a helper's refutation: the straight way is broken
        }
    }

    fn tripped(&mut self, name: &Name, trip: Duration) {
        self.health.record_round_trip(trip);
        if let Some(member) = self.members.get_mut(name) {
            member.round_trip = Some(
                member
                    .round_trip
                    .map_or(trip, |smoothed| (smoothed * 7 + trip) / 8),
            );
        }
    }

    fn favour(&mut self, now: Duration, whose: &Name, frame: &Frame) {
        let Some(claim) = frame.target.as_ref().and_then(Update::to_member_update) else {
            self.counters.invalid += 1;
            return;
        };
        if self.is_me(&claim.name) {
            return;
        }
        self.take(&claim, now, true);
        let ends = now + self.health.ack_timeout();
        let favour = Favour {
            whose: whose.clone(),
            number: frame.sequence,
            ends,
        };
        if let Some(number) = self.probes.favour(favour) {
            self.ping(&claim.name, number);
        }
    }

    /// Prints that go on differing are worth a comparison.
    fn compare(&mut self, now: Duration, name: &Name, address: SocketAddr, digest: u32) {
        if digest == 0 {
            return;
        }
        if digest == self.digest() {
            self.differs = None;
            self.sync_pause = SYNC;
            return;
        }
        let since = *self.differs.get_or_insert(now);
        if now.saturating_sub(since) >= DIFFER {
            self.ask_to_sync(now, name, address, false);
        }
    }

    fn ask_to_sync(&mut self, now: Duration, name: &Name, address: SocketAddr, at_once: bool) {
        if now < self.next_sync && !at_once {
            return;
        }
        self.next_sync = now + self.about(self.sync_pause);
        self.sync_pause = (self.sync_pause * 2).min(LONGEST_SYNC);
        self.differs = None;
        self.counters.syncs += 1;
        let claim = self.claim();
        let words = sync::ask(&self.members, &self.own(&claim));
        self.out.push(Action::Sync {
            to: name.clone(),
            address,
            message: words,
        });
    }

    fn sync(&mut self, now: Duration, step: &SyncStep) {
        if self.silent_until > now || self.leaving || self.is_me(&step.name) {
            return;
        }
        if let Some(known) = self.members.get(&step.name) {
            if known.incarnation > step.incarnation
                || (known.incarnation == step.incarnation && !known.state.is_active())
            {
                self.counters.from_ended_incarnation += 1;
                return;
            }
        }
        if step.message.step == 1 && now < self.sync_answered {
            self.counters.rate_limited_replies += 1;
            return;
        }
        let (claims, nonsense) = sync::claims(&step.message);
        self.counters.invalid += nonsense as u64;
        let before = self.digest();
        for claim in &claims {
            if self.is_me(&claim.name) {
                self.claimed_of_me(claim, now);
            } else {
                // Not told on: whoever else lacks it finds it as this node did.
                self.take(claim, now, false);
            }
        }
        self.take_values(&step.message.values, false);
        if self.digest() != before {
            self.counters.productive_syncs += 1;
        }
        if step.message.step == 2 {
            self.sync_pause = SYNC; // something did differ
        }
        let claim = self.claim();
        let answer = sync::answer(&self.members, &self.own(&claim), &step.message);
        let cost = answer.as_ref().map_or(0, Message::encoded_len) + step.message.encoded_len();
        let rest = now + Duration::from_secs_f64(cost as f64 / SYNC_BYTES);
        match step.message.step {
            1 | 3 => self.sync_answered = self.sync_answered.max(rest),
            _ => self.next_sync = self.next_sync.max(rest),
        }
        if let Some(words) = answer {
            let address = self
                .members
                .get(&step.name)
                .map_or(self.me.address, |member| member.address);
            self.out.push(Action::Sync {
                to: step.name.clone(),
                address,
                message: words,
            });
        }
    }

    // ---- What goes out ------------------------------------------------------------------------

    /// To a member in the incarnation that is known of it, with as many rumours as fit.
    fn send(&mut self, name: &Name, frame: Frame) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let (to, salt) = (member.address, member.incarnation.salt);
        let frame = self.filled(frame);
        self.out.push(Action::Send { to, salt, frame });
    }

    /// With rumours in what room there is, and the digest.
    fn filled(&mut self, mut frame: Frame) -> Frame {
        frame.digest = self.digest().max(1);
        let mut size = frame.encoded_len();
        let limit = 4 * (self.members.living().len() as f64 + 2.0).log10().ceil() as u32;
        let limit = (limit * MANY as u32 / self.rumours.len().max(MANY) as u32).max(FEWEST);
        let mut told = Vec::new();
        // A frame holds a handful; those that are too long for what is left make way for shorter ones behind them.
        for subject in self.rumours.first(12) {
            let length = |encoded: usize| encoded + 2; // the field's number and a length of under 128
            match &subject {
                Subject::Member(name) => {
                    let claim = if self.is_me(name) {
                        Some(self.claim())
                    } else {
                        self.members.get(name).map(Member::claim)
                    };
                    let Some(update) = claim.as_ref().map(Update::from) else {
                        self.rumours.drop(&subject);
                        continue;
                    };
                    let more = length(update.encoded_len());
                    if size + more <= self.settings.max_frame_bytes {
                        size += more;
                        frame.updates.push(update);
                        told.push(subject);
                    }
                }
                Subject::Value(name, key) => {
                    let value = if self.is_me(name) {
                        self.values
                            .get(key)
                            .map(|value| MemberValue::new(name, self.incarnation, value))
                    } else {
                        let member = self.members.get(name);
                        member.and_then(|m| {
                            Some(MemberValue::new(name, m.incarnation, m.values.get(key)?))
                        })
                    };
                    let Some(value) = value else {
                        self.rumours.drop(&subject);
                        continue;
                    };
                    let encoded = value.encoded_len();
                    let more = length(encoded) + usize::from(encoded >= 128);
                    if size + more <= self.settings.max_frame_bytes {
                        size += more;
                        frame.values.push(value);
                        told.push(subject);
                    }
                }
            }
        }
        for subject in told {
            self.rumours.told(&subject, limit);
        }
        frame
    }

    /// Whether one more may be answered that is owed nothing.
    fn is_courteous(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.courtesy.0) >= Duration::from_secs(1) {
            self.courtesy = (now, 0);
        }
        self.courtesy.1 += 1;
        let courteous = self.courtesy.1 <= COURTESY;
        self.counters.rate_limited_replies += u64::from(!courteous);
        courteous
    }

    /// Tells a stranger, or one that knows an earlier incarnation, who is here: what is known of itself first, then some others.
    fn welcome(&mut self, now: Duration, whom: &MemberUpdate) {
        if !self.is_courteous(now) {
            return;
        }
        let mut frame = Frame {
            kind: FrameKind::Welcome as i32,
            ..Frame::default()
        };
        frame.updates.extend(
            self.members
                .get(&whom.name)
                .map(|member| Update::from(&member.claim())),
        );
        for name in self.some_living(4, Some(&whom.name)) {
            let update = self
                .members
                .get(&name)
                .map(|member| Update::from(&member.claim()));
            frame.updates.extend(update);
            if frame.encoded_len() > self.settings.max_frame_bytes {
                frame.updates.pop();
                break;
            }
        }
        self.out.push(Action::Send {
            to: whom.address,
            salt: whom.incarnation.salt,
            frame,
        });
    }

    /// Tells one that has ended that it has.
    fn notice(&mut self, now: Duration, to: SocketAddr, salt: u32, update: Update) {
        if self.is_courteous(now) {
            let frame = Frame {
                updates: vec![update],
                ..Frame::default()
            };
            self.out.push(Action::Send { to, salt, frame });
        }
    }

    /// Some of the living, drawn at random, each once.
    fn some_living(&mut self, count: usize, but: Option<&Name>) -> Vec<Name> {
        let mut some: Vec<Name> = Vec::with_capacity(count);
        let all = self.members.living().len();
        for _ in 0..count * 3 {
            if some.len() == count || all == 0 {
                break;
            }
            let place = self.below(all);
            let name = &self.members.living()[place];
            if Some(name) != but && !some.contains(name) {
                some.push(name.clone());
            }
        }
        some
    }

    // ---- Time ---------------------------------------------------------------------------------

    fn turn(&mut self, now: Duration) {
        if self.silent_until > now || self.leaving {
            return;
        }
        self.ask(now);
        self.rejoin(now);
        self.gossip(now);
        self.probe_usual(now);
        self.probe_soon(now);
        self.ask_helpers(now);
        self.give_up(now);
        self.settle_suspicions(now);
        if !self.has_bug(InjectedBug::DeadKeptForever) {
            self.members
                .forget(now.saturating_sub(self.settings.dead_retention));
        }
    }

    /// Where a incarnation that nobody has answered yet asks: a seed, and one that was known before.
    fn ask(&mut self, now: Duration) {
        if self.settled || now < self.next_ask {
            return;
        }
        self.next_ask = now + self.about(self.ask_pause);
        self.ask_pause = (self.ask_pause * 2).min(LAST_ASK);
        let own = self.me.address;
        let seeds: Vec<SocketAddr> = self
            .me
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own)
            .collect();
        let mut whom = Vec::new();
        for _ in 0..2 {
            if !seeds.is_empty() {
                whom.push(seeds[self.below(seeds.len())]);
            }
        }
        for name in self.some_living(2, None) {
            whom.extend(self.members.get(&name).map(|member| member.address));
        }
        whom.sort();
        whom.dedup();
        for to in whom {
            let frame = Frame {
                kind: FrameKind::Join as i32,
                ..Frame::default()
            };
            self.out.push(Action::Send { to, salt: 0, frame });
        }
    }

    /// Those that are gone may only have been cut off; a seed that is nobody's address may be up by now.
    fn rejoin(&mut self, now: Duration) {
        if now < self.next_rejoin {
            return;
        }
        self.next_rejoin = now + self.about(REJOIN);
        let own = self.me.address;
        let living = |at: SocketAddr| {
            self.members
                .iter()
                .any(|m| m.state.is_active() && m.address == at)
        };
        let mut lost: Vec<SocketAddr> = self
            .me
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own && !living(*seed))
            .collect();
        let gone = self
            .members
            .iter()
            .filter(|member| member.state == MemberState::Dead);
        lost.extend(gone.map(|member| member.address));
        if !lost.is_empty() {
            let to = lost[self.below(lost.len())];
            let frame = Frame {
                kind: FrameKind::Join as i32,
                ..Frame::default()
            };
            self.out.push(Action::Send { to, salt: 0, frame });
        }
    }

    fn gossip(&mut self, now: Duration) {
        if now < self.next_gossip || self.rumours.is_empty() {
            return;
        }
        self.next_gossip = now + self.settings.gossip_interval;
        let (left, at) = self.gossip_left;
        let left = (left + now.saturating_sub(at).as_secs_f64() * GOSSIP_RATE).min(GOSSIP_BURST);
        let count = FAN_OUT.min(left as usize);
        self.gossip_left = (left - count as f64, now);
        for name in self.some_living(count, None) {
            if !self.rumours.is_empty() {
                self.send(&name, Frame::default());
            }
        }
    }

    fn probe_usual(&mut self, now: Duration) {
        if now < self.next_probe {
            return;
        }
        if now.saturating_sub(self.next_probe) > LATE {
            self.health.degrade(1);
        }
        self.next_probe = now + self.settings.probe_interval * (self.health.score() + 1);
        // Through all of them in one order, then in another: nobody is left out for long.
        for _ in 0..2 {
            while let Some(name) = self.ring.pop() {
                if self
                    .members
                    .get(&name)
                    .is_some_and(|member| member.state.is_active())
                {
                    self.probe(&name, now);
                    return;
                }
            }
            self.ring = self.members.living().to_vec();
            self.ring.sort();
            for place in (1..self.ring.len()).rev() {
                let other = self.below(place + 1);
                self.ring.swap(place, other);
            }
        }
    }

    fn probe_soon(&mut self, now: Duration) {
        for _ in 0..EXTRA {
            let Some(name) = self.soon.pop_front() else {
                return;
            };
            if self
                .members
                .get(&name)
                .is_some_and(|member| member.state == MemberState::Suspect)
            {
                self.probe(&name, now);
            }
        }
    }

    fn probe(&mut self, name: &Name, now: Duration) {
        let wait = self.health.ack_timeout();
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.probes.sent += 1;
        let probe = Probe {
            target: name.clone(),
            incarnation: member.incarnation,
            asked: now,
            direct_until: now + wait,
            ends: now + wait * 3,
            helpers: 0,
            nacks: 0,
        };
        if let Some(number) = self.probes.begin(probe) {
            self.ping(name, number);
        }
    }

    /// Pings, and tells one that is suspected so before all else.
    fn ping(&mut self, name: &Name, number: u64) {
        let mut frame = Frame {
            kind: FrameKind::Ping as i32,
            sequence: number,
            ..Frame::default()
        };
        let suspected = self
            .members
            .get(name)
            .filter(|member| member.state == MemberState::Suspect);
        frame
            .updates
            .extend(suspected.map(|member| Update::from(&member.claim())));
        self.send(name, frame);
    }

    fn ask_helpers(&mut self, now: Duration) {
        for (number, target) in self.probes.due_for_help(now) {
            if self.has_bug(InjectedBug::NoIndirectProbes) {
                continue;
            }
            let Some(claim) = self.members.get(&target).map(Member::claim) else {
                continue;
            };
            let helpers = self.some_living(self.settings.indirect_probes, Some(&target));
            self.probes.helped_by(number, helpers.len());
            for helper in &helpers {
                let about = Some(Update::from(&claim));
                let favour = Frame {
                    kind: FrameKind::IndirectPing as i32,
                    sequence: number,
                    target: about,
                    ..Frame::default()
                };
                self.send(helper, favour);
            }
            // The first may only have been lost.
            self.ping(&target, number);
        }
    }

    fn give_up(&mut self, now: Duration) {
        for favour in self.probes.in_vain(now) {
            let nack = Frame {
                kind: FrameKind::Nack as i32,
                sequence: favour.number,
                ..Frame::default()
            };
            self.send(&favour.whose, nack);
        }
        for probe in self.probes.failed(now) {
            // Nobody answered, not even those who should have said that they had no answer.
            if probe.nacks == 0 && probe.helpers > 0 {
                self.health.degrade(1);
            }
            let Some(member) = self.members.get_mut(&probe.target) else {
                continue;
            };
            member.probes.unanswered += 1;
            if member.incarnation != probe.incarnation || !member.state.is_active() {
                continue;
            }
            let mut claim = member.claim();
            claim.suspected_by = values::hash(&[self.me.name.as_str().as_bytes()]);
            if self.has_bug(InjectedBug::NoIndirectProbes) {
                claim.state = MemberState::Dead;
                self.take(&claim, now, true);
                continue;
            }
            if self.is_deaf(now) {
                continue; // the fault is more likely here
            }
            claim.state = MemberState::Suspect;
            if self
                .members
                .get(&probe.target)
                .is_some_and(|member| member.state == MemberState::Alive)
            {
                self.counters.suspected += 1;
            }
            self.take(&claim, now, true);
        }
        // Who is suspected is asked again and again, by all who suspect it, and told so each time.
        if self.soon.is_empty() {
            let own = values::hash(&[self.me.name.as_str().as_bytes()]);
            let mine = self.suspected.iter().filter(|name| {
                let suspicion = self
                    .members
                    .get(name)
                    .and_then(|member| member.suspicion.as_ref());
                suspicion.is_some_and(|suspicion| suspicion.by.contains(&own))
            });
            self.soon = mine.take(EXTRA * 4).cloned().collect();
        }
    }

    /// How long a suspicion stands before the member is called gone.
    fn patience(&self, confirmed: usize) -> Duration {
        let least = self.least_suspicion();
        let most = least * 3;
        let others = self.members.living().len().saturating_sub(1);
        let enough = CONFIRMED.min(others);
        if enough == 0 {
            return least * (self.health.score() + 1);
        }
        let part = ((confirmed.min(enough) + 1) as f64).ln() / ((enough + 1) as f64).ln();
        let wait = most.saturating_sub((most - least).mul_f64(part)).max(least);
        wait * (self.health.score() + 1)
    }

    fn settle_suspicions(&mut self, now: Duration) {
        if self.suspected.is_empty() || !self.settled || self.is_deaf(now) {
            return;
        }
        let (mut over, mut again) = (Vec::new(), Vec::new());
        for name in &self.suspected {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            let Some(suspicion) = &member.suspicion else {
                continue;
            };
            let confirmed = suspicion.by.len().saturating_sub(1);
            if now.saturating_sub(suspicion.since) < self.patience(confirmed) {
                continue;
            }
            // It spoke here since, and only its refutation against the suspicion was lost. One that is dead says nothing more.
            let settled = suspicion.since + self.health.base_ack_timeout() * 2;
            if member.last_heard.is_some_and(|heard| heard > settled) {
                again.push(name.clone());
            } else {
                over.push(member.claim());
            }
        }
        for name in again {
            if let Some(suspicion) = self
                .members
                .get_mut(&name)
                .and_then(|m| m.suspicion.as_mut())
            {
                suspicion.since = now;
            }
            self.soon.push_front(name);
            self.soon.truncate(64);
        }
        for claim in over {
            self.counters.declared_dead += 1;
            self.take(
                &MemberUpdate {
                    state: MemberState::Dead,
                    ..claim
                },
                now,
                true,
            );
        }
    }
}
