//! The committed versions, in order, as far back as they are retained.

use crate::settings::FleetSettings;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// The most versions that are retained. Older ones cannot be reverted to.
pub const MAX_VERSIONS: usize = 64;
/// The bytes that a version is taken to have beside its texts.
const VERSION_OVERHEAD_BYTES: usize = 64;

/// A version of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Consecutive, from 1 on. 0 is the empty version before the first.
    pub number: u64,
    /// The identifier of the proposal, by which it is committed at most once however often it is sent.
    pub id: u64,
    /// The author of the proposal.
    pub author: String,
    /// The author's reason, in one line.
    pub reason: String,
    /// The settings as [`FleetSettings::to_json`] writes them: a build that cannot read them still passes them on.
    pub settings: String,
}

impl Version {
    /// The settings, if this build can read them.
    pub fn read_settings(&self) -> Option<FleetSettings> {
        FleetSettings::from_json(&self.settings).ok()
    }
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It became the version of this number.
    Committed(u64),
    /// It is the version of this number already.
    AlreadyCommitted(u64),
    /// It was based on another version than the newest, which has this number.
    StaleBase(u64),
}

/// Versions that are no history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("versions that do not follow each other")]
pub struct HistoryError;

/// The retained versions, without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    versions: VecDeque<Version>,
}

impl History {
    /// The history of another node.
    ///
    /// # Errors
    /// The numbers are not consecutive from 1 or later on, or there are more than [`MAX_VERSIONS`].
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

    /// All retained versions, in order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }

    /// The version that the proposal with this identifier became.
    pub fn find_by_id(&self, id: u64) -> Option<&Version> {
        self.versions.iter().rev().find(|version| version.id == id)
    }

    /// Applies a proposal from the log, as a compare-and-set on its base: the same on every node.
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

    /// Merges versions of another node's history. Returns whether there is a newer version now.
    ///
    /// Versions that leave a gap replace this history if they are newer: nobody retains the versions in between.
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

    /// The versions after that number, in order: as many as fit into `max_bytes`, and at least one if there is any.
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
