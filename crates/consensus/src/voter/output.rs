//! A voter's output, delayed until the state that it follows from is on disk.

use super::interface::Action;
use crate::storage::MemoryStorage;
use crate::voter_state::VoterState;
use std::collections::VecDeque;
use std::time::Duration;

/// A write that takes longer counts as the sign of an unhealthy disk.
const SLOW_WRITE: Duration = Duration::from_secs(2);
/// After a failed write.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The most actions that wait for the disk. The engine resends what is dropped.
const MAX_WAITING: usize = 512;

/// A write that is in progress.
struct Write {
    number: u64,
    since: Duration,
}

/// An action that waits for a write.
struct Waiting {
    write: u64,
    action: Action,
}

/// See the module.
pub(super) struct Output {
    storage: MemoryStorage,
    skip_sync: bool,
    ready: Vec<Action>,
    /// In the order of writes.
    waiting: VecDeque<Waiting>,
    in_progress: Option<Write>,
    /// The number of the last successful write.
    persisted: u64,
    /// Whether the state has changed since the write in progress, or the last one, began.
    changed: bool,
    /// When a failed write is tried again.
    retry_at: Option<Duration>,
    failed_writes: u64,
}

impl Output {
    pub(super) fn new(storage: MemoryStorage, skip_sync: bool) -> Self {
        Output {
            storage,
            skip_sync,
            ready: Vec::new(),
            waiting: VecDeque::new(),
            in_progress: None,
            persisted: 0,
            changed: true,
            retry_at: None,
            failed_writes: 0,
        }
    }

    pub(super) fn retry_at(&self) -> Option<Duration> {
        self.retry_at
    }

    pub(super) fn failed_writes(&self) -> u64 {
        self.failed_writes
    }

    /// Whether no write has failed lately or takes too long.
    pub(super) fn is_disk_healthy(&self, now: Duration) -> bool {
        let is_slow = self
            .in_progress
            .as_ref()
            .is_some_and(|write| now.saturating_sub(write.since) > SLOW_WRITE);
        !is_slow && self.retry_at.is_none()
    }

    /// Emits an action that follows from nothing on disk.
    pub(super) fn send_now(&mut self, action: Action) {
        self.ready.push(action);
    }

    /// Emits an action once the present state is on disk.
    pub(super) fn send(&mut self, action: Action) {
        self.changed |= self.storage.take_changed();
        if self.skip_sync {
            return self.ready.push(action);
        }
        let write = self.required_write();
        let is_persisted = write <= self.persisted;
        if is_persisted && self.waiting.is_empty() && self.retry_at.is_none() {
            return self.ready.push(action);
        }
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting { write, action });
    }

    /// The number of the write with the present state.
    fn required_write(&self) -> u64 {
        let started = self
            .in_progress
            .as_ref()
            .map_or(self.persisted, |write| write.number);
        if self.changed { started + 1 } else { started }
    }

    /// Starts a write if the state has changed and no other write is in progress.
    pub(super) fn persist_if_changed(&mut self, now: Duration) {
        self.changed |= self.storage.take_changed();
        if !self.changed || self.in_progress.is_some() || self.retry_at.is_some() {
            return;
        }
        let number = self.persisted + 1;
        self.changed = false;
        self.in_progress = Some(Write { number, since: now });
        let bytes = self.storage.read(VoterState::encode);
        self.ready.push(Action::Persist(number, bytes));
    }

    /// A write has ended.
    pub(super) fn on_persisted(&mut self, now: Duration, number: u64, success: bool) {
        let is_in_progress = self
            .in_progress
            .as_ref()
            .is_some_and(|write| write.number == number);
        if !is_in_progress {
            return;
        }
        self.in_progress = None;
        if !success {
            self.failed_writes += 1;
            self.retry_at = Some(now + RETRY_AFTER);
            return;
        }
        self.persisted = number;
        while self
            .waiting
            .front()
            .is_some_and(|waiting| waiting.write <= number)
        {
            let persisted = self.waiting.pop_front();
            self.ready.extend(persisted.map(|waiting| waiting.action));
        }
    }

    /// Tries a failed write again when it is due.
    pub(super) fn retry_if_due(&mut self, now: Duration) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.changed = true;
        }
    }

    /// Takes the actions that are due.
    pub(super) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.ready)
    }
}
