use super::{HealthSignal, OutlierDetector, ServerHealth, eject, is_trial, may_eject_more};
use crate::policy::context::Context;
use crate::settings::Settings;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(250);

/// Feeds signals to a detector in turn. Returns for each whether it would eject the server.
fn ejections(signals: &[HealthSignal], health: &mut ServerHealth) -> Vec<bool> {
    let mut detector = OutlierDetector::default();
    let mut observe = |signal: &HealthSignal| {
        detector.observe(health, *signal);
        detector.should_eject(health, *signal, || true)
    };
    signals.iter().map(&mut observe).collect()
}

#[test]
fn ejects_after_consecutive_failures_and_not_after_a_single_one() {
    let mut health = ServerHealth::default();
    let ejected = ejections(&[HealthSignal::Failed; 4], &mut health);
    assert_eq!(ejected, [false, false, true, true]);
}

#[test]
fn ejects_an_unreachable_server_at_once() {
    let mut health = ServerHealth::default();
    assert_eq!(ejections(&[HealthSignal::Unreachable], &mut health), [true]);
}

#[test]
fn a_second_consecutive_refused_connection_makes_a_server_unreachable_and_a_connect_timeout_does_not()
 {
    let mut health = ServerHealth::default();
    let mut connect = |elapsed| health.on_connect_failed(elapsed, TIMEOUT).signal;
    assert_eq!(connect(TIMEOUT / 2), HealthSignal::Failed);
    assert_eq!(connect(TIMEOUT), HealthSignal::Failed);
    assert_eq!(connect(TIMEOUT / 2), HealthSignal::Unreachable);
}

#[test]
fn consecutive_ejections_double_up_to_sixteen_times_and_a_served_attempt_halves_their_count() {
    let settings = Settings::default();
    let context = Context {
        now: Duration::from_secs(100),
        settings: &settings,
        mean_latency_s: 0.1,
    };
    let window = settings.safety.overload_window;
    let mut health = ServerHealth::default();
    for factor in [1, 2, 4, 8, 16, 16] {
        eject(&context, &mut health);
        assert!(!health.is_due_for_trial(context.now + window * factor - Duration::from_nanos(1)));
        assert!(health.is_due_for_trial(context.now + window * factor));
    }
    ejections(&[HealthSignal::Served], &mut health);
    assert!(!health.is_ejected());
    eject(&context, &mut health);
    assert!(health.is_due_for_trial(context.now + window * 8));
    assert!(!health.is_due_for_trial(context.now + window * 7));
}

#[test]
fn at_least_half_of_the_servers_stay_in_use() {
    assert!(may_eject_more(0, 2));
    assert!(!may_eject_more(0, 1));
    assert!(!may_eject_more(1, 3));
    assert!(may_eject_more(1, 4));
}

#[test]
fn non_idempotent_requests_are_trial_requests_less_often() {
    assert!(is_trial(0.1, true) && !is_trial(0.1, false));
    assert!(is_trial(0.03, false) && !is_trial(0.125, true));
}
