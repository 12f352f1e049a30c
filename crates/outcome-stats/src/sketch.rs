//! Times in buckets whose bounds grow by a fifth: what two nodes counted adds up without a loss, in any order, and a quantile
//! is at most an eleventh off. A word has few calls, so only buckets that are not empty are kept.

use std::time::Duration;

/// Each bucket's bound over the one before.
const GROWTH: f64 = 1.2;
/// The last bucket has all beyond about 97 s.
const LAST: u8 = 63;

/// How long something took, many times over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sketch(Vec<(u8, u32)>);

fn bucket(time: Duration) -> u8 {
    let ms = time.as_secs_f64() * 1e3;
    if ms <= 1.0 {
        0
    } else {
        (ms.ln() / GROWTH.ln()).ceil().min(f64::from(LAST)) as u8
    }
}

impl Sketch {
    /// The most that a quantile is off, as a share of itself, between 1 ms and 97 s.
    pub const ERROR: f64 = (GROWTH - 1.0) / (GROWTH + 1.0);

    /// Counts one.
    pub fn add(&mut self, time: Duration) {
        self.put(bucket(time), 1);
    }

    /// Counts so many in a bucket; one that there is not counts as the last.
    pub fn put(&mut self, bucket: u8, count: u32) {
        let bucket = bucket.min(LAST);
        if count == 0 {
            return;
        }
        match self.0.binary_search_by_key(&bucket, |(bucket, _)| *bucket) {
            Ok(at) => self.0[at].1 = self.0[at].1.saturating_add(count),
            Err(at) => self.0.insert(at, (bucket, count)),
        }
    }

    /// Adds what another has counted.
    pub fn merge(&mut self, other: &Sketch) {
        other
            .0
            .iter()
            .for_each(|(bucket, count)| self.put(*bucket, *count));
    }

    /// The buckets that are not empty, in order.
    pub fn buckets(&self) -> &[(u8, u32)] {
        &self.0
    }

    /// How many were counted.
    pub fn count(&self) -> u64 {
        self.0.iter().map(|(_, count)| u64::from(*count)).sum()
    }

    /// So much of all took no longer than this, within [`Sketch::ERROR`].
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let rank = (share.clamp(0.0, 1.0) * self.count() as f64)
            .ceil()
            .max(1.0) as u64;
        let mut below = 0;
        let (bucket, _) = self.0.iter().find(|(_, count)| {
            below += u64::from(*count);
            below >= rank
        })?;
        let bound = GROWTH.powi(i32::from(*bucket));
        let middle = if *bucket == 0 {
            1.0
        } else {
            2.0 * bound / (GROWTH + 1.0)
        };
        Some(Duration::from_secs_f64(middle / 1e3))
    }
}
