//! A voter: the engine's log, what must be in the folder before anything that follows from it is said, and the rights that it
//! gives. A voter whose folder is lost or older than what the others have seen of it does not vote.

use crate::kept::{Kept, Memory};
use crate::rights::Granter;
use crate::words::{Answer, Ask, Between, Proposal, Sealed, Ticket};
use crate::{Plant, Terms, majority};
use omnipaxos::messages::Message;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use sillward_fleet_settings::{History, MOST_WHY, Rules, Version};
use sillward_membership::Name;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// The engine's step.
pub const TICK: Duration = Duration::from_millis(50);
/// Steps without a leader's sign of life until another is chosen; steps until a message is sent again.
const ELECTION: u64 = 8;
const RESEND: u64 = 10;
/// Between two tellings of a ticket that too few have seen; and between two tickets.
const TELL: Duration = Duration::from_millis(500);
const RENEW: Duration = Duration::from_secs(10);
/// A voter that was silent for so long may have missed something.
const SILENT: Duration = Duration::from_secs(1);
/// A disk that takes longer makes its voter look dead, so that one with a better disk leads.
const DISK: Duration = Duration::from_secs(2);
/// Decided entries that are kept one by one.
const LOOSE: usize = 32;
/// What may wait for the disk. The engine makes good what is lost.
const MOST_HELD: usize = 512;
/// The longest proposal, in bytes: it must fit a link's message with its like.
pub const MOST_PROPOSAL: usize = 24 * 1024;

/// What happens to a voter.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Turn,
    /// Another voter says something, by its place.
    Between(usize, Sealed),
    /// A node asks.
    Ask(Name, Ask),
    /// Somebody proposes.
    Propose(Proposal),
    /// The folder has what it was to keep, or could not take it.
    Kept(u64, bool),
}

/// What a voter does.
#[derive(Clone, Debug)]
pub enum Action {
    /// Says something to another voter.
    Between(usize, Sealed),
    /// Answers a node.
    Answer(Name, Answer),
    /// Puts this into the folder, all of it in the place of what is there, and says when it is on the disk.
    Keep(u64, Vec<u8>),
    /// New versions are confirmed.
    Confirmed(Vec<Version>),
    /// Something for the log.
    News(String),
}

/// How a voter stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stands {
    /// It asks the others whether its folder is the newest.
    Joining,
    /// It votes.
    Votes,
    /// It does not, for good.
    Refused(String),
}

/// See the module's page.
pub struct Voter {
    terms: Terms,
    log: u64,
    place: usize,
    voters: usize,
    memory: Memory,
    engine: Option<OmniPaxos<Proposal, Memory>>,
    granter: Granter,
    stands: Stands,
    run: u64,
    good: BTreeSet<usize>,
    heard: Vec<Option<Duration>>,
    newest: u64,
    decided: usize,
    said: (u64, u64),
    tick_at: Duration,
    tell_at: Duration,
    renew_at: Duration,
    /// What must be on the disk before it: the number of a keeping.
    held: VecDeque<(u64, Action)>,
    /// The keeping that is under way, and whether more has changed since.
    keeping: Option<u64>,
    keeping_since: Duration,
    dirty: bool,
    keep_again: Option<Duration>,
    kept: u64,
    out: Vec<Action>,
    /// Writes that the disk did not take.
    pub failed_writes: u64,
}

impl Voter {
    /// A voter that starts with what its folder has. `run` is drawn for this process.
    pub fn new(terms: Terms, kept: Kept, run: u64, now: Duration) -> Self {
        let (log, place, voters) = (kept.log, kept.place as usize, kept.seen.len());
        let memory = Memory::of(kept);
        let newest = memory.history().newest();
        memory.change(|kept| {
            kept.ticket = kept.ticket.map(|old| Ticket {
                number: old.number + 1,
                run,
                ..old
            });
        });
        Voter {
            terms,
            log,
            place,
            voters,
            granter: Granter::new(terms, log, newest, now),
            memory,
            engine: None,
            stands: Stands::Joining,
            run,
            good: BTreeSet::new(),
            heard: vec![None; voters + 1],
            newest,
            decided: 0,
            said: (0, 0),
            tick_at: now,
            tell_at: now,
            renew_at: now + RENEW,
            held: VecDeque::new(),
            keeping: None,
            keeping_since: now,
            dirty: true,
            keep_again: None,
            kept: 0,
            out: Vec::new(),
            failed_writes: 0,
        }
    }

    /// How it stands.
    pub fn stands(&self) -> &Stands {
        &self.stands
    }

    /// What it has given.
    pub fn granter(&self) -> &Granter {
        &self.granter
    }

    /// What is confirmed, as its log has it.
    pub fn history(&self) -> History {
        self.memory.history()
    }

    /// Entries that were decided, and how many of them are kept one by one.
    pub fn log_length(&self) -> (usize, usize) {
        self.memory.look(Kept::log_length)
    }

    /// The place of the voter that leads, as this one knows, and whether it is this one.
    pub fn leader(&self) -> (Option<usize>, bool) {
        let leader = self.engine.as_ref().and_then(OmniPaxos::get_current_leader);
        let leader = leader.map(|(pid, _)| pid as usize);
        (leader, leader == Some(self.place))
    }

    /// When time is to pass next.
    pub fn next(&self, now: Duration) -> Duration {
        let mut at = match self.stands {
            Stands::Joining => self.tell_at,
            Stands::Votes => self.tick_at.min(self.renew_at),
            Stands::Refused(_) => now + RENEW,
        };
        at = at.min(self.keep_again.unwrap_or(at));
        at.min(self.granter.next(now).unwrap_or(at)).max(now)
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Turn => self.turn(now),
            Event::Between(from, sealed) => self.between(now, from, sealed),
            Event::Ask(from, ask) => {
                if self.stands == Stands::Votes && ask.log == self.log {
                    self.settle(now);
                    let answer = self.granter.ask(now, &from, &ask);
                    self.say(Action::Answer(from, answer));
                }
            }
            Event::Propose(proposal) => self.propose(proposal),
            Event::Kept(number, done) => self.kept(now, number, done),
        }
        self.settle(now);
        self.tell_news(now);
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    fn turn(&mut self, now: Duration) {
        if self.keep_again.is_some_and(|at| now >= at) {
            (self.keep_again, self.dirty) = (None, true);
        }
        match self.stands {
            Stands::Refused(_) => {}
            Stands::Joining => {
                if now >= self.tell_at {
                    self.tell_at = now + TELL;
                    self.tell_ticket();
                    self.join(now);
                }
            }
            Stands::Votes => {
                if now >= self.renew_at {
                    self.renew_at = now + RENEW;
                    self.memory.change(|kept| {
                        kept.ticket = kept.ticket.map(|old| Ticket {
                            number: old.number + 1,
                            ..old
                        });
                    });
                    self.tell_ticket();
                }
                // Steps that a pause has swallowed are not made up for.
                if now >= self.tick_at {
                    self.tick_at = now + TICK;
                    if let Some(engine) = &mut self.engine {
                        engine.tick();
                    }
                }
            }
        }
    }

    fn ticket(&self) -> Option<Ticket> {
        self.memory.look(|kept| kept.ticket)
    }

    fn tell_ticket(&mut self) {
        let Some(ticket) = self.ticket() else { return };
        let (own, all) = (self.place, self.voters);
        for to in (1..=all).filter(|to| *to != own) {
            self.send(to, Between::Ticket(ticket));
        }
    }

    /// Enough have seen this folder's ticket, and none a better one.
    fn join(&mut self, now: Duration) {
        if self.good.len() + 1 < majority(self.voters) || self.stands != Stands::Joining {
            return;
        }
        let nodes: Vec<u64> = (1..=self.voters as u64).collect();
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig {
                configuration_id: 1,
                nodes,
                flexible_quorum: None,
            },
            server_config: ServerConfig {
                pid: self.place as u64,
                election_tick_timeout: ELECTION,
                resend_message_tick_timeout: RESEND,
                ..ServerConfig::default()
            },
        };
        match config.build(self.memory.clone()) {
            Ok(engine) => {
                (self.engine, self.stands, self.tick_at) = (Some(engine), Stands::Votes, now);
                self.good.clear();
                self.out.push(Action::News("votes".to_owned()));
            }
            Err(e) => self.refuse(format!("the engine does not start: {e}")),
        }
    }

    fn refuse(&mut self, why: String) {
        self.engine = None;
        self.out
            .push(Action::News(format!("does not vote any more: {why}")));
        self.stands = Stands::Refused(why);
    }

    fn between(&mut self, now: Duration, from: usize, sealed: Sealed) {
        if sealed.log != self.log || from == self.place || !(1..=self.voters).contains(&from) {
            return;
        }
        let silent = self.heard[from].is_none_or(|at| now.saturating_sub(at) > SILENT);
        self.heard[from] = Some(now);
        match sealed.word {
            Between::Ticket(ticket) => {
                let seen = self.memory.look(|kept| kept.seen[from - 1]);
                let better = seen.filter(|seen| {
                    let next = ticket.number > seen.number;
                    let same = ticket.number == seen.number && ticket.run == seen.run;
                    ticket.stamp != seen.stamp || !(next || same)
                });
                if better.is_none() && seen != Some(ticket) {
                    self.memory
                        .change(|kept| kept.seen[from - 1] = Some(ticket));
                }
                self.send(from, Between::Seen { of: ticket, better });
            }
            Between::Seen { of, better } => {
                if Some(of) != self.ticket() || of.run != self.run {
                    return;
                }
                match better {
                    None => {
                        self.good.insert(from);
                        self.join(now);
                    }
                    Some(_) if matches!(self.stands, Stands::Refused(_)) => {}
                    Some(better) => self.refuse(format!(
                        "the voter at place {from} has seen a newer or another folder of this one's (ticket {} of {:x}, \
                         here {} of {:x}): it is lost or was put back, and comes back as a new voter only",
                        better.number, better.stamp, of.number, of.stamp
                    )),
                }
            }
            Between::Engine(bytes) => {
                let Some(engine) = &mut self.engine else {
                    return;
                };
                let Ok(message) = postcard::from_bytes::<Message<Proposal>>(&bytes) else {
                    return;
                };
                let ends = match &message {
                    Message::SequencePaxos(paxos) => (paxos.from, paxos.to),
                    Message::BLE(ble) => (ble.from, ble.to),
                };
                if ends != (from as u64, self.place as u64) {
                    return; // the engine takes it at its word
                }
                if silent {
                    engine.reconnected(from as u64);
                }
                engine.handle_incoming(message);
            }
        }
    }

    fn propose(&mut self, proposal: Proposal) {
        let version = &proposal.version;
        let long = version.rules.len() + version.why.len() + version.author.len() > MOST_PROPOSAL;
        let line = version.why.len() <= MOST_WHY && version.author.len() <= MOST_WHY;
        let good = line && !long && Rules::read(&version.rules).is_ok();
        if let (Some(engine), true) = (&mut self.engine, good) {
            // One that a change of voters holds up is sent again by whoever proposed it.
            let _ = engine.append(proposal);
        }
    }

    /// Takes what the engine has decided and wants to say.
    fn settle(&mut self, now: Duration) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let mut messages = Vec::new();
        engine.take_outgoing_messages(&mut messages);
        let (decided, loose) = self.memory.look(Kept::log_length);
        if loose > LOOSE {
            let _ = engine.snapshot(Some(decided), true); // tried again with the next
        }
        for message in messages {
            let to = match &message {
                Message::SequencePaxos(paxos) => paxos.to,
                Message::BLE(ble) => ble.to,
            };
            let Ok(bytes) = postcard::to_stdvec(&message) else {
                continue;
            };
            let word = Between::Engine(bytes);
            if matches!(message, Message::BLE(_)) {
                // Signs of life follow from nothing that the folder must have.
                let slow = self.keeping.is_some() && now.saturating_sub(self.keeping_since) > DISK;
                if !slow && self.keep_again.is_none() {
                    self.out.push(Action::Between(
                        to as usize,
                        Sealed {
                            log: self.log,
                            word,
                        },
                    ));
                }
            } else {
                self.send(to as usize, word);
            }
        }
        if decided == self.decided {
            return;
        }
        self.decided = decided;
        let history = self.memory.history();
        if history.newest() > self.newest {
            let new: Vec<Version> = history
                .iter()
                .filter(|v| v.number > self.newest)
                .cloned()
                .collect();
            self.newest = history.newest();
            self.granter.confirmed(self.newest);
            self.say(Action::Confirmed(new));
        }
    }

    /// What has changed is told to all that have a right: nobody has to wait for its next asking.
    fn tell_news(&mut self, now: Duration) {
        if self.stands != Stands::Votes {
            return;
        }
        let stands = (self.newest, self.granter.consent(now));
        if stands != self.said {
            self.said = stands;
            for (to, answer) in self.granter.news(now) {
                self.say(Action::Answer(to, answer));
            }
        }
    }

    fn send(&mut self, to: usize, word: Between) {
        let sealed = Sealed {
            log: self.log,
            word,
        };
        self.say(Action::Between(to, sealed));
    }

    /// Says something once the folder has all that it may follow from.
    fn say(&mut self, action: Action) {
        self.dirty |= self.memory.changed();
        if self.terms.planted(Plant::NoSync) {
            return self.out.push(action);
        }
        let needs = match (self.dirty, self.keeping) {
            (true, under_way) => under_way.unwrap_or(self.kept) + 1,
            (false, Some(under_way)) => under_way,
            (false, None) => self.kept,
        };
        if needs <= self.kept && self.held.is_empty() && self.keep_again.is_none() {
            return self.out.push(action);
        }
        if self.held.len() >= MOST_HELD {
            self.held.pop_front();
        }
        self.held.push_back((needs, action));
    }

    fn flush(&mut self, now: Duration) {
        self.dirty |= self.memory.changed();
        if self.dirty && self.keeping.is_none() && self.keep_again.is_none() {
            let number = self.kept + 1;
            (self.dirty, self.keeping, self.keeping_since) = (false, Some(number), now);
            self.out
                .push(Action::Keep(number, self.memory.look(Kept::bytes)));
        }
    }

    fn kept(&mut self, now: Duration, number: u64, done: bool) {
        if self.keeping != Some(number) {
            return;
        }
        self.keeping = None;
        if !done {
            // Nothing that waits for it is said; it looks dead to the others, which go on without it.
            self.failed_writes += 1;
            self.keep_again = Some(now + SILENT);
            return;
        }
        self.kept = number;
        while self.held.front().is_some_and(|(needs, _)| *needs <= number) {
            self.out
                .extend(self.held.pop_front().map(|(_, action)| action));
        }
    }
}
