//! What a voter keeps in its folder: the engine's state and the voter's own, in one file that is put in place of the last one
//! whole. Its hash tells a spoilt one; one that is spoilt, another voter's or another log's is as good as lost, and a voter
//! that has lost its file does not vote.

use crate::words::{Proposal, Ticket};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, Snapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use sillward_fleet_settings::History;
use std::cell::RefCell;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// The file's name in the folder.
pub const FILE: &str = "agreement";
/// The longest file that is read, in bytes: versions that are kept, twice over, at their longest.
pub const MOST: u64 = 16 << 20;
const MAGIC: &[u8; 8] = b"sillagr1";

/// A log's compacted beginning: what came of it. Between two of the engine's steps it may also be a stretch of the log that
/// is not yet counted in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// What came of all before.
    pub history: History,
    /// What comes behind that.
    pub then: Vec<Proposal>,
}

impl Base {
    /// Counts in what comes behind.
    fn fold(&mut self) {
        for proposal in self.then.drain(..) {
            self.history.take(proposal.base, proposal.version);
        }
    }

    /// What came of it all.
    pub fn folded(mut self) -> History {
        self.fold();
        self.history
    }
}

impl Snapshot<Proposal> for Base {
    fn create(entries: &[Proposal]) -> Self {
        Base {
            history: History::default(),
            then: entries.to_vec(),
        }
    }

    fn merge(&mut self, delta: Self) {
        if delta.history.newest() > 0 {
            *self = delta; // a whole one
        } else {
            self.then.extend(delta.then);
        }
    }

    fn use_snapshots() -> bool {
        true
    }
}

impl Entry for Proposal {
    type Snapshot = Base;
}

/// All that is kept.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Kept {
    /// Of which log.
    pub log: u64,
    /// Whose: the voter's place, from 1 on.
    pub place: u64,
    /// The last that was taken.
    pub ticket: Option<Ticket>,
    /// The newest of each voter's that was seen, by place.
    pub seen: Vec<Option<Ticket>>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    compacted: usize,
    entries: Vec<Proposal>,
    base: Option<Base>,
    stopped: Option<StopSign>,
}

impl Kept {
    /// A new voter's, of a log that has nothing yet.
    pub fn founded(log: u64, place: u64, voters: usize, stamp: u64) -> Self {
        let ticket = Some(Ticket {
            stamp,
            number: 0,
            run: 0,
        });
        Kept {
            log,
            place,
            ticket,
            seen: vec![None; voters],
            ..Kept::default()
        }
    }

    /// As it is kept.
    pub fn bytes(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.extend(xxh3_64(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Reads a file, of that log and that voter.
    ///
    /// # Errors
    /// Why it is as good as lost.
    pub fn read(bytes: &[u8], log: u64, place: u64, voters: usize) -> Result<Self, &'static str> {
        let Some((head, body)) = bytes.split_at_checked(16) else {
            return Err("it is cut off");
        };
        if &head[..8] != MAGIC {
            return Err("it is no voter's file of this build's form");
        }
        if head[8..] != xxh3_64(body).to_le_bytes() {
            return Err("it is spoilt");
        }
        let kept: Kept = postcard::from_bytes(body).map_err(|_| "it is spoilt")?;
        if kept.log != log {
            return Err("it is of another log, or of other voters");
        }
        if kept.place != place || kept.seen.len() != voters || kept.ticket.is_none() {
            return Err("it is another voter's");
        }
        Ok(kept)
    }
}

/// The engine's storage: in memory. Whoever runs the engine looks whether it has changed, and sends nothing that follows from
/// it before the folder has it.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<RefCell<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    kept: Kept,
    changed: bool,
}

impl Memory {
    /// Of what was kept.
    pub fn of(kept: Kept) -> Self {
        Memory(Rc::new(RefCell::new(Inner {
            kept,
            changed: false,
        })))
    }

    /// Whether it has changed since this was asked last.
    pub fn changed(&self) -> bool {
        std::mem::take(&mut self.0.borrow_mut().changed)
    }

    /// Looks at it.
    pub fn look<T>(&self, look: impl FnOnce(&Kept) -> T) -> T {
        look(&self.0.borrow().kept)
    }

    /// Changes it.
    pub fn change<T>(&self, change: impl FnOnce(&mut Kept) -> T) -> T {
        let mut inner = self.0.borrow_mut();
        inner.changed = true;
        change(&mut inner.kept)
    }

    /// What came of all that is decided.
    pub fn history(&self) -> History {
        self.look(|kept| {
            let mut base = kept.base.clone().unwrap_or_default();
            let decided = kept
                .decided
                .saturating_sub(kept.compacted)
                .min(kept.entries.len());
            base.then.extend_from_slice(&kept.entries[..decided]);
            base.folded()
        })
    }
}

impl Kept {
    /// How many entries are decided, and how many of them are still there one by one.
    pub fn log_length(&self) -> (usize, usize) {
        (self.decided, self.decided.saturating_sub(self.compacted))
    }

    fn range(&self, from: usize, to: usize) -> Vec<Proposal> {
        let place = |at: usize| at.saturating_sub(self.compacted);
        self.entries
            .get(place(from)..place(to))
            .map(<[Proposal]>::to_vec)
            .unwrap_or_default()
    }

    fn apply(&mut self, op: StorageOp<Proposal>) {
        match op {
            StorageOp::AppendEntry(entry) => self.entries.push(entry),
            StorageOp::AppendEntries(entries) => self.entries.extend(entries),
            StorageOp::AppendOnPrefix(from, entries) => {
                self.entries.truncate(from.saturating_sub(self.compacted));
                self.entries.extend(entries);
            }
            StorageOp::SetPromise(ballot) => self.promise = Some(ballot),
            StorageOp::SetDecidedIndex(decided) => self.decided = decided,
            StorageOp::SetAcceptedRound(ballot) => self.accepted = Some(ballot),
            StorageOp::SetCompactedIdx(compacted) => self.compacted = compacted,
            StorageOp::Trim(to) => drop(
                self.entries
                    .drain(..to.saturating_sub(self.compacted).min(self.entries.len())),
            ),
            StorageOp::SetStopsign(stopped) => self.stopped = stopped,
            StorageOp::SetSnapshot(base) => {
                self.base = base.map(|mut base| {
                    base.fold();
                    base
                });
            }
        }
    }
}

impl Storage<Proposal> for Memory {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Proposal>>) -> StorageResult<()> {
        self.change(|kept| ops.into_iter().for_each(|op| kept.apply(op)));
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
        if self.look(|kept| kept.promise == Some(ballot)) {
            return Ok(());
        }
        self.write_atomically(vec![StorageOp::SetPromise(ballot)])
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetDecidedIndex(decided)])
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.look(|kept| kept.decided))
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetAcceptedRound(ballot)])
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.look(|kept| kept.accepted))
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Proposal>> {
        // Asked for a snapshot of what is decided only. As it takes a snapshot of another's log in (0.2.4), the engine asks up to
        // the other's decided index: what lies between may be entries of this one's that never were, so they are left out.
        Ok(self.look(|kept| kept.range(from, to.min(kept.decided))))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.look(|kept| kept.entries.len()))
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Proposal>> {
        Ok(self.look(|kept| kept.range(from, kept.compacted + kept.entries.len())))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.look(|kept| kept.promise))
    }

    fn set_stopsign(&mut self, stopped: Option<StopSign>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetStopsign(stopped)])
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.look(|kept| kept.stopped.clone()))
    }

    fn trim(&mut self, to: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::Trim(to)])
    }

    fn set_compacted_idx(&mut self, compacted: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetCompactedIdx(compacted)])
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.look(|kept| kept.compacted))
    }

    fn set_snapshot(&mut self, base: Option<Base>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetSnapshot(base)])
    }

    fn get_snapshot(&self) -> StorageResult<Option<Base>> {
        Ok(self.look(|kept| kept.base.clone()))
    }
}
