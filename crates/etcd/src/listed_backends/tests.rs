//! Tests of backends that several keys of a list name.

use super::*;
use ServerState::{Draining, Ready, Removed};
use sillward_balancer::Endpoint;
use std::time::Duration;

const START: Duration = Duration::from_secs(1000);
const SKEWED_START: Duration = Duration::from_secs(1008);
const LATER_START: Duration = Duration::from_secs(1011);

fn backend(state: ServerState, started_at: Option<Duration>) -> Backend {
    Backend {
        endpoint: Endpoint {
            state,
            started_at,
            ..Endpoint::default()
        },
        address: "127.0.0.1:80".parse().expect("an address"),
    }
}

/// The state and the start of a backend that keys name in this order.
fn listed(backends: &[Backend]) -> (ServerState, Option<Duration>) {
    let mut list = ListedBackends::default();
    let merged = backends.iter().map(|backend| list.add(backend.clone()));
    let merged = merged.last().expect("some");
    (merged.endpoint.state, merged.endpoint.started_at)
}

/// Guards against a list in which the last key of a backend counts, whatever the others say.
#[test]
fn the_strictest_key_counts_in_any_order() {
    let cases = [
        (
            backend(Draining, None),
            backend(Ready, Some(START)),
            Draining,
            Some(START),
        ),
        (
            backend(Draining, Some(START)),
            backend(Ready, None),
            Draining,
            Some(START),
        ),
        (
            backend(Removed, None),
            backend(Draining, None),
            Removed,
            None,
        ),
        (
            backend(Draining, Some(START)),
            backend(Ready, Some(SKEWED_START)),
            Draining,
            Some(SKEWED_START),
        ),
    ];
    for (one, other, state, start) in cases {
        assert_eq!(listed(&[one.clone(), other.clone()]), (state, start));
        assert_eq!(listed(&[other, one]), (state, start));
    }
}

#[test]
fn a_key_of_an_earlier_incarnation_does_not_count() {
    let drained = backend(Draining, Some(START));
    let started_anew = backend(Ready, Some(LATER_START));
    let expected = (Ready, Some(LATER_START));
    assert_eq!(listed(&[drained.clone(), started_anew.clone()]), expected);
    assert_eq!(listed(&[started_anew, drained]), expected);
}

#[test]
fn another_list_starts_from_nothing() {
    let mut list = ListedBackends::default();
    list.add(backend(Draining, None));
    list.clear();
    assert_eq!(list.add(backend(Ready, None)).endpoint.state, Ready);
}
