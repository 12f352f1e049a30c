//! Membership from however many sources: each has its own view, and this module alone says what they come to.
//! No I/O and no clock: tellings and times in, changed lines out.
//!
//! - The strictest word counts: a backend drains, or is gone, as soon as one source that lists it says so, and from
//!   the first telling on. A source that falls silent takes back nothing.
//! - A word is about a run of the backend: the one whose start time it gives, or else the newest that was known when
//!   it was said. A newer start time, from whichever source, makes it void.
//! - Address, zone, kind, cell and weight are those of the first source, in the order given, that lists the backend
//!   in its newest run.
//! - A list that shrinks absurdly in one resync is not believed at once ([`Guard`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use sillward_balancer::{Endpoint, ServerId, ServerState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A backend as a source lists it, or as all of them together do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Who it is, and its state.
    pub entry: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
}

/// When the removals of a resync are not believed at once. What is told by itself (a draining state, a deletion
/// that a watch reports) always is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guard {
    /// The largest part of a source's list, in percent, that may be missing from its next whole list.
    pub most_percent: usize,
    /// Fewer missing lines than this are always believed.
    pub least: usize,
    /// What is missing beyond that is believed after this time, unless it is the source's whole list.
    pub hold: Duration,
}

impl Default for Guard {
    fn default() -> Self {
        Guard {
            most_percent: 50,
            least: 3,
            hold: Duration::from_secs(30),
        }
    }
}

/// How a source stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has told nothing yet.
    Never,
    /// It tells its whole list just now.
    Resyncing,
    /// It has told its whole list and is heard.
    Current,
    /// It has fallen silent; what it said still counts.
    Silent,
}

/// A source, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceView {
    /// Its name.
    pub name: String,
    /// How it stands.
    pub standing: Standing,
    /// When it last told anything.
    pub heard: Option<Duration>,
    /// How many backends it lists.
    pub lines: usize,
    /// How many of them are missing from its last whole list and not believed to be gone.
    pub held: usize,
}

/// What a source says of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Said {
    /// Its line.
    pub line: Line,
    /// When this state was first said.
    pub since: Duration,
    /// The start time of the run that it is about.
    run: Option<Duration>,
    /// Missing from the last whole list since then, and not believed to be gone.
    pub held: Option<Duration>,
    /// The last whole list that had it.
    seen: u64,
}

struct Source {
    name: String,
    guard: Option<Guard>,
    standing: Standing,
    heard: Option<Duration>,
    said: BTreeMap<ServerId, Said>,
    /// The number of the whole list that is being told, or was told last.
    list: u64,
    held: usize,
}

/// What all sources come to.
pub struct Membership {
    sources: Vec<Source>,
    merged: BTreeMap<ServerId, Line>,
}

impl Membership {
    /// For these sources, each with its guard or believed as it stands: the first that lists a backend gives its
    /// address.
    pub fn new(sources: &[(&str, Option<Guard>)]) -> Self {
        let source = |(name, guard): &(&str, Option<Guard>)| Source {
            name: (*name).to_owned(),
            guard: *guard,
            standing: Standing::Never,
            heard: None,
            said: BTreeMap::new(),
            list: 0,
            held: 0,
        };
        Membership {
            sources: sources.iter().map(source).collect(),
            merged: BTreeMap::new(),
        }
    }

    /// A source begins to tell its whole list. Its lines follow, in as many parts as it likes, then [`Self::end`].
    pub fn begin(&mut self, source: usize, now: Duration) {
        let source = &mut self.sources[source];
        source.list += 1;
        (source.standing, source.heard) = (Standing::Resyncing, Some(now));
    }

    /// A source tells lines, as part of its whole list or as changes. Returns what has changed.
    pub fn tell(&mut self, source: usize, now: Duration, lines: &[Line]) -> Vec<Line> {
        self.sources[source].heard = Some(now);
        let mut changed = Vec::new();
        for line in lines {
            self.say(source, now, line);
            changed.extend(self.merge(line.entry.id));
        }
        changed
    }

    /// A source tells that a backend is gone. Nothing changes if it never listed it.
    pub fn remove(&mut self, source: usize, now: Duration, id: ServerId) -> Vec<Line> {
        self.sources[source].heard = Some(now);
        let Some(said) = self.sources[source].said.get(&id) else {
            return Vec::new();
        };
        let mut line = said.line;
        line.entry.state = ServerState::Removed;
        self.say(source, now, &line);
        self.merge(id).into_iter().collect()
    }

    /// A source has told its whole list: what was in its last one and not in this is gone, as far as the guard
    /// believes it.
    pub fn end(&mut self, source: usize, now: Duration) -> Vec<Line> {
        let told = &mut self.sources[source];
        (told.standing, told.heard) = (Standing::Current, Some(now));
        let live = |said: &&Said| said.line.entry.state != ServerState::Removed;
        let listed = told.said.values().filter(live).count();
        let missing: Vec<ServerId> = told
            .said
            .iter()
            .filter(|(_, said)| live(said) && said.seen != told.list)
            .map(|(id, _)| *id)
            .collect();
        let absurd = |guard: Guard| {
            let many =
                missing.len() >= guard.least && missing.len() * 100 > listed * guard.most_percent;
            many || missing.len() == listed
        };
        if told.guard.is_some_and(absurd) {
            for id in missing {
                if let Some(said) = told.said.get_mut(&id) {
                    said.held.get_or_insert(now);
                }
            }
            self.count_held(source);
            return Vec::new();
        }
        let changed = missing
            .into_iter()
            .flat_map(|id| self.remove(source, now, id))
            .collect();
        self.count_held(source);
        changed
    }

    /// A source is heard, and has nothing new.
    pub fn heard(&mut self, source: usize, now: Duration) {
        let source = &mut self.sources[source];
        source.heard = Some(now);
        if source.standing == Standing::Silent {
            source.standing = Standing::Current;
        }
    }

    /// A source has fallen silent. What it said stays.
    pub fn silent(&mut self, source: usize) {
        let source = &mut self.sources[source];
        if source.standing != Standing::Never {
            source.standing = Standing::Silent;
        }
    }

    /// Believes what has been missing for long enough. To be called now and then. A source that has not told its
    /// whole list since is not believed, and neither is one that would be left without a backend.
    pub fn believe(&mut self, now: Duration) -> Vec<Line> {
        let mut changed = Vec::new();
        for source in 0..self.sources.len() {
            let told = &self.sources[source];
            let live = told
                .said
                .values()
                .filter(|said| said.line.entry.state != ServerState::Removed)
                .count();
            let Some(guard) = told.guard else { continue };
            if told.held == 0 || told.standing != Standing::Current || told.held >= live {
                continue;
            }
            let due = |said: &Said| said.held.is_some_and(|since| now >= since + guard.hold);
            let due: Vec<ServerId> = told
                .said
                .iter()
                .filter(|(_, said)| due(said))
                .map(|(id, _)| *id)
                .collect();
            for id in due {
                changed.extend(self.remove(source, now, id));
            }
            self.count_held(source);
        }
        changed
    }

    fn count_held(&mut self, source: usize) {
        let source = &mut self.sources[source];
        source.held = source
            .said
            .values()
            .filter(|said| said.held.is_some())
            .count();
    }

    fn say(&mut self, source: usize, now: Duration, line: &Line) {
        let id = line.entry.id;
        let others = self
            .sources
            .iter()
            .filter_map(|source| source.said.get(&id)?.line.entry.started_at);
        // Without a start time of its own, it is about the newest run that anybody knows of.
        let run = line.entry.started_at.or(others.max());
        let told = &mut self.sources[source];
        let said = Said {
            line: *line,
            since: now,
            run,
            held: None,
            seen: told.list,
        };
        match told.said.get_mut(&id) {
            Some(old) => {
                let (before, after) = (old.line.entry, line.entry);
                // The same word about the same run was said before, and counts from then.
                let same = before.state == after.state && before.started_at == after.started_at;
                let (since, run) = if same {
                    (old.since, old.run)
                } else {
                    (now, run)
                };
                *old = Said { since, run, ..said };
            }
            // Gone from a source that never listed it: no word of its.
            None if line.entry.state == ServerState::Removed => {}
            None => drop(told.said.insert(id, said)),
        }
    }

    /// What all sources say of a backend now, if that has changed.
    fn merge(&mut self, id: ServerId) -> Option<Line> {
        let said: Vec<&Said> = self
            .sources
            .iter()
            .filter_map(|source| source.said.get(&id))
            .collect();
        let newest = said
            .iter()
            .filter_map(|said| said.line.entry.started_at)
            .max();
        let strictest = |said: &&&Said| {
            // What was said of an earlier run is void.
            let counts = said.run >= newest;
            match said.line.entry.state {
                ServerState::Ready => 0,
                _ if !counts => 0,
                ServerState::Draining => 1,
                ServerState::Removed => 2,
            }
        };
        let state = match said.iter().map(|said| strictest(&said)).max() {
            None => return None,
            Some(0) => ServerState::Ready,
            Some(1) => ServerState::Draining,
            Some(_) => ServerState::Removed,
        };
        let live = |said: &&&Said| said.line.entry.state != ServerState::Removed;
        let in_run = |said: &&&Said| {
            said.line
                .entry
                .started_at
                .is_none_or(|started| Some(started) == newest)
        };
        let first = said
            .iter()
            .find(|said| live(said) && in_run(said))
            .or_else(|| said.iter().find(live))
            .or_else(|| said.first())?;
        let mut line = first.line;
        (line.entry.state, line.entry.started_at) = (state, newest);
        if !said.iter().any(|said| live(&said)) {
            // Nobody lists it any more, so nobody's word need be kept.
            for source in &mut self.sources {
                source.said.remove(&id);
            }
            return self
                .merged
                .remove(&id)
                .filter(|old| old.entry.state != ServerState::Removed)
                .map(|_| line);
        }
        let old = self.merged.insert(id, line);
        // One that comes in as gone was never there.
        let news = old != Some(line) && !(old.is_none() && state == ServerState::Removed);
        news.then_some(line)
    }

    /// What all sources come to, without those that are gone.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.merged
            .values()
            .filter(|line| line.entry.state != ServerState::Removed)
    }

    /// How the sources stand, in their order.
    pub fn sources(&self) -> Vec<SourceView> {
        let view = |source: &Source| SourceView {
            name: source.name.clone(),
            standing: source.standing,
            heard: source.heard,
            lines: source
                .said
                .values()
                .filter(|said| said.line.entry.state != ServerState::Removed)
                .count(),
            held: source.held,
        };
        self.sources.iter().map(view).collect()
    }

    /// Each source's word of a backend, in their order.
    pub fn said(&self, id: ServerId) -> Vec<Option<Said>> {
        self.sources
            .iter()
            .map(|source| source.said.get(&id).copied())
            .collect()
    }
}
