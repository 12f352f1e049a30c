//! Latency histograms with bucket bounds that grow by a factor of 1.2. Histograms of several nodes merge without loss, in any
//! order. A report covers few calls, so only non-empty buckets are stored.

use std::time::Duration;

/// The ratio between the upper bounds of neighbouring buckets.
const BUCKET_GROWTH: f64 = 1.2;
/// The last bucket, which also counts all latencies above about 97 s.
const LAST_BUCKET: u8 = 63;

/// A histogram of latencies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram(Vec<(u8, u32)>);

fn bucket_of(time: Duration) -> u8 {
    let ms = time.as_secs_f64() * 1e3;
    if ms <= 1.0 {
        0
    } else {
        (ms.ln() / BUCKET_GROWTH.ln())
            .ceil()
            .min(f64::from(LAST_BUCKET)) as u8
    }
}

impl LatencyHistogram {
    /// The largest relative error of a quantile between 1 ms and 97 s.
    pub const MAX_RELATIVE_ERROR: f64 = (BUCKET_GROWTH - 1.0) / (BUCKET_GROWTH + 1.0);

    /// Counts one latency.
    pub fn record(&mut self, time: Duration) {
        self.add(bucket_of(time), 1);
    }

    /// Adds a count to a bucket, or to the last one if there is no such bucket.
    pub fn add(&mut self, bucket: u8, count: u32) {
        let bucket = bucket.min(LAST_BUCKET);
        if count == 0 {
            return;
        }
        match self.0.binary_search_by_key(&bucket, |(bucket, _)| *bucket) {
            Ok(index) => self.0[index].1 = self.0[index].1.saturating_add(count),
            Err(index) => self.0.insert(index, (bucket, count)),
        }
    }

    /// Adds another histogram.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        for (bucket, count) in &other.0 {
            self.add(*bucket, *count);
        }
    }

    /// The non-empty buckets with their counts, in order.
    pub fn buckets(&self) -> &[(u8, u32)] {
        &self.0
    }

    /// The number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.0.iter().map(|(_, count)| u64::from(*count)).sum()
    }

    /// The quantile at `share`, within [`LatencyHistogram::MAX_RELATIVE_ERROR`]; `None` if the histogram is empty. `share` is
    /// clamped to 0..=1.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let rank = (share.clamp(0.0, 1.0) * self.count() as f64)
            .ceil()
            .max(1.0) as u64;
        let mut below = 0;
        let (bucket, _) = self.0.iter().find(|(_, count)| {
            below += u64::from(*count);
            below >= rank
        })?;
        let bound = BUCKET_GROWTH.powi(i32::from(*bucket));
        let estimate_ms = if *bucket == 0 {
            1.0
        } else {
            2.0 * bound / (BUCKET_GROWTH + 1.0)
        };
        Some(Duration::from_secs_f64(estimate_ms / 1e3))
    }
}
