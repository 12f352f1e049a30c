use super::{DecayedRate, Ewma, LatencyEstimates, StreamingMedian};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_average_moves_by_the_weight_towards_a_sample() {
    let mut average = Ewma::new(1.0);
    average.observe(0.0, 0.25);
    assert_eq!(average.value(), 0.75);
}

#[test]
fn a_median_settles_where_half_of_the_samples_are_above() {
    let mut median = StreamingMedian::new(1.0);
    for sample in (1..=9).cycle().take(900) {
        let above = f64::from(sample) > median.value();
        median.observe(above);
    }
    assert!((4.0..6.5).contains(&median.value()), "{}", median.value());
}

#[test]
fn a_rate_decays_by_a_factor_of_e_over_its_window() {
    let mut rate = DecayedRate::default();
    rate.add(SECOND, 2.0, 10.0);
    assert_eq!(rate.per_second(SECOND, 2.0), 5.0);
    let later = rate.per_second(3 * SECOND, 2.0);
    assert!((later - 5.0 / std::f64::consts::E).abs() < 1e-9, "{later}");
}

#[test]
fn latency_of_a_heavy_request_does_not_raise_the_median() {
    let mut latency = LatencyEstimates::new(SECOND);
    let median_s = latency.median_s();
    latency.observe(Duration::from_secs_f64(median_s * 3.0), 4.0);
    assert!(latency.median_s() < median_s);
    latency.observe(Duration::from_secs_f64(median_s * 3.0), 1.0);
    assert!(latency.median_s() > median_s * 0.99);
}
