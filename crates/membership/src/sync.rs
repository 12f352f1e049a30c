//! Two members bring each other up to date over a link: prints of all parts, then those of the members in the parts that
//! differ, then the members that differ.
//!
//! The cost goes with what differs, not with what is known: 256 bytes of prints, then 8 bytes for each member of the parts
//! that differ, about a sixty-fourth of the fleet for each, then the members themselves.

use crate::life::{Claim, Life, Name};
use crate::members::{Members, PARTS};
use crate::values::{self, Values};
use crate::words::{Sync, Told, Update};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of members and values in one step; what does not fit waits for the next time that prints differ.
const MOST: usize = 48 * 1024;

/// A step that another member took.
#[derive(Clone, Debug)]
pub struct SyncStep {
    /// Who.
    pub name: Name,
    /// In which life.
    pub life: Life,
    /// What it says.
    pub words: Sync,
}

/// This node, as it stands in its own part.
pub struct Own<'a> {
    pub claim: &'a Claim,
    pub values: &'a Values,
}

/// The prints of all parts, this node's own among them.
pub fn prints(members: &Members, own: &Own<'_>) -> Vec<u32> {
    let mut prints = members.prints().to_vec();
    prints[Members::part(&own.claim.name)] ^=
        values::print(&own.claim.name, own.claim.life, own.values);
    prints
}

/// All prints in one, for a frame.
pub fn print(members: &Members, own: &Own<'_>) -> u32 {
    let all = members.prints().iter().fold(0, |all, print| all ^ print);
    all ^ values::print(&own.claim.name, own.claim.life, own.values)
}

/// The first step.
pub fn ask(members: &Members, own: &Own<'_>) -> Sync {
    Sync {
        step: 1,
        prints: prints(members, own),
        ..Sync::default()
    }
}

/// What is answered to a step; `None` if nothing is. What the step claims has been taken in before.
pub fn answer(members: &Members, own: &Own<'_>, asked: &Sync) -> Option<Sync> {
    match asked.step {
        1 if asked.prints.len() == PARTS => {
            let here = prints(members, own);
            let differ = here
                .iter()
                .zip(&asked.prints)
                .enumerate()
                .filter(|(_, (a, b))| a != b);
            let parts = differ.fold(0u64, |parts, (part, _)| parts | 1 << part);
            let stand = standing(members, own, parts);
            let stand = stand
                .into_iter()
                .flat_map(|(name, print)| [name, print])
                .collect();
            (parts != 0).then(|| Sync {
                step: 2,
                parts,
                stand,
                ..Sync::default()
            })
        }
        2 => {
            let there: BTreeMap<u32, u32> = asked
                .stand
                .chunks_exact(2)
                .map(|pair| (pair[0], pair[1]))
                .collect();
            let here = standing(members, own, asked.parts);
            let gives = here
                .iter()
                .filter(|(name, print)| there.get(name) != Some(print));
            let gives: BTreeSet<u32> = gives.map(|(name, _)| *name).collect();
            let wants = there
                .iter()
                .filter(|(name, print)| here.get(name) != Some(print));
            let wants: Vec<u32> = wants.map(|(name, _)| *name).collect();
            let said = Sync {
                step: 3,
                parts: asked.parts,
                wants,
                ..Sync::default()
            };
            Some(given(members, own, said, |name, _| gives.contains(&name)))
        }
        3 => {
            let wants: BTreeSet<u32> = asked.wants.iter().copied().collect();
            // And what is known better of what was given: an end, say, that no print shows.
            let given_there: BTreeMap<&str, &Update> =
                asked.updates.iter().map(|u| (u.name.as_str(), u)).collect();
            let said = Sync {
                step: 4,
                parts: asked.parts,
                ..Sync::default()
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

/// Hashes of names, and prints, of the living in these parts.
fn standing(members: &Members, own: &Own<'_>, parts: u64) -> BTreeMap<u32, u32> {
    let within = |name: &Name| parts & 1 << Members::part(name) != 0;
    let living = members
        .iter()
        .filter(|member| member.state.is_living() && within(&member.name));
    let mut standing: BTreeMap<u32, u32> = living
        .map(|member| (hash(&member.name), member.print))
        .collect();
    if within(&own.claim.name) {
        let print = values::print(&own.claim.name, own.claim.life, own.values);
        standing.insert(hash(&own.claim.name), print);
    }
    standing
}

/// With all that is known of those, this node among them, as far as there is room.
fn given(
    members: &Members,
    own: &Own<'_>,
    mut said: Sync,
    is_wanted: impl Fn(u32, &Claim) -> bool,
) -> Sync {
    let mut room = MOST;
    let all = members
        .iter()
        .map(|member| (member.claim(), &member.values));
    for (claim, values) in all.chain([(own.claim.clone(), own.values)]) {
        if !is_wanted(hash(&claim.name), &claim) {
            continue;
        }
        let update = Update::from(&claim);
        let told: Vec<Told> = values
            .iter()
            .map(|value| Told::of(&claim.name, claim.life, value))
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
pub fn claims(words: &Sync) -> (Vec<Claim>, usize) {
    let claims: Vec<Claim> = words.updates.iter().filter_map(Update::claim).collect();
    let nonsense = words.updates.len() - claims.len();
    (claims, nonsense)
}
