//! The rights of [`sillward_consensus::lease`], over all orders at a small size: three voters, some nodes, one version that
//! contradicts the one in force. A voter's consent counts as soon as it would give it, to whomever: as if there were other
//! nodes without number that act on the new version the moment they may. Whatever was sent may come at any time, any number of times or never, before or after a
//! voter's restart; a node does nothing for as long as it likes; one clock lags behind by a tick, as far as the drift that is
//! stated.

use sillward_consensus::lease::{LeaseGranter, LeaseHolder};
use sillward_consensus::messages::{LeaseRequest, LeaseResponse};
use sillward_consensus::{InjectedBug, Timing};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A tick; a right lasts two by its node's clock, and a voter waits for three.
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

struct Rights {
    plant: Option<InjectedBug>,
    size: Size,
}

/// What is on its way, for good: it may come again and again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Way {
    /// From a node, to a voter: number and what it knows.
    Ask(usize, usize, u64, u64),
    /// From a voter, to a node: number, newest, consent.
    Answer(usize, usize, u64, u64, u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u32,
    voters: Vec<LeaseGranter<usize>>,
    /// What each voter's folder has.
    kept: Vec<u64>,
    nodes: Vec<LeaseHolder>,
    lag: Vec<u32>,
    asked: Vec<u64>,
    ways: BTreeSet<Way>,
    restarts: u32,
    /// The newest version that each voter ever consented to.
    consents: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick(Option<usize>),
    Asks(usize),
    Comes(Way),
    Confirmed(usize),
    Restart(usize),
}

impl State {
    fn now(&self) -> Duration {
        TICK * (10 + self.ticks)
    }

    fn node_now(&self, node: usize) -> Duration {
        TICK * (10 + self.ticks - self.lag[node])
    }

    /// The version that a node may act on by a plain reading, if it may: with no version between that contradicts it.
    fn acts(&self, node: usize) -> Option<u64> {
        let status = self.nodes[node].status(self.node_now(node));
        (status.has_lease && status.in_force == status.newest).then_some(status.newest)
    }
}

impl Model for Rights {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let (timing, start) = (timing(self.plant), Duration::ZERO);
        // All have been up for long, and version 1 is in force.
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
            kept: vec![1; VOTERS],
            nodes,
            lag: vec![0; self.size.nodes],
            asked: vec![0; self.size.nodes],
            ways: BTreeSet::new(),
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
                steps.push(Step::Asks(node));
            }
        }
        steps.extend(state.ways.iter().cloned().map(Step::Comes));
        for voter in 0..VOTERS {
            if state.kept[voter] == 1 {
                steps.push(Step::Confirmed(voter));
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
            Step::Asks(node) => {
                let at = state.node_now(node);
                let ask = state.nodes[node].take_request(at)?;
                state.asked[node] += 1;
                let ways =
                    (0..VOTERS).map(|voter| Way::Ask(node, voter, ask.number, ask.known_version));
                state.ways.extend(ways);
            }
            Step::Comes(Way::Ask(node, voter, number, knows)) => {
                let ask = LeaseRequest {
                    log_id: LOG,
                    session: node as u64 + 1,
                    number,
                    known_version: knows,
                };
                let answer = state.voters[voter].handle_request(now, &node, &ask);
                state.ways.insert(Way::Answer(
                    voter,
                    node,
                    number,
                    answer.newest,
                    answer.consented,
                ));
            }
            Step::Comes(Way::Answer(voter, node, number, newest, consent)) => {
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
            Step::Confirmed(voter) => {
                state.kept[voter] = 2;
                state.voters[voter].on_committed(2);
            }
            Step::Restart(voter) => {
                state.restarts += 1;
                // What was not in the folder is forgotten with the rights.
                if self.plant == Some(InjectedBug::SendBeforeSync) {
                    state.kept[voter] = 1;
                }
                state.voters[voter] =
                    LeaseGranter::new(timing(self.plant), LOG, state.kept[voter], now);
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
            Property::always("nobody contradicts another", |_, state: &State| {
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

/// Whether a contradiction was found, with how many states and how deep.
fn checked(plant: Option<InjectedBug>, size: Size) -> (bool, bool, usize) {
    let begun = Instant::now();
    let checker = Rights { plant, size }
        .checker()
        .threads(4)
        .target_state_count(20_000_000);
    let checker = if plant.is_some() {
        checker.finish_when(HasDiscoveries::AnyFailures)
    } else {
        checker
    };
    let checker = checker.spawn_dfs().join();
    let broken = checker.discovery("nobody contradicts another").is_some();
    let reached = [
        "the old version is acted on beside a voter's consent",
        "the new version is in force",
    ];
    let reached = reached.iter().all(|what| checker.discovery(what).is_some());
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    println!(
        "{plant:?}: broken {broken}, {states} states, depth {depth}, {:?}",
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
fn no_order_makes_two_nodes_contradict_each_other() {
    let (broken, reached, states) = checked(None, SMALL);
    assert!(!broken);
    assert!(reached && states > 10_000, "{states}");
}

#[test]
fn the_model_finds_each_plant() {
    for plant in [
        InjectedBug::LeaseFromArrival,
        InjectedBug::SendBeforeSync,
        InjectedBug::SkipLeaseWait,
        InjectedBug::ForgetLeases,
    ] {
        let ticks = if plant == InjectedBug::LeaseFromArrival {
            3
        } else {
            1
        };
        let restarts = u32::from(plant != InjectedBug::LeaseFromArrival);
        let (broken, ..) = checked(
            Some(plant),
            Size {
                nodes: 1,
                ticks,
                asks: 1,
                restarts,
                lags: 0,
            },
        );
        assert!(broken, "{plant:?}");
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
    let plant = [
        None,
        Some(InjectedBug::LeaseFromArrival),
        Some(InjectedBug::SendBeforeSync),
        Some(InjectedBug::SkipLeaseWait),
        Some(InjectedBug::ForgetLeases),
    ][number("PLANT") as usize];
    checked(plant, size);
}
