//! Groups, their aggregators, and the nodes to pull from, all derived from hashes of names, so that nodes with the same view of
//! the membership agree.

use sillward_membership::{Incarnation, Name};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Up to this many nodes exchange all reports. Larger fleets are divided into groups of about half to all of this size.
const MAX_GROUP_SIZE: usize = 48;
/// The median of three reports tolerates one aggregator that reports false counts.
const AGGREGATORS_PER_GROUP: usize = 3;
/// Seeds of the hashes: of the group, of the order in the rotation, and, with the group's number, of the order of aggregators.
const GROUP_SEED: u64 = 1;
const ROTATION_SEED: u64 = 3;
const AGGREGATOR_SEED: u64 = 7;

/// The groups and pull targets as one node sees them.
#[derive(Debug)]
pub(super) struct Topology {
    /// The number of groups: a power of two, so that it rarely changes.
    pub(super) groups: u32,
    /// The index of the node's group, from 0.
    pub(super) own_group: u32,
    /// The aggregators of all groups; none if there is one group. Group reports of other nodes are not accepted, which
    /// bounds their number.
    pub(super) aggregators: BTreeSet<Name>,
    /// Whether the node is one of them.
    pub(super) is_aggregator: bool,
    /// The nodes to pull from in turn; the next one is in front.
    pub(super) rotation: VecDeque<Name>,
    /// An aggregator's group members, from which it pulls their own reports in turn.
    pub(super) member_rotation: VecDeque<Name>,
}

impl Default for Topology {
    /// The topology of a node that knows no others.
    fn default() -> Self {
        Topology {
            groups: 1,
            own_group: 0,
            aggregators: BTreeSet::new(),
            is_aggregator: false,
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
        let aggregators: BTreeSet<Name> = if groups > 1 {
            (0..groups)
                .flat_map(|group| {
                    members_in_aggregator_order(living, groups, group).take(AGGREGATORS_PER_GROUP)
                })
                .cloned()
                .collect()
        } else {
            BTreeSet::new()
        };
        let is_aggregator = aggregators.contains(own_name);
        let member_rotation = members_in_aggregator_order(living, groups, own_group)
            .filter(|name| is_aggregator && *name != own_name)
            .cloned()
            .collect();
        Topology {
            groups,
            own_group,
            aggregators,
            is_aggregator,
            rotation: rotation(own_name, living, rotation_size),
            member_rotation,
        }
    }

    pub(super) fn is_in_own_group(&self, name: &Name) -> bool {
        group_of(name, self.groups) == self.own_group
    }

    /// Whether `name` is an aggregator of `group`, and `groups` is the current number of groups.
    pub(super) fn is_aggregator_of(&self, name: &Name, groups: u32, group: u32) -> bool {
        groups == self.groups && group_of(name, groups) == group && self.aggregators.contains(name)
    }

    /// Whether there is one group, whose members exchange all reports.
    pub(super) fn is_single_group(&self) -> bool {
        self.groups == 1
    }

    /// Whether the node estimates its group from the reports of its members, rather than from those of its aggregators.
    pub(super) fn uses_members(&self) -> bool {
        self.is_single_group() || self.is_aggregator
    }

    /// The time between two group reports of an aggregator, such that the aggregators of a group together make two reports per
    /// `interval`.
    pub(super) fn group_report_interval(interval: std::time::Duration) -> std::time::Duration {
        interval * AGGREGATORS_PER_GROUP as u32 / 2
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

/// The members of a group, its aggregators first.
fn members_in_aggregator_order(
    living: &BTreeMap<Name, Incarnation>,
    groups: u32,
    group: u32,
) -> impl Iterator<Item = &Name> {
    let mut members: Vec<&Name> = living
        .keys()
        .filter(|name| group_of(name, groups) == group)
        .collect();
    members.sort_by_key(|name| hash(name, u64::from(group) + AGGREGATOR_SEED));
    members.into_iter()
}

/// Picks evenly spaced nodes from the circle of all names in hash order. Every node uses the same offsets, so that each node is
/// pulled from equally often.
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
