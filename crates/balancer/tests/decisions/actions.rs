//! Helpers of the decision tests: reading actions, playing requests.

use crate::common::{World, entry, ms};
use sillward_balancer::*;
use std::collections::BTreeMap;

pub fn sent_to(actions: &[Action]) -> Vec<u64> {
    let send = |action: &Action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Sends a request and has it served at once, with a report of that many requests in flight.
pub fn serve(world: &mut World, load: f32) -> u64 {
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

/// Plays requests of 30 ms for a while; `ends` says how an attempt at a server ends.
pub fn play(
    world: &mut World,
    count: usize,
    ends: impl Fn(u64) -> Outcome,
) -> BTreeMap<u64, usize> {
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

/// Two servers in the same zone and cell, so that only the class decides where a repeat may go.
pub fn world_of_alike_servers(settings: Settings) -> World {
    let mut world = World::new(settings);
    world.list(EndpointUpdate::Full, vec![entry(0), entry(3)]);
    world
}
