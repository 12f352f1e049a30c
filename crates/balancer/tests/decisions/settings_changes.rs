//! Settings that change at run time, and extreme settings.

use crate::actions::{
    failed, harness_with_servers_in_one_zone, rejected, run_requests, sent_to, serve,
};
use crate::common::*;
use sillward_balancer::*;

fn change_settings(harness: &mut Harness, change: impl FnOnce(&mut Settings)) {
    let mut settings = harness.settings.clone();
    change(&mut settings);
    harness.settings = settings.clone();
    harness.handle(Event::Settings(Box::new(settings)));
}

#[test]
fn keeps_the_idempotency_of_unfinished_requests() {
    // Relaxed: a request that was non-idempotent when it arrived stays so.
    let mut harness = harness_with_servers_in_one_zone(with_load_reports());
    let (id, _) = harness.request(1);
    change_settings(&mut harness, |settings| {
        settings.classes[1].idempotency = Idempotency::Idempotent
    });
    let actions = harness.end_attempt(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && failed(&actions),
        "{actions:?}"
    );
    // Tightened: a request that was idempotent when it arrived may still be retried.
    let mut harness = harness_with_servers_in_one_zone(with_load_reports());
    let (id, _) = harness.request(0);
    change_settings(&mut harness, |settings| {
        settings.classes[0].idempotency = Idempotency::NonIdempotent
    });
    let actions = harness.end_attempt(id, 0, Outcome::Reset, None);
    assert_eq!(sent_to(&actions).len(), 1, "{actions:?}");
    let (id, _) = harness.request(0);
    let actions = harness.end_attempt(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && failed(&actions),
        "a new request follows the new settings: {actions:?}"
    );
}

/// Changes the settings between the head of a request of class 0 and the end of its body, ends its first attempt, and
/// returns the number of retries.
fn retries_if_changed_after_the_head(
    before: Settings,
    change: impl FnOnce(&mut Settings),
) -> usize {
    let mut harness = harness_with_servers_in_one_zone(before);
    let policy = harness.balancer.request_policy(0);
    change_settings(&mut harness, change);
    let id = RequestId(1);
    harness.handle_request(NewRequest {
        id,
        remaining: ms(1000),
        policy: Some(policy),
        ..NewRequest::default()
    });
    let actions = harness.end_attempt(id, 0, Outcome::Reset, None);
    sent_to(&actions).len()
}

/// Guards against decisions under settings that came after the head: an unsafe request was retried as a keyed one.
#[test]
fn decides_by_the_settings_of_the_head_whatever_came_before_the_request_was_whole() {
    let keyed = Idempotency::Keyed {
        scope: Scope::All,
        window: ms(900),
    };
    let retries = |before: Idempotency, after: Idempotency| {
        let mut settings = with_load_reports();
        settings.classes[0].idempotency = before;
        retries_if_changed_after_the_head(settings, |settings| {
            settings.classes[0].idempotency = after;
        })
    };
    assert_eq!(retries(Idempotency::NonIdempotent, keyed), 0);
    assert_eq!(
        retries(Idempotency::NonIdempotent, Idempotency::Idempotent),
        0
    );
    assert_eq!(retries(keyed, Idempotency::NonIdempotent), 1);
    assert_eq!(
        retries(Idempotency::Idempotent, Idempotency::NonIdempotent),
        1
    );
}

/// Guards against a stricter agreed setting that reaches open requests but not those whose body is still coming.
#[test]
fn stricter_agreed_idempotency_also_holds_for_a_request_whose_head_came_before() {
    let retries_after_change_to = |idempotency: Idempotency| {
        retries_if_changed_after_the_head(with_load_reports(), |settings| {
            settings.tighten_open_requests = true;
            settings.classes[0].idempotency = idempotency;
        })
    };
    assert_eq!(retries_after_change_to(Idempotency::Idempotent), 1);
    assert_eq!(retries_after_change_to(Idempotency::NonIdempotent), 0);
}

/// Guards against an attempt limit that grows while the body is still coming.
#[test]
fn allows_no_more_attempts_than_the_settings_of_the_head_and_no_more_than_those_in_force() {
    let retries = |before: u32, after: u32| {
        let mut settings = with_load_reports();
        settings.limits.max_attempts = before;
        retries_if_changed_after_the_head(settings, |settings| settings.limits.max_attempts = after)
    };
    assert_eq!((retries(1, 3), retries(3, 1), retries(3, 3)), (0, 0, 1));
}

/// Guards against a deadline under an objective that came after the head.
#[test]
fn keeps_the_latency_objective_of_the_head() {
    let deadline = |before: u64, after: u64| {
        let mut settings = with_load_reports();
        settings.classes[0].late_weight = 0.0;
        settings.classes[0].latency_objective = ms(before);
        let mut harness = harness_with_servers_in_one_zone(settings);
        let policy = harness.balancer.request_policy(0);
        change_settings(&mut harness, |settings| {
            settings.classes[0].latency_objective = ms(after);
        });
        let actions = harness.handle_request(NewRequest {
            id: RequestId(1),
            remaining: ms(1000),
            policy: Some(policy),
            ..NewRequest::default()
        });
        actions.iter().find_map(|action| match action {
            Action::SetTimer { after, token: 1 } => Some(*after),
            _ => None,
        })
    };
    assert_eq!(deadline(300, 700), deadline(300, 300));
    assert_eq!(deadline(700, 300), deadline(700, 700));
    assert_ne!(deadline(300, 300), deadline(700, 700));
}

#[test]
fn applies_stricter_idempotency_to_unfinished_requests_where_settings_come_by_consensus() {
    let retries_after_change_to = |idempotency: Idempotency| {
        let mut harness = harness_with_servers_in_one_zone(with_load_reports());
        let (id, _) = harness.request(0);
        change_settings(&mut harness, |settings| {
            settings.tighten_open_requests = true;
            settings.classes[0].idempotency = idempotency;
        });
        let actions = harness.end_attempt(id, 0, Outcome::Reset, None);
        sent_to(&actions).len()
    };
    assert_eq!(retries_after_change_to(Idempotency::Idempotent), 1);
    assert_eq!(
        retries_after_change_to(Idempotency::NonIdempotent),
        0,
        "it may have run"
    );
    // No server was told to discard duplicates of this request.
    assert_eq!(
        retries_after_change_to(Idempotency::Keyed {
            scope: Scope::All,
            window: ms(900)
        }),
        0
    );
}

#[test]
fn applies_a_lower_attempt_limit_to_unfinished_requests_but_not_a_higher_one() {
    let mut harness = harness_with_servers_in_one_zone(with_load_reports());
    let (id, _) = harness.request(0);
    change_settings(&mut harness, |settings| settings.limits.max_attempts = 1);
    let actions = harness.end_attempt(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && rejected(&actions),
        "{actions:?}"
    );
    let (id, _) = harness.request(0);
    change_settings(&mut harness, |settings| settings.limits.max_attempts = 3);
    let actions = harness.end_attempt(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && rejected(&actions),
        "it arrived when one attempt was allowed: {actions:?}"
    );
    let (id, _) = harness.request(0);
    assert_eq!(
        sent_to(&harness.end_attempt(id, 0, Outcome::Reset, None)).len(),
        1,
        "a new request may have three attempts"
    );
}

#[test]
fn serves_new_classes_and_tenants_and_keeps_ejected_servers() {
    let mut harness = harness_with_servers_in_one_zone(with_load_reports());
    for _ in 0..8 {
        harness.advance(ms(50));
        serve(&mut harness, 0.0);
    }
    run_requests(&mut harness, 40, |server| {
        if server == 0 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    });
    let before = harness.balancer.endpoint_counts().ejected;
    change_settings(&mut harness, |settings| {
        settings.classes.push(class(Idempotency::Idempotent));
        settings.tenants.push(Tenant {
            quota_per_s: 10.0,
            share: 1.0,
        });
    });
    assert_eq!(
        (before, harness.balancer.endpoint_counts().ejected),
        (1, 1),
        "the ejected server stays ejected"
    );
    let (_, actions) = harness.request(5);
    assert_eq!(sent_to(&actions).len(), 1, "{actions:?}");
}

#[test]
fn serves_under_extreme_settings() {
    let one_node = Settings {
        nodes: 1,
        ..with_health_checks()
    };
    let free_health_checks = Settings {
        penalties: Penalties::default(),
        ..with_health_checks()
    };
    let mut without_health_checks = with_health_checks();
    without_health_checks.limits.health_checks = false;
    let without_reports = settings();
    let mut without_slow_start = with_load_reports();
    without_slow_start.safety = SafetyRules {
        slow_start_capacity: 1.0,
        slow_start_window: ms(0),
        ..without_slow_start.safety
    };
    for settings in [
        one_node,
        free_health_checks,
        without_health_checks,
        without_reports,
        without_slow_start,
    ] {
        let mut harness = Harness::new(settings);
        let started = Some(harness.now);
        harness.update_endpoints(
            EndpointUpdate::Full,
            (0..4)
                .map(|n| Endpoint {
                    started_at: started,
                    ..endpoint(n)
                })
                .collect(),
        );
        let mut served = 0;
        for _ in 0..100 {
            harness.request(1);
            harness.advance(ms(15));
            harness.respond_to_health_checks(&[0, 1, 2, 3]);
            harness.advance(ms(15));
            for (id, attempt) in harness.attempts_in_flight() {
                harness.end_attempt(id, attempt, Outcome::Served, None);
                served += 1;
            }
        }
        assert!(
            served >= 90,
            "{served} of 100 served with {:?}",
            harness.settings
        );
    }
}
