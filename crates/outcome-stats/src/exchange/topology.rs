//! Groups, their speakers, and whom a node pulls from, all by hashes of names, so that nodes with the same members agree.

use sillward_membership::{Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Up to so many nodes exchange all reports. More are divided into groups of half of it or more.
const MAX_GROUP_SIZE: usize = 48;
/// The speakers of a group. What one of them makes up is outvoted by the other two.
const SPEAKERS: usize = 3;
/// Seeds of the hashes: of the group, of the order in the rotation, and, with the group's number, of the order of speakers.
const GROUP_SEED: u64 = 1;
const ROTATION_SEED: u64 = 3;
const SPEAKER_SEED: u64 = 7;

/// See the module.
#[derive(Debug)]
pub(super) struct Topology {
    /// The number of groups: a power of two, so that it changes seldom.
    pub(super) groups: u32,
    /// The node's group, from 0 on.
    pub(super) own_group: u32,
    /// The speakers of all groups; none if there is one group. Nobody else's group reports are accepted, which bounds their
    /// number.
    pub(super) speakers: BTreeSet<Name>,
    /// Whether the node is one of them.
    pub(super) is_speaker: bool,
    /// The nodes to pull from in turn, the next in front.
    pub(super) rotation: VecDeque<Name>,
    /// A speaker's group members, from which it pulls their own reports in turn.
    pub(super) member_rotation: VecDeque<Name>,
}

impl Default for Topology {
    /// That of a node that knows no other.
    fn default() -> Self {
        Topology {
            groups: 1,
            own_group: 0,
            speakers: BTreeSet::new(),
            is_speaker: false,
            rotation: VecDeque::new(),
            member_rotation: VecDeque::new(),
        }
    }
}

impl Topology {
    pub(super) fn new(
        own_name: &Name,
        living: &BTreeMap<Name, Incarnation>,
        rotation_size: usize,
    ) -> Self {
        let groups = group_count(living.len());
        let own_group = group_of(own_name, groups);
        let speakers: BTreeSet<Name> = if groups > 1 {
            (0..groups)
                .flat_map(|group| members_in_speaker_order(living, groups, group).take(SPEAKERS))
                .cloned()
                .collect()
        } else {
            BTreeSet::new()
        };
        let is_speaker = speakers.contains(own_name);
        let member_rotation = members_in_speaker_order(living, groups, own_group)
            .filter(|name| is_speaker && *name != own_name)
            .cloned()
            .collect();
        Topology {
            groups,
            own_group,
            speakers,
            is_speaker,
            rotation: rotation(own_name, living, rotation_size),
            member_rotation,
        }
    }

    pub(super) fn is_in_own_group(&self, name: &Name) -> bool {
        group_of(name, self.groups) == self.own_group
    }

    /// Whether that is a speaker of that group, of the present number of groups.
    pub(super) fn is_speaker_of(&self, name: &Name, groups: u32, group: u32) -> bool {
        groups == self.groups && group_of(name, groups) == group && self.speakers.contains(name)
    }

    /// Whether there is one group, whose members exchange all reports.
    pub(super) fn is_single_group(&self) -> bool {
        self.groups == 1
    }

    /// Whether the node knows its group by the reports of its members, rather than by those of its speakers.
    pub(super) fn uses_members(&self) -> bool {
        self.is_single_group() || self.is_speaker
    }

    /// Between two group reports of a speaker, so that the group's speakers together make twice as many as `interval` says.
    pub(super) fn group_report_interval(interval: std::time::Duration) -> std::time::Duration {
        interval * SPEAKERS as u32 / 2
    }
}

fn hash(name: &Name, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), seed)
}

fn group_count(nodes: usize) -> u32 {
    nodes.div_ceil(MAX_GROUP_SIZE).next_power_of_two() as u32
}

fn group_of(name: &Name, groups: u32) -> u32 {
    (hash(name, GROUP_SEED) % u64::from(groups.max(1))) as u32
}

/// The members of a group, its speakers first.
fn members_in_speaker_order(
    living: &BTreeMap<Name, Incarnation>,
    groups: u32,
    group: u32,
) -> impl Iterator<Item = &Name> {
    let mut members: Vec<&Name> = living
        .keys()
        .filter(|name| group_of(name, groups) == group)
        .collect();
    members.sort_by_key(|name| hash(name, u64::from(group) + SPEAKER_SEED));
    members.into_iter()
}

/// Evenly spaced nodes on a circle of all names in the order of a hash: each node pulls from those the same steps ahead, so
/// that as many pull from each.
fn rotation(own_name: &Name, living: &BTreeMap<Name, Incarnation>, size: usize) -> VecDeque<Name> {
    let mut circle: Vec<&Name> = living.keys().collect();
    circle.sort_by_key(|name| hash(name, ROTATION_SEED));
    let Some(own) = circle.iter().position(|name| *name == own_name) else {
        return VecDeque::new();
    };
    let others = circle.len() - 1;
    let steps: BTreeSet<usize> = (0..size.min(others))
        .map(|i| 1 + others * i / size.max(1))
        .collect();
    steps
        .into_iter()
        .map(|step| circle[(own + step) % circle.len()].clone())
        .collect()
}
