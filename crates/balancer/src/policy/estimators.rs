//! Estimators of fractions, latencies and rates.

use std::time::Duration;

/// Default weight of one observation, so that about the last eight observations dominate.
pub(super) const SMOOTHING: f64 = 1.0 / 8.0;

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ewma(f64);

impl Ewma {
    pub(super) fn new(value: f64) -> Self {
        Ewma(value)
    }

    pub(super) fn value(self) -> f64 {
        self.0
    }

    /// Moves the average towards `sample` by the fraction `weight` of the difference.
    pub(super) fn observe(&mut self, sample: f64, weight: f64) {
        self.0 += (sample - self.0) * weight;
    }
}

/// A streaming median estimate: moves by a fixed fraction of itself, up for a sample above it and down otherwise.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamingMedian(f64);

impl StreamingMedian {
    const STEP: f64 = SMOOTHING / 4.0;

    pub(super) fn new(value: f64) -> Self {
        StreamingMedian(value)
    }

    pub(super) fn value(self) -> f64 {
        self.0
    }

    pub(super) fn observe(&mut self, above: bool) {
        self.0 *= 1.0 + if above { Self::STEP } else { -Self::STEP };
    }
}

/// An exponentially decaying rate per second.
#[derive(Debug, Default)]
pub(super) struct DecayedRate {
    /// The sum of all amounts, decayed until `at`.
    amount: f64,
    at: Duration,
}

impl DecayedRate {
    /// Adds an amount; `window_s` is the time constant of the decay in seconds.
    pub(super) fn add(&mut self, now: Duration, window_s: f64, amount: f64) {
        *self = DecayedRate {
            amount: self.per_second(now, window_s) * window_s + amount,
            at: now,
        };
    }

    /// The rate per second.
    pub(super) fn per_second(&self, now: Duration, window_s: f64) -> f64 {
        self.amount * (-(now - self.at).as_secs_f64() / window_s).exp() / window_s
    }
}

/// Mean and median latency of served attempts, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyEstimates {
    mean: Ewma,
    median: StreamingMedian,
}

impl LatencyEstimates {
    const MEAN_WEIGHT: f64 = SMOOTHING / 4.0;

    /// Initial estimates, derived from the shortest latency objective of all classes.
    pub(super) fn new(latency_objective: Duration) -> Self {
        let objective_s = latency_objective.as_secs_f64();
        LatencyEstimates {
            mean: Ewma::new(objective_s / 2.0),
            median: StreamingMedian::new(objective_s / 4.0),
        }
    }

    pub(super) fn mean_s(&self) -> f64 {
        self.mean.value()
    }

    pub(super) fn median_s(&self) -> f64 {
        self.median.value()
    }

    /// Records the latency of a served attempt; `relative_work` is its expected work relative to the average request.
    pub(super) fn observe(&mut self, elapsed: Duration, relative_work: f64) {
        let elapsed_s = elapsed.as_secs_f64();
        let expected_s = self.median.value() * relative_work.max(1.0);
        self.median.observe(elapsed_s > expected_s);
        self.mean.observe(elapsed_s, Self::MEAN_WEIGHT);
    }
}

#[cfg(test)]
#[path = "tests/estimators.rs"]
mod tests;
