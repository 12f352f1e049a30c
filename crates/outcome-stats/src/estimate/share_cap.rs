//! Caps on the share of one node in an estimate.

/// The largest share of one node in a sum. At one half, a node that really has half of the traffic is not reduced.
pub(super) const MAX_SHARE_OF_SUM: f64 = 0.5;
/// The largest share of one node in an estimate of a backend, if enough others report it.
pub(super) const MAX_SHARE_OF_BACKEND: f64 = 0.2;

/// Reduces the largest weights so that none exceeds `max_share` of the resulting sum. Returns the weights unchanged if there
/// are too few positive ones for that.
pub(super) fn cap_shares(weights: &[f64], max_share: f64) -> Vec<f64> {
    let mut capped = weights.to_vec();
    let positive = weights.iter().filter(|weight| **weight > 0.0).count();
    if max_share * (positive as f64) < 1.0 {
        return capped;
    }
    // All reduced weights get the same value: exactly `max_share` of the resulting sum.
    let mut by_weight: Vec<usize> = (0..capped.len()).collect();
    by_weight.sort_by(|a, b| capped[*b].total_cmp(&capped[*a]));
    let mut rest: f64 = capped.iter().sum();
    for (larger, index) in by_weight.iter().enumerate() {
        let share = 1.0 - max_share * larger as f64;
        if share <= 0.0 {
            break;
        }
        let cap = max_share * rest / share;
        if capped[*index] <= cap {
            for reduced in by_weight.iter().take(larger) {
                capped[*reduced] = cap;
            }
            break;
        }
        rest -= capped[*index];
    }
    capped
}
