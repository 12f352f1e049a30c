//! Admission: concurrency, priority, quotas, deadlines.

use crate::actions::{rejected, sent_to, serve};
use crate::common::*;
use sillward_balancer::*;

#[test]
fn reduces_admission_when_idle_looking_servers_are_late_and_recovers() {
    // Hundreds of nodes can overload the servers with one request each, while no node sees high concurrency.
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    let sent = |harness: &mut Harness, response_ms: u64| {
        let mut sent = 0;
        for _ in 0..200 {
            let (id, actions) = harness.request(1);
            if !sent_to(&actions).is_empty() {
                sent += 1;
                harness.advance(ms(response_ms));
                harness.end_attempt(id, 0, Outcome::Served, Some(3.0));
            }
        }
        sent
    };
    assert_eq!(sent(&mut harness, 50), 200);
    let slow = sent(&mut harness, 390);
    assert!((15..100).contains(&slow), "{slow}");
    sent(&mut harness, 50);
    assert_eq!(sent(&mut harness, 50), 200);
}

#[test]
fn rejects_a_request_whose_expected_work_exceeds_its_deadline() {
    // In a busy fleet, expensive requests that can't finish in time would use the work of many cheap ones.
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    for _ in 0..60 {
        serve(&mut harness, 3.0); // no server is idle
    }
    assert!(
        rejected(&harness.request_with(1, 0, ms(1000), Some(ms(420))).1),
        "420 ms of work, 400 ms to the latency objective"
    );
    assert_eq!(
        sent_to(&harness.request_with(1, 0, ms(1000), Some(ms(200))).1).len(),
        1
    );
    for _ in 0..200 {
        serve(&mut harness, 0.0);
    }
    assert_eq!(
        sent_to(&harness.request_with(1, 0, ms(1000), Some(ms(420))).1).len(),
        1,
        "most servers are idle, so it is admitted"
    );
}

#[test]
fn rejects_a_tenant_over_its_quota_first() {
    let mut settings = with_load_reports();
    settings.tenants = vec![
        Tenant {
            quota_per_s: 30.0,
            share: 0.5
        };
        2
    ];
    settings.over_quota_weight = 0.1;
    let mut harness = Harness::with_servers(settings, 2);
    // Tenant 0 exceeds its quota, tenant 1 stays within it; the servers are overloaded and finish few requests in time.
    let mut rejections = [0, 0];
    for step in 0..2000 {
        let tenant = usize::from(step % 23 == 0);
        let (_, actions) = harness.request_with(1, tenant, ms(1000), None);
        rejections[tenant] += usize::from(rejected(&actions));
        harness.advance(ms(5));
        let in_flight = harness.attempts_in_flight();
        if step % 10 == 0 && !in_flight.is_empty() {
            harness.end_attempt(in_flight[0].0, in_flight[0].1, Outcome::Served, None);
        }
    }
    let [over_quota, within_quota] = [rejections[0] as f64 / 1913.0, rejections[1] as f64 / 87.0];
    assert!(
        over_quota > 0.3 && within_quota < over_quota,
        "rejected: {over_quota} of the tenant over its quota, {within_quota} of the other"
    );
}

#[test]
fn limits_attempts_per_server_when_started_during_an_overload() {
    // One node could send a server dozens of requests before the first of them times out.
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    for _ in 0..300 {
        harness.request(1);
        harness.advance(ms(1));
    }
    assert!(
        harness.attempts_in_flight().len() <= 4 * 2,
        "{} in flight at four unresponsive servers",
        harness.attempts_in_flight().len()
    );
}

#[test]
fn rejects_nothing_at_a_few_fast_servers_while_higher_concurrency_is_unexplored() {
    // A node explores one concurrency level after the other, and must not reject the requests beyond the level meanwhile.
    for servers in [1, 2] {
        let mut harness = Harness::with_servers(with_load_reports(), servers);
        let mut rejections = 0;
        for _ in 0..400 {
            for _ in harness.unfinished_requests().len()..12 {
                rejections += usize::from(rejected(&harness.request(1).1));
            }
            harness.advance(ms(5));
            let due: Vec<_> = harness
                .attempts_in_flight()
                .into_iter()
                .filter(|(id, _)| harness.time_since_first_send(*id) >= ms(10))
                .collect();
            due.into_iter().for_each(|(id, attempt)| {
                drop(harness.end_attempt(id, attempt, Outcome::Served, None))
            });
        }
        let reject_actions = harness
            .log
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. }))
            .count();
        assert_eq!((rejections, reject_actions), (0, 0), "{servers} servers");
        assert!(
            harness
                .log
                .iter()
                .filter(|action| matches!(action, Action::Send { .. }))
                .count()
                > 1500
        );
    }
}

#[test]
fn bounds_requests_held_for_unexplored_concurrency_and_rejects_them_once_a_server_is_late() {
    let mut harness = Harness::with_servers(with_load_reports(), 1);
    let requests: Vec<_> = (0..100).map(|_| harness.request(1)).collect();
    let at_once = requests
        .iter()
        .filter(|(_, actions)| rejected(actions))
        .count();
    assert_eq!(
        (harness.attempts_in_flight().len(), at_once),
        (2, 100 - 2 - 64),
        "two are in flight, 64 are held"
    );
    // Responses after 390 of 400 ms leave no time for a higher concurrency, so the held requests are rejected at once.
    harness.advance(ms(390));
    for (id, attempt) in harness.attempts_in_flight() {
        harness.end_attempt(id, attempt, Outcome::Served, None);
    }
    harness.advance(ms(50));
    assert!(
        harness.unfinished_requests().is_empty(),
        "{} are still held",
        harness.unfinished_requests().len()
    );
}

#[test]
fn closes_a_concurrency_level_after_slow_responses() {
    // Servers could become overloaded while nearly all responses are still in time.
    let most_in_flight = |response_ms: u64| {
        let mut harness = Harness::with_servers(with_load_reports(), 4);
        let mut in_flight = 0;
        for _ in 0..2000 {
            harness.request(1);
            harness.advance(ms(2));
            in_flight = in_flight.max(harness.attempts_in_flight().len());
            let due: Vec<_> = harness
                .attempts_in_flight()
                .into_iter()
                .filter(|(id, _)| harness.time_since_first_send(*id) >= ms(response_ms))
                .collect();
            due.into_iter().for_each(|(id, attempt)| {
                drop(harness.end_attempt(id, attempt, Outcome::Served, Some(3.0)))
            });
        }
        in_flight
    };
    let (fast, slow) = (most_in_flight(100), most_in_flight(390));
    assert!(
        fast >= 4 * 4,
        "{fast} in flight at four servers: responses well before the latency objective open concurrency levels"
    );
    assert!(
        slow <= 4 * 2,
        "{slow} in flight at four servers: responses just before the latency objective keep concurrency levels closed"
    );
}

#[test]
fn rejects_a_client_retry_past_its_latency_objective_without_an_attempt() {
    // Clients that gave up retry, and work on responses that come too late for them would prolong an overload.
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    let client_retry_with = |harness: &mut Harness, remaining_ms: u64| {
        let mut new = NewRequest {
            id: RequestId(1_000_000 + remaining_ms),
            class: 0,
            remaining: ms(remaining_ms),
            ..Default::default()
        };
        new.client_retry = true;
        harness.handle_request(new)
    };
    harness.request_with(0, 0, ms(450), None); // a first request with 450 of the 1000 ms left
    assert!(
        rejected(&client_retry_with(&mut harness, 550)),
        "450 ms have passed, the latency objective is 400 ms"
    );
    assert_eq!(
        sent_to(&client_retry_with(&mut harness, 650)).len(),
        1,
        "350 ms have passed"
    );
    assert_eq!(
        sent_to(&client_retry_with(&mut harness, 449)).len(),
        1,
        "the same time as the first request, which may have been rejected at once"
    );
}

#[test]
fn admits_higher_priority_first_in_an_overload() {
    // Rejecting the same share of every class would lose most of the total priority weight.
    let mut settings = with_load_reports();
    settings.classes[1].priority_weight = 10.0;
    let mut harness = Harness::with_servers(settings, 4);
    let mut sent = [0, 0];
    for step in 0..600 {
        let class = step % 2;
        let (id, actions) = harness.request(class);
        if !sent_to(&actions).is_empty() {
            sent[class] += 1;
            harness.advance(ms(390)); // just before the latency objective
            harness.end_attempt(id, 0, Outcome::Served, Some(3.0));
        }
    }
    assert!(sent[1] > 2 * sent[0] && sent[0] > 0, "{sent:?}");
}

#[test]
fn sends_no_request_to_a_busy_server_that_an_idle_one_did_not_admit() {
    // In an overload, idle servers could be closed by chance while busy ones, known to serve, stay open.
    let mut settings = with_load_reports();
    settings.limits.max_attempts = 1;
    let mut harness = Harness::with_servers(settings, 2);
    for _ in 0..40 {
        let ids = [
            harness.request(1).0,
            harness.request(1).0,
            harness.request(1).0,
        ];
        harness.advance(ms(20));
        for id in ids
            .into_iter()
            .filter(|id| harness.attempts_in_flight().contains(&(*id, 0)))
            .collect::<Vec<_>>()
        {
            harness.end_attempt(id, 0, Outcome::Served, None);
        }
    }
    let (blocker, actions) = harness.request(1); // one server has an attempt in flight, the other is idle
    let busy = sent_to(&actions)[0];
    for _ in 0..60 {
        let (id, actions) = harness.request(1);
        if sent_to(&actions).is_empty() {
            continue;
        }
        assert_ne!(
            sent_to(&actions),
            [busy],
            "a request that the idle server does not admit goes to no server"
        );
        harness.advance(ms(1));
        harness.end_attempt(id, 0, Outcome::Rejected, None);
    }
    assert!(!harness.is_finished(blocker));
}
