//! Model check of [`sillward_consensus::lease`] with three voters, some nodes, and one version that conflicts with the one in
//! force. A voter's consent counts from the moment at which the voter would give it, as if other nodes acted on the new
//! version at once. Messages may arrive at any time, any number of times or never, before or after a restart of a voter.
//! Nodes may be idle for any time. A node's clock may lag by a tick, which is the stated drift.

use sillward_consensus::lease::{LeaseGranter, LeaseHolder};
use sillward_consensus::messages::{LeaseRequest, LeaseResponse};
use sillward_consensus::{InjectedBug, Timing};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The model's unit of time. A lease lasts two ticks by its holder's clock, and a voter waits for three.
const TICK: Duration = Duration::from_millis(2);
const VOTERS: usize = 3;
const LOG: u64 = 7;

fn timing(injected_bug: Option<InjectedBug>) -> Timing {
    let timing = Timing {
        conflict_bound: TICK * 5,
        renew_interval: TICK,
        clock_drift_permille: 200,
        max_leases: 8,
        injected_bug,
    };
    assert_eq!(
        (timing.lease_duration(), timing.grant_duration()),
        (TICK * 2, TICK * 3)
    );
    timing
}

/// The bounds of the state space.
#[derive(Clone, Copy)]
struct Bounds {
    nodes: usize,
    ticks: u32,
    requests: u64,
    restarts: u32,
    lags: u32,
}

struct LeaseModel {
    bug: Option<InjectedBug>,
    bounds: Bounds,
}

/// A message that was sent: it may arrive any number of times.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    /// From a node, to a voter: request number and newest known version.
    Request(usize, usize, u64, u64),
    /// From a voter, to a node: request number, newest and consented version.
    Response(usize, usize, u64, u64, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u32,
    voters: Vec<LeaseGranter<usize>>,
    /// The newest version on each voter's disk.
    persisted: Vec<u64>,
    nodes: Vec<LeaseHolder>,
    lag: Vec<u32>,
    requests_sent: Vec<u64>,
    in_flight: BTreeSet<InFlight>,
    restarts: u32,
    /// The newest version to which each voter has ever consented.
    consents: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Time advances; the clock of this node, if any, lags by the tick.
    Tick(Option<usize>),
    RequestLease(usize),
    Deliver(InFlight),
    Commit(usize),
    Restart(usize),
}

impl State {
    fn now(&self) -> Duration {
        TICK * (10 + self.ticks)
    }

    fn node_now(&self, node: usize) -> Duration {
        TICK * (10 + self.ticks - self.lag[node])
    }

    /// The version whose values a node may use; `None` if a conflicting version may be in force.
    fn usable_version(&self, node: usize) -> Option<u64> {
        let status = self.nodes[node].status(self.node_now(node));
        (status.has_lease && status.in_force == status.newest).then_some(status.newest)
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let (timing, start) = (timing(self.bug), Duration::ZERO);
        // All processes have run for a long time, and version 1 is in force.
        let voters = (0..VOTERS)
            .map(|_| LeaseGranter::new(timing, LOG, 1, start))
            .collect();
        let node = |node| {
            let mut holder = LeaseHolder::new(timing, LOG, VOTERS, node as u64 + 1, start);
            for voter in 0..VOTERS {
                let session = node as u64 + 1;
                let notification = LeaseResponse {
                    log_id: LOG,
                    session,
                    number: 0,
                    newest: 1,
                    consented: 1,
                    granted: false,
                };
                holder.handle_response(start, voter, &notification);
            }
            holder
        };
        let nodes = (0..self.bounds.nodes).map(node).collect();
        vec![State {
            ticks: 0,
            voters,
            persisted: vec![1; VOTERS],
            nodes,
            lag: vec![0; self.bounds.nodes],
            requests_sent: vec![0; self.bounds.nodes],
            in_flight: BTreeSet::new(),
            restarts: 0,
            consents: vec![1; VOTERS],
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.ticks < self.bounds.ticks {
            steps.push(Step::Tick(None));
            let lags: u32 = state.lag.iter().sum();
            if lags < self.bounds.lags {
                steps.extend((0..self.bounds.nodes).map(|node| Step::Tick(Some(node))));
            }
        }
        for node in 0..self.bounds.nodes {
            if state.requests_sent[node] < self.bounds.requests
                && state.nodes[node].next_request_at() <= state.node_now(node)
            {
                steps.push(Step::RequestLease(node));
            }
        }
        steps.extend(state.in_flight.iter().cloned().map(Step::Deliver));
        for voter in 0..VOTERS {
            if state.persisted[voter] == 1 {
                steps.push(Step::Commit(voter));
            }
            if state.restarts < self.bounds.restarts {
                steps.push(Step::Restart(voter));
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now();
        match step {
            Step::Tick(lags) => {
                state.ticks += 1;
                if let Some(node) = lags {
                    state.lag[node] += 1;
                }
            }
            Step::RequestLease(node) => {
                let at = state.node_now(node);
                let request = state.nodes[node].take_request(at)?;
                state.requests_sent[node] += 1;
                let in_flight = (0..VOTERS).map(|voter| {
                    InFlight::Request(node, voter, request.number, request.known_version)
                });
                state.in_flight.extend(in_flight);
            }
            Step::Deliver(InFlight::Request(node, voter, number, known_version)) => {
                let request = LeaseRequest {
                    log_id: LOG,
                    session: node as u64 + 1,
                    number,
                    known_version,
                };
                let response = state.voters[voter].handle_request(now, &node, &request);
                state.in_flight.insert(InFlight::Response(
                    voter,
                    node,
                    number,
                    response.newest,
                    response.consented,
                ));
            }
            Step::Deliver(InFlight::Response(voter, node, number, newest, consented)) => {
                let response = LeaseResponse {
                    log_id: LOG,
                    session: node as u64 + 1,
                    number,
                    newest,
                    consented,
                    granted: true,
                };
                let at = state.node_now(node);
                state.nodes[node].handle_response(at, voter, &response);
            }
            Step::Commit(voter) => {
                state.persisted[voter] = 2;
                state.voters[voter].on_committed(2);
            }
            Step::Restart(voter) => {
                state.restarts += 1;
                // The granted leases are lost, and with this bug also a version that is not on disk yet.
                if self.bug == Some(InjectedBug::SendBeforeSync) {
                    state.persisted[voter] = 1;
                }
                state.voters[voter] =
                    LeaseGranter::new(timing(self.bug), LOG, state.persisted[voter], now);
            }
        }
        let now = state.now();
        for (voter, consented) in state.voters.iter_mut().zip(&mut state.consents) {
            *consented = (*consented).max(voter.consented(now));
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two nodes conflict", |_, state: &State| {
                let is_in_force = state
                    .consents
                    .iter()
                    .filter(|consented| **consented == 2)
                    .count()
                    * 2
                    > VOTERS;
                !is_in_force
                    || (0..state.nodes.len()).all(|node| state.usable_version(node) != Some(1))
            }),
            Property::sometimes(
                "the old version is used while a voter consents to the new one",
                |_, state: &State| {
                    state.consents.contains(&2) && state.usable_version(0) == Some(1)
                },
            ),
            Property::sometimes("the new version is in force", |_, state: &State| {
                state.usable_version(0) == Some(2)
            }),
        ]
    }
}

/// Returns whether a conflict was found, whether the expected states were reached, and the number of states.
fn check_model(bug: Option<InjectedBug>, bounds: Bounds) -> (bool, bool, usize) {
    let started_at = Instant::now();
    let checker = LeaseModel { bug, bounds }
        .checker()
        .threads(4)
        .target_state_count(20_000_000);
    let checker = if bug.is_some() {
        checker.finish_when(HasDiscoveries::AnyFailures)
    } else {
        checker
    };
    let checker = checker.spawn_dfs().join();
    let violated = checker.discovery("no two nodes conflict").is_some();
    let reached = [
        "the old version is used while a voter consents to the new one",
        "the new version is in force",
    ];
    let reached = reached.iter().all(|what| checker.discovery(what).is_some());
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    println!(
        "{bug:?}: violated {violated}, {states} states, depth {depth}, {:?}",
        started_at.elapsed()
    );
    (violated, reached, states)
}

/// The state space that each test run explores.
const SMALL_BOUNDS: Bounds = Bounds {
    nodes: 1,
    ticks: 3,
    requests: 1,
    restarts: 0,
    lags: 0,
};

#[test]
fn no_order_of_events_makes_two_nodes_conflict() {
    let (violated, reached, states) = check_model(None, SMALL_BOUNDS);
    assert!(!violated);
    assert!(reached && states > 10_000, "{states}");
}

#[test]
fn model_finds_each_injected_bug() {
    for bug in [
        InjectedBug::LeaseFromArrival,
        InjectedBug::SendBeforeSync,
        InjectedBug::SkipLeaseWait,
        InjectedBug::ForgetLeases,
    ] {
        let ticks = if bug == InjectedBug::LeaseFromArrival {
            3
        } else {
            1
        };
        let restarts = u32::from(bug != InjectedBug::LeaseFromArrival);
        let (violated, ..) = check_model(
            Some(bug),
            Bounds {
                nodes: 1,
                ticks,
                requests: 1,
                restarts,
                lags: 0,
            },
        );
        assert!(violated, "{bug:?}");
    }
}

#[test]
#[ignore = "a measurement"]
fn measures_the_state_space() {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0u32)
    };
    let bounds = Bounds {
        nodes: 1,
        ticks: number("TICKS"),
        requests: number("ASKS").into(),
        restarts: number("RESTARTS"),
        lags: number("LAGS"),
    };
    let bug = [
        None,
        Some(InjectedBug::LeaseFromArrival),
        Some(InjectedBug::SendBeforeSync),
        Some(InjectedBug::SkipLeaseWait),
        Some(InjectedBug::ForgetLeases),
    ][number("PLANT") as usize];
    check_model(bug, bounds);
}
