//! Two members bring each other up to date over a link: digests of all parts, then those of the members in the parts that
//! differ, then the members that differ.
//!
//! The cost goes with what differs, not with what is known: 256 bytes of digests, then 8 bytes for each member of the parts
//! that differ, about a sixty-fourth of the fleet for each, then the members themselves.

use crate::incarnation::{Incarnation, MemberUpdate, Name};
use crate::members::{BUCKETS, Members};
use crate::values::{self, Values};
use crate::wire::{MemberValue, SyncMessage, Update};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of members and values in one step; what does not fit waits for the next time that digests differ.
const MOST: usize = 48 * 1024;

/// A step that another member took.
#[derive(Clone, Debug)]
pub struct SyncStep {
    /// Who.
    pub name: Name,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// What it says.
    pub message: SyncMessage,
}

/// This node, as it stands in its own part.
pub struct Own<'a> {
    pub claim: &'a MemberUpdate,
    pub values: &'a Values,
}

/// The digests of all parts, this node's own among them.
pub fn digests(members: &Members, own: &Own<'_>) -> Vec<u32> {
    let mut digests = members.digests().to_vec();
    digests[Members::bucket(&own.claim.name)] ^=
        values::digest(&own.claim.name, own.claim.incarnation, own.values);
    digests
}

/// All digests in one, for a frame.
pub fn digest(members: &Members, own: &Own<'_>) -> u32 {
    let all = members.digests().iter().fold(0, |all, digest| all ^ digest);
    all ^ values::digest(&own.claim.name, own.claim.incarnation, own.values)
}

/// The first step.
pub fn ask(members: &Members, own: &Own<'_>) -> SyncMessage {
    SyncMessage {
        step: 1,
        digests: digests(members, own),
        ..SyncMessage::default()
    }
}

/// What is answered to a step; `None` if nothing is. What the step claims has been taken in before.
pub fn answer(members: &Members, own: &Own<'_>, asked: &SyncMessage) -> Option<SyncMessage> {
    match asked.step {
        1 if asked.digests.len() == BUCKETS => {
            let here = digests(members, own);
            let differ = here
                .iter()
                .zip(&asked.digests)
                .enumerate()
                .filter(|(_, (a, b))| a != b);
            let parts = differ.fold(0u64, |parts, (part, _)| parts | 1 << part);
            let stand = member_digests(members, own, parts);
            let stand = stand
                .into_iter()
                .flat_map(|(name, digest)| [name, digest])
                .collect();
            (parts != 0).then(|| SyncMessage {
                step: 2,
                buckets: parts,
                member_digests: stand,
                ..SyncMessage::default()
            })
        }
        2 => {
            let there: BTreeMap<u32, u32> = asked
                .member_digests
                .chunks_exact(2)
                .map(|pair| (pair[0], pair[1]))
                .collect();
            let here = member_digests(members, own, asked.buckets);
            let gives = here
                .iter()
                .filter(|(name, digest)| there.get(name) != Some(digest));
            let gives: BTreeSet<u32> = gives.map(|(name, _)| *name).collect();
            let wants = there
                .iter()
                .filter(|(name, digest)| here.get(name) != Some(digest));
            let wants: Vec<u32> = wants.map(|(name, _)| *name).collect();
            let said = SyncMessage {
                step: 3,
                buckets: asked.buckets,
                wanted: wants,
                ..SyncMessage::default()
            };
            Some(given(members, own, said, |name, _| gives.contains(&name)))
        }
        3 => {
            let wants: BTreeSet<u32> = asked.wanted.iter().copied().collect();
            // And what is known better of what was given: an end, say, that no digest shows.
            let given_there: BTreeMap<&str, &Update> =
                asked.updates.iter().map(|u| (u.name.as_str(), u)).collect();
            let said = SyncMessage {
                step: 4,
                buckets: asked.buckets,
                ..SyncMessage::default()
            };
            let said = given(members, own, said, |hash, claim| {
                wants.contains(&hash)
                    || given_there
                        .get(claim.name.as_str())
                        .is_some_and(|update| **update != Update::from(claim))
            });
            (!said.updates.is_empty()).then_some(said)
        }
        _ => None,
    }
}

fn hash(name: &Name) -> u32 {
    values::hash(&[name.as_str().as_bytes()])
}

/// Hashes of names, and digests, of the living in these parts.
fn member_digests(members: &Members, own: &Own<'_>, parts: u64) -> BTreeMap<u32, u32> {
    let within = |name: &Name| parts & 1 << Members::bucket(name) != 0;
    let living = members
        .iter()
        .filter(|member| member.state.is_active() && within(&member.name));
    let mut standing: BTreeMap<u32, u32> = living
        .map(|member| (hash(&member.name), member.digest))
        .collect();
    if within(&own.claim.name) {
        let digest = values::digest(&own.claim.name, own.claim.incarnation, own.values);
        standing.insert(hash(&own.claim.name), digest);
    }
    standing
}

/// With all that is known of those, this node among them, as far as there is room.
fn given(
    members: &Members,
    own: &Own<'_>,
    mut said: SyncMessage,
    is_wanted: impl Fn(u32, &MemberUpdate) -> bool,
) -> SyncMessage {
    let mut room = MOST;
    let all = members
        .iter()
        .map(|member| (member.claim(), &member.values));
    for (claim, values) in all.chain([(own.claim.clone(), own.values)]) {
        if !is_wanted(hash(&claim.name), &claim) {
            continue;
        }
        let update = Update::from(&claim);
        let told: Vec<MemberValue> = values
            .iter()
            .map(|value| MemberValue::new(&claim.name, claim.incarnation, value))
            .collect();
        let size = update.encoded_len()
            + told
                .iter()
                .map(|told| told.encoded_len() + 4)
                .sum::<usize>()
            + 4;
        if size > room {
            break;
        }
        room -= size;
        said.updates.push(update);
        said.values.extend(told);
    }
    said
}

/// What a step claims of members, and how many claims made no sense.
pub fn claims(words: &SyncMessage) -> (Vec<MemberUpdate>, usize) {
    let claims: Vec<MemberUpdate> = words
        .updates
        .iter()
        .filter_map(Update::to_member_update)
        .collect();
    let nonsense = words.updates.len() - claims.len();
    (claims, nonsense)
}
