//! The history of committed versions.

use crate::settings::FleetSettings;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// The most versions that are retained. Older ones cannot be restored.
pub const MAX_VERSIONS: usize = 64;
/// The estimated length of a version's encoding without its texts.
const VERSION_OVERHEAD_BYTES: usize = 64;

/// A version of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Versions are numbered consecutively from 1 on. 0 is the empty version before the first.
    pub number: u64,
    /// The identifier of the proposal: a proposal that is sent repeatedly is committed at most once.
    pub id: u64,
    /// The author of the proposal.
    pub author: String,
    /// The author's reason for the change, in one line.
    pub reason: String,
    /// The settings as written by [`FleetSettings::to_json`]. Kept as text so that a build that cannot read them can still
    /// pass them on.
    pub settings: String,
}

impl Version {
    /// The settings, if this build can read them.
    pub fn read_settings(&self) -> Option<FleetSettings> {
        FleetSettings::from_json(&self.settings).ok()
    }
}

/// The result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It was committed as the version of this number.
    Committed(u64),
    /// It was already committed as the version of this number.
    AlreadyCommitted(u64),
    /// It was not based on the newest version, which has this number.
    StaleBase(u64),
}

/// The versions do not form a history: they are not consecutive, are too many, or start at 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("versions that do not follow each other")]
pub struct HistoryError;

/// The retained versions, without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    versions: VecDeque<Version>,
}

impl History {
    /// Creates a history from the versions that another node sent.
    ///
    /// # Errors
    /// The numbers are not consecutive or start at 0, or there are more than [`MAX_VERSIONS`].
    pub fn from_versions(versions: Vec<Version>) -> Result<Self, HistoryError> {
        let consecutive = versions
            .windows(2)
            .all(|pair| pair[0].number.checked_add(1) == Some(pair[1].number));
        let starts_at_zero = versions.first().is_some_and(|first| first.number == 0);
        if !consecutive || versions.len() > MAX_VERSIONS || starts_at_zero {
            return Err(HistoryError);
        }
        Ok(History {
            versions: versions.into(),
        })
    }

    /// The number of the newest version; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.versions.back().map_or(0, |version| version.number)
    }

    /// The version of that number, if it is retained.
    pub fn get(&self, number: u64) -> Option<&Version> {
        let first = self.versions.front()?.number;
        let index = number.checked_sub(first)?;
        self.versions.get(usize::try_from(index).ok()?)
    }

    /// All retained versions, in ascending order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }

    /// The version that the proposal with this identifier was committed as, if it is retained.
    pub fn find_by_id(&self, id: u64) -> Option<&Version> {
        self.versions.iter().rev().find(|version| version.id == id)
    }

    /// Applies a proposal from the log, as a compare-and-set on its base. The result is the same on every node.
    pub fn apply_proposal(&mut self, base: u64, mut version: Version) -> ProposalOutcome {
        if let Some(existing) = self.find_by_id(version.id) {
            return ProposalOutcome::AlreadyCommitted(existing.number);
        }
        let newest = self.newest();
        if base != newest {
            return ProposalOutcome::StaleBase(newest);
        }
        version.number = newest + 1;
        self.push(version);
        ProposalOutcome::Committed(newest + 1)
    }

    fn push(&mut self, version: Version) {
        self.versions.push_back(version);
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Appends a version of another node's history if it is the next one. Returns whether it is.
    pub fn append(&mut self, version: Version) -> bool {
        let is_next = self.versions.is_empty() || version.number == self.newest() + 1;
        if is_next && version.number > 0 {
            self.push(version);
        }
        is_next
    }

    /// Merges versions of another node's history. Returns whether the newest version has changed.
    ///
    /// Versions that begin after a gap replace this history, because no node retains the versions in between.
    pub fn merge(&mut self, versions: Vec<Version>) -> bool {
        let Ok(other) = History::from_versions(versions) else {
            return false;
        };
        let newest_before = self.newest();
        let Some(first) = other.versions.front().map(|version| version.number) else {
            return false;
        };
        if first > newest_before + 1 {
            *self = other;
            return self.newest() > newest_before;
        }
        for version in other.versions {
            if version.number > newest_before {
                self.append(version);
            }
        }
        self.newest() > newest_before
    }

    /// The versions after this number, in ascending order: as many as fit into `max_bytes`, but at least one if there is any.
    pub fn versions_after(&self, number: u64, max_bytes: usize) -> Vec<Version> {
        let mut bytes = 0;
        let newer = self
            .versions
            .iter()
            .filter(|version| version.number > number);
        let fitting = newer.take_while(|version| {
            let is_first = bytes == 0;
            bytes += version.settings.len()
                + version.reason.len()
                + version.author.len()
                + VERSION_OVERHEAD_BYTES;
            is_first || bytes <= max_bytes
        });
        fitting.cloned().collect()
    }
}
