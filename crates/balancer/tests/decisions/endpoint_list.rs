//! The endpoint list: updates, new servers, polling.

use crate::actions::{sent_to, serve};
use crate::common::*;
use sillward_balancer::*;

#[test]
fn removes_servers_that_a_full_list_omits_and_takes_them_back() {
    let mut world = World::with_servers(with_load_reports(), 3);
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
fn polls_the_list_and_repeats_a_failed_poll() {
    let asks = |actions: &[Action]| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::WatchEndpoints { on: true }))
            .count()
    };
    let mut world = World::new(Settings {
        poll_endpoint_list: true,
        ..with_load_reports()
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
fn starts_a_new_server_with_the_usual_estimate() {
    // The danger: it stands at zero at all nodes, and each sends it the next requests.
    let mut world = World::with_servers(with_load_reports(), 5);
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
