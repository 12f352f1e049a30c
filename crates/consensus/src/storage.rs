//! The consensus engine's storage, in memory. The voter that runs the engine checks it for changes, and sends no message
//! that depends on a change before the change is on disk.

use crate::messages::Proposal;
use crate::voter_state::{LogSnapshot, VoterState};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use sillward_fleet_settings::History;
use std::cell::RefCell;
use std::rc::Rc;

/// The in-memory storage. All clones share one state.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage(Rc<RefCell<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    state: VoterState,
    changed: bool,
}

impl MemoryStorage {
    /// Creates a storage that holds this state.
    pub fn new(state: VoterState) -> Self {
        MemoryStorage(Rc::new(RefCell::new(Inner {
            state,
            changed: false,
        })))
    }

    /// Whether the state has changed since the last call.
    pub fn take_changed(&self) -> bool {
        std::mem::take(&mut self.0.borrow_mut().changed)
    }

    /// Reads the state.
    pub fn read<T>(&self, read: impl FnOnce(&VoterState) -> T) -> T {
        read(&self.0.borrow().state)
    }

    /// Changes the state and marks it as changed.
    pub fn update<T>(&self, update: impl FnOnce(&mut VoterState) -> T) -> T {
        let mut inner = self.0.borrow_mut();
        inner.changed = true;
        update(&mut inner.state)
    }

    /// The versions that result from all decided entries.
    pub fn history(&self) -> History {
        self.read(VoterState::history)
    }
}

impl Storage<Proposal> for MemoryStorage {
    fn write_atomically(&mut self, operations: Vec<StorageOp<Proposal>>) -> StorageResult<()> {
        self.update(|state| {
            for operation in operations {
                state.apply(operation);
            }
        });
        Ok(())
    }

    fn append_entry(&mut self, entry: Proposal) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendEntry(entry)])
    }

    fn append_entries(&mut self, entries: Vec<Proposal>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendEntries(entries)])
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Proposal>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendOnPrefix(from, entries)])
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        if self.read(|state| state.promise == Some(ballot)) {
            return Ok(());
        }
        self.write_atomically(vec![StorageOp::SetPromise(ballot)])
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetDecidedIndex(decided)])
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.read(|state| state.decided))
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetAcceptedRound(ballot)])
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.read(|state| state.accepted))
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Proposal>> {
        // OmniPaxos 0.2.4 calls this only to create snapshots. When it installs another voter's snapshot, it reads up to that
        // voter's decided index, but entries beyond this log's own decided index may never be decided.
        Ok(self.read(|state| state.entries_between(from, to.min(state.decided))))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.read(|state| state.entries.len()))
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Proposal>> {
        Ok(self.read(|state| {
            let end = state.compacted + state.entries.len();
            state.entries_between(from, end)
        }))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.read(|state| state.promise))
    }

    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetStopsign(stop_sign)])
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.read(|state| state.stop_sign.clone()))
    }

    fn trim(&mut self, to: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::Trim(to)])
    }

    fn set_compacted_idx(&mut self, compacted: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetCompactedIdx(compacted)])
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.read(|state| state.compacted))
    }

    fn set_snapshot(&mut self, snapshot: Option<LogSnapshot>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetSnapshot(snapshot)])
    }

    fn get_snapshot(&self) -> StorageResult<Option<LogSnapshot>> {
        Ok(self.read(|state| state.snapshot.clone()))
    }
}
