//! What goes over the wire. A word's counts are packed by hand, since their bytes are what the fleet pays; all else is protobuf,
//! of which a reader skips what it does not know.

use crate::counts::{Asked, Backend, Cell, Class, Counts, Tally};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// The most bytes of a word's counts. Backends for which there is no room are counted as [`Backend::OTHERS`].
pub const MOST: usize = 4096;
/// Classes that a word may name.
pub const MOST_CLASSES: usize = 64;
/// The first byte: another layout has another.
const LAYOUT: u8 = 1;

/// Asks for what was learnt since the last time.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// Given back by the answer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Up to where the asked one has answered before, by its own count; 0 for nothing yet.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// The salt of the life in which it counted that.
    #[prost(fixed32, tag = "3")]
    pub salt: u32,
    /// What the asker has learnt lately, from anybody: [`mark`]s.
    #[prost(fixed32, repeated, tag = "4")]
    pub have: Vec<u32>,
    /// The most bytes of an answer.
    #[prost(uint32, tag = "5")]
    pub room: u32,
    /// As `since`, of groups' sums.
    #[prost(uint64, tag = "6")]
    pub since_sums: u64,
    /// The asked one's own word alone.
    #[prost(bool, tag = "7")]
    pub own: bool,
}

/// Answers it.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// The ask's.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Up to where this answers.
    #[prost(uint64, tag = "2")]
    pub until: u64,
    /// The salt of the answerer's life.
    #[prost(fixed32, tag = "3")]
    pub salt: u32,
    /// Words.
    #[prost(message, repeated, tag = "4")]
    pub words: Vec<Told>,
    /// As `until`, of groups' sums.
    #[prost(uint64, tag = "5")]
    pub until_sums: u64,
    /// Whether there was more than there was room for.
    #[prost(bool, tag = "6")]
    pub more: bool,
    /// As it was asked: this one's own word alone.
    #[prost(bool, tag = "7")]
    pub own: bool,
}

/// A node's word, told by itself or by another.
#[derive(Clone, PartialEq, Message)]
pub struct Told {
    /// Whose it is.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Of which life.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// See there.
    #[prost(fixed32, tag = "3")]
    pub salt: u32,
    /// Windows closed in that life.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// How long ago the last of them ended, at the most, when this was said.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// How long the windows are together.
    #[prost(uint32, tag = "6")]
    pub span_ms: u32,
    /// The counts: see [`pack`].
    #[prost(bytes = "vec", tag = "7")]
    pub counts: Vec<u8>,
    /// Of a group's sum, as which `name` speaks: of how many groups, which one from 1, its nodes, those it stands for in
    /// thousandths, and the share of the largest in thousandths. All 0 for a node's own word.
    #[prost(uint32, tag = "8")]
    pub groups: u32,
    /// See there.
    #[prost(uint32, tag = "9")]
    pub group: u32,
    /// See there.
    #[prost(uint32, tag = "10")]
    pub nodes: u32,
    /// See there.
    #[prost(uint32, tag = "11")]
    pub heard: u32,
    /// See there.
    #[prost(uint32, tag = "12")]
    pub largest: u32,
}

/// Either of them.
#[derive(Clone, PartialEq, Message)]
pub struct Said {
    /// An ask.
    #[prost(message, optional, tag = "1")]
    pub ask: Option<Ask>,
    /// An answer.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Answer>,
}

/// Whose word, a node's or a group's, and which version, in 4 bytes: three of a hash, and the version's last.
pub fn mark(name: &str, salt: u32, group: u32, version: u64) -> u32 {
    let seed = u64::from(salt) << 32 | u64::from(group);
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
    (hash as u32) << 8 | (version & 0xff) as u32
}

/// Whether one that has these marks, by their hashes, has that word in this version or a later one.
pub fn has(marks: &BTreeMap<u32, u8>, mark: u32) -> bool {
    marks
        .get(&(mark >> 8))
        .is_some_and(|version| (*version).wrapping_sub(mark as u8) < 0x80)
}

fn put(bytes: &mut Vec<u8>, number: u32) {
    prost::encoding::encode_varint(u64::from(number), bytes);
}

fn take(bytes: &mut &[u8]) -> Option<u32> {
    u32::try_from(prost::encoding::decode_varint(bytes).ok()?).ok()
}

fn take_fixed(bytes: &mut &[u8]) -> Option<u32> {
    let (first, rest) = bytes.split_first_chunk::<4>()?;
    *bytes = rest;
    Some(u32::from_le_bytes(*first))
}

const REST: u8 = 1;
const REFUSED: u8 = 2;
const FAILED: u8 = 4;
const WORK: u8 = 8;
const TIMES: u8 = 16;
const PROBES: u8 = 32;

fn put_tally(bytes: &mut Vec<u8>, tally: &Tally) {
    // Most attempts that were sent were in time: then neither is said of the others.
    let rest = tally.in_time != tally.sent || tally.late > 0;
    let flags = [
        (rest, REST),
        (tally.refused > 0, REFUSED),
        (tally.failed > 0, FAILED),
        (tally.work_ms > 0, WORK),
        (!tally.times.buckets().is_empty(), TIMES),
        (tally.probes > 0, PROBES),
    ];
    let flags = flags
        .iter()
        .filter(|(is, _)| *is)
        .map(|(_, flag)| flag)
        .fold(0, |all, flag| all | flag);
    bytes.push(flags);
    put(bytes, tally.sent);
    if flags & REST != 0 {
        put(bytes, tally.in_time);
        put(bytes, tally.late);
    }
    for (flag, count) in [
        (REFUSED, tally.refused),
        (FAILED, tally.failed),
        (WORK, tally.work_ms),
        (PROBES, tally.probes),
    ] {
        if flags & flag != 0 {
            put(bytes, count);
        }
    }
    if flags & TIMES != 0 {
        let buckets = tally.times.buckets();
        bytes.push(buckets.len() as u8);
        for (bucket, count) in buckets {
            bytes.push(*bucket);
            put(bytes, *count);
        }
    }
}

fn take_tally(bytes: &mut &[u8]) -> Option<Tally> {
    let (flags, rest) = bytes.split_first()?;
    *bytes = rest;
    let sent = take(bytes)?;
    let mut tally = Tally {
        sent,
        in_time: sent,
        ..Tally::default()
    };
    if flags & REST != 0 {
        (tally.in_time, tally.late) = (take(bytes)?, take(bytes)?);
    }
    for (flag, count) in [
        (REFUSED, &mut tally.refused),
        (FAILED, &mut tally.failed),
        (WORK, &mut tally.work_ms),
        (PROBES, &mut tally.probes),
    ] {
        if flags & flag != 0 {
            *count = take(bytes)?;
        }
    }
    if flags & TIMES != 0 {
        let (count, rest) = bytes.split_first()?;
        *bytes = rest;
        for _ in 0..*count {
            let (bucket, rest) = bytes.split_first()?;
            *bytes = rest;
            tally.times.put(*bucket, take(bytes)?);
        }
    }
    Some(tally)
}

/// Counts in at most [`MOST`] bytes: classes by a table, then what was asked of each, then backends by how much went there.
/// What there is no room for is added to [`Backend::OTHERS`], without its times, so that sums by class stay whole.
pub fn pack(counts: &Counts) -> Vec<u8> {
    let named: BTreeSet<Class> = counts
        .asked
        .keys()
        .copied()
        .chain(counts.cells.keys().map(|cell| cell.class))
        .collect();
    let classes: Vec<Class> = named.into_iter().take(MOST_CLASSES).collect();
    let place = |class: &Class| classes.binary_search(class).ok();
    let mut bytes = vec![LAYOUT];
    put(&mut bytes, classes.len() as u32);
    classes
        .iter()
        .for_each(|class| bytes.extend(class.0.to_le_bytes()));
    let asked: Vec<_> = counts
        .asked
        .iter()
        .filter_map(|(class, asked)| Some((place(class)?, asked)))
        .collect();
    put(&mut bytes, asked.len() as u32);
    for (place, Asked { first, again, shed }) in asked {
        [place as u32, *first, *again, *shed]
            .into_iter()
            .for_each(|number| put(&mut bytes, number));
    }
    let mut backends: BTreeMap<Backend, Vec<(usize, &Tally)>> = BTreeMap::new();
    for (cell, tally) in &counts.cells {
        if let Some(place) = place(&cell.class) {
            backends
                .entry(cell.backend)
                .or_default()
                .push((place, tally));
        }
    }
    let mut backends: Vec<_> = backends.into_iter().collect();
    let weight = |cells: &[(usize, &Tally)]| {
        cells
            .iter()
            .map(|(_, tally)| u64::from(tally.sent))
            .sum::<u64>()
    };
    backends.sort_by_key(|(backend, cells)| (std::cmp::Reverse(weight(cells)), *backend));
    // Room for what is left over, whatever it comes to.
    let reserve = 8 + classes.len() * 32;
    let mut others: BTreeMap<usize, Tally> = BTreeMap::new();
    for (backend, cells) in backends {
        let mut own = backend.0.to_le_bytes().to_vec();
        put(&mut own, cells.len() as u32);
        for (place, tally) in &cells {
            put(&mut own, *place as u32);
            put_tally(&mut own, tally);
        }
        if backend != Backend::OTHERS && bytes.len() + own.len() + reserve <= MOST {
            bytes.extend(own);
            continue;
        }
        for (place, tally) in cells {
            let sum = others.entry(place).or_default();
            sum.merge(tally);
            sum.times = Default::default();
        }
    }
    if !others.is_empty() {
        bytes.extend(Backend::OTHERS.0.to_le_bytes());
        put(&mut bytes, others.len() as u32);
        for (place, tally) in &others {
            put(&mut bytes, *place as u32);
            put_tally(&mut bytes, tally);
        }
    }
    bytes
}

/// Reads packed counts; `None` if they are none, or over the bounds.
pub fn unpack(mut bytes: &[u8]) -> Option<Counts> {
    if bytes.len() > MOST {
        return None;
    }
    let (layout, rest) = bytes.split_first()?;
    bytes = rest;
    let count = take(&mut bytes)? as usize;
    if *layout != LAYOUT || count > MOST_CLASSES {
        return None;
    }
    let classes: Vec<Class> = (0..count)
        .map(|_| take_fixed(&mut bytes).map(Class))
        .collect::<Option<Vec<_>>>()?;
    let mut counts = Counts::default();
    for _ in 0..take(&mut bytes)? {
        let class = *classes.get(take(&mut bytes)? as usize)?;
        let asked = Asked {
            first: take(&mut bytes)?,
            again: take(&mut bytes)?,
            shed: take(&mut bytes)?,
        };
        counts.asked.insert(class, asked);
    }
    while !bytes.is_empty() {
        let backend = Backend(take_fixed(&mut bytes)?);
        for _ in 0..take(&mut bytes)? {
            let class = *classes.get(take(&mut bytes)? as usize)?;
            let tally = take_tally(&mut bytes)?;
            counts
                .cells
                .entry(Cell { backend, class })
                .or_default()
                .merge(&tally);
        }
    }
    Some(counts)
}
