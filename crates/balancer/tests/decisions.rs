//! Small tests of single decisions: the pick, each class of repeats, health, cold starts, the list.
//! `World` checks the four rules on the side.

mod world;

use sillward_balancer::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use world::*;

fn sent_to(actions: &[Action]) -> Vec<u64> {
    let send = |action: &Action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn probed(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::HealthCheck { .. }))
        .count()
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Sends a request and has it served at once, with a report of that many requests in flight.
fn serve(world: &mut World, load: f32) -> u64 {
    let (id, actions) = world.request(0);
    let to = sent_to(&actions);
    assert_eq!(
        to.len(),
        1,
        "a free fleet takes a request at once: {actions:?}"
    );
    world.pass(ms(20));
    world.end(id, 0, Outcome::Served, Some(load));
    to[0]
}

// ---- The pick ---------------------------------------------------------------------------------

#[test]
fn every_server_gets_one_before_any_gets_two() {
    for seed in 0..20 {
        let mut world = World::seeded(answering(), seed);
        world.list(EndpointUpdate::Full, (0..5).map(entry).collect());
        let mut met: Vec<u64> = (0..5).flat_map(|_| sent_to(&world.request(0).1)).collect();
        met.sort();
        assert_eq!(met, [0, 1, 2, 3, 4]);
    }
}

#[test]
fn ties_are_broken_at_random() {
    let first: BTreeMap<u64, u32> = (0..200).fold(BTreeMap::new(), |mut seen, seed| {
        let mut world = World::seeded(answering(), seed);
        world.list(EndpointUpdate::Full, (0..4).map(entry).collect());
        *seen.entry(sent_to(&world.request(0).1)[0]).or_default() += 1;
        seen
    });
    assert!(
        first.len() == 4 && first.values().all(|n| (25..=80).contains(n)),
        "{first:?}"
    );
}

#[test]
fn an_idle_sign_brings_a_server_back_and_a_busy_report_does_not() {
    let mut world = World::with_servers(answering(), 6);
    for _ in 0..300 {
        serve(&mut world, 1.0);
    }
    // All are at the cap now, so the pick is random; the one that shows idle is below it alone.
    let (id, actions) = world.request(0);
    world.end(id, 0, Outcome::Served, Some(0.0));
    for _ in 0..3 {
        assert_eq!(vec![serve(&mut world, 1.0)], sent_to(&actions));
    }
}

#[test]
fn failures_leave_the_estimate_as_it_is() {
    let failures = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
    ];
    // Also with a report of nothing in flight: a server that returns quick errors looks idle.
    let cases = failures
        .iter()
        .flat_map(|outcome| [(*outcome, None), (*outcome, Some(0.0))]);
    for ((outcome, report), seed) in cases.flat_map(|case| (0..20).map(move |seed| (case, seed))) {
        let mut world = World::seeded(answering(), seed);
        world.list(EndpointUpdate::Full, (0..2).map(entry).collect());
        let (id, actions) = world.request(1);
        let first = sent_to(&actions);
        world.end(id, 0, outcome, report);
        if world.open().is_empty() {
            // The other server has the lower estimate now.
            assert_ne!(
                sent_to(&world.request(1).1),
                first,
                "{outcome:?} {report:?}"
            );
        } else {
            assert!(
                world
                    .out()
                    .iter()
                    .all(|(id, i)| world.server_of(*id, *i).0 != first[0]),
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn at_the_cap_everywhere_the_pick_is_random_among_those_not_crowded() {
    let mut met = BTreeMap::new();
    let mut world = World::with_servers(answering(), 4);
    for _ in 0..200 {
        *met.entry(serve(&mut world, 3.0)).or_insert(0) += 1;
    }
    assert!(
        met.len() == 4 && met.values().all(|n| (25..=80).contains(n)),
        "{met:?}"
    );
}

#[test]
fn a_late_idle_report_does_not_forget_own_attempts_that_are_out() {
    let mut world = World::with_servers(answering(), 2);
    let (held, actions) = world.request(0);
    let busy = sent_to(&actions)[0];
    let (other, _) = world.request(0);
    world.end(other, 0, Outcome::Served, Some(1.0));
    // An answer from the busy server's past says idle while `held` is still out there.
    for _ in 0..50 {
        let (id, actions) = world.request(0);
        let to = sent_to(&actions)[0];
        world.end(id, 0, Outcome::Served, Some(0.0));
        assert!(to != busy || !world.answered(held));
    }
    assert_eq!(world.out().len(), 1);
    assert_ne!(
        sent_to(&world.request(0).1),
        [busy],
        "the idle server is the lower one"
    );
}

// ---- Probes -----------------------------------------------------------------------------------

#[test]
fn a_request_waits_for_its_probes_and_goes_to_the_idle_server() {
    let mut world = World::with_servers(probing(), 4);
    let (id, actions) = world.request(0);
    assert!(
        probed(&actions) > 0 && sent_to(&actions).is_empty(),
        "{actions:?}"
    );
    world.pass(ms(1));
    world.answer_probes(&[2]);
    assert_eq!(world.server_of(id, 0), ServerId(2));
}

#[test]
fn a_probe_that_is_not_answered_holds_a_request_only_for_a_moment() {
    let mut world = World::with_servers(probing(), 4);
    let (id, _) = world.request(0);
    world.pass(ms(40));
    assert_eq!(world.out(), [(id, 0)]);
}

#[test]
fn own_traffic_pays_for_probes() {
    let mut settings = probing();
    settings.penalties.health_check = 0.05; // a hundredth of the service buys one probe in five requests
    let mut world = World::with_servers(settings, 8);
    let probes: usize = (0..100)
        .map(|_| {
            let before = world.log.len();
            world.request(0);
            world.pass(ms(1));
            world.answer_probes(&[0, 1, 2, 3, 4, 5, 6, 7]);
            world.pass(ms(30));
            for (id, attempt) in world.out() {
                world.end(id, attempt, Outcome::Served, None);
            }
            probed(&world.log[before..])
        })
        .sum();
    assert!(
        (10..=21).contains(&probes),
        "{probes} probes for 100 requests"
    );
}

#[test]
fn servers_known_to_be_full_are_not_traded_for_unknown_ones() {
    // Those known to be full were set aside and the blind sends hit full ones.
    let mut world = World::with_servers(probing(), 3);
    for _ in 0..60 {
        world.request(0);
        for _ in 0..4 {
            world.pass(ms(1));
            while world.end_probe(Some(9.0)).is_some() {}
        }
        for (id, attempt) in world.out() {
            world.end(id, attempt, Outcome::Rejected, None);
        }
    }
    let (_, actions) = world.request(0);
    world.pass(ms(1));
    let before = world.log.len();
    while world.end_probe(Some(9.0)).is_some() {}
    let after = &world.log[before..];
    assert!(refused(&actions) || refused(after), "{actions:?} {after:?}");
}

// ---- What follows an outcome ------------------------------------------------------------------

#[test]
fn a_safe_request_is_sent_again_elsewhere() {
    let mut world = World::with_servers(answering(), 3);
    let (id, actions) = world.request(0);
    let again = world.end(id, 0, Outcome::Error, None);
    assert_eq!(sent_to(&again).len(), 1);
    assert_ne!(sent_to(&again), sent_to(&actions));
}

#[test]
fn an_unsafe_request_is_sent_again_only_if_it_never_ran() {
    for (outcome, again) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
    ] {
        let mut world = World::with_servers(answering(), 3);
        let (id, _) = world.request(1);
        let actions = world.end(id, 0, outcome, None);
        assert_eq!(sent_to(&actions).len(), usize::from(again), "{outcome:?}");
        assert_eq!(failed(&actions), !again, "{outcome:?}");
        assert!(!refused(&actions), "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_window() {
    for class in [2, 3] {
        let mut world = World::with_servers(answering(), 9);
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
fn a_keyed_request_of_all_servers_may_be_refused_after_it_ran() {
    let mut world = World::with_servers(answering(), 1);
    let (id, _) = world.request(4);
    assert!(refused(&world.end(id, 0, Outcome::Error, None)));
}

#[test]
fn what_cannot_be_in_time_is_given_up_at_its_aim() {
    let mut world = World::with_servers(answering(), 2);
    let (id, _) = world.request(1);
    world.pass(ms(401));
    assert!(world.answered(id));
    assert!(world.log.contains(&Action::Fail { id }));
}

#[test]
fn a_request_with_nobody_to_send_to_is_refused_in_time() {
    let mut world = World::new(answering());
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
fn a_request_held_for_want_of_servers_goes_out_when_one_is_listed() {
    let mut world = World::new(answering());
    let (id, _) = world.request(1);
    world.pass(ms(50));
    world.list(EndpointUpdate::Incremental, vec![entry(1)]);
    world.pass(ms(50));
    assert_eq!(world.server_of(id, 0), ServerId(1));
}

#[test]
fn late_events_have_no_effect() {
    let mut world = World::with_servers(answering(), 2);
    let (id, _) = world.request(1);
    world.client_leaves(id);
    assert!(world.tell(Event::ClientGone { id }).is_empty());
    world.pass(ms(1));
    assert!(world.out().is_empty());
    assert!(world.tell(Event::Timer { token: id.0 }).is_empty());
    let server = ServerId(77);
    let end = HealthCheckEnd {
        server,
        outcome: Outcome::Served,
        elapsed: ms(1),
        report: None,
    };
    assert!(world.tell(Event::HealthChecked(end)).is_empty());
    let ended = AttemptEnd {
        id,
        attempt: 0,
        server,
        outcome: Outcome::Served,
        elapsed: ms(1),
        answered: true,
        body_consumed: false,
        report: None,
    };
    assert!(world.tell(Event::AttemptEnded(ended)).is_empty());
    assert!(
        world
            .tell(Event::ResponseStarted {
                id,
                attempt: 0,
                server,
                report: None
            })
            .is_empty()
    );
}

#[test]
fn further_attempts_stay_within_their_budget() {
    let mut world = World::with_servers(answering(), 9);
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

// ---- Health -----------------------------------------------------------------------------------

/// Plays requests of 30 ms for a while; `ends` says how an attempt at a server ends.
fn play(world: &mut World, count: usize, ends: impl Fn(u64) -> Outcome) -> BTreeMap<u64, usize> {
    let mut met = BTreeMap::new();
    for _ in 0..count {
        world.request(1);
        world.pass(ms(30));
        for (id, attempt) in world.out() {
            let server = world.server_of(id, attempt).0;
            *met.entry(server).or_insert(0) += 1;
            world.end(id, attempt, ends(server), Some(0.0));
        }
    }
    met
}

#[test]
fn a_server_that_answers_fast_with_errors_wins_nothing() {
    let mut world = World::with_servers(answering(), 4);
    let met = play(&mut world, 400, |server| {
        if server == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        }
    });
    assert!(met[&0] < 20, "{met:?}");
}

#[test]
fn an_ejected_server_comes_back_by_trial() {
    let mut world = World::with_servers(answering(), 4);
    play(&mut world, 100, |server| {
        if server == 0 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    });
    world.pass(ms(20_000));
    let met = play(&mut world, 200, |_| Outcome::Served);
    assert!(met.get(&0).is_some_and(|times| *times > 10), "{met:?}");
}

#[test]
fn failures_of_all_servers_do_not_eject_the_fleet() {
    let mut world = World::with_servers(answering(), 6);
    play(&mut world, 200, |_| Outcome::Error);
    // Errors reset no estimate, so whoever serves first is the lowest: only requests at once meet more.
    for _ in 0..10 {
        (0..6).for_each(|_| drop(world.request(1)));
        world.pass(ms(30));
        for (id, attempt) in world.out() {
            world.end(id, attempt, Outcome::Served, Some(0.0));
        }
    }
    (0..6).for_each(|_| drop(world.request(1)));
    let met: BTreeSet<_> = world
        .out()
        .iter()
        .map(|(id, attempt)| world.server_of(*id, *attempt).0)
        .collect();
    assert!(met.len() >= 3, "{met:?}");
}

#[test]
fn a_server_that_accepts_and_never_answers_is_left_alone() {
    let mut world = World::with_servers(answering(), 4);
    let mut met = BTreeMap::new();
    for _ in 0..200 {
        world.request(1);
        world.pass(ms(30));
        for (id, attempt) in world.out() {
            let server = world.server_of(id, attempt).0;
            if server != 0 {
                *met.entry(server).or_insert(0) += 1;
                world.end(id, attempt, Outcome::Served, Some(0.0));
            }
        }
    }
    let silent = sent_to(&world.log).iter().filter(|s| **s == 0).count();
    assert!(
        silent < 20,
        "{silent} of 200 sends to the silent server, {met:?}"
    );
}

// ---- Drains, cold starts, the list --------------------------------------------------------------

#[test]
fn a_full_list_takes_away_what_it_omits_and_servers_may_return() {
    let mut world = World::with_servers(answering(), 3);
    world.list(EndpointUpdate::Full, vec![entry(1)]);
    assert!((0..10).all(|_| sent_to(&world.request(0).1).iter().all(|s| *s == 1)));
    world.list(
        EndpointUpdate::Incremental,
        vec![
            entry(2),
            Endpoint {
                state: ServerState::Draining,
                ..entry(1)
            },
        ],
    );
    assert_eq!(sent_to(&world.request(0).1), [2]);
}

#[test]
fn a_cold_server_gets_no_more_than_its_part() {
    // Ten warm servers carry 100 requests a second of three nodes, so a warm one has at least 10 a second.
    let mut settings = answering();
    settings.safety = SafetyRules {
        slow_start_capacity: 0.2,
        slow_start_window: ms(10_000),
        overload_factor: 4.0,
        overload_window: ms(1500),
        ..settings.safety
    };
    let mut world = World::with_servers(settings, 10);
    let mut cold = Vec::new();
    for step in 0..1500u64 {
        if step == 700 {
            let started = Some(world.now);
            world.list(
                EndpointUpdate::Incremental,
                vec![Endpoint {
                    started_at: started,
                    ..entry(10)
                }],
            );
        }
        let (_, actions) = world.request(0);
        cold.extend(
            sent_to(&actions)
                .iter()
                .filter(|s| **s == 10)
                .map(|_| world.now),
        );
        world.pass(ms(30));
        for (id, attempt) in world.out() {
            world.end(id, attempt, Outcome::Served, Some(0.0));
        }
    }
    assert!(!cold.is_empty(), "a cold server is used");
    // This node sends 33 a second, 3.3 to a warm server; its third of 4 x 0.2 x 10 a second for 1.5 s is 4.
    let start = cold[0];
    let burst = cold.iter().filter(|at| **at < start + ms(1500)).count();
    assert!(burst <= 4, "{burst} requests in the first 1.5 s");
}

#[test]
fn all_servers_cold_at_once_still_serve() {
    let mut settings = answering();
    settings.safety = SafetyRules {
        slow_start_capacity: 0.3,
        slow_start_window: ms(10_000),
        ..settings.safety
    };
    let mut world = World::with_servers(settings, 5);
    play(&mut world, 300, |_| Outcome::Served);
    let started = Some(world.now);
    world.list(
        EndpointUpdate::Full,
        (0..5)
            .map(|n| Endpoint {
                started_at: started,
                ..entry(n)
            })
            .collect(),
    );
    let met = play(&mut world, 100, |_| Outcome::Served);
    assert!(met.values().sum::<usize>() > 20, "{met:?}"); // they can do three tenths
}

#[test]
fn where_the_list_must_be_asked_for_it_is_asked_for_and_a_failed_call_is_repeated() {
    let asks = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::WatchEndpoints { on: true }))
            .count()
    };
    let mut world = World::new(Settings {
        poll_endpoint_list: true,
        ..answering()
    });
    world.list(EndpointUpdate::Cached, vec![entry(0)]);
    world.pass(ms(3000));
    assert_eq!(asks(&world.log), 1);
    for _ in 0..5 {
        let before = world.log.len();
        world.list(EndpointUpdate::Failed, Vec::new());
        world.pass(ms(6000)); // within the 10 s after which a node counts as told
        assert!(asks(&world.log[before..]) >= 1);
        assert!(
            asks(&world.log[before..]) <= 2,
            "calls jam the list's service"
        );
    }
    world.list(EndpointUpdate::Full, vec![entry(0)]);
    let before = world.log.len();
    world.pass(ms(60_000));
    assert_eq!(
        asks(&world.log[before..]),
        0,
        "a subscription needs no calls"
    );
}

#[test]
fn a_tenant_beyond_its_share_is_refused_first() {
    let mut settings = answering();
    settings.tenants = vec![
        Tenant {
            quota_per_s: 30.0,
            share: 0.5
        };
        2
    ];
    settings.over_quota_weight = 0.1;
    let mut world = World::with_servers(settings, 2);
    // Tenant 0 floods, tenant 1 keeps to its share; nothing crowded comes back in time.
    let mut refusals = [0, 0];
    for step in 0..2000 {
        let tenant = usize::from(step % 23 == 0);
        let (_, actions) = world.request_with(1, tenant, ms(1000), None);
        refusals[tenant] += usize::from(refused(&actions));
        world.pass(ms(5));
        let out = world.out();
        if step % 10 == 0 && !out.is_empty() {
            world.end(out[0].0, out[0].1, Outcome::Served, None);
        }
    }
    let [flood, modest] = [refusals[0] as f64 / 1913.0, refusals[1] as f64 / 87.0];
    assert!(
        flood > 0.3 && modest < flood,
        "refused: {flood} of the flood, {modest} of the modest tenant"
    );
}

#[test]
fn a_node_that_starts_into_an_overload_fills_nobody_up() {
    // The danger: dozens of requests of one node at a server before its first time-out is seen.
    let mut world = World::with_servers(answering(), 4);
    for _ in 0..300 {
        world.request(1);
        world.pass(ms(1));
    }
    assert!(
        world.out().len() <= 4 * 2,
        "{} out at four silent servers",
        world.out().len()
    );
}

#[test]
fn a_short_list_of_quick_servers_is_not_refused_for_want_of_news() {
    // The danger: a node learns one level of crowding after the other, and refuses all that goes beyond meanwhile.
    for servers in [1, 2] {
        let mut world = World::with_servers(answering(), servers);
        let mut refusals = 0;
        for _ in 0..400 {
            for _ in world.open().len()..12 {
                refusals += usize::from(refused(&world.request(1).1));
            }
            world.pass(ms(5));
            let due: Vec<_> = world
                .out()
                .into_iter()
                .filter(|(id, _)| world.age(*id) >= ms(10))
                .collect();
            due.into_iter()
                .for_each(|(id, attempt)| drop(world.end(id, attempt, Outcome::Served, None)));
        }
        let refused = world
            .log
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. }))
            .count();
        assert_eq!((refusals, refused), (0, 0), "a list of {servers}");
        assert!(
            world
                .log
                .iter()
                .filter(|action| matches!(action, Action::Send { .. }))
                .count()
                > 1500
        );
    }
}

#[test]
fn what_is_held_for_want_of_news_is_bounded_and_refused_once_a_server_is_late() {
    let mut world = World::with_servers(answering(), 1);
    let taken: Vec<_> = (0..100).map(|_| world.request(1)).collect();
    let at_once = taken.iter().filter(|(_, actions)| refused(actions)).count();
    assert_eq!(
        (world.out().len(), at_once),
        (2, 100 - 2 - 64),
        "two are out, 64 are held"
    );
    // All of it comes in time for the next, and is late for the aim: no more room, and that is said at once.
    world.pass(ms(390));
    for (id, attempt) in world.out() {
        world.end(id, attempt, Outcome::Served, None);
    }
    world.pass(ms(50));
    assert!(
        world.open().is_empty(),
        "{} are still held",
        world.open().len()
    );
}

#[test]
fn an_attempt_is_called_off_for_silence_only_with_somewhere_else_to_go() {
    let time_out = |world: &mut World, class: usize| {
        let (_, actions) = world.request(class);
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    let mut settings = answering();
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
fn answers_with_nothing_to_spare_close_a_crowding_level() {
    // The danger: servers choke while nearly all answers are still in time.
    let fill = |answer: u64| {
        let mut world = World::with_servers(answering(), 4);
        let mut most = 0;
        for _ in 0..2000 {
            world.request(1);
            world.pass(ms(2));
            most = most.max(world.out().len());
            let due: Vec<_> = world
                .out()
                .into_iter()
                .filter(|(id, _)| world.age(*id) >= ms(answer))
                .collect();
            due.into_iter()
                .for_each(|(id, attempt)| drop(world.end(id, attempt, Outcome::Served, Some(3.0))));
        }
        most
    };
    let (quick, late) = (fill(100), fill(390));
    assert!(
        quick >= 4 * 4,
        "{quick} out at four servers: answers with time to spare open the levels"
    );
    assert!(
        late <= 4 * 2,
        "{late} out at four servers: answers at the last moment keep them closed"
    );
}

#[test]
fn odd_settings_lead_to_legal_and_sensible_actions() {
    let one_node = Settings {
        nodes: 1,
        ..probing()
    };
    let free_probes = Settings {
        penalties: Penalties::default(),
        ..probing()
    };
    let mut blind = probing();
    blind.limits.health_checks = false;
    let silent = settings();
    let mut never_cold = answering();
    never_cold.safety = SafetyRules {
        slow_start_capacity: 1.0,
        slow_start_window: ms(0),
        ..never_cold.safety
    };
    for settings in [one_node, free_probes, blind, silent, never_cold] {
        let mut world = World::new(settings);
        let started = Some(world.now);
        world.list(
            EndpointUpdate::Full,
            (0..4)
                .map(|n| Endpoint {
                    started_at: started,
                    ..entry(n)
                })
                .collect(),
        );
        let mut served = 0;
        for _ in 0..100 {
            world.request(1);
            world.pass(ms(15));
            world.answer_probes(&[0, 1, 2, 3]);
            world.pass(ms(15));
            for (id, attempt) in world.out() {
                world.end(id, attempt, Outcome::Served, None);
                served += 1;
            }
        }
        assert!(
            served >= 90,
            "{served} of 100 served with {:?}",
            world.settings
        );
    }
}

#[test]
fn a_server_with_reports_frozen_at_idle_does_not_win_it_all() {
    let mut world = World::with_servers(probing(), 4);
    let mut met = BTreeMap::new();
    for step in 0..400 {
        world.request(1);
        world.pass(ms(1));
        world.answer_probes(&[0]);
        world.pass(ms(20));
        // The frozen server answers too late for most; the others are in time.
        for (id, attempt) in world.out() {
            let server = world.server_of(id, attempt).0;
            if server != 0 || step % 40 == 0 {
                world.end(id, attempt, Outcome::Served, None);
            }
            *met.entry(server).or_insert(0) += usize::from(world.age(id) < ms(25));
        }
    }
    assert!(met[&0] < 200, "{met:?}");
}

#[test]
fn a_long_pause_of_the_node_itself_is_not_held_against_the_servers() {
    let mut world = World::with_servers(answering(), 6);
    play(&mut world, 100, |_| Outcome::Served);
    let ids: Vec<_> = (0..30).map(|_| world.request(1).0).collect();
    // The node stands still long past every aim, then finds all its time-outs at once.
    world.now += ms(900);
    for (id, attempt) in world.out() {
        world.end(id, attempt, Outcome::TimedOut, None);
    }
    // Those that were held for want of news have their timers.
    world.pass(ms(5));
    assert!(ids.iter().all(|id| world.answered(*id)));
    let mut met: Vec<u64> = (0..6).flat_map(|_| sent_to(&world.request(1).1)).collect();
    met.sort();
    met.dedup();
    assert_eq!(met.len(), 6, "{met:?}");
}

#[test]
fn a_repeat_whose_aim_has_passed_is_refused_and_costs_no_server_anything() {
    // The danger: clients that gave up come again, and work for answers worth nothing keeps a jam alive.
    let mut world = World::with_servers(answering(), 4);
    let repeat = |world: &mut World, left: u64| {
        let mut new = NewRequest {
            id: RequestId(1_000_000 + left),
            class: 0,
            remaining: ms(left),
            ..Default::default()
        };
        new.client_retry = true;
        world.take(new)
    };
    world.request_with(0, 0, ms(450), None); // a first try waits for 450 of the 1000 ms
    assert!(
        refused(&repeat(&mut world, 550)),
        "450 ms have gone by, the aim is 400"
    );
    assert_eq!(
        sent_to(&repeat(&mut world, 650)).len(),
        1,
        "350 ms have gone by"
    );
    assert_eq!(
        sent_to(&repeat(&mut world, 449)).len(),
        1,
        "like a first try: it may have been refused at once"
    );
}

#[test]
fn trials_of_ejected_servers_take_a_small_part_of_the_requests() {
    // The danger: a quiet node with several dead servers sends most of its requests there on trial.
    let mut world = World::with_servers(answering(), 8);
    let dead = |server: u64| {
        if server < 3 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    };
    play(&mut world, 100, dead);
    let met = play(&mut world, 400, dead);
    let trials: usize = (0..3)
        .map(|server| met.get(&server).copied().unwrap_or(0))
        .sum();
    assert!((1..60).contains(&trials), "{trials} {met:?}");
}

#[test]
fn in_a_jam_the_worth_more_is_taken_first() {
    // The danger: a share of all alike is refused, and with it most of the worth.
    let mut settings = answering();
    settings.classes[1].priority_weight = 10.0;
    let mut world = World::with_servers(settings, 4);
    let mut sent = [0, 0];
    for step in 0..600 {
        let class = step % 2;
        let (id, actions) = world.request(class);
        if !sent_to(&actions).is_empty() {
            sent[class] += 1;
            world.pass(ms(390)); // with nothing to spare
            world.end(id, 0, Outcome::Served, Some(3.0));
        }
    }
    assert!(sent[1] > 2 * sent[0] && sent[0] > 0, "{sent:?}");
}

#[test]
fn a_silent_attempt_is_followed_by_another_as_far_as_its_class_allows() {
    // The danger: an answer that never comes takes the request's whole time.
    for (class, further) in [(0, true), (1, false), (4, true)] {
        for parallel in [false, true] {
            let mut settings = answering();
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
fn a_new_server_is_not_joined_by_everybody_at_once() {
    // The danger: it stands at zero at all nodes, and each sends it the next requests.
    let mut world = World::with_servers(answering(), 5);
    for _ in 0..60 {
        serve(&mut world, 1.0);
    }
    let mut first = 0;
    for number in 100..140 {
        world.list(EndpointUpdate::Incremental, vec![entry(number)]);
        first += usize::from(serve(&mut world, 1.0) == number);
    }
    assert!(first < 20, "{first} of 40 new servers were joined at once");
}

#[test]
fn who_is_not_taken_by_a_free_server_does_not_join_a_crowded_one() {
    // The danger: in a jam the free servers are closed by chance and the crowded ones, known to serve, stay open.
    let mut settings = answering();
    settings.limits.max_attempts = 1;
    let mut world = World::with_servers(settings, 2);
    for _ in 0..40 {
        let ids = [world.request(1).0, world.request(1).0, world.request(1).0];
        world.pass(ms(20));
        for id in ids
            .into_iter()
            .filter(|id| world.out().contains(&(*id, 0)))
            .collect::<Vec<_>>()
        {
            world.end(id, 0, Outcome::Served, None);
        }
    }
    let (blocker, actions) = world.request(1); // one server has an attempt out, the other is free
    let busy = sent_to(&actions)[0];
    for _ in 0..60 {
        let (id, actions) = world.request(1);
        if sent_to(&actions).is_empty() {
            continue;
        }
        assert_ne!(
            sent_to(&actions),
            [busy],
            "the free server is open or nobody is"
        );
        world.pass(ms(1));
        world.end(id, 0, Outcome::Rejected, None);
    }
    assert!(!world.answered(blocker));
}

// ---- Many nodes -------------------------------------------------------------------------------

#[test]
fn where_connections_have_a_price_a_node_keeps_to_a_few_servers_and_all_get_their_share() {
    // The danger: each node connects to each server, and most connects fail.
    let mut settings = answering();
    (settings.nodes, settings.penalties.connections) = (40, 0.1);
    let mut nodes_of = BTreeMap::new();
    for node in 0..40 {
        let mut world = World::seeded(
            Settings {
                node,
                ..settings.clone()
            },
            node.into(),
        );
        world.list(EndpointUpdate::Full, (0..20).map(entry).collect());
        let met: std::collections::BTreeSet<u64> =
            (0..100).map(|_| serve(&mut world, 1.0)).collect();
        assert!((2..=5).contains(&met.len()), "{met:?}");
        met.into_iter()
            .for_each(|server| *nodes_of.entry(server).or_insert(0) += 1);
    }
    let (fewest, most) = (nodes_of.values().min(), nodes_of.values().max());
    assert!(nodes_of.len() == 20 && fewest == most, "{nodes_of:?}");
}

#[test]
fn a_quiet_node_uses_only_as_many_servers_as_it_can_keep_in_view() {
    // The danger: among dozens of servers a quiet node meets each so seldom that it never learns who is slow.
    let met = |pause: u64| {
        let mut world = World::with_servers(answering(), 40);
        let mut met = std::collections::BTreeSet::new();
        for step in 0..200 {
            let to = serve(&mut world, 1.0);
            world.pass(ms(pause));
            if step >= 50 {
                met.insert(to);
            }
        }
        met.len()
    };
    let (quiet, busy) = (met(400), met(20));
    assert!(
        (6..=10).contains(&quiet) && busy > 30,
        "{quiet} by a quiet node, {busy} by a busy one"
    );
}

#[test]
fn when_even_idle_looking_servers_are_late_a_node_holds_back_and_then_recovers() {
    // Hundreds of nodes may choke the servers with one request each: none of them looks crowded to its node.
    let mut world = World::with_servers(answering(), 4);
    let sent = |world: &mut World, takes: u64| {
        let mut sent = 0;
        for _ in 0..200 {
            let (id, actions) = world.request(1);
            if !sent_to(&actions).is_empty() {
                sent += 1;
                world.pass(ms(takes));
                world.end(id, 0, Outcome::Served, Some(3.0));
            }
        }
        sent
    };
    assert_eq!(sent(&mut world, 50), 200);
    let slow = sent(&mut world, 390);
    assert!((15..100).contains(&slow), "{slow}");
    sent(&mut world, 50);
    assert_eq!(sent(&mut world, 50), 200);
}

#[test]
fn the_work_for_a_request_does_not_grow_with_the_fleet() {
    // The danger: hundreds of servers, each looked at several times for each event, take all the CPU.
    let mut world = World::with_servers(answering(), 500);
    let met: std::collections::BTreeSet<u64> = (0..2000).map(|_| serve(&mut world, 1.0)).collect();
    assert!((32..=64).contains(&met.len()), "{}", met.len());
}

#[test]
fn what_is_hopeless_by_its_hint_is_refused_at_once() {
    // The danger: in a busy fleet, heavy requests that can't be in time take the work of many light ones.
    let mut world = World::with_servers(answering(), 4);
    for _ in 0..60 {
        serve(&mut world, 3.0); // nobody is idle
    }
    assert!(
        refused(&world.request_with(1, 0, ms(1000), Some(ms(420))).1),
        "420 ms of work, 400 to the aim"
    );
    assert_eq!(
        sent_to(&world.request_with(1, 0, ms(1000), Some(ms(200))).1).len(),
        1
    );
    for _ in 0..200 {
        serve(&mut world, 0.0);
    }
    assert_eq!(
        sent_to(&world.request_with(1, 0, ms(1000), Some(ms(420))).1).len(),
        1,
        "most are idle: it may try"
    );
}

#[test]
fn servers_that_cannot_be_reached_are_left_alone_however_many_they_are() {
    // The danger: half of the servers stay in use whatever happens, though this node reaches only a few.
    let mut world = World::with_servers(answering(), 10);
    let reach = |server: u64| {
        if server < 2 {
            Outcome::Served
        } else {
            Outcome::ConnectFailed
        }
    };
    play(&mut world, 200, reach);
    let met = play(&mut world, 200, reach);
    let reached: usize = (0..2)
        .map(|server| met.get(&server).copied().unwrap_or(0))
        .sum();
    assert!(reached > 150, "{met:?}");
}

#[test]
fn one_connection_that_was_not_to_be_had_ejects_nobody_and_two_in_a_row_do() {
    // Connections that come up late, or break under a request, come in between answers: a backend was avoided for each,
    // half of the fleet at a time.
    let avoided = |pattern: &[Outcome], after: Duration| {
        let mut world = World::with_servers(answering(), 4);
        let (mut at, mut most) = (0, 0);
        for _ in 0..100 {
            let (id, actions) = world.request(0);
            let outcome = if sent_to(&actions) == [0] {
                at += 1;
                pattern[at % pattern.len()]
            } else {
                Outcome::Served
            };
            world.pass(if outcome == Outcome::ConnectFailed {
                after
            } else {
                ms(20)
            });
            world.end(id, 0, outcome, Some(0.0));
            for (id, attempt) in world.out() {
                world.end(id, attempt, Outcome::Served, Some(0.0));
            }
            most = most.max(world.balancer.endpoint_counts().ejected);
        }
        assert!(at > 2, "server 0 was sent {at}");
        most
    };
    let (served, failed) = (Outcome::Served, Outcome::ConnectFailed);
    assert_eq!(avoided(&[failed, served, served], ms(20)), 0);
    assert_eq!(avoided(&[failed, failed, served], ms(20)), 1);
    // Turned down, nobody is there; one that took too long may yet come up, and is a failure like others.
    let seldom = [failed, failed, served, served, served, served];
    assert_eq!(avoided(&seldom, ms(20)), 1);
    assert_eq!(avoided(&seldom, ms(260)), 0);
}

// ---- New settings -----------------------------------------------------------------------------

fn retuned(world: &mut World, change: impl FnOnce(&mut Settings)) {
    let mut settings = world.settings.clone();
    change(&mut settings);
    world.settings = settings.clone();
    world.tell(Event::Settings(Box::new(settings)));
}

/// Two servers in the same zone and cell, so that only the class decides where a repeat may go.
fn alike(settings: Settings) -> World {
    let mut world = World::new(settings);
    world.list(EndpointUpdate::Full, vec![entry(0), entry(3)]);
    world
}

#[test]
fn an_open_request_keeps_what_its_class_allowed_when_it_came() {
    // Looser now: what must not run twice when it came must not later.
    let mut world = alike(answering());
    let (id, _) = world.request(1);
    retuned(&mut world, |settings| {
        settings.classes[1].idempotency = Idempotency::Idempotent
    });
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && failed(&actions),
        "{actions:?}"
    );
    // Stricter now: what may be repeated when it came still may, and is refused as harmless where it can't.
    let mut world = alike(answering());
    let (id, _) = world.request(0);
    retuned(&mut world, |settings| {
        settings.classes[0].idempotency = Idempotency::NonIdempotent
    });
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert_eq!(sent_to(&actions).len(), 1, "{actions:?}");
    let (id, _) = world.request(0);
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && failed(&actions),
        "a newcomer meets the new terms: {actions:?}"
    );
}

#[test]
fn where_nodes_agree_a_stricter_class_holds_for_open_requests_too() {
    let stricter = |to: Idempotency| {
        let mut world = alike(answering());
        let (id, _) = world.request(0);
        retuned(&mut world, |settings| {
            settings.tighten_open_requests = true;
            settings.classes[0].idempotency = to;
        });
        let actions = world.end(id, 0, Outcome::Reset, None);
        sent_to(&actions).len()
    };
    assert_eq!(stricter(Idempotency::Idempotent), 1);
    assert_eq!(stricter(Idempotency::NonIdempotent), 0, "it may have run");
    // No box was told to drop its repeats.
    assert_eq!(
        stricter(Idempotency::Keyed {
            scope: Scope::All,
            window: ms(900)
        }),
        0
    );
}

#[test]
fn fewer_attempts_bind_open_requests_and_more_do_not() {
    let mut world = alike(answering());
    let (id, _) = world.request(0);
    retuned(&mut world, |settings| settings.limits.max_attempts = 1);
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && refused(&actions),
        "{actions:?}"
    );
    let (id, _) = world.request(0);
    retuned(&mut world, |settings| settings.limits.max_attempts = 3);
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && refused(&actions),
        "it came when one was allowed: {actions:?}"
    );
    let (id, _) = world.request(0);
    assert_eq!(
        sent_to(&world.end(id, 0, Outcome::Reset, None)).len(),
        1,
        "a newcomer has three"
    );
}

#[test]
fn a_class_and_a_tenant_that_appear_are_served_and_what_was_learnt_stays() {
    let mut world = alike(answering());
    for _ in 0..8 {
        world.pass(ms(50));
        serve(&mut world, 0.0);
    }
    play(&mut world, 40, |server| {
        if server == 0 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    });
    let before = world.balancer.endpoint_counts().ejected;
    retuned(&mut world, |settings| {
        settings.classes.push(class(Idempotency::Idempotent));
        settings.tenants.push(Tenant {
            quota_per_s: 10.0,
            share: 1.0,
        });
    });
    assert_eq!(
        (before, world.balancer.endpoint_counts().ejected),
        (1, 1),
        "who is ejected stays so"
    );
    let (_, actions) = world.request(5);
    assert_eq!(sent_to(&actions).len(), 1, "{actions:?}");
}

// ---- Bodies on their way ------------------------------------------------------------------------

/// A node of two servers in the same zone and cell, played by hand: what is on its way has other times than `World` knows.
struct Bodies {
    node: Balancer,
    now: std::time::Duration,
}

impl Bodies {
    fn new() -> Self {
        let mut bodies = Bodies {
            node: Balancer::new(answering(), 1),
            now: ms(100_000),
        };
        bodies.tell(Event::EndpointList {
            update: EndpointUpdate::Full,
            endpoints: vec![entry(0), entry(3)],
        });
        bodies
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        actions
    }

    fn request(&mut self, id: u64, class: usize, arriving: bool) -> Vec<Action> {
        let (id, remaining) = (RequestId(id), ms(1000));
        self.tell(Event::Request(NewRequest {
            id,
            class,
            remaining,
            body_pending: arriving,
            ..Default::default()
        }))
    }

    fn end(&mut self, id: u64, server: u64, outcome: Outcome, spent: bool) -> Vec<Action> {
        self.tell(Event::AttemptEnded(AttemptEnd {
            id: RequestId(id),
            attempt: 0,
            server: ServerId(server),
            outcome,
            elapsed: ms(1),
            answered: false,
            body_consumed: spent,
            report: None,
        }))
    }
}

#[test]
fn the_time_of_a_request_that_is_still_coming_begins_with_its_last_byte() {
    let mut bodies = Bodies::new();
    let actions = bodies.request(1, 1, true);
    assert_eq!(
        sent_to(&actions).len(),
        1,
        "it goes on while it comes: {actions:?}"
    );
    let timers = |actions: &[Action]| {
        let timer = |action: &Action| match action {
            Action::SetTimer { after, token: 1 } => Some(*after),
            _ => None,
        };
        actions.iter().filter_map(timer).collect::<Vec<_>>()
    };
    assert!(
        timers(&actions).iter().all(|after| *after > ms(60_000)),
        "nobody hurries it: {actions:?}"
    );
    bodies.now += ms(30_000);
    assert!(
        bodies.tell(Event::Timer { token: 1 }).is_empty(),
        "it is not late"
    );
    let actions = bodies.tell(Event::BodyComplete {
        id: RequestId(1),
        body_consumed: true,
    });
    assert_eq!(
        timers(&actions),
        [ms(400)],
        "its aim, from now: {actions:?}"
    );
    bodies.now += ms(400);
    let actions = bodies.tell(Event::Timer { token: 1 });
    assert!(
        failed(&actions) && sent_to(&actions).is_empty(),
        "{actions:?}"
    );
    assert!(
        bodies
            .tell(Event::BodyComplete {
                id: RequestId(1),
                body_consumed: true
            })
            .is_empty(),
        "once"
    );
}

#[test]
fn a_request_that_is_still_coming_and_has_nowhere_to_go_is_refused_in_its_time() {
    let mut bodies = Bodies::new();
    bodies.tell(Event::EndpointList {
        update: EndpointUpdate::Full,
        endpoints: Vec::new(),
    });
    assert!(
        sent_to(&bodies.request(1, 1, true)).is_empty(),
        "nobody is listed"
    );
    let mut waited = Duration::ZERO;
    let ended = loop {
        bodies.now += ms(10);
        waited += ms(10);
        let actions = bodies.tell(Event::Timer { token: 1 });
        if refused(&actions) || failed(&actions) {
            break actions;
        }
        assert!(
            waited < ms(2000),
            "nothing of it is read on, and nobody tells its client"
        );
    };
    assert!(
        refused(&ended) && waited >= ms(400),
        "after its aim: {waited:?} {ended:?}"
    );
}

#[test]
fn what_is_still_coming_crowds_no_server_and_what_has_come_does() {
    let crowd = |arrived: bool| {
        let mut bodies = Bodies::new();
        for id in 1..=24 {
            let actions = bodies.request(id, 1, true);
            if !arrived {
                assert_eq!(sent_to(&actions).len(), 1, "{id}: {actions:?}");
            } else {
                bodies.tell(Event::BodyComplete {
                    id: RequestId(id),
                    body_consumed: true,
                });
            }
        }
        sent_to(&bodies.request(99, 1, false)).len()
    };
    assert_eq!(crowd(false), 1);
    assert_eq!(crowd(true), 0);
}

#[test]
fn a_body_that_is_spent_gets_no_further_attempt_and_is_refused_only_if_none_ran() {
    let mut bodies = Bodies::new();
    let first = sent_to(&bodies.request(1, 1, true))[0];
    let actions = bodies.end(1, first, Outcome::NotSent, false);
    assert_eq!(
        sent_to(&actions).len(),
        1,
        "its first part is kept: {actions:?}"
    );
    let first = sent_to(&bodies.request(2, 1, true))[0];
    let actions = bodies.end(2, first, Outcome::NotSent, true);
    assert!(
        sent_to(&actions).is_empty() && refused(&actions),
        "{actions:?}"
    );
    let first = sent_to(&bodies.request(3, 1, true))[0];
    bodies.tell(Event::BodyComplete {
        id: RequestId(3),
        body_consumed: true,
    });
    let actions = bodies.end(3, first, Outcome::Reset, true);
    assert!(
        sent_to(&actions).is_empty() && failed(&actions),
        "it may have run: {actions:?}"
    );
}

#[test]
fn an_answer_that_has_started_is_the_only_one_and_no_time_cuts_it_off() {
    let mut bodies = Bodies::new();
    let first = sent_to(&bodies.request(1, 0, false))[0];
    bodies.now += ms(399);
    let second = sent_to(&bodies.tell(Event::Timer { token: 1 }));
    assert_eq!(second.len(), 1, "a silent one is followed by a copy");
    let started = Event::ResponseStarted {
        id: RequestId(1),
        attempt: 0,
        server: ServerId(first),
        report: None,
    };
    let actions = bodies.tell(started.clone());
    assert_eq!(
        actions,
        [Action::CancelAttempt {
            id: RequestId(1),
            attempt: 1
        }]
    );
    bodies.now += ms(5000);
    assert!(
        bodies.tell(Event::Timer { token: 1 }).is_empty(),
        "what the client is being given is not cut"
    );
    assert!(bodies.tell(started).is_empty(), "once");
    let mut end = AttemptEnd {
        id: RequestId(1),
        attempt: 1,
        server: ServerId(second[0]),
        outcome: Outcome::Cancelled,
        elapsed: ms(1),
        answered: true,
        body_consumed: false,
        report: None,
    };
    assert!(bodies.tell(Event::AttemptEnded(end.clone())).is_empty());
    (end.attempt, end.server, end.outcome) = (0, ServerId(first), Outcome::Served);
    assert!(bodies.tell(Event::AttemptEnded(end)).is_empty());
    // Both servers are free again: neither end was counted twice.
    assert_eq!(sent_to(&bodies.request(2, 1, false)).len(), 1);
}
