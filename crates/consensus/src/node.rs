//! Every node's side: it asks for rights, learns of versions and gets them, and says what it may act on.

use crate::Terms;
use crate::rights::Holder;
use crate::words::{Answer, Ask};
use sillward_fleet_settings::{History, Standing, Version};
use std::time::Duration;

/// Between two tries to get versions that are known of.
const FETCH: Duration = Duration::from_millis(150);
/// Tries at the voters, before others that know of them are asked.
const TRIES: u64 = 2;

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Turn,
    /// A voter answers, by its place from 0 on.
    Answer(usize, Answer),
    /// Versions came, from whomever.
    Versions(Vec<Version>),
    /// Somebody tells of a version.
    HeardOf(u64),
}

/// What a node does.
#[derive(Clone, Debug)]
pub enum Action {
    /// Asks every voter.
    Ask(Ask),
    /// Asks for the versions after that one: of a voter, or of any member that knows of more.
    Fetch {
        /// After which.
        after: u64,
        /// Of a voter's; its place is drawn.
        voter: bool,
    },
    /// What it may act on has changed.
    Changed,
}

/// See the module's page.
pub struct Node {
    holder: Holder,
    history: History,
    fetch_at: Duration,
    tries: u64,
    stood: Standing,
    had: u64,
}

impl Node {
    /// Of a process that starts now. It knows nothing, and acts by the careful reading until it has asked.
    pub fn new(terms: Terms, log: u64, voters: usize, session: u64, now: Duration) -> Self {
        Node {
            holder: Holder::new(terms, log, voters, session, now),
            history: History::default(),
            fetch_at: now,
            tries: 0,
            stood: Standing::default(),
            had: 0,
        }
    }

    /// The versions that it has.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Its right.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// How it stands. What it has not heard of is not in here; [`Standing::right`] says whether that can matter.
    pub fn standing(&self, now: Duration) -> Standing {
        self.holder.standing(now)
    }

    /// Whether it knows of versions that it has not got.
    pub fn lacks(&self, now: Duration) -> bool {
        self.standing(now).newest > self.history.newest()
    }

    /// When time is to pass next.
    pub fn next(&self, now: Duration) -> Duration {
        let mut at = self.holder.next();
        if let Some(until) = self.holder.until().filter(|until| *until > now) {
            at = at.min(until);
        }
        if self.lacks(now) {
            at = at.min(self.fetch_at);
        }
        at.max(now)
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Turn => {}
            Event::Answer(voter, answer) => {
                self.holder.answer(now, voter, &answer);
            }
            Event::Versions(versions) => {
                if self.history.catch_up(versions) {
                    (self.fetch_at, self.tries) = (now, 0);
                }
                self.holder.heard_of(self.history.newest(), now);
            }
            Event::HeardOf(newest) => self.holder.heard_of(newest, now),
        }
        actions.extend(self.holder.turn(now).map(Action::Ask));
        if self.lacks(now) && now >= self.fetch_at {
            let voter = self.tries % (TRIES + 1) < TRIES;
            actions.push(Action::Fetch {
                after: self.history.newest(),
                voter,
            });
            (self.fetch_at, self.tries) = (now + FETCH, self.tries + 1);
        }
        let (stands, has) = (self.standing(now), self.history.newest());
        if (stands, has) != (self.stood, self.had) {
            (self.stood, self.had) = (stands, has);
            actions.push(Action::Changed);
        }
        actions
    }
}
