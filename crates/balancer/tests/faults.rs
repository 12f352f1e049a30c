//! Troubles in combination and troubles on no list. `World` checks the four rules on the side; here it is
//! checked that service goes on, that further attempts stay within their budget, and that no jam lasts.

mod common;

use common::*;
use sillward_balancer::*;

/// What came of a stretch of requests.
#[derive(Debug, Default)]
struct Tally {
    sends: usize,
    served: usize,
    subscribed: usize,
}

/// Plays requests of all classes, one every 30 ms; `ends` says how an attempt at a server ends within that
/// time, `None` that it stays out. Further attempts are counted against their budget at the end.
fn play(world: &mut World, requests: usize, ends: impl Fn(u64) -> Option<Outcome>) -> Tally {
    let mut tally = Tally::default();
    let before = world.log.len();
    for i in 0..requests {
        world.request(i % 5);
        world.answer_health_checks(&[]);
        world.pass(ms(30));
        for (id, attempt) in world.out() {
            if let Some(outcome) = ends(world.server_of(id, attempt).0) {
                tally.served += usize::from(outcome == Outcome::Served && !world.answered(id));
                world.end(id, attempt, outcome, Some(1.0));
            }
        }
    }
    for action in &world.log[before..] {
        tally.sends += usize::from(matches!(action, Action::Send { .. }));
        tally.subscribed += usize::from(matches!(action, Action::WatchEndpoints { .. }));
    }
    // Two fifths of the requests, and what has been saved up: twice the burst of a fresh node.
    assert!(
        tally.sends <= requests + requests * 2 / 5 + 10,
        "retries beyond their budget: {tally:?}"
    );
    tally
}

/// Both ways of reporting, and a node that has had the time to learn that all is well.
fn worlds(servers: u64) -> [World; 2] {
    [with_load_reports(), with_health_checks()].map(|settings| {
        let mut world = World::with_servers(settings, servers);
        recovers(&mut world);
        world
    })
}

/// All is well again: after some requests to find that out, nearly all are served.
fn recovers(world: &mut World) {
    play(world, 300, |_| Some(Outcome::Served));
    let tally = play(world, 200, |_| Some(Outcome::Served));
    assert!(tally.served >= 196, "a jam that lasts: {tally:?}");
}

#[test]
fn avoids_a_listed_server_that_cannot_be_reached() {
    for mut world in worlds(4) {
        let tally = play(&mut world, 400, |s| {
            Some(if s == 0 {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            })
        });
        assert!(tally.served >= 390, "{tally:?}");
    }
}

#[test]
fn serves_other_zones_while_one_cannot_be_reached() {
    for mut world in worlds(6) {
        let ends = |s: u64| {
            Some(if s % 3 == 0 {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            })
        };
        let tally = play(&mut world, 400, ends);
        assert!(tally.served >= 380, "{tally:?}");
        recovers(&mut world);
    }
}

#[test]
fn sends_nothing_while_the_list_is_empty() {
    for mut world in worlds(4) {
        world.list(EndpointUpdate::Full, vec![]);
        let tally = play(&mut world, 50, |_| Some(Outcome::Served));
        assert_eq!(tally.sends, 0);
        world.list(EndpointUpdate::Full, (0..4).map(entry).collect());
        recovers(&mut world);
    }
}

/// What the list has counts as told within seconds of when it could be had, whatever calls failed before: each call that
/// fails is followed by another within half a second, and never at once.
#[test]
fn polls_again_within_half_a_second_while_no_list_comes() {
    let mut world = World::new(Settings {
        poll_endpoint_list: true,
        ..with_health_checks()
    });
    let (mut failed, mut calls) = (None, 0);
    let end = world.now + ms(24_000);
    while world.now < end {
        let (before, at) = (world.log.len(), world.now);
        world.request(calls % 3);
        world.pass(world.settings.timer_resolution);
        let asked = world.log[before..]
            .iter()
            .any(|a| matches!(a, Action::WatchEndpoints { on: true }));
        if let (Some(since), true) = (failed, asked) {
            let waited = world.now - since;
            assert!(
                waited >= ms(60) && waited <= ms(500 + 70),
                "call {calls} after {waited:?}"
            );
        }
        if asked {
            world.list(EndpointUpdate::Failed, vec![]);
            (failed, calls) = (Some(at), calls + 1);
        }
        let late = failed.is_some_and(|since| world.now > since + ms(570));
        assert!(!late, "call {calls} is not followed by another");
    }
    assert!(
        world
            .log
            .iter()
            .all(|action| !matches!(action, Action::Send { .. }))
    );
    // Far fewer calls than requests, and more than any wait that grows would leave.
    assert!((40..=100).contains(&calls), "{calls}");
    world.list(EndpointUpdate::Full, (0..4).map(entry).collect());
    recovers(&mut world);
}

#[test]
fn recovers_from_an_overload_with_client_retries() {
    for mut world in worlds(4) {
        play(&mut world, 400, |_| None);
        // Errors close no level: only the budget stands in the way of further attempts.
        play(&mut world, 400, |_| Some(Outcome::Error));
        recovers(&mut world);
    }
}

#[test]
fn recovers_from_a_crash_during_stalls() {
    for mut world in worlds(6) {
        let tally = play(&mut world, 300, |s| match s {
            0 => Some(Outcome::ConnectFailed),
            1 | 2 => None,
            _ => Some(Outcome::Served),
        });
        assert!(tally.served >= 200, "{tally:?}");
        recovers(&mut world);
    }
}

#[test]
fn recovers_from_a_deploy_during_a_stale_list() {
    for mut world in worlds(6) {
        // Three have left, and the list does not say so yet.
        let tally = play(&mut world, 200, |s| {
            Some(if s < 3 {
                Outcome::Reset
            } else {
                Outcome::Served
            })
        });
        assert!(tally.served >= 170, "{tally:?}");
        let cold = |number| Endpoint {
            started_at: Some(world.now),
            ..entry(number)
        };
        let successors = (6..9).map(cold).chain((3..6).map(entry)).collect();
        world.list(EndpointUpdate::Full, successors);
        recovers(&mut world);
    }
}

#[test]
fn serves_light_requests_beside_heavy_ones_at_a_slow_server() {
    for mut world in worlds(4) {
        let mut served = 0;
        for i in 0..400 {
            let heavy = i % 10 == 0;
            let (id, _) =
                world.request_with(1, 0, ms(1000), Some(ms(if heavy { 390 } else { 40 })));
            world.answer_health_checks(&[]);
            world.pass(ms(40));
            for (out, attempt) in world
                .out()
                .into_iter()
                .filter(|(out, _)| *out == id || !heavy)
            {
                if world.server_of(out, attempt).0 != 0
                    && world.age(out) >= ms(if out == id { 40 } else { 320 })
                {
                    served += usize::from(out == id && !heavy);
                    world.end(out, attempt, Outcome::Served, Some(1.0));
                }
            }
        }
        assert!(served >= 250, "{served}");
    }
}

#[test]
fn learns_that_servers_serve_though_they_are_never_idle() {
    // Crowding levels start closed: while no server was ever seen below a closed level, all was refused for ever.
    let mut world = World::with_servers(with_health_checks(), 4);
    recovers(&mut world);
}
