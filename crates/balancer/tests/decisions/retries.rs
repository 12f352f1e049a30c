//! Retries by idempotency, their budget, hedged requests, final answers.

use crate::actions::{failed, play, rejected, sent_to};
use crate::common::*;
use sillward_balancer::*;

#[test]
fn times_out_a_silent_attempt_only_if_another_server_is_eligible() {
    let time_out = |world: &mut World, class: usize| {
        let (_, actions) = world.request(class);
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    let mut settings = with_load_reports();
    settings.limits.hedging = false;
    settings.limits.max_attempts = 2;
    let learned = |servers: u64, settings: &Settings| {
        let mut world = World::with_servers(settings.clone(), servers);
        play(&mut world, 100, |_| Outcome::Served);
        world
    };
    let patience = ms(200);
    // Safe work beside another server, keyed work beside one of its group (servers 0 and 3 are in one zone).
    assert!(time_out(&mut learned(2, &settings), 0).expect("sent") < patience);
    assert!(
        time_out(&mut learned(1, &settings), 0).expect("sent") > patience,
        "a list of one"
    );
    assert!(
        time_out(&mut learned(3, &settings), 2).expect("sent") > patience,
        "alone in its zone"
    );
    assert!(time_out(&mut learned(6, &settings), 2).expect("sent") < patience);
    assert!(
        time_out(&mut learned(6, &settings), 1).expect("sent") > patience,
        "may not run twice"
    );
    settings.limits.max_attempts = 1;
    assert!(
        time_out(&mut learned(6, &settings), 0).expect("sent") > patience,
        "its only attempt"
    );
    // Beside a server that is out of reach.
    settings.limits.max_attempts = 2;
    let mut world = World::with_servers(settings.clone(), 2);
    let ends = |server| {
        if server == 0 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    };
    play(&mut world, 100, ends);
    let spared = (0..20).filter_map(|_| {
        let time_out = time_out(&mut world, 0);
        for (id, attempt) in world.out() {
            let outcome = ends(world.server_of(id, attempt).0);
            world.end(id, attempt, outcome, None);
        }
        time_out
    });
    assert!(
        spared.filter(|time_out| *time_out > patience).count() >= 18,
        "an ejected server is no place to go"
    );
}

#[test]
fn hedges_or_retries_a_silent_attempt_as_far_as_idempotency_allows() {
    // The danger: an answer that never comes takes the request's whole time.
    for (class, further) in [(0, true), (1, false), (4, true)] {
        for parallel in [false, true] {
            let mut settings = with_load_reports();
            settings.limits.hedging = parallel;
            let mut world = World::with_servers(settings, 6);
            play(&mut world, 100, |_| Outcome::Served); // answers take 30 ms
            let (id, _) = world.request(class);
            world.pass(ms(200));
            let tries = world
                .log
                .iter()
                .filter(|a| matches!(a, Action::Send { id: i, .. } if *i == id))
                .count();
            assert_eq!(
                tries > 1,
                further,
                "class {class}, parallel {parallel}: {tries} attempts"
            );
        }
    }
}

#[test]
fn retries_an_idempotent_request_on_another_server() {
    let mut world = World::with_servers(with_load_reports(), 3);
    let (id, actions) = world.request(0);
    let again = world.end(id, 0, Outcome::Error, None);
    assert_eq!(sent_to(&again).len(), 1);
    assert_ne!(sent_to(&again), sent_to(&actions));
}

#[test]
fn retries_a_non_idempotent_request_only_if_it_never_ran() {
    for (outcome, again) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
    ] {
        let mut world = World::with_servers(with_load_reports(), 3);
        let (id, _) = world.request(1);
        let actions = world.end(id, 0, outcome, None);
        assert_eq!(sent_to(&actions).len(), usize::from(again), "{outcome:?}");
        assert_eq!(failed(&actions), !again, "{outcome:?}");
        assert!(!rejected(&actions), "{outcome:?}");
    }
}

#[test]
fn retries_a_keyed_request_only_in_its_scope_and_window() {
    for class in [2, 3] {
        let mut world = World::with_servers(with_load_reports(), 9);
        let (id, actions) = world.request(class);
        let first = sent_to(&actions)[0];
        let again = sent_to(&world.end(id, 0, Outcome::Reset, None));
        assert_eq!(again.iter().map(|s| s % 3).collect::<Vec<_>>(), [first % 3]);

        let (id, _) = world.request(class);
        world.pass(ms(300));
        let actions = world.end(id, 0, Outcome::Reset, None);
        assert!(
            failed(&actions) && sent_to(&actions).is_empty(),
            "the window is over: {actions:?}"
        );
    }
}

#[test]
fn rejects_a_keyed_request_of_all_servers_after_it_may_have_run() {
    let mut world = World::with_servers(with_load_reports(), 1);
    let (id, _) = world.request(4);
    assert!(rejected(&world.end(id, 0, Outcome::Error, None)));
}

#[test]
fn finishes_a_request_at_its_latency_objective() {
    let mut world = World::with_servers(with_load_reports(), 2);
    let (id, _) = world.request(1);
    world.pass(ms(401));
    assert!(world.answered(id));
    assert!(world.log.contains(&Action::Fail { id }));
}

#[test]
fn rejects_a_request_in_time_without_any_server() {
    let mut world = World::new(with_load_reports());
    let (id, _) = world.request(1);
    world.pass(ms(401));
    assert!(
        world
            .log
            .iter()
            .any(|a| matches!(a, Action::Reject { id: it, .. } if *it == id))
    );
}

#[test]
fn sends_a_held_request_once_a_server_is_listed() {
    let mut world = World::new(with_load_reports());
    let (id, _) = world.request(1);
    world.pass(ms(50));
    world.list(EndpointUpdate::Incremental, vec![entry(1)]);
    world.pass(ms(50));
    assert_eq!(world.server_of(id, 0), ServerId(1));
}

#[test]
fn ignores_late_events() {
    let mut world = World::with_servers(with_load_reports(), 2);
    let (id, _) = world.request(1);
    world.client_leaves(id);
    assert!(world.handle(Event::ClientGone { id }).is_empty());
    world.pass(ms(1));
    assert!(world.out().is_empty());
    assert!(world.handle(Event::Timer { token: id.0 }).is_empty());
    let server = ServerId(77);
    let end = HealthCheckEnd {
        server,
        outcome: Outcome::Served,
        elapsed: ms(1),
        report: None,
    };
    assert!(world.handle(Event::HealthChecked(end)).is_empty());
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
    assert!(world.handle(Event::AttemptEnded(ended)).is_empty());
    assert!(
        world
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
    let mut world = World::with_servers(with_load_reports(), 9);
    for _ in 0..500 {
        world.request(0);
        world.pass(ms(5));
        for (id, attempt) in world.out() {
            world.end(id, attempt, Outcome::Error, None);
        }
    }
    let sends = sent_to(&world.log).len();
    assert!(
        sends <= 500 + 500 * 2 / 5 + 10,
        "{sends} sends for 500 requests"
    );
}
