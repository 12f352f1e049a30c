//! Subsets of servers, with many nodes and in large fleets.

use crate::actions::serve;
use crate::common::*;
use sillward_balancer::*;
use std::collections::BTreeMap;

#[test]
fn keeps_to_a_subset_where_connections_cost_and_uses_all_servers_evenly() {
    // With every node connected to every server, most connection attempts would fail.
    let mut settings = with_load_reports();
    (settings.nodes, settings.penalties.connections) = (40, 0.1);
    let mut nodes_of = BTreeMap::new();
    for node in 0..40 {
        let mut harness = Harness::with_seed(
            Settings {
                node,
                ..settings.clone()
            },
            node.into(),
        );
        harness.update_endpoints(EndpointUpdate::Full, (0..20).map(endpoint).collect());
        let servers_used: std::collections::BTreeSet<u64> =
            (0..100).map(|_| serve(&mut harness, 1.0)).collect();
        assert!((2..=5).contains(&servers_used.len()), "{servers_used:?}");
        servers_used
            .into_iter()
            .for_each(|server| *nodes_of.entry(server).or_insert(0) += 1);
    }
    let (fewest, most) = (nodes_of.values().min(), nodes_of.values().max());
    assert!(nodes_of.len() == 20 && fewest == most, "{nodes_of:?}");
}

#[test]
fn keeps_to_a_small_subset_on_a_node_with_little_traffic() {
    // Among dozens of servers, a node with little traffic uses each too rarely to learn which are slow.
    let servers_used_with_pause = |pause: u64| {
        let mut harness = Harness::with_servers(with_load_reports(), 40);
        let mut servers_used = std::collections::BTreeSet::new();
        for step in 0..200 {
            let server = serve(&mut harness, 1.0);
            harness.advance(ms(pause));
            if step >= 50 {
                servers_used.insert(server);
            }
        }
        servers_used.len()
    };
    let (quiet, busy) = (servers_used_with_pause(400), servers_used_with_pause(20));
    assert!(
        (6..=10).contains(&quiet) && busy > 30,
        "{quiet} by a node with little traffic, {busy} by a busy one"
    );
}

#[test]
fn bounds_the_work_of_a_request_in_a_large_fleet() {
    // Examining hundreds of servers several times per event would use all processor time.
    let mut harness = Harness::with_servers(with_load_reports(), 500);
    let servers_used: std::collections::BTreeSet<u64> =
        (0..2000).map(|_| serve(&mut harness, 1.0)).collect();
    assert!(
        (32..=64).contains(&servers_used.len()),
        "{}",
        servers_used.len()
    );
}
