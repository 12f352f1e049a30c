//! The messages of an exchange: the digests of all buckets, then the digests of the members in the buckets that differ,
//! then the members that differ.
//!
//! The size depends on how much differs, not on the size of the fleet: 256 bytes of bucket digests, then 8 bytes for
//! each member of the buckets that differ (a bucket holds about 1/64 of the fleet), then the members themselves.

use crate::digest::name_hash;
use crate::local_node::LocalState;
use crate::members::{BUCKETS, Member, Members};
use crate::name::Name;
use crate::update::MemberUpdate;
use crate::values::Values;
use crate::wire::{MemberValue, SyncMessage, Update};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// The most bytes of members and values in one message; the next exchange transfers what does not fit.
const MAX_DELIVERY_BYTES: usize = 48 * 1024;
/// The most bytes that the field number and the length add to an update or a value.
const FIELD_OVERHEAD_BYTES: usize = 4;

/// Builds the message that opens an exchange.
pub(crate) fn open(members: &Members, local: &LocalState) -> SyncMessage {
    SyncMessage {
        step: SyncMessage::STEP_BUCKET_DIGESTS,
        digests: bucket_digests(members, local),
        ..SyncMessage::default()
    }
}

/// Builds the response to a message; `None` if it needs none. The updates and values in the message must have been
/// applied already.
pub(crate) fn respond(
    members: &Members,
    local: &LocalState,
    request: &SyncMessage,
) -> Option<SyncMessage> {
    match request.step {
        SyncMessage::STEP_BUCKET_DIGESTS => respond_to_bucket_digests(members, local, request),
        SyncMessage::STEP_MEMBER_DIGESTS => {
            Some(respond_to_member_digests(members, local, request))
        }
        SyncMessage::STEP_DELIVER_AND_REQUEST => respond_to_request(members, local, request),
        _ => None,
    }
}

fn respond_to_bucket_digests(
    members: &Members,
    local: &LocalState,
    request: &SyncMessage,
) -> Option<SyncMessage> {
    if request.digests.len() != BUCKETS {
        return None;
    }
    let buckets = bucket_digests(members, local)
        .iter()
        .zip(&request.digests)
        .enumerate()
        .filter(|(_, (own, other))| own != other)
        .fold(0u64, |buckets, (bucket, _)| buckets | 1 << bucket);
    if buckets == 0 {
        return None;
    }
    let member_digests = member_digests(members, local, buckets)
        .into_iter()
        .flat_map(|(name, digest)| [name, digest])
        .collect();
    Some(SyncMessage {
        step: SyncMessage::STEP_MEMBER_DIGESTS,
        buckets,
        member_digests,
        ..SyncMessage::default()
    })
}

fn respond_to_member_digests(
    members: &Members,
    local: &LocalState,
    request: &SyncMessage,
) -> SyncMessage {
    let theirs: BTreeMap<u32, u32> = request
        .member_digests
        .chunks_exact(2)
        .map(|pair| (pair[0], pair[1]))
        .collect();
    let own = member_digests(members, local, request.buckets);
    let delivered = differing_names(&own, &theirs);
    let response = SyncMessage {
        step: SyncMessage::STEP_DELIVER_AND_REQUEST,
        buckets: request.buckets,
        requested: differing_names(&theirs, &own).into_iter().collect(),
        ..SyncMessage::default()
    };
    add_deliveries(members, local, response, |name, _| {
        delivered.contains(&name)
    })
}

fn respond_to_request(
    members: &Members,
    local: &LocalState,
    request: &SyncMessage,
) -> Option<SyncMessage> {
    let requested: BTreeSet<u32> = request.requested.iter().copied().collect();
    // Also members that the request delivered in a state other than the one known here, such as one that this node
    // knows to be dead: digests cover only active members.
    let received: BTreeMap<&str, &Update> = request
        .updates
        .iter()
        .map(|update| (update.name.as_str(), update))
        .collect();
    let response = SyncMessage {
        step: SyncMessage::STEP_DELIVER,
        buckets: request.buckets,
        ..SyncMessage::default()
    };
    let response = add_deliveries(members, local, response, |name, update| {
        requested.contains(&name)
            || received
                .get(update.name.as_str())
                .is_some_and(|received| **received != Update::from(update))
    });
    (!response.updates.is_empty()).then_some(response)
}

/// The name hashes in `digests` that `other` lacks or has with a different digest.
fn differing_names(digests: &BTreeMap<u32, u32>, other: &BTreeMap<u32, u32>) -> BTreeSet<u32> {
    digests
        .iter()
        .filter(|(name, digest)| other.get(name) != Some(digest))
        .map(|(name, _)| *name)
        .collect()
}

/// The digests of all buckets, including this node itself.
fn bucket_digests(members: &Members, local: &LocalState) -> Vec<u32> {
    let mut digests = members.digests().to_vec();
    digests[Members::bucket(&local.identity.name)] ^= local.digest();
    digests
}

/// The digests of the active members in these buckets, including this node itself, by name hash.
fn member_digests(members: &Members, local: &LocalState, buckets: u64) -> BTreeMap<u32, u32> {
    let is_within = |name: &Name| buckets & 1 << Members::bucket(name) != 0;
    let mut digests: BTreeMap<u32, u32> = members
        .iter()
        .filter(|member| member.state.is_active() && is_within(&member.name))
        .map(|member| (name_hash(&member.name), member.digest))
        .collect();
    if is_within(&local.identity.name) {
        digests.insert(name_hash(&local.identity.name), local.digest());
    }
    digests
}

/// Adds the selected members with their values to a message, this node last, until the next one does not fit.
fn add_deliveries(
    members: &Members,
    local: &LocalState,
    mut message: SyncMessage,
    is_selected: impl Fn(u32, &MemberUpdate) -> bool,
) -> SyncMessage {
    let mut available = MAX_DELIVERY_BYTES;
    let others = members
        .iter()
        .map(|member: &Member| (member.update(), &member.values));
    for (update, values) in others.chain([(local.update(), &local.values)]) {
        if !is_selected(name_hash(&update.name), &update) {
            continue;
        }
        let wire_update = Update::from(&update);
        let wire_values = wire_values(&update, values);
        let values_bytes: usize = wire_values
            .iter()
            .map(|value| value.encoded_len() + FIELD_OVERHEAD_BYTES)
            .sum();
        let bytes = wire_update.encoded_len() + values_bytes + FIELD_OVERHEAD_BYTES;
        if bytes > available {
            break;
        }
        available -= bytes;
        message.updates.push(wire_update);
        message.values.extend(wire_values);
    }
    message
}

fn wire_values(update: &MemberUpdate, values: &Values) -> Vec<MemberValue> {
    values
        .iter()
        .map(|value| MemberValue::new(&update.name, update.incarnation, value))
        .collect()
}
