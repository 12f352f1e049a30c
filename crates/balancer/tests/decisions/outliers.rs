//! Outlier detection: ejection and trials.

use crate::actions::{play, sent_to};
use crate::common::*;
use sillward_balancer::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[test]
fn ejects_unreachable_servers_however_many_they_are() {
    // The danger: half of the servers stay in use whatever happens, though this node reaches only a few.
    let mut world = World::with_servers(with_load_reports(), 10);
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
fn ejects_after_two_refused_connections_in_a_row_and_not_after_one() {
    // Connections that come up late, or break under a request, come in between answers: a backend was avoided for each,
    // half of the fleet at a time.
    let avoided = |pattern: &[Outcome], after: Duration| {
        let mut world = World::with_servers(with_load_reports(), 4);
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

#[test]
fn does_not_prefer_a_server_that_fails_fast() {
    let mut world = World::with_servers(with_load_reports(), 4);
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
fn returns_an_ejected_server_after_a_trial() {
    let mut world = World::with_servers(with_load_reports(), 4);
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
fn ejects_nobody_when_all_servers_fail() {
    let mut world = World::with_servers(with_load_reports(), 6);
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
fn avoids_a_server_that_accepts_and_never_answers() {
    let mut world = World::with_servers(with_load_reports(), 4);
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

#[test]
fn does_not_blame_servers_for_a_pause_of_the_node() {
    let mut world = World::with_servers(with_load_reports(), 6);
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
fn spends_a_small_part_of_requests_on_trials() {
    // The danger: a quiet node with several dead servers sends most of its requests there on trial.
    let mut world = World::with_servers(with_load_reports(), 8);
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
