//! Rights to act on versions: what a voter gives and waits for, and what a node has.
//!
//! A voter that answers an asking promises: *for [`Terms::hold`] from now I consent to no version above the newest that I
//! name, unless this node says that it reads a newer one.* A node that a majority has answered may act, until
//! [`Terms::right`] after the moment when it asked the least recent of that majority. A version is in force once a majority
//! consents to it. Two majorities share a voter; that voter has waited. So nobody has a right on an older version when one is
//! in force, and who acts on a version in force contradicts nobody.

use crate::words::{Answer, Ask};
use crate::{Plant, Terms, majority};
use sillward_fleet_settings::Standing;
use sillward_membership::Name;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Who asked: a name and one run of it.
type Who<N> = (N, u64);

/// Rights that are out to one run of a node. An answer may be lost: what an earlier one gave stays out beside it, until it has
/// run out or the node says that it knows of more.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Out {
    /// The newest version that was named, and until when: rising versions.
    given: VecDeque<(u64, Duration)>,
    /// The asking that was answered last.
    number: u64,
}

/// Rights to different versions that are told apart for one node.
const APART: usize = 8;

impl Out {
    fn give(&mut self, version: u64, until: Duration) {
        match self.given.iter_mut().find(|(given, _)| *given >= version) {
            Some((_, later)) => *later = until.max(*later),
            None => self.given.push_back((version, until)),
        }
        if self.given.len() > APART
            && let (Some((version, until)), Some((_, next))) =
                (self.given.pop_front(), self.given.pop_front())
        {
            self.given.push_front((version, until.max(next))); // never less than was given
        }
    }

    /// The node will act on nothing older any more.
    fn knows(&mut self, version: u64) {
        self.given.retain(|(given, _)| *given >= version);
    }

    fn turn(&mut self, now: Duration) -> bool {
        self.given.retain(|(_, until)| *until > now);
        !self.given.is_empty()
    }
}

/// A voter's side. It is not kept on a disk: one that is restarted waits as if it had given every right.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Granter<N: Ord = Name> {
    terms: Terms,
    log: u64,
    /// Whether rights of an earlier run may be out until then.
    blind_until: Duration,
    newest: u64,
    consent: u64,
    out: BTreeMap<Who<N>, Out>,
    /// Asked for when there was no room.
    pub refused: u64,
}

impl<N: Ord + Clone> Granter<N> {
    /// Of a process that starts now. `newest` is what its folder has.
    pub fn new(terms: Terms, log: u64, newest: u64, now: Duration) -> Self {
        let wait = if terms.planted(Plant::ForgetRight) {
            Duration::ZERO
        } else {
            terms.hold()
        };
        // Before the first version there is nothing to contradict.
        Granter {
            terms,
            log,
            blind_until: now + wait,
            newest,
            consent: 0,
            out: BTreeMap::new(),
            refused: 0,
        }
    }

    /// A version is confirmed, and in the folder.
    pub fn confirmed(&mut self, newest: u64) {
        self.newest = self.newest.max(newest);
    }

    /// Answers an asking.
    pub fn ask(&mut self, now: Duration, from: &N, ask: &Ask) -> Answer {
        self.turn(now);
        let who = (from.clone(), ask.session);
        let right = self.out.contains_key(&who) || self.out.len() < self.terms.most;
        if right {
            let until = now + self.terms.hold();
            let out = self.out.entry(who).or_insert(Out {
                given: VecDeque::new(),
                number: 0,
            });
            out.number = out.number.max(ask.number);
            out.knows(ask.knows);
            // A node that knows of more than this voter heard it of one that has it confirmed.
            out.give(self.newest.max(ask.knows), until);
        } else {
            self.refused += 1;
        }
        self.answer(now, ask.session, ask.number, right)
    }

    /// Says what stands, without a new right: to those that have one, when something has changed.
    pub fn news(&mut self, now: Duration) -> Vec<(N, Answer)> {
        self.turn(now);
        let all: Vec<(N, u64, u64)> = self
            .out
            .iter()
            .map(|((name, session), out)| (name.clone(), *session, out.number))
            .collect();
        all.into_iter()
            .map(|(name, session, number)| (name, self.answer(now, session, number, false)))
            .collect()
    }

    fn answer(&mut self, now: Duration, session: u64, number: u64, right: bool) -> Answer {
        let consent = self.consent(now);
        Answer {
            log: self.log,
            session,
            number,
            newest: self.newest,
            consent,
            right,
        }
    }

    fn turn(&mut self, now: Duration) {
        self.out.retain(|_, out| out.turn(now));
    }

    /// The newest version below which no right is out. It never falls.
    pub fn consent(&mut self, now: Duration) -> u64 {
        self.turn(now);
        if now >= self.blind_until || self.terms.planted(Plant::SkipWait) {
            let least = self
                .out
                .values()
                .flat_map(|out| out.given.front())
                .map(|(version, _)| *version)
                .min();
            let least = if self.terms.planted(Plant::SkipWait) {
                None
            } else {
                least
            };
            self.consent = self
                .consent
                .max(least.unwrap_or(self.newest).min(self.newest));
        }
        self.consent
    }

    /// When the next right runs out that holds something up.
    pub fn next(&self, now: Duration) -> Option<Duration> {
        if self.consent >= self.newest {
            return None;
        }
        let given = self.out.values().flat_map(|out| &out.given);
        let out = given
            .filter(|(version, _)| *version < self.newest)
            .map(|(_, until)| *until)
            .min();
        let blind = (self.blind_until > now).then_some(self.blind_until);
        out.into_iter().chain(blind).min()
    }

    /// Who holds a version up, with what it may act on and for how long yet.
    pub fn holding(&self, now: Duration) -> Vec<(N, u64, Duration)> {
        let all = self
            .out
            .iter()
            .flat_map(|((name, _), out)| out.given.iter().map(move |given| (name, given)));
        let holding = all.filter(|(_, (version, until))| *version < self.newest && *until > now);
        holding
            .map(|(name, (version, until))| (name.clone(), *version, *until - now))
            .collect()
    }

    /// How many rights are out.
    pub fn out(&self) -> usize {
        self.out.len()
    }
}

/// What a node has of a voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Word {
    /// When the newest asking that it answered was asked.
    asked: Option<Duration>,
    consent: u64,
}

/// A node's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    terms: Terms,
    log: u64,
    session: u64,
    number: u64,
    /// Askings that may be answered yet, with their times.
    open: VecDeque<(u64, Duration)>,
    words: Vec<Word>,
    newest: u64,
    force: u64,
    asks_at: Duration,
}

/// Askings that are remembered: more than are sent while a right lasts.
const OPEN: usize = 16;

impl Holder {
    /// Of a process that starts now, with so many voters. It has no right until it has asked.
    pub fn new(terms: Terms, log: u64, voters: usize, session: u64, now: Duration) -> Self {
        let words = vec![Word::default(); voters];
        let open = VecDeque::new();
        Holder {
            terms,
            log,
            session,
            number: 0,
            open,
            words,
            newest: 0,
            force: 0,
            asks_at: now,
        }
    }

    /// When it is to ask next.
    pub fn next(&self) -> Duration {
        self.asks_at
    }

    /// An asking, for every voter, if one is due.
    pub fn turn(&mut self, now: Duration) -> Option<Ask> {
        if now < self.asks_at {
            return None;
        }
        self.asks_at = now + self.terms.ask;
        self.number += 1;
        self.open.push_back((self.number, now));
        while self.open.len() > OPEN {
            self.open.pop_front();
        }
        Some(Ask {
            log: self.log,
            session: self.session,
            number: self.number,
            knows: self.newest,
        })
    }

    /// It asks at once: it has something new to say.
    pub fn hurry(&mut self, now: Duration) {
        self.asks_at = self.asks_at.min(now);
    }

    /// A voter has answered. True if anything is new.
    pub fn answer(&mut self, now: Duration, voter: usize, answer: &Answer) -> bool {
        if answer.log != self.log || answer.session != self.session || voter >= self.words.len() {
            return false;
        }
        let before = self.standing(now);
        self.heard_of(answer.newest, now);
        let word = &mut self.words[voter];
        let asked = self
            .open
            .iter()
            .find(|(number, _)| *number == answer.number)
            .map(|(_, at)| *at);
        if let (Some(asked), true) = (asked, answer.right) {
            let counts = if self.terms.planted(Plant::FromArrival) {
                now
            } else {
                asked
            };
            word.asked = word.asked.max(Some(counts));
        }
        word.consent = word.consent.max(answer.consent);
        let need = majority(self.words.len());
        let mut consents: Vec<u64> = self.words.iter().map(|word| word.consent).collect();
        consents.sort_unstable_by(|a, b| b.cmp(a));
        self.force = self.force.max(consents[need - 1]);
        self.heard_of(self.force, now);
        before != self.standing(now)
    }

    /// Somebody has told of a version that is confirmed. It counts from now on, whether its words are there yet or not.
    pub fn heard_of(&mut self, newest: u64, now: Duration) {
        if newest > self.newest {
            self.newest = newest;
            self.hurry(now);
        }
    }

    /// Until when it may act, if a majority has answered.
    pub fn until(&self) -> Option<Duration> {
        let mut asked: Vec<Option<Duration>> = self.words.iter().map(|word| word.asked).collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked[majority(asked.len()) - 1].map(|asked| asked + self.terms.right())
    }

    /// How it stands.
    pub fn standing(&self, now: Duration) -> Standing {
        let right = self.until().is_some_and(|until| now < until);
        Standing {
            force: self.force,
            newest: self.newest,
            right,
        }
    }

    /// Voters that have answered an asking within the time of a right.
    pub fn answered(&self, now: Duration) -> usize {
        let fresh = |word: &&Word| {
            word.asked
                .is_some_and(|asked| asked + self.terms.right() > now)
        };
        self.words.iter().filter(fresh).count()
    }
}
