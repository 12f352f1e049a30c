//! The endpoint list: updates, new servers, polling.

use crate::actions::{run_requests, sent_to, serve};
use crate::common::*;
use sillward_balancer::*;

#[test]
fn removes_servers_that_a_full_list_omits_and_takes_them_back() {
    let mut harness = Harness::with_servers(with_load_reports(), 3);
    harness.update_endpoints(EndpointUpdate::Full, vec![endpoint(1)]);
    assert!((0..10).all(|_| sent_to(&harness.request(0).1).iter().all(|s| *s == 1)));
    harness.update_endpoints(
        EndpointUpdate::Incremental,
        vec![
            endpoint(2),
            Endpoint {
                state: ServerState::Draining,
                ..endpoint(1)
            },
        ],
    );
    assert_eq!(sent_to(&harness.request(0).1), [2]);
}

#[test]
fn polls_the_list_and_retries_a_failed_poll() {
    let watch_requests = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::WatchEndpoints { on: true }))
            .count()
    };
    let mut harness = Harness::new(Settings {
        poll_endpoint_list: true,
        ..with_load_reports()
    });
    harness.update_endpoints(EndpointUpdate::Cached, vec![endpoint(0)]);
    harness.advance(ms(3000));
    assert_eq!(watch_requests(&harness.log), 1);
    for _ in 0..5 {
        let before = harness.log.len();
        harness.update_endpoints(EndpointUpdate::Failed, Vec::new());
        harness.advance(ms(6000)); // less than the 10 s after which a node counts as informed
        assert!(watch_requests(&harness.log[before..]) >= 1);
        assert!(
            watch_requests(&harness.log[before..]) <= 2,
            "polls must not overload the discovery service"
        );
    }
    harness.update_endpoints(EndpointUpdate::Full, vec![endpoint(0)]);
    let before = harness.log.len();
    harness.advance(ms(60_000));
    assert_eq!(
        watch_requests(&harness.log[before..]),
        0,
        "no polls while a watch is active"
    );
}

#[test]
fn starts_a_new_server_with_the_usual_estimate() {
    // With an estimate of zero at all nodes, a new server would get the next requests of every node.
    let mut harness = Harness::with_servers(with_load_reports(), 5);
    for _ in 0..60 {
        serve(&mut harness, 1.0);
    }
    let mut sent_at_once = 0;
    for number in 100..140 {
        harness.update_endpoints(EndpointUpdate::Incremental, vec![endpoint(number)]);
        sent_at_once += usize::from(serve(&mut harness, 1.0) == number);
    }
    assert!(
        sent_at_once < 20,
        "{sent_at_once} of 40 new servers got the next request"
    );
}

/// Guards against an ejected server being taken for a restarted one, and getting requests again, when a list first names the
/// start time of its process.
#[test]
fn keeps_what_is_known_of_a_server_whose_start_time_becomes_known() {
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    harness.advance(ms(5000));
    let outcome_of = |server: u64| match server {
        0 => Outcome::ConnectFailed,
        _ => Outcome::Served,
    };
    run_requests(&mut harness, 100, outcome_of);
    assert_eq!(harness.balancer.endpoint_counts().ejected, 1);
    let list_with_start = |harness: &mut Harness, started_at| {
        let entry = Endpoint {
            started_at,
            ..endpoint(0)
        };
        harness.update_endpoints(EndpointUpdate::Incremental, vec![entry]);
        harness.balancer.endpoint_counts().ejected
    };
    let before_the_first_list = Some(ms(1));
    assert_eq!(list_with_start(&mut harness, before_the_first_list), 1);
    assert_eq!(list_with_start(&mut harness, None), 1, "no longer told");
    let now = Some(harness.now);
    assert_eq!(list_with_start(&mut harness, now), 0, "started anew");
}
