//! The state that a voter persists: the consensus engine's and the voter's own, in one file that is always replaced whole.
//!
//! A checksum detects damage. A file that is damaged or belongs to another voter or log is treated as lost, and a voter
//! without its file does not vote.

use crate::messages::{Proposal, VoterIncarnation};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, Snapshot, StopSign, StorageOp};
use serde::{Deserialize, Serialize};
use sillward_fleet_settings::History;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The name of the file in the voter's folder.
pub const FILE_NAME: &str = "agreement";
/// The longest file that is read, in bytes: room for twice all retained versions, each of the greatest length.
pub const MAX_FILE_BYTES: u64 = 16 << 20;
const MAGIC: &[u8; 8] = b"sillagr1";
/// The length of the magic number and the checksum.
const HEADER_BYTES: usize = 16;

/// Why a voter's file is treated as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VoterStateError {
    /// The file is shorter than its header.
    #[error("it is cut off")]
    Truncated,
    /// The file does not start with the magic number: it is not a voter's, or of an unknown format version.
    #[error("it is no voter's file of this build's form")]
    UnknownFormat,
    /// The checksum or the encoding is wrong.
    #[error("it is spoilt")]
    Corrupt,
    /// The file belongs to another log, or to a log with other voters.
    #[error("it is of another log, or of other voters")]
    OtherLog,
    /// The file belongs to another voter.
    #[error("it is another voter's")]
    OtherVoter,
}

/// The compacted beginning of the log. While the engine builds or merges a snapshot, it may also hold just a range of the
/// log whose entries are not applied yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The versions that result from the compacted entries.
    pub history: History,
    /// The entries that follow them and are not applied yet.
    pub unapplied: Vec<Proposal>,
}

impl LogSnapshot {
    fn apply_all(&mut self) {
        for proposal in self.unapplied.drain(..) {
            self.history.apply_proposal(proposal.base, proposal.version);
        }
    }

    /// The versions that result from all entries.
    pub fn into_history(mut self) -> History {
        self.apply_all();
        self.history
    }
}

impl Snapshot<Proposal> for LogSnapshot {
    fn create(entries: &[Proposal]) -> Self {
        LogSnapshot {
            history: History::default(),
            unapplied: entries.to_vec(),
        }
    }

    fn merge(&mut self, delta: Self) {
        let is_complete = delta.history.newest() > 0;
        if is_complete {
            *self = delta;
        } else {
            self.unapplied.extend(delta.unapplied);
        }
    }

    fn use_snapshots() -> bool {
        true
    }
}

impl Entry for Proposal {
    type Snapshot = LogSnapshot;
}

/// The number of entries in a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogLength {
    /// The decided entries.
    pub decided: usize,
    /// The decided entries that are not compacted yet.
    pub uncompacted: usize,
}

/// The state of a voter.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VoterState {
    /// Identifies the log, see [`LeaseRequest::log_id`](crate::messages::LeaseRequest::log_id).
    pub log_id: u64,
    /// The voter's number in the log's list of voters, from 1 on.
    #[serde(rename = "place")]
    pub voter_id: u64,
    /// The latest incarnation of this voter.
    pub incarnation: Option<VoterIncarnation>,
    /// The newest incarnation that was seen of each voter, by voter number less one.
    pub seen_incarnations: Vec<Option<VoterIncarnation>>,
    pub(crate) promise: Option<Ballot>,
    pub(crate) accepted: Option<Ballot>,
    pub(crate) decided: usize,
    pub(crate) compacted: usize,
    pub(crate) entries: Vec<Proposal>,
    pub(crate) snapshot: Option<LogSnapshot>,
    pub(crate) stop_sign: Option<StopSign>,
}

impl VoterState {
    /// The state of a new voter with an empty log.
    pub fn initial(log_id: u64, voter_id: u64, voter_count: usize, storage_id: u64) -> Self {
        let incarnation = Some(VoterIncarnation {
            storage_id,
            number: 0,
            process_id: 0,
        });
        VoterState {
            log_id,
            voter_id,
            incarnation,
            seen_incarnations: vec![None; voter_count],
            ..VoterState::default()
        }
    }

    /// Encodes the contents of the file.
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.extend(xxh3_64(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Decodes the file of this log and this voter.
    ///
    /// # Errors
    /// The reason why the file is treated as lost.
    pub fn decode(
        bytes: &[u8],
        log_id: u64,
        voter_id: u64,
        voter_count: usize,
    ) -> Result<Self, VoterStateError> {
        let (header, body) = bytes
            .split_at_checked(HEADER_BYTES)
            .ok_or(VoterStateError::Truncated)?;
        let (magic, checksum) = header.split_at(MAGIC.len());
        if magic != MAGIC {
            return Err(VoterStateError::UnknownFormat);
        }
        if checksum != xxh3_64(body).to_le_bytes() {
            return Err(VoterStateError::Corrupt);
        }
        let state: VoterState = postcard::from_bytes(body).map_err(|_| VoterStateError::Corrupt)?;
        if state.log_id != log_id {
            return Err(VoterStateError::OtherLog);
        }
        let is_this_voter = state.voter_id == voter_id
            && state.seen_incarnations.len() == voter_count
            && state.incarnation.is_some();
        if !is_this_voter {
            return Err(VoterStateError::OtherVoter);
        }
        Ok(state)
    }

    /// The length of the log.
    pub fn log_length(&self) -> LogLength {
        LogLength {
            decided: self.decided,
            uncompacted: self.decided.saturating_sub(self.compacted),
        }
    }

    /// The versions that result from all decided entries.
    pub fn history(&self) -> History {
        let mut snapshot = self.snapshot.clone().unwrap_or_default();
        let decided = self.log_length().uncompacted.min(self.entries.len());
        snapshot
            .unapplied
            .extend_from_slice(&self.entries[..decided]);
        snapshot.into_history()
    }

    /// The entries between two indices of the whole log; none unless all of them are present.
    pub(crate) fn entries_between(&self, from: usize, to: usize) -> Vec<Proposal> {
        let offset = |index: usize| index.saturating_sub(self.compacted);
        self.entries
            .get(offset(from)..offset(to))
            .map(<[Proposal]>::to_vec)
            .unwrap_or_default()
    }

    /// Applies a storage operation of the engine.
    pub(crate) fn apply(&mut self, operation: StorageOp<Proposal>) {
        match operation {
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
            StorageOp::Trim(to) => {
                let count = to.saturating_sub(self.compacted).min(self.entries.len());
                drop(self.entries.drain(..count));
            }
            StorageOp::SetStopsign(stop_sign) => self.stop_sign = stop_sign,
            StorageOp::SetSnapshot(snapshot) => {
                self.snapshot = snapshot.map(|mut snapshot| {
                    snapshot.apply_all();
                    snapshot
                });
            }
        }
    }
}
