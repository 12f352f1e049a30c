//! Slow start: what warming servers are sent.

use crate::actions::{play, sent_to};
use crate::common::*;
use sillward_balancer::*;

#[test]
fn sends_a_warming_server_no_more_than_this_nodes_part() {
    // Ten warm servers carry 100 requests a second of three nodes, so a warm one has at least 10 a second.
    let mut settings = with_load_reports();
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
fn serves_while_all_servers_are_warming_up() {
    let mut settings = with_load_reports();
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
