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
fn capacity_grows_linearly_from_the_initial_fraction() {
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
fn permits_accrue_at_even_intervals_and_do_not_accumulate() {
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
        "at most one permit after a long pause"
    );
}

#[test]
fn all_nodes_together_stay_below_the_limit_of_the_overload_rule() {
    let safety = settings().safety;
    for sharing_nodes in [1.0, 3.0, 30.0, 300.0] {
        for allowed in [1.0, 10.0, 100.0, 1000.0] {
            let own = allowed / sharing_nodes / 2.0;
            let target = target_fraction(&safety, sharing_nodes, own) * allowed;
            let limit = allowed + 2.0 * f64::sqrt(allowed) + 2.0;
            assert!(
                target > 0.0 && target < limit,
                "{sharing_nodes} nodes, {allowed}: {target}"
            );
            assert!(target <= 0.75 * allowed + 1e-9);
        }
    }
}
