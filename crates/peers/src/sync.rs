//! Two members bring each other up to date over a link: prints of all parts, then what stands in those that differ.
//!
//! The cost goes with what differs, not with what is known: 256 bytes of prints, then about a sixty-fourth of the fleet
//! for each member or value that differs.

use crate::life::{Claim, Life, Name};
use crate::members::{Members, PARTS};
use crate::values::{self, Values};
use crate::words::{Sync, Told, Update};
use prost::Message;

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
    prints[Members::part(&own.claim.name)] ^= values::print(&own.claim.name, own.claim.life, own.values);
    prints
}

/// All prints in one, for a frame.
pub fn print(members: &Members, own: &Own<'_>) -> u32 {
    let all = members.prints().iter().fold(0, |all, print| all ^ print);
    all ^ values::print(&own.claim.name, own.claim.life, own.values)
}

/// The first step.
pub fn ask(members: &Members, own: &Own<'_>) -> Sync {
    Sync { step: 1, prints: prints(members, own), ..Sync::default() }
}

/// What is answered to a step, before what it says is taken in; `None` if nothing is.
pub fn answer(members: &Members, own: &Own<'_>, asked: &Sync) -> Option<Sync> {
    let parts = match asked.step {
        1 if asked.prints.len() == PARTS => {
            let here = prints(members, own);
            let differ = here.iter().zip(&asked.prints).enumerate().filter(|(_, (a, b))| a != b);
            differ.fold(0u64, |parts, (part, _)| parts | 1 << part)
        }
        2 => asked.parts,
        _ => return None,
    };
    if parts == 0 {
        return None;
    }
    let mut said = Sync { step: asked.step + 1, parts, ..Sync::default() };
    let mut size = 0;
    let mut room = |length: usize| {
        size += length + 4;
        size <= MOST
    };
    let within = |name: &Name| parts & 1 << Members::part(name) != 0;
    let told = |update: &Update| asked.updates.contains(update);
    if within(&own.claim.name) {
        said.updates.push(own.claim.into());
        said.values.extend(own.values.iter().map(|value| Told::of(&own.claim.name, own.claim.life, value)));
    }
    for member in members.iter().filter(|member| within(&member.name)) {
        let update = Update::from(&member.claim());
        if !told(&update) {
            if !room(update.encoded_len()) {
                break;
            }
            said.updates.push(update);
        }
        for value in member.values.iter() {
            let value = Told::of(&member.name, member.life, value);
            if asked.values.contains(&value) {
                continue;
            }
            if !room(value.encoded_len()) {
                break;
            }
            said.values.push(value);
        }
    }
    Some(said)
}

/// What a step claims of members, and how many claims made no sense.
pub fn claims(words: &Sync) -> (Vec<Claim>, usize) {
    let claims: Vec<Claim> = words.updates.iter().filter_map(Update::claim).collect();
    let nonsense = words.updates.len() - claims.len();
    (claims, nonsense)
}
