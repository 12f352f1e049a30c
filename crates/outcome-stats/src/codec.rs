//! The wire encoding of counts, in a compact custom format because they make up nearly all exchanged bytes: a layout byte, a
//! table of classes, the calls of each class, and the attempts at each backend, in descending order of attempts.

use crate::counts::{AttemptCounts, BackendClass, BackendId, CallCounts, ClassId, Counts};
use crate::histogram::LatencyHistogram;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum size of encoded counts, in bytes. Backends that do not fit are added to [`BackendId::OTHERS`].
pub const MAX_COUNTS_BYTES: usize = 4096;
/// The maximum number of classes in encoded counts.
pub const MAX_CLASSES: usize = 64;
/// The version of the layout, sent as the first byte.
const LAYOUT_VERSION: u8 = 1;
/// The space reserved for [`BackendId::OTHERS`], in bytes: for the backend and its length, and for each class.
const OTHERS_BYTES: usize = 8;
const OTHERS_CLASS_BYTES: usize = 32;

/// Flags of the fields of [`AttemptCounts`] that are present after the number of attempts sent.
mod flags {
    /// In time and late. If absent, all attempts sent were in time and none were late.
    pub(super) const OUTCOMES: u8 = 1;
    pub(super) const REJECTED: u8 = 2;
    pub(super) const FAILED: u8 = 4;
    pub(super) const WORK: u8 = 8;
    pub(super) const LATENCIES: u8 = 16;
    pub(super) const HEALTH_CHECKS: u8 = 32;
}

/// Attempts by the index of their class in the class table.
type ByClass<'a> = Vec<(usize, &'a AttemptCounts)>;

/// Encodes counts in at most [`MAX_COUNTS_BYTES`].
///
/// Backends that do not fit are added up, without latencies, so that sums over all backends stay complete.
pub fn encode_counts(counts: &Counts) -> Vec<u8> {
    let classes = class_table(counts);
    let index = |class: &ClassId| classes.binary_search(class).ok();
    let mut bytes = vec![LAYOUT_VERSION];
    put_varint(&mut bytes, classes.len() as u32);
    for class in &classes {
        bytes.extend(class.0.to_le_bytes());
    }
    let calls: Vec<(usize, &CallCounts)> = counts
        .calls
        .iter()
        .filter_map(|(class, calls)| Some((index(class)?, calls)))
        .collect();
    put_calls(&mut bytes, &calls);
    let mut backends: BTreeMap<BackendId, ByClass<'_>> = BTreeMap::new();
    for (key, attempts) in &counts.attempts {
        if let Some(index) = index(&key.class) {
            backends
                .entry(key.backend)
                .or_default()
                .push((index, attempts));
        }
    }
    let others = put_backends(&mut bytes, backends, classes.len());
    if !others.is_empty() {
        let others: ByClass<'_> = others.iter().map(|(index, sum)| (*index, sum)).collect();
        bytes.extend(encode_backend(BackendId::OTHERS, &others));
    }
    bytes
}

/// The classes that have calls or attempts, in order, up to [`MAX_CLASSES`].
fn class_table(counts: &Counts) -> Vec<ClassId> {
    let classes: BTreeSet<ClassId> = counts
        .calls
        .keys()
        .copied()
        .chain(counts.attempts.keys().map(|key| key.class))
        .collect();
    classes.into_iter().take(MAX_CLASSES).collect()
}

fn put_calls(bytes: &mut Vec<u8>, calls: &[(usize, &CallCounts)]) {
    put_varint(bytes, calls.len() as u32);
    for (index, calls) in calls {
        put_varint(bytes, *index as u32);
        put_varint(bytes, calls.first);
        put_varint(bytes, calls.retries);
        put_varint(bytes, calls.rejected);
    }
}

/// Encodes the backends that fit, those with the most attempts first. Returns the sum of the others.
fn put_backends(
    bytes: &mut Vec<u8>,
    backends: BTreeMap<BackendId, ByClass<'_>>,
    classes: usize,
) -> BTreeMap<usize, AttemptCounts> {
    let sent = |attempts: &ByClass<'_>| -> u64 {
        attempts
            .iter()
            .map(|(_, attempts)| u64::from(attempts.sent))
            .sum()
    };
    let mut backends: Vec<_> = backends.into_iter().collect();
    backends.sort_by_key(|(backend, attempts)| (Reverse(sent(attempts)), *backend));
    let reserved = OTHERS_BYTES + classes * OTHERS_CLASS_BYTES;
    let mut others: BTreeMap<usize, AttemptCounts> = BTreeMap::new();
    for (backend, attempts) in backends {
        let encoded = encode_backend(backend, &attempts);
        let fits = bytes.len() + encoded.len() + reserved <= MAX_COUNTS_BYTES;
        if backend != BackendId::OTHERS && fits {
            bytes.extend(encoded);
            continue;
        }
        for (index, attempts) in attempts {
            let sum = others.entry(index).or_default();
            sum.merge(attempts);
            sum.latencies = LatencyHistogram::default();
        }
    }
    others
}

fn encode_backend(backend: BackendId, attempts: &ByClass<'_>) -> Vec<u8> {
    let mut bytes = backend.0.to_le_bytes().to_vec();
    put_varint(&mut bytes, attempts.len() as u32);
    for (index, attempts) in attempts {
        put_varint(&mut bytes, *index as u32);
        put_attempts(&mut bytes, attempts);
    }
    bytes
}

fn put_attempts(bytes: &mut Vec<u8>, attempts: &AttemptCounts) {
    let all_in_time = attempts.in_time == attempts.sent && attempts.late == 0;
    let fields = [
        (!all_in_time, flags::OUTCOMES),
        (attempts.rejected > 0, flags::REJECTED),
        (attempts.failed > 0, flags::FAILED),
        (attempts.work_ms > 0, flags::WORK),
        (!attempts.latencies.buckets().is_empty(), flags::LATENCIES),
        (attempts.health_checks > 0, flags::HEALTH_CHECKS),
    ];
    let present = fields
        .iter()
        .filter(|(is_present, _)| *is_present)
        .fold(0, |all, (_, flag)| all | flag);
    bytes.push(present);
    put_varint(bytes, attempts.sent);
    if present & flags::OUTCOMES != 0 {
        put_varint(bytes, attempts.in_time);
        put_varint(bytes, attempts.late);
    }
    for (flag, count) in [
        (flags::REJECTED, attempts.rejected),
        (flags::FAILED, attempts.failed),
        (flags::WORK, attempts.work_ms),
        (flags::HEALTH_CHECKS, attempts.health_checks),
    ] {
        if present & flag != 0 {
            put_varint(bytes, count);
        }
    }
    if present & flags::LATENCIES != 0 {
        let buckets = attempts.latencies.buckets();
        bytes.push(buckets.len() as u8);
        for (bucket, count) in buckets {
            bytes.push(*bucket);
            put_varint(bytes, *count);
        }
    }
}

fn put_varint(bytes: &mut Vec<u8>, number: u32) {
    prost::encoding::encode_varint(u64::from(number), bytes);
}

/// Decodes counts; `None` if they are malformed or too long.
pub fn decode_counts(mut bytes: &[u8]) -> Option<Counts> {
    if bytes.len() > MAX_COUNTS_BYTES {
        return None;
    }
    let layout = take_byte(&mut bytes)?;
    let class_count = take_varint(&mut bytes)? as usize;
    if layout != LAYOUT_VERSION || class_count > MAX_CLASSES {
        return None;
    }
    let classes: Vec<ClassId> = (0..class_count)
        .map(|_| take_fixed(&mut bytes).map(ClassId))
        .collect::<Option<Vec<_>>>()?;
    let mut counts = Counts::default();
    for _ in 0..take_varint(&mut bytes)? {
        let class = *classes.get(take_varint(&mut bytes)? as usize)?;
        let calls = CallCounts {
            first: take_varint(&mut bytes)?,
            retries: take_varint(&mut bytes)?,
            rejected: take_varint(&mut bytes)?,
        };
        counts.calls.insert(class, calls);
    }
    while !bytes.is_empty() {
        let backend = BackendId(take_fixed(&mut bytes)?);
        for _ in 0..take_varint(&mut bytes)? {
            let class = *classes.get(take_varint(&mut bytes)? as usize)?;
            let attempts = take_attempts(&mut bytes)?;
            let key = BackendClass { backend, class };
            counts.attempts.entry(key).or_default().merge(&attempts);
        }
    }
    Some(counts)
}

fn take_attempts(bytes: &mut &[u8]) -> Option<AttemptCounts> {
    let present = take_byte(bytes)?;
    let sent = take_varint(bytes)?;
    let mut attempts = AttemptCounts {
        sent,
        in_time: sent,
        ..AttemptCounts::default()
    };
    if present & flags::OUTCOMES != 0 {
        attempts.in_time = take_varint(bytes)?;
        attempts.late = take_varint(bytes)?;
    }
    for (flag, count) in [
        (flags::REJECTED, &mut attempts.rejected),
        (flags::FAILED, &mut attempts.failed),
        (flags::WORK, &mut attempts.work_ms),
        (flags::HEALTH_CHECKS, &mut attempts.health_checks),
    ] {
        if present & flag != 0 {
            *count = take_varint(bytes)?;
        }
    }
    if present & flags::LATENCIES != 0 {
        for _ in 0..take_byte(bytes)? {
            let bucket = take_byte(bytes)?;
            attempts.latencies.add(bucket, take_varint(bytes)?);
        }
    }
    Some(attempts)
}

fn take_byte(bytes: &mut &[u8]) -> Option<u8> {
    let (first, rest) = bytes.split_first()?;
    *bytes = rest;
    Some(*first)
}

fn take_varint(bytes: &mut &[u8]) -> Option<u32> {
    u32::try_from(prost::encoding::decode_varint(bytes).ok()?).ok()
}

fn take_fixed(bytes: &mut &[u8]) -> Option<u32> {
    let (first, rest) = bytes.split_first_chunk::<4>()?;
    *bytes = rest;
    Some(u32::from_le_bytes(*first))
}
