use super::{Permit, capacity, target_fraction};
use crate::endpoint::Endpoint;
use crate::policy::context::Context;
use crate::settings::{SafetyRules, Settings};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn settings() -> Settings {
    let safety = SafetyRules {
        slow_start_capacity: 0.2,
        slow_start_window: 8 * SECOND,
        overload_factor: 4.0,
        overload_window: 2 * SECOND,
        ..Settings::default().safety
    };
    Settings {
        safety,
        ..Settings::default()
    }
}

#[test]
fn capacity_grows_evenly_from_the_initial_fraction() {
    let settings = settings();
    let started = |seconds: u32| Endpoint {
        started_at: Some(100 * SECOND - seconds * SECOND),
        ..Endpoint::default()
    };
    let context = Context {
        now: 100 * SECOND,
        settings: &settings,
        mean_latency_s: 0.1,
    };
    let at = |seconds| capacity(&context, &started(seconds));
    assert_eq!([at(0), at(8), at(100)], [0.2, 1.0, 1.0]);
    assert!((at(4) - 0.6).abs() < 1e-9);
    assert_eq!(capacity(&context, &Endpoint::default()), 1.0);
}

#[test]
fn permits_come_at_even_times_and_are_not_saved_up() {
    let mut permit = Permit::default();
    let mut valid = 0;
    for tenth in 0..100 {
        permit.accrue(SECOND * tenth / 10, 1.0, 0.5, SECOND / 2);
        if permit.is_valid(SECOND * tenth / 10) {
            permit.use_up();
            valid += 1;
        }
    }
    assert!(
        (9..=10).contains(&valid),
        "{valid} permits in ten seconds at one a second"
    );
    permit.accrue(1000 * SECOND, 1.0, 0.5, SECOND / 2);
    permit.use_up();
    permit.accrue(1000 * SECOND, 1.0, 0.5, SECOND / 2);
    assert!(
        !permit.is_valid(1000 * SECOND),
        "one permit at most after a long pause"
    );
}

#[test]
fn all_nodes_together_stay_below_the_rules_bound() {
    let safety = settings().safety;
    for sharing in [1.0, 3.0, 30.0, 300.0] {
        for allowed in [1.0, 10.0, 100.0, 1000.0] {
            let own = allowed / sharing / 2.0;
            let aim = target_fraction(&safety, sharing, own) * allowed;
            let bound = allowed + 2.0 * f64::sqrt(allowed) + 2.0;
            assert!(
                aim > 0.0 && aim < bound,
                "{sharing} nodes, {allowed}: {aim}"
            );
            assert!(aim <= 0.75 * allowed + 1e-9);
        }
    }
}
