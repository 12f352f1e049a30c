//! Holds back a voter's actions until the state that they depend on is on disk.

use super::interface::Action;
use crate::storage::MemoryStorage;
use crate::voter_state::VoterState;
use std::collections::VecDeque;
use std::time::Duration;

/// A write that takes longer means that the disk is unhealthy.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_secs(2);
/// The delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The most actions that wait for the disk. Beyond that the oldest is dropped; the engine resends its messages.
const MAX_WAITING_ACTIONS: usize = 512;

/// A write in progress.
struct Write {
    number: u64,
    started_at: Duration,
}

/// An action that waits for a write.
struct WaitingAction {
    write: u64,
    action: Action,
}

/// Actions that are ready or wait for a write, and the progress of writes.
pub(super) struct Output {
    storage: MemoryStorage,
    skip_sync: bool,
    ready: Vec<Action>,
    /// In the order of the writes.
    waiting: VecDeque<WaitingAction>,
    in_progress: Option<Write>,
    /// The number of the last successful write.
    last_persisted: u64,
    /// Whether the state has changed since the latest write began.
    changed: bool,
    /// When a failed write is to be retried.
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
            last_persisted: 0,
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

    /// Whether no write waits for a retry or takes too long.
    pub(super) fn is_disk_healthy(&self, now: Duration) -> bool {
        let is_slow = self
            .in_progress
            .as_ref()
            .is_some_and(|write| now.saturating_sub(write.started_at) > SLOW_WRITE_THRESHOLD);
        !is_slow && self.retry_at.is_none()
    }

    /// Emits an action that does not depend on the persisted state.
    pub(super) fn send_now(&mut self, action: Action) {
        self.ready.push(action);
    }

    /// Emits an action once the current state is on disk.
    pub(super) fn send_when_persisted(&mut self, action: Action) {
        self.changed |= self.storage.take_changed();
        if self.skip_sync {
            return self.ready.push(action);
        }
        let write = self.required_write();
        let is_persisted = write <= self.last_persisted;
        if is_persisted && self.waiting.is_empty() && self.retry_at.is_none() {
            return self.ready.push(action);
        }
        if self.waiting.len() >= MAX_WAITING_ACTIONS {
            self.waiting.pop_front();
        }
        self.waiting.push_back(WaitingAction { write, action });
    }

    /// The number of the write that contains the current state.
    fn required_write(&self) -> u64 {
        let started = self
            .in_progress
            .as_ref()
            .map_or(self.last_persisted, |write| write.number);
        if self.changed { started + 1 } else { started }
    }

    /// Starts a write if the state has changed, unless a write is in progress or waits for its retry.
    pub(super) fn persist_if_changed(&mut self, now: Duration) {
        self.changed |= self.storage.take_changed();
        if !self.changed || self.in_progress.is_some() || self.retry_at.is_some() {
            return;
        }
        let number = self.last_persisted + 1;
        self.changed = false;
        self.in_progress = Some(Write {
            number,
            started_at: now,
        });
        let bytes = self.storage.read(VoterState::encode);
        self.ready.push(Action::Persist(number, bytes));
    }

    /// Handles the end of a write.
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
            self.retry_at = Some(now + WRITE_RETRY_DELAY);
            return;
        }
        self.last_persisted = number;
        while self
            .waiting
            .front()
            .is_some_and(|waiting| waiting.write <= number)
        {
            let persisted = self.waiting.pop_front();
            self.ready.extend(persisted.map(|waiting| waiting.action));
        }
    }

    /// Retries a failed write if the retry is due.
    pub(super) fn retry_if_due(&mut self, now: Duration) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.changed = true;
        }
    }

    /// Takes the actions that are ready.
    pub(super) fn take_ready(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.ready)
    }
}
