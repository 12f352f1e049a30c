//! Model check of the leases of [`sillward_consensus::lease`]: three voters, some nodes, and one version that conflicts with
//! the one in force. A voter's consent counts as soon as the voter would give it, as if there were any number of other nodes
//! that act on the new version at once. Messages may arrive at any time, any number of times or never, before or after a
//! restart of a voter; nodes may do nothing for any time; one clock may lag by a tick, which is the stated drift.

use sillward_consensus::lease::{LeaseGranter, LeaseHolder};
use sillward_consensus::messages::{LeaseRequest, LeaseResponse};
use sillward_consensus::{InjectedBug, Timing};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A tick; a lease lasts two by its node's clock, and a voter waits for three.
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

/// How far it goes.
#[derive(Clone, Copy)]
struct Size {
    nodes: usize,
    ticks: u32,
    asks: u64,
    restarts: u32,
    lags: u32,
}

struct LeaseModel {
    bug: Option<InjectedBug>,
    size: Size,
}

/// A message that was sent: it may arrive any number of times.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    /// From a node, to a voter: number and what it knows.
    Request(usize, usize, u64, u64),
    /// From a voter, to a node: number, newest, consent.
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
    asked: Vec<u64>,
    in_flight: BTreeSet<InFlight>,
    restarts: u32,
    /// The newest version that each voter ever consented to.
    consents: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick(Option<usize>),
    RequestsLease(usize),
    Arrives(InFlight),
    Committed(usize),
    Restart(usize),
}

impl State {
    fn now(&self) -> Duration {
        TICK * (10 + self.ticks)
    }

    fn node_now(&self, node: usize) -> Duration {
        TICK * (10 + self.ticks - self.lag[node])
    }

    /// The version whose values a node may use, if no conflicting version may be in force.
    fn acts(&self, node: usize) -> Option<u64> {
        let status = self.nodes[node].status(self.node_now(node));
        (status.has_lease && status.in_force == status.newest).then_some(status.newest)
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let (timing, start) = (timing(self.bug), Duration::ZERO);
        // All have run for long, and version 1 is in force.
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
        let nodes = (0..self.size.nodes).map(node).collect();
        vec![State {
            ticks: 0,
            voters,
            persisted: vec![1; VOTERS],
            nodes,
            lag: vec![0; self.size.nodes],
            asked: vec![0; self.size.nodes],
            in_flight: BTreeSet::new(),
            restarts: 0,
            consents: vec![1; VOTERS],
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.ticks < self.size.ticks {
            steps.push(Step::Tick(None));
            let lags: u32 = state.lag.iter().sum();
            if lags < self.size.lags {
                steps.extend((0..self.size.nodes).map(|node| Step::Tick(Some(node))));
            }
        }
        for node in 0..self.size.nodes {
            if state.asked[node] < self.size.asks
                && state.nodes[node].next_request_at() <= state.node_now(node)
            {
                steps.push(Step::RequestsLease(node));
            }
        }
        steps.extend(state.in_flight.iter().cloned().map(Step::Arrives));
        for voter in 0..VOTERS {
            if state.persisted[voter] == 1 {
                steps.push(Step::Committed(voter));
            }
            if state.restarts < self.size.restarts {
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
            Step::RequestsLease(node) => {
                let at = state.node_now(node);
                let ask = state.nodes[node].take_request(at)?;
                state.asked[node] += 1;
                let in_flight = (0..VOTERS)
                    .map(|voter| InFlight::Request(node, voter, ask.number, ask.known_version));
                state.in_flight.extend(in_flight);
            }
            Step::Arrives(InFlight::Request(node, voter, number, knows)) => {
                let ask = LeaseRequest {
                    log_id: LOG,
                    session: node as u64 + 1,
                    number,
                    known_version: knows,
                };
                let answer = state.voters[voter].handle_request(now, &node, &ask);
                state.in_flight.insert(InFlight::Response(
                    voter,
                    node,
                    number,
                    answer.newest,
                    answer.consented,
                ));
            }
            Step::Arrives(InFlight::Response(voter, node, number, newest, consent)) => {
                let answer = LeaseResponse {
                    log_id: LOG,
                    session: node as u64 + 1,
                    number,
                    newest,
                    consented: consent,
                    granted: true,
                };
                let at = state.node_now(node);
                state.nodes[node].handle_response(at, voter, &answer);
            }
            Step::Committed(voter) => {
                state.persisted[voter] = 2;
                state.voters[voter].on_committed(2);
            }
            Step::Restart(voter) => {
                state.restarts += 1;
                // What was not on disk is lost with the leases.
                if self.bug == Some(InjectedBug::SendBeforeSync) {
                    state.persisted[voter] = 1;
                }
                state.voters[voter] =
                    LeaseGranter::new(timing(self.bug), LOG, state.persisted[voter], now);
            }
        }
        let now = state.now();
        for (voter, consent) in state.voters.iter_mut().zip(&mut state.consents) {
            *consent = (*consent).max(voter.consented(now));
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two nodes conflict", |_, state: &State| {
                let force = state
                    .consents
                    .iter()
                    .filter(|consent| **consent == 2)
                    .count()
                    * 2
                    > VOTERS;
                !force || (0..state.nodes.len()).all(|node| state.acts(node) != Some(1))
            }),
            Property::sometimes(
                "the old version is acted on beside a voter's consent",
                |_, state: &State| state.consents.contains(&2) && state.acts(0) == Some(1),
            ),
            Property::sometimes("the new version is in force", |_, state: &State| {
                state.acts(0) == Some(2)
            }),
        ]
    }
}

/// Whether a conflict was found, whether the expected states were reached, and the number of states.
fn checked(bug: Option<InjectedBug>, size: Size) -> (bool, bool, usize) {
    let begun = Instant::now();
    let checker = LeaseModel { bug, size }
        .checker()
        .threads(4)
        .target_state_count(20_000_000);
    let checker = if bug.is_some() {
        checker.finish_when(HasDiscoveries::AnyFailures)
    } else {
        checker
    };
    let checker = checker.spawn_dfs().join();
    let broken = checker.discovery("no two nodes conflict").is_some();
    let reached = [
        "the old version is acted on beside a voter's consent",
        "the new version is in force",
    ];
    let reached = reached.iter().all(|what| checker.discovery(what).is_some());
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    println!(
        "{bug:?}: broken {broken}, {states} states, depth {depth}, {:?}",
        begun.elapsed()
    );
    (broken, reached, states)
}

/// What is looked through in each run of the tests.
const SMALL: Size = Size {
    nodes: 1,
    ticks: 3,
    asks: 1,
    restarts: 0,
    lags: 0,
};

#[test]
fn no_order_of_events_makes_two_nodes_conflict() {
    let (broken, reached, states) = checked(None, SMALL);
    assert!(!broken);
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
        let (broken, ..) = checked(
            Some(bug),
            Size {
                nodes: 1,
                ticks,
                asks: 1,
                restarts,
                lags: 0,
            },
        );
        assert!(broken, "{bug:?}");
    }
}

#[test]
#[ignore = "a measurement"]
fn sizes() {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0u32)
    };
    let size = Size {
        nodes: 1,
        ticks: number("TICKS"),
        asks: number("ASKS").into(),
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
    checked(bug, size);
}
