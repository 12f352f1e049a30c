//! Retries by idempotency, the retry budget, hedged requests, final responses.

use crate::actions::{failed, rejected, run_requests, sent_to};
use crate::common::*;
use sillward_balancer::*;

#[test]
fn times_out_an_attempt_without_a_response_only_if_another_server_is_eligible() {
    let attempt_timeout = |harness: &mut Harness, class: usize| {
        let (_, actions) = harness.request(class);
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    let mut settings = with_load_reports();
    settings.limits.hedging = false;
    settings.limits.max_attempts = 2;
    let harness_after_100_requests = |servers: u64, settings: &Settings| {
        let mut harness = Harness::with_servers(settings.clone(), servers);
        run_requests(&mut harness, 100, |_| Outcome::Served);
        harness
    };
    let early_timeout_limit = ms(200);
    // Idempotent requests may be retried on any other server, keyed ones only in their scope (0 and 3 are in one zone).
    assert!(
        attempt_timeout(&mut harness_after_100_requests(2, &settings), 0).expect("sent")
            < early_timeout_limit
    );
    assert!(
        attempt_timeout(&mut harness_after_100_requests(1, &settings), 0).expect("sent")
            > early_timeout_limit,
        "a single server"
    );
    assert!(
        attempt_timeout(&mut harness_after_100_requests(3, &settings), 2).expect("sent")
            > early_timeout_limit,
        "the only server in its zone"
    );
    assert!(
        attempt_timeout(&mut harness_after_100_requests(6, &settings), 2).expect("sent")
            < early_timeout_limit
    );
    assert!(
        attempt_timeout(&mut harness_after_100_requests(6, &settings), 1).expect("sent")
            > early_timeout_limit,
        "a non-idempotent request"
    );
    settings.limits.max_attempts = 1;
    assert!(
        attempt_timeout(&mut harness_after_100_requests(6, &settings), 0).expect("sent")
            > early_timeout_limit,
        "only one attempt is allowed"
    );
    // The other server can't be reached.
    settings.limits.max_attempts = 2;
    let mut harness = Harness::with_servers(settings.clone(), 2);
    let outcome_of = |server| {
        if server == 0 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    };
    run_requests(&mut harness, 100, outcome_of);
    let timeouts = (0..20).filter_map(|_| {
        let attempt_timeout = attempt_timeout(&mut harness, 0);
        for (id, attempt) in harness.attempts_in_flight() {
            let outcome = outcome_of(harness.server_of(id, attempt).0);
            harness.end_attempt(id, attempt, outcome, None);
        }
        attempt_timeout
    });
    assert!(
        timeouts
            .filter(|attempt_timeout| *attempt_timeout > early_timeout_limit)
            .count()
            >= 18,
        "an ejected server is not eligible for the retry"
    );
}

#[test]
fn hedges_or_retries_an_attempt_without_a_response_as_far_as_idempotency_allows() {
    // A response that never comes would use up the request's whole time.
    for (class, retried) in [(0, true), (1, false), (4, true)] {
        for hedging in [false, true] {
            let mut settings = with_load_reports();
            settings.limits.hedging = hedging;
            let mut harness = Harness::with_servers(settings, 6);
            run_requests(&mut harness, 100, |_| Outcome::Served); // responses take 30 ms
            let (id, _) = harness.request(class);
            harness.advance(ms(200));
            let attempts = harness
                .log
                .iter()
                .filter(|a| matches!(a, Action::Send { id: i, .. } if *i == id))
                .count();
            assert_eq!(
                attempts > 1,
                retried,
                "class {class}, hedging {hedging}: {attempts} attempts"
            );
        }
    }
}

#[test]
fn retries_an_idempotent_request_on_another_server() {
    let mut harness = Harness::with_servers(with_load_reports(), 3);
    let (id, actions) = harness.request(0);
    let retry = harness.end_attempt(id, 0, Outcome::Error, None);
    assert_eq!(sent_to(&retry).len(), 1);
    assert_ne!(sent_to(&retry), sent_to(&actions));
}

#[test]
fn retries_a_non_idempotent_request_only_if_it_never_ran() {
    for (outcome, retried) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
    ] {
        let mut harness = Harness::with_servers(with_load_reports(), 3);
        let (id, _) = harness.request(1);
        let actions = harness.end_attempt(id, 0, outcome, None);
        assert_eq!(sent_to(&actions).len(), usize::from(retried), "{outcome:?}");
        assert_eq!(failed(&actions), !retried, "{outcome:?}");
        assert!(!rejected(&actions), "{outcome:?}");
    }
}

#[test]
fn retries_a_keyed_request_only_in_its_scope_and_window() {
    for class in [2, 3] {
        let mut harness = Harness::with_servers(with_load_reports(), 9);
        let (id, actions) = harness.request(class);
        let first = sent_to(&actions)[0];
        let retry = sent_to(&harness.end_attempt(id, 0, Outcome::Reset, None));
        assert_eq!(retry.iter().map(|s| s % 3).collect::<Vec<_>>(), [first % 3]);

        let (id, _) = harness.request(class);
        harness.advance(ms(300));
        let actions = harness.end_attempt(id, 0, Outcome::Reset, None);
        assert!(
            failed(&actions) && sent_to(&actions).is_empty(),
            "the window has passed: {actions:?}"
        );
    }
}

#[test]
fn rejects_a_request_keyed_across_all_servers_after_it_may_have_run() {
    let mut harness = Harness::with_servers(with_load_reports(), 1);
    let (id, _) = harness.request(4);
    assert!(rejected(&harness.end_attempt(id, 0, Outcome::Error, None)));
}

#[test]
fn finishes_a_request_at_its_latency_objective() {
    let mut harness = Harness::with_servers(with_load_reports(), 2);
    let (id, _) = harness.request(1);
    harness.advance(ms(401));
    assert!(harness.is_finished(id));
    assert!(harness.log.contains(&Action::Fail { id }));
}

#[test]
fn rejects_a_request_in_time_without_any_server() {
    let mut harness = Harness::new(with_load_reports());
    let (id, _) = harness.request(1);
    harness.advance(ms(401));
    assert!(
        harness
            .log
            .iter()
            .any(|a| matches!(a, Action::Reject { id: it, .. } if *it == id))
    );
}

#[test]
fn sends_a_held_request_once_a_server_is_listed() {
    let mut harness = Harness::new(with_load_reports());
    let (id, _) = harness.request(1);
    harness.advance(ms(50));
    harness.update_endpoints(EndpointUpdate::Incremental, vec![endpoint(1)]);
    harness.advance(ms(50));
    assert_eq!(harness.server_of(id, 0), ServerId(1));
}

#[test]
fn ignores_late_events() {
    let mut harness = Harness::with_servers(with_load_reports(), 2);
    let (id, _) = harness.request(1);
    harness.disconnect_client(id);
    assert!(harness.handle(Event::ClientGone { id }).is_empty());
    harness.advance(ms(1));
    assert!(harness.attempts_in_flight().is_empty());
    assert!(harness.handle(Event::Timer { token: id.0 }).is_empty());
    let server = ServerId(77);
    let end = HealthCheckEnd {
        server,
        outcome: Outcome::Served,
        elapsed: ms(1),
        report: None,
    };
    assert!(harness.handle(Event::HealthChecked(end)).is_empty());
    let ended = AttemptEnd {
        id,
        attempt: 0,
        server,
        outcome: Outcome::Served,
        elapsed: ms(1),
        has_final_response: true,
        body_consumed: false,
        report: None,
    };
    assert!(harness.handle(Event::AttemptEnded(ended)).is_empty());
    assert!(
        harness
            .handle(Event::ResponseStarted {
                id,
                attempt: 0,
                server,
                report: None
            })
            .is_empty()
    );
}

#[test]
fn keeps_retries_within_their_budget() {
    let mut harness = Harness::with_servers(with_load_reports(), 9);
    for _ in 0..500 {
        harness.request(0);
        harness.advance(ms(5));
        for (id, attempt) in harness.attempts_in_flight() {
            harness.end_attempt(id, attempt, Outcome::Error, None);
        }
    }
    let sends = sent_to(&harness.log).len();
    assert!(
        sends <= 500 + 500 * 2 / 5 + 10,
        "{sends} sends for 500 requests"
    );
}
