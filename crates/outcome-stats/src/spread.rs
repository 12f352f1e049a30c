//! How words get round: by asking, never by pushing, within a rate that no fleet's size can raise.
//!
//! A node asks some others in turn what they have learnt since it asked them last. The answer's words were said after the ask
//! went out, so each is at most as old as was claimed, and the time since the ask: what was held up on its way, or is said
//! again by somebody who heard it long ago, can't pass for new. Who is asked is drawn by hash from names, so that all ways
//! together reach everybody in few steps; one of several asks goes to anybody at random, so that no group keeps to itself.

use crate::board::{Board, Word, micros};
use crate::book::Book;
use crate::counts::Counts;
use crate::terms::{Sum, Terms};
use crate::view::{self, View};
use crate::words::{Answer, Ask, Said, Told, has, mark, pack, unpack};
use prost::Message;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use sillward_membership::{Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An ask that has no answer after so long is forgotten.
const PATIENCE: Duration = Duration::from_secs(2);
/// Of so many asks one goes to anybody.
const ANYBODY: u64 = 6;
/// Marks in an ask: what was learnt lately, from anybody. What the asks cost stays under this share of the rate.
const MARKS: usize = 256;
const ASKING: f64 = 0.15;
/// The share of what may be saved up that answers leave for asks.
const OWN: f64 = 0.25;
/// What a word costs beside its counts, and a message beside its words, in bytes, at the most.
const AROUND_WORD: usize = 56;
const AROUND_MESSAGE: usize = 160;
/// An answer is worth its message from so many bytes of words on.
const LEAST_ROOM: usize = 400;
/// By so much a node's words come more seldom for an answer that had no room for all there was, and sooner for one that had.
const LONGER: f64 = 1.1;
const SHORTER: f64 = 0.96;
/// Up to so many nodes tell each other all; where there are more, groups of half of it and more do, and each its sum to all.
const GROUP: usize = 48;
/// Nodes of a group that tell its sum in turn: what one of them makes up the other two outvote.
const SPEAKERS: usize = 3;
/// Between two asks of a speaker's for a mate's own word: all of a group in some seconds.
const ROUND: Duration = Duration::from_millis(60);
/// A clock runs fast or slow by so much at the most, as a share.
const CLOCKS: f64 = 0.001;
/// The fastest change of the sum that was seen is remembered, less so much of it a window.
const FORGOTTEN: f64 = 0.03;

/// What goes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A message, by link.
    Send {
        /// To whom.
        to: Name,
        /// Takes the place of an earlier one of the same number that still waits there.
        slot: u32,
        /// What.
        bytes: Vec<u8>,
    },
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Asks that went out, and those that had an answer.
    pub asks: u64,
    /// See there.
    pub answered: u64,
    /// Words that came, and of these those that were new.
    pub words: u64,
    /// See there.
    pub fresh: u64,
    /// Messages and words that made no sense, or that nobody had asked for.
    pub nonsense: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Asks that were not answered, since too much had been sent.
    pub unanswered: u64,
}

/// What is remembered of one that is asked.
#[derive(Debug, Default)]
struct Asked {
    /// Up to where it has answered, of words and of sums, in which of its lives.
    since: u64,
    since_sums: u64,
    salt: u32,
    /// The ask that is out: its number, and when it was sent.
    out: Option<(u64, Duration)>,
}

/// A rate: so many bytes may be saved up for a second.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    left: f64,
    at: Duration,
}

impl Bucket {
    fn new(rate: f64, now: Duration) -> Self {
        Bucket {
            rate,
            left: rate,
            at: now,
        }
    }

    fn left(&mut self, now: Duration) -> f64 {
        self.left =
            (self.left + self.rate * now.saturating_sub(self.at).as_secs_f64()).min(self.rate);
        self.at = now;
        self.left
    }

    fn take(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}

/// How many groups so many nodes fall into: a power of two, so that it changes seldom.
fn groups(nodes: usize) -> u32 {
    nodes.div_ceil(GROUP).next_power_of_two() as u32
}

fn group_of(name: &Name, groups: u32) -> u32 {
    (xxh3_64_with_seed(name.as_str().as_bytes(), 1) % u64::from(groups.max(1))) as u32
}

/// One node's part.
pub struct Spread {
    terms: Terms,
    me: Name,
    life: Incarnation,
    book: Book,
    /// Words of the nodes of this one's group.
    board: Board<(Name, Incarnation)>,
    /// Sums of groups, by group and speaker; those of this one's own group go on to others, and are not read here.
    sums: Board<Sum>,
    /// How many groups there are, and this node's.
    groups: u32,
    group: u32,
    /// The members of its group, this node among them.
    mates: BTreeMap<Name, Incarnation>,
    /// Who speaks for each group; whether this node does, when next, and how often it has.
    speakers: BTreeSet<Name>,
    speaks: bool,
    next_sum: Duration,
    spoken: u64,
    living: BTreeMap<Name, Incarnation>,
    /// Whom it asks in turn, the next in front; and a speaker's mates, each of whom it asks for its own word.
    ring: VecDeque<Name>,
    round: VecDeque<Name>,
    asked: BTreeMap<Name, Asked>,
    number: u64,
    next_round: Duration,
    next_mate: Duration,
    next_word: Duration,
    /// Between two words of this node's, or two sums of its group: longer while answers have no room for all there is, shorter while they do.
    interval: Duration,
    out: Bucket,
    into: Bucket,
    /// What a speaker asks of its mates beside that, at half the rate.
    from_mates: Bucket,
    /// By how much of itself the sum of what is asked changes in a second, and the sum that was last looked at.
    drift: f64,
    looked_at: (f64, Duration),
    dice: Pcg32,
    figures: Figures,
}

impl Spread {
    /// A node's part from `now` on, in that life.
    pub fn new(terms: Terms, me: Name, life: Incarnation, seed: u64, now: Duration) -> Self {
        Spread {
            book: Book::new(terms.window, terms.keep, now),
            board: Board::new(terms.most.saturating_mul(2)),
            sums: Board::new(terms.most.saturating_mul(2)),
            groups: 1,
            group: 0,
            mates: BTreeMap::from([(me.clone(), life)]),
            speakers: BTreeSet::new(),
            speaks: false,
            round: VecDeque::new(),
            next_sum: now,
            spoken: 0,
            living: BTreeMap::from([(me.clone(), life)]),
            ring: VecDeque::new(),
            asked: BTreeMap::new(),
            number: 0,
            next_round: now,
            next_mate: now,
            next_word: now,
            interval: terms.window,
            out: Bucket::new(terms.bytes_a_second, now),
            into: Bucket::new(terms.bytes_a_second, now),
            from_mates: Bucket::new(terms.bytes_a_second / 2.0, now),
            drift: 0.0,
            looked_at: (0.0, now),
            dice: Pcg32::seed_from_u64(seed),
            figures: Figures::default(),
            terms,
            me,
            life,
        }
    }

    /// The counts of the window that is open: what happens now goes there.
    pub fn counts(&mut self, now: Duration) -> &mut Counts {
        self.book.open(now)
    }

    /// Time has come. `life` is this node's, `living` are the others that live: a node that has begun a new life since the last
    /// turn begins its book anew, and who is gone is neither asked nor read.
    pub fn turn<'a>(
        &mut self,
        now: Duration,
        life: Incarnation,
        living: impl Iterator<Item = (&'a Name, Incarnation)>,
    ) -> Vec<Action> {
        if life != self.life {
            self.life = life;
            self.book.anew(now);
            self.asked.clear();
            self.next_word = now;
        }
        let mut known: BTreeMap<Name, Incarnation> = living
            .take(self.terms.most)
            .map(|(name, life)| (name.clone(), life))
            .collect();
        known.insert(self.me.clone(), life);
        let changed = known.keys().ne(self.living.keys());
        self.living = known;
        if changed {
            self.regroup(now);
        }
        let own = |name: &Name| group_of(name, self.groups) == self.group;
        let alone = self.groups == 1 || self.speaks;
        self.mates = self
            .living
            .iter()
            .filter(|(name, _)| own(name))
            .map(|(name, life)| (name.clone(), *life))
            .collect();
        let (oldest, living, groups) = (self.terms.oldest, &self.living, self.groups);
        // Of one that is gone or in a new life what it closed is kept until it is too old to be read.
        let mates = &self.mates;
        let me = &self.me;
        let wanted = |name: &Name| {
            if alone {
                mates.contains_key(name)
            } else {
                name == me
            }
        };
        self.board
            .retain(|(name, _), word| wanted(name) && word.age(now) < oldest);
        self.sums.retain(|(of, _, name, _), word| {
            *of == groups && living.contains_key(name) && word.age(now) < oldest
        });
        self.asked.retain(|name, _| living.contains_key(name));
        self.tell(now);
        self.speak(now);
        self.look(now);
        self.ask(now).into_iter().collect()
    }

    /// When the next turn is due.
    pub fn next(&self) -> Duration {
        let next = self.next_round.min(self.next_word);
        if self.speaks {
            next.min(self.next_mate).min(self.next_sum)
        } else {
            next
        }
    }

    /// A message came over a link from that member in that life.
    pub fn heard(
        &mut self,
        now: Duration,
        from: &Name,
        life: Incarnation,
        bytes: &[u8],
    ) -> Vec<Action> {
        let Ok(said) = Said::decode(bytes) else {
            self.figures.nonsense += 1;
            return Vec::new();
        };
        if let Some(answer) = said.answer {
            self.take_in(now, from, life, &answer, bytes.len());
        }
        said.ask
            .and_then(|ask| self.answer(now, from, &ask))
            .into_iter()
            .collect()
    }

    /// What is known at `now`.
    pub fn view(&self, now: Duration) -> View {
        let times = (self.fresh(), self.terms.oldest);
        // A speaker knows its group by its nodes' words, and all others know it by its speakers'.
        let group = (self.groups == 1 || self.speaks).then_some(self.group);
        let known = view::Known {
            board: &self.board,
            mates: &self.mates,
            sums: &self.sums,
            group,
        };
        view::read(
            &known,
            &self.living,
            now,
            times,
            self.drift,
            self.terms.plant,
        )
    }

    /// What was counted.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// The words of nodes that are known.
    pub fn board(&self) -> &Board<(Name, Incarnation)> {
        &self.board
    }

    /// How long a word counts whole: some of the times between two of them, within bounds.
    pub fn fresh(&self) -> Duration {
        (4 * self.interval)
            .max(5 * self.terms.window)
            .min(self.terms.oldest / 2)
    }

    /// Who is in this node's group, who speaks for it, and whom to ask: of the group, and of all, those whose names fall next to
    /// this one's by a hash that differs for each pair.
    fn regroup(&mut self, now: Duration) {
        self.groups = groups(self.living.len());
        self.group = group_of(&self.me, self.groups);
        let (groups, group) = (self.groups, self.group);
        let by = |seed: u64| move |name: &&Name| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
        let mut mates: Vec<&Name> = self
            .living
            .keys()
            .filter(|name| group_of(name, groups) == group)
            .collect();
        mates.sort_by_key(by(u64::from(group) + 7));
        // Nobody else is believed to speak for a group: so many sums there can be, and no more.
        let speakers: BTreeSet<Name> = (0..if groups > 1 { groups } else { 0 })
            .flat_map(|of| {
                let mut all: Vec<&Name> = self
                    .living
                    .keys()
                    .filter(|name| group_of(name, groups) == of)
                    .collect();
                all.sort_by_key(by(u64::from(of) + 7));
                all.into_iter()
                    .take(SPEAKERS)
                    .cloned()
                    .collect::<Vec<Name>>()
            })
            .collect();
        let speaks = speakers.contains(&self.me);
        if speaks && !self.speaks {
            self.next_sum = now + self.terms.window * self.terms.keep as u32;
        }
        let round = mates
            .iter()
            .filter(|name| speaks && ***name != self.me)
            .map(|name| (*name).clone())
            .collect();
        // On a circle of names in the order of a hash: each asks the same steps ahead, so that all are asked by as many.
        let ahead = |circle: &[&Name], count: usize| -> Vec<Name> {
            let Some(own) = circle.iter().position(|name| **name == self.me) else {
                return Vec::new();
            };
            let others = circle.len() - 1;
            let at = |i: usize| 1 + others * i / count.max(1);
            let steps: BTreeSet<usize> = (0..count.min(others)).map(at).collect();
            steps
                .into_iter()
                .map(|ahead| circle[(own + ahead) % circle.len()].clone())
                .collect()
        };
        let mut all: Vec<&Name> = self.living.keys().collect();
        all.sort_by_key(by(3));
        let ring = ahead(&all, self.terms.neighbours);
        (self.speakers, self.speaks, self.round) = (speakers, speaks, round);
        self.ring = ring.into();
    }

    fn below(&mut self, most: usize) -> usize {
        ((u64::from(self.dice.next_u32()) * most as u64) >> 32) as usize
    }

    /// Puts the own word on the board, when a window has closed and the others could have heard of the last one.
    fn tell(&mut self, now: Duration) {
        if now < self.next_word {
            return;
        }
        let (counts, windows) = self.book.word(now);
        // Where there are groups a node's own word goes to three alone, and costs little.
        let pause = if self.groups > 1 {
            self.terms.window
        } else {
            self.interval
        };
        self.next_word = now.max(self.book.told_until()) + pause;
        if windows == 0 {
            self.next_word = self.book.told_until() + self.terms.window;
            return;
        }
        let packed = pack(&counts);
        let word = Word {
            version: self.book.version(),
            ended_us: micros(self.book.told_until()),
            span: self.terms.window * windows,
            counts: counts.into(),
            packed: packed.into(),
            nodes: 1.0,
            heard: 1.0,
            largest: 1.0,
            arrival: 0,
        };
        self.board.take((self.me.clone(), self.life), word);
    }

    /// Puts the sum of its group on the board, if it is this node's turn to.
    fn speak(&mut self, now: Duration) {
        if !self.speaks || now < self.next_sum {
            return;
        }
        // Each of the speakers in its turn, so that all know one of each.
        self.next_sum = now + self.interval * SPEAKERS as u32 / 2;
        let span = self.terms.window * self.terms.keep as u32;
        let fresh = self.fresh();
        let Some(sum) = view::sum(
            &self.board,
            &self.mates,
            now,
            span,
            fresh,
            self.terms.oldest,
        ) else {
            return;
        };
        self.spoken += 1;
        let packed = pack(&sum.counts);
        let word = Word {
            version: self.spoken,
            ended_us: micros(now).saturating_sub(micros(sum.age)),
            span,
            counts: sum.counts.into(),
            packed: packed.into(),
            nodes: self.mates.len() as f64,
            heard: sum.heard,
            largest: sum.largest,
            arrival: 0,
        };
        self.sums
            .take((self.groups, self.group, self.me.clone(), self.life), word);
    }

    /// How fast the sum changes: what words of some age may be wrong by.
    fn look(&mut self, now: Duration) {
        let (before, at) = self.looked_at;
        let passed = now.saturating_sub(at);
        if passed < self.terms.window {
            return;
        }
        let rates = self
            .board
            .iter()
            .map(|(.., word)| word.counts.calls() as f64 / word.span.as_secs_f64().max(1e-3));
        let sum: f64 = rates.sum();
        let change = (sum - before).abs() / (sum + before).max(1e-9) * 2.0 / passed.as_secs_f64();
        // A sum of few calls changes by chance, and the first is compared with nothing.
        let known = before > 0.0 && sum > 0.0;
        self.drift =
            (self.drift * (1.0 - FORGOTTEN)).max(if known { change.min(1.0) } else { 0.0 });
        self.looked_at = (sum, now);
    }

    fn ask(&mut self, now: Duration) -> Option<Action> {
        let mut ask = None;
        if now >= self.next_round {
            ask = self.ask_next(now);
        }
        if ask.is_none() && self.speaks && now >= self.next_mate {
            ask = self.ask_mate(now);
        }
        ask
    }

    /// Asks the next of those that are asked in turn, or anybody, for all that is new.
    fn ask_next(&mut self, now: Duration) -> Option<Action> {
        let marks = if self.groups > 1 {
            self.sums.len()
        } else {
            self.board.len()
        }
        .min(MARKS);
        let cost =
            (marks * 4 + AROUND_MESSAGE) as f64 / (ASKING * self.terms.bytes_a_second).max(1.0);
        self.next_round = now
            + self
                .terms
                .pause
                .max(Duration::from_secs_f64(cost.min(10.0)));
        let room = self.into.left(now).min(self.terms.bytes_a_second);
        // Where there is much to hear, seldom and much at a time: a group's sum would never fit in what is left over.
        if room < self.terms.bytes_a_second / 2.0 || self.out.left(now) < AROUND_MESSAGE as f64 {
            return None;
        }
        let to = if self.number % ANYBODY == ANYBODY - 1 && self.living.len() > self.ring.len() + 1
        {
            let at = self.below(self.living.len());
            self.living
                .keys()
                .nth(at)
                .filter(|name| **name != self.me)?
                .clone()
        } else {
            let to = self.ring.pop_front()?;
            self.ring.push_back(to.clone());
            to
        };
        self.number += 1;
        let number = self.number;
        let asked = self.asked.entry(to.clone()).or_default();
        if asked.out.is_some_and(|(_, at)| now < at + PATIENCE) {
            return None; // it is slow, or its answer is on its way
        }
        asked.out = Some((number, now));
        let (since, since_sums, salt) = (asked.since, asked.since_sums, asked.salt);
        // What is known here need not come again.
        let alone = self.groups == 1;
        let words = self.board.since(0).filter(|_| alone).take(MARKS);
        let words =
            words.map(|((name, life), word)| mark(name.as_str(), life.salt, 0, word.version));
        let sums = self.sums.since(0).take(MARKS);
        let sums = sums.map(|((_, group, name, life), word)| {
            mark(name.as_str(), life.salt, group + 1, word.version)
        });
        let have = words.chain(sums).collect();
        let ask = Ask {
            number,
            since,
            since_sums,
            salt,
            have,
            room: room as u32,
            own: false,
        };
        // The least that an answer costs; the rest is charged when it is here.
        self.into.take(LEAST_ROOM);
        self.figures.asks += 1;
        Some(self.send(
            now,
            to,
            1,
            Said {
                ask: Some(ask),
                answer: None,
            },
        ))
    }

    /// A speaker asks the next of its group for that one's own word.
    fn ask_mate(&mut self, now: Duration) -> Option<Action> {
        self.next_mate = now + ROUND;
        if self.from_mates.left(now) < LEAST_ROOM as f64 || self.out.left(now) <= 0.0 {
            return None;
        }
        self.number += 1;
        let (to, number) = (self.round.pop_front()?, self.number);
        self.round.push_back(to.clone());
        let life = *self.living.get(&to)?;
        let asked = self.asked.entry(to.clone()).or_default();
        if asked.out.is_some_and(|(_, at)| now < at + PATIENCE) {
            return None;
        }
        asked.out = Some((number, now));
        let known = self.board.get(&(to.clone(), life));
        let have = known
            .map(|word| mark(to.as_str(), life.salt, 0, word.version))
            .into_iter()
            .collect();
        let room = self.terms.bytes_a_second as u32 / 2;
        let ask = Ask {
            number,
            have,
            room,
            own: true,
            ..Ask::default()
        };
        self.from_mates.take(LEAST_ROOM);
        self.figures.asks += 1;
        Some(self.send(
            now,
            to,
            1,
            Said {
                ask: Some(ask),
                answer: None,
            },
        ))
    }

    fn send(&mut self, now: Duration, to: Name, slot: u32, said: Said) -> Action {
        let bytes = said.encode_to_vec();
        self.out.left(now);
        self.out.take(bytes.len() + 64);
        self.figures.bytes += bytes.len() as u64 + 64;
        Action::Send { to, slot, bytes }
    }

    fn answer(&mut self, now: Duration, to: &Name, ask: &Ask) -> Option<Action> {
        if !self.living.contains_key(to) {
            self.figures.nonsense += 1;
            return None;
        }
        // Not all of it: what this node asks itself, and what those who speak for it ask, goes first.
        let keeps = if ask.own {
            0.0
        } else {
            self.terms.bytes_a_second * OWN
        };
        let left = self.out.left(now) - keeps;
        let room = left.min(f64::from(ask.room)).max(0.0) as usize;
        let least = f64::from(ask.room).min(self.terms.bytes_a_second * (1.0 - OWN) / 2.0);
        if room < LEAST_ROOM || (!ask.own && (room as f64) < least) {
            // Silence: the asker comes back later, or asks somebody else.
            self.figures.unanswered += 1;
            return None;
        }
        let mut room = room.saturating_sub(AROUND_MESSAGE);
        let have: BTreeMap<u32, u8> = ask
            .have
            .iter()
            .take(2 * MARKS)
            .map(|mark| (mark >> 8, *mark as u8))
            .collect();
        let same = ask.salt == self.life.salt;
        let (since, since_sums) = if same {
            (ask.since, ask.since_sums)
        } else {
            (0, 0)
        };
        // Sums first: they are few, and stand for many. Of each the last learnt first; what there is no room for comes by
        // another way, or as its next version.
        let sums = self
            .sums
            .since(since_sums)
            .map(|((_, group, name, life), word)| (name, *life, group + 1, word));
        // A node's own word goes to those who speak for its group, or to all where there is one group.
        let alone = self.groups == 1;
        let mate = group_of(to, self.groups) == self.group;
        let own = |name: &Name| {
            if ask.own {
                *name == self.me && mate && self.speakers.contains(to)
            } else {
                alone
            }
        };
        let sums = sums.filter(|_| !ask.own);
        let words = self
            .board
            .since(since)
            .map(|((name, life), word)| (name, *life, 0, word));
        let words = words.filter(|(name, ..)| own(name));
        let (mut told, mut more) = (Vec::new(), false);
        for (name, life, group, word) in sums.chain(words) {
            if name == to || has(&have, mark(name.as_str(), life.salt, group, word.version)) {
                continue;
            }
            let cost = word.packed.len() + AROUND_WORD;
            if cost > room {
                more = true;
                continue;
            }
            room -= cost;
            // Rounded up, and what a slow clock may have missed of it.
            let age = word.age(now).mul_f64(1.0 + CLOCKS) + Duration::from_millis(1);
            let of = |number: f64| {
                if group > 0 {
                    (number * 1000.0) as u32
                } else {
                    0
                }
            };
            told.push(Told {
                name: name.as_str().to_owned(),
                epoch: life.epoch,
                salt: life.salt,
                version: word.version,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                span_ms: u32::try_from(word.span.as_millis()).unwrap_or(u32::MAX),
                counts: word.packed.to_vec(),
                groups: if group > 0 { self.groups } else { 0 },
                group,
                nodes: if group > 0 { word.nodes as u32 } else { 0 },
                heard: of(word.heard),
                largest: of(word.largest),
            });
        }
        let (until, until_sums) = (self.board.arrivals(), self.sums.arrivals());
        let answer = Answer {
            number: ask.number,
            until,
            until_sums,
            salt: self.life.salt,
            words: told,
            more,
            own: ask.own,
        };
        Some(self.send(
            now,
            to.clone(),
            2,
            Said {
                ask: None,
                answer: Some(answer),
            },
        ))
    }

    fn take_in(
        &mut self,
        now: Duration,
        from: &Name,
        life: Incarnation,
        answer: &Answer,
        bytes: usize,
    ) {
        let into = if answer.own {
            &mut self.from_mates
        } else {
            &mut self.into
        };
        into.left(now);
        into.take(bytes.saturating_sub(LEAST_ROOM));
        let asked = self
            .asked
            .get_mut(from)
            .filter(|asked| asked.out.is_some_and(|(n, _)| n == answer.number));
        let Some((asked, (_, at))) =
            asked.and_then(|asked| asked.out.take().map(|out| (asked, out)))
        else {
            self.figures.nonsense += 1; // nobody asked, or too long ago
            return;
        };
        if life.salt == answer.salt && !answer.own {
            (asked.since, asked.since_sums, asked.salt) =
                (answer.until, answer.until_sums, answer.salt);
        }
        self.figures.answered += 1;
        let by = match (answer.more, answer.own) {
            (true, _) => LONGER,
            (false, false) => SHORTER,
            (false, true) => 1.0,
        };
        self.interval = self
            .interval
            .mul_f64(by)
            .min(self.terms.oldest / 4)
            .max(self.terms.window);
        for told in &answer.words {
            self.figures.words += 1;
            let new = match self.word(told, at) {
                Some((name, life, word)) if told.group == 0 => {
                    // Asked for its own word, a node tells that of nobody else.
                    let of = name == *from || !answer.own && self.groups == 1;
                    of && self.mates.contains_key(&name) && self.board.take((name, life), word)
                }
                Some((name, life, word)) => {
                    let of = told.groups == self.groups
                        && group_of(&name, told.groups) == told.group - 1;
                    let of = of && self.speakers.contains(&name);
                    of && self.living.contains_key(&name)
                        && self
                            .sums
                            .take((told.groups, told.group - 1, name, life), word)
                }
                None => {
                    self.figures.nonsense += 1;
                    false
                }
            };
            self.figures.fresh += u64::from(new);
        }
    }

    /// A word as it was told, asked for at that time; `None` if it makes no sense.
    fn word(&self, told: &Told, asked_at: Duration) -> Option<(Name, Incarnation, Word)> {
        let (name, life) = (
            Name::new(&told.name)?,
            Incarnation {
                epoch: told.epoch,
                salt: told.salt,
            },
        );
        // Nobody else knows what this node saw.
        if name == self.me || told.span_ms == 0 || told.version == 0 || told.group > told.groups {
            return None;
        }
        let of_group = told.group > 0;
        let share = |thousandths: u32| {
            if of_group {
                f64::from(thousandths) / 1000.0
            } else {
                1.0
            }
        };
        let word = Word {
            version: told.version,
            ended_us: micros(asked_at).saturating_sub(i64::from(told.age_ms) * 1000),
            span: Duration::from_millis(told.span_ms.into()),
            counts: unpack(&told.counts)?.into(),
            packed: told.counts.as_slice().into(),
            nodes: if of_group {
                f64::from(told.nodes.max(1))
            } else {
                1.0
            },
            heard: share(told.heard),
            largest: share(told.largest).min(1.0),
            arrival: 0,
        };
        (word.heard > 0.0 && word.heard <= word.nodes).then_some((name, life, word))
    }
}
