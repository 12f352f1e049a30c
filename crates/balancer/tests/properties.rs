//! Property tests with random valid histories: the safety rules (see `common`) hold in each, and the same history gives
//! the same actions.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use sillward_balancer::*;

/// One step of a history. An index selects, modulo their number, among the attempts or requests of that moment.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        remaining: u64,
        expected_work: Option<u64>,
    },
    EndAttempt {
        index: usize,
        outcome: usize,
        load: Option<u8>,
    },
    EndHealthCheck {
        load: Option<u8>,
    },
    DisconnectClient {
        index: usize,
    },
    UpdateEndpoints {
        full: bool,
        changes: Vec<(u64, u8, bool)>,
    },
    FailPoll,
    Advance {
        time: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let load = || prop::option::of(0u8..4);
    prop_oneof![
        6 => (0usize..5, 1u64..1500, prop::option::of(1u64..600))
            .prop_map(|(class, remaining, expected_work)| Step::Request { class, remaining, expected_work }),
        6 => (any::<usize>(), 0usize..8, load()).prop_map(|(index, outcome, load)| Step::EndAttempt { index, outcome, load }),
        3 => load().prop_map(|load| Step::EndHealthCheck { load }),
        1 => any::<usize>().prop_map(|index| Step::DisconnectClient { index }),
        1 => (any::<bool>(), prop::collection::vec((0u64..6, 0u8..8, any::<bool>()), 0..5))
            .prop_map(|(full, changes)| Step::UpdateEndpoints { full, changes }),
        1 => Just(Step::FailPoll),
        4 => (1u64..400).prop_map(|time| Step::Advance { time }),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn run_history(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut harness = Harness::with_seed(settings, seed);
    harness.update_endpoints(EndpointUpdate::Cached, (0..4).map(endpoint).collect());
    for step in steps {
        match step {
            Step::Request {
                class,
                remaining,
                expected_work,
            } => {
                harness.request_with(*class, 0, ms(*remaining), expected_work.map(ms));
            }
            Step::EndAttempt {
                index,
                outcome,
                load,
            } => {
                let in_flight = harness.attempts_in_flight();
                if !in_flight.is_empty() {
                    let (id, attempt) = in_flight[index % in_flight.len()];
                    harness.end_attempt(id, attempt, OUTCOMES[*outcome], load.map(f32::from));
                }
            }
            Step::EndHealthCheck { load } => drop(harness.end_health_check(load.map(f32::from))),
            Step::DisconnectClient { index } => {
                let unfinished = harness.unfinished_requests();
                if !unfinished.is_empty() {
                    harness.disconnect_client(unfinished[index % unfinished.len()]);
                }
            }
            Step::UpdateEndpoints { full, changes } => {
                let now = harness.now;
                let changes = changes.iter().map(|(number, state, restarted)| {
                    let state = match state {
                        0 => ServerState::Removed,
                        1 => ServerState::Draining,
                        _ => ServerState::Ready,
                    };
                    let started = restarted.then_some(now);
                    Endpoint {
                        state,
                        started_at: started,
                        ..endpoint(*number)
                    }
                });
                let update = if *full {
                    EndpointUpdate::Full
                } else {
                    EndpointUpdate::Incremental
                };
                let changes = changes
                    .filter(|e| !full || e.state != ServerState::Removed)
                    .collect();
                harness.update_endpoints(update, changes);
            }
            Step::FailPoll => drop(harness.handle(Event::EndpointList {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            })),
            Step::Advance { time } => harness.advance(ms(*time)),
        }
    }
    harness.advance(ms(1600));
    assert!(
        harness.unfinished_requests().is_empty(),
        "rule 1: {:?} have no final response",
        harness.unfinished_requests()
    );
    assert!(harness.attempts_in_flight().is_empty());
    harness.log
}

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_128),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn safety_rules_hold_with_load_from_health_checks(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = with_health_checks();
        settings.safety.slow_start_capacity = 0.2;
        settings.safety.slow_start_window = ms(5000);
        settings.safety.drain_grace = ms(0);
        prop_assert_eq!(run_history(settings.clone(), seed, &steps), run_history(settings, seed, &steps));
    }

    #[test]
    fn safety_rules_hold_with_load_from_responses(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = with_load_reports();
        settings.limits.hedging = false;
        settings.safety.drain_grace = ms(0);
        settings.poll_endpoint_list = true;
        run_history(settings, seed, &steps);
    }

    #[test]
    fn safety_rules_hold_under_restrictive_limits(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = settings();
        settings.limits = Limits { max_attempts: 1, cancel_attempts: false, ..Settings::default().limits };
        settings.nodes = 1;
        settings.safety.drain_grace = ms(0);
        run_history(settings, seed, &steps);
    }
}

/// Checks rule 4 for one node by counting its sends. It is the only node with traffic, so it may use the warming server's
/// whole allowance: overload factor x current capacity x window, plus one request.
fn check_warming_server_allowance(
    seed: u64,
    arrivals: &[(usize, u64)],
) -> Result<(), TestCaseError> {
    const WARMING: ServerId = ServerId(9);
    let work = ms(20); // a warm server's capacity is 50 requests/s
    let mut settings = with_load_reports();
    settings.safety.slow_start_capacity = 0.05;
    settings.safety.slow_start_window = ms(20_000);
    settings.safety.overload_factor = 4.0;
    settings.safety.overload_window = ms(1500);
    let mut harness = Harness::with_seed(settings, seed);
    harness.update_endpoints(EndpointUpdate::Full, (0..3).map(endpoint).collect());
    let mut free_at = std::collections::BTreeMap::new();
    let (mut seen, mut sends_to_warming, mut started_at) = (0, Vec::new(), None);
    for (step, (requests, pause)) in arrivals.iter().enumerate() {
        if step == arrivals.len() / 3 {
            started_at = Some(harness.now);
            harness.update_endpoints(
                EndpointUpdate::Incremental,
                vec![Endpoint {
                    started_at,
                    ..endpoint(WARMING.0)
                }],
            );
        }
        (0..*requests).for_each(|_| drop(harness.request(0)));
        for _ in 0..*pause {
            harness.advance(ms(1));
            // Each server serves one request at a time.
            for (id, attempt) in harness.attempts_in_flight() {
                let server = harness.server_of(id, attempt);
                let free = free_at.entry(server).or_insert(harness.now);
                if *free <= harness.now && !harness.is_finished(id) {
                    *free = harness.now + work;
                    harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
                }
            }
        }
        let to_warming = |a: &&Action| {
            matches!(
                a,
                Action::Send {
                    server: WARMING,
                    ..
                }
            )
        };
        let sends = harness.log[seen..].iter().filter(to_warming).count();
        sends_to_warming.extend(std::iter::repeat_n(harness.now, sends));
        seen = harness.log.len();
        if let Some(started_at) = started_at {
            let capacity_fraction = 0.05 + 0.95 * (harness.now - started_at).as_secs_f64() / 20.0;
            let sent_in_window = sends_to_warming
                .iter()
                .filter(|at| **at + ms(1500) >= harness.now)
                .count() as f64;
            let allowed = 4.0 * capacity_fraction * 50.0 * 1.5 + 1.0;
            prop_assert!(
                sent_in_window <= allowed,
                "rule 4: {} sent within a window, {} allowed",
                sent_in_window,
                allowed
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config { cases: 10, ..config() })]

    #[test]
    fn keeps_sends_to_a_warming_server_within_its_allowance(seed: u64, arrivals in prop::collection::vec((0usize..12, 1u64..60), 120..240)) {
        check_warming_server_allowance(seed, &arrivals)?;
    }
}

/// Checks rule 4 for a fleet of nodes with little traffic each. The warming server has been listed for a while when most
/// other servers drain and all nodes turn to it at once. Counts the sends of all nodes within a window.
fn check_warming_server_allowance_of_many_nodes(seed: u64) -> Result<(), TestCaseError> {
    const NODES: u32 = 200;
    let mut settings = with_load_reports();
    settings.nodes = NODES;
    settings.safety.slow_start_capacity = 0.12;
    settings.safety.slow_start_window = ms(19_000);
    settings.safety.overload_factor = 1.5;
    settings.safety.overload_window = ms(1500);
    let nodes = 0..NODES;
    let mut harnesses: Vec<_> = nodes
        .map(|node| {
            let mut harness = Harness::with_seed(
                Settings {
                    node,
                    ..settings.clone()
                },
                seed.wrapping_add(node.into()),
            );
            harness.update_endpoints(EndpointUpdate::Full, (0..10).map(endpoint).collect());
            harness
        })
        .collect();
    let run_rounds = |harnesses: &mut Vec<Harness>, rounds: std::ops::Range<u32>| {
        let mut sent = Vec::new();
        for round in rounds {
            for (node, harness) in harnesses.iter_mut().enumerate() {
                // Each node has a request every 500 ms: 400 requests/s in all, 40 for each of ten servers.
                if node as u32 % 10 == round % 10 {
                    let before = harness.log.len();
                    harness.request(0);
                    let sends_to_warming = harness.log[before..]
                        .iter()
                        .filter(|a| matches!(a, Action::Send { server, .. } if server.0 == 10));
                    sent.extend(sends_to_warming.map(|_| round));
                }
                harness.advance(ms(50));
                for (id, attempt) in harness.attempts_in_flight() {
                    harness.end_attempt(id, attempt, Outcome::Served, Some(1.0));
                }
            }
        }
        sent
    };
    run_rounds(&mut harnesses, 0..200);
    for harness in &mut harnesses {
        let started = Some(harness.now);
        harness.update_endpoints(
            EndpointUpdate::Incremental,
            vec![Endpoint {
                started_at: started,
                ..endpoint(10)
            }],
        );
    }
    // Four seconds later most of the other servers drain.
    run_rounds(&mut harnesses, 200..280);
    for harness in &mut harnesses {
        let drain = |n| Endpoint {
            state: ServerState::Draining,
            ..endpoint(n)
        };
        harness.update_endpoints(EndpointUpdate::Incremental, (3..10).map(drain).collect());
    }
    let sent = run_rounds(&mut harnesses, 280..340);
    let capacity = 40.0 / 0.6; // the servers' utilisation was 0.6
    for round in 310..340 {
        let capacity_fraction = 0.12 + 0.88 * f64::from(round - 200) * 0.05 / 19.0;
        let sent_in_window = sent
            .iter()
            .filter(|at| **at <= round && **at + 30 > round)
            .count() as f64;
        let allowed = 1.5 * capacity_fraction * capacity * 1.5;
        prop_assert!(
            sent_in_window <= allowed,
            "rule 4: {} sent within a window, {} allowed",
            sent_in_window,
            allowed
        );
    }
    Ok(())
}

#[test]
fn many_nodes_with_little_traffic_keep_a_warming_server_within_its_allowance() {
    for seed in [1, 1000, 2000] {
        check_warming_server_allowance_of_many_nodes(seed)
            .unwrap_or_else(|error| panic!("{error}"));
    }
}
