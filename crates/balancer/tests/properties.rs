//! Random legal histories: the four rules hold in each, and the same history gives the same actions.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use sillward_balancer::*;

/// One step of a history. The numbers choose among what is there at that point.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        remaining: u64,
        cost: Option<u64>,
    },
    End {
        which: usize,
        outcome: usize,
        load: Option<u8>,
    },
    Probe {
        load: Option<u8>,
    },
    Leave {
        which: usize,
    },
    List {
        full: bool,
        lines: Vec<(u64, u8, bool)>,
    },
    Fail,
    Pass {
        time: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let load = || prop::option::of(0u8..4);
    prop_oneof![
        6 => (0usize..5, 1u64..1500, prop::option::of(1u64..600))
            .prop_map(|(class, remaining, cost)| Step::Request { class, remaining, cost }),
        6 => (any::<usize>(), 0usize..8, load()).prop_map(|(which, outcome, load)| Step::End { which, outcome, load }),
        3 => load().prop_map(|load| Step::Probe { load }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        1 => (any::<bool>(), prop::collection::vec((0u64..6, 0u8..8, any::<bool>()), 0..5))
            .prop_map(|(full, lines)| Step::List { full, lines }),
        1 => Just(Step::Fail),
        4 => (1u64..400).prop_map(|time| Step::Pass { time }),
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

fn play(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut world = World::seeded(settings, seed);
    world.list(EndpointUpdate::Cached, (0..4).map(entry).collect());
    for step in steps {
        match step {
            Step::Request {
                class,
                remaining,
                cost,
            } => {
                world.request_with(*class, 0, ms(*remaining), cost.map(ms));
            }
            Step::End {
                which,
                outcome,
                load,
            } => {
                let out = world.out();
                if !out.is_empty() {
                    let (id, attempt) = out[which % out.len()];
                    world.end(id, attempt, OUTCOMES[*outcome], load.map(f32::from));
                }
            }
            Step::Probe { load } => drop(world.end_health_check(load.map(f32::from))),
            Step::Leave { which } => {
                let open = world.open();
                if !open.is_empty() {
                    world.client_leaves(open[which % open.len()]);
                }
            }
            Step::List { full, lines } => {
                let now = world.now;
                let lines = lines.iter().map(|(number, state, restarted)| {
                    let state = match state {
                        0 => ServerState::Removed,
                        1 => ServerState::Draining,
                        _ => ServerState::Ready,
                    };
                    let started = restarted.then_some(now);
                    Endpoint {
                        state,
                        started_at: started,
                        ..entry(*number)
                    }
                });
                let kind = if *full {
                    EndpointUpdate::Full
                } else {
                    EndpointUpdate::Incremental
                };
                let lines = lines
                    .filter(|e| !full || e.state != ServerState::Removed)
                    .collect();
                world.list(kind, lines);
            }
            Step::Fail => drop(world.handle(Event::EndpointList {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            })),
            Step::Pass { time } => world.pass(ms(*time)),
        }
    }
    world.pass(ms(1600));
    assert!(
        world.open().is_empty(),
        "rule 1: {:?} left without an answer",
        world.open()
    );
    assert!(world.out().is_empty());
    world.log
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
        prop_assert_eq!(play(settings.clone(), seed, &steps), play(settings, seed, &steps));
    }

    #[test]
    fn safety_rules_hold_with_load_from_responses(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = with_load_reports();
        settings.limits.hedging = false;
        settings.safety.drain_grace = ms(0);
        settings.poll_endpoint_list = true;
        play(settings, seed, &steps);
    }

    #[test]
    fn safety_rules_hold_where_little_is_allowed(seed: u64, steps in prop::collection::vec(step(), 1..120)) {
        let mut settings = settings();
        settings.limits = Limits { max_attempts: 1, cancel_attempts: false, ..Settings::default().limits };
        settings.nodes = 1;
        settings.safety.drain_grace = ms(0);
        play(settings, seed, &steps);
    }
}

/// Rule 4, by an account of its own. This node is the only one with traffic, so the whole allowance of a cold
/// server is its to keep: multiple x present capacity x span, with one request of slack.
fn cold_server_is_spared(seed: u64, arrivals: &[(usize, u64)]) -> Result<(), TestCaseError> {
    const COLD: ServerId = ServerId(9);
    let work = ms(20); // so a warm server's capacity is 50 requests a second
    let mut settings = with_load_reports();
    settings.safety.slow_start_capacity = 0.05;
    settings.safety.slow_start_window = ms(20_000);
    settings.safety.overload_factor = 4.0;
    settings.safety.overload_window = ms(1500);
    let mut world = World::seeded(settings, seed);
    world.list(EndpointUpdate::Full, (0..3).map(entry).collect());
    let mut free_at = std::collections::BTreeMap::new();
    let (mut seen, mut cold, mut began) = (0, Vec::new(), None);
    for (step, (requests, pause)) in arrivals.iter().enumerate() {
        if step == arrivals.len() / 3 {
            began = Some(world.now);
            world.list(
                EndpointUpdate::Incremental,
                vec![Endpoint {
                    started_at: began,
                    ..entry(COLD.0)
                }],
            );
        }
        (0..*requests).for_each(|_| drop(world.request(0)));
        for _ in 0..*pause {
            world.pass(ms(1));
            // Each server serves one request after the other.
            for (id, attempt) in world.out() {
                let server = world.server_of(id, attempt);
                let free = free_at.entry(server).or_insert(world.now);
                if *free <= world.now && !world.answered(id) {
                    *free = world.now + work;
                    world.end(id, attempt, Outcome::Served, Some(0.0));
                }
            }
        }
        let to_cold = |a: &&Action| matches!(a, Action::Send { server: COLD, .. });
        let sends = world.log[seen..].iter().filter(to_cold).count();
        cold.extend(std::iter::repeat_n(world.now, sends));
        seen = world.log.len();
        if let Some(began) = began {
            let warmth = 0.05 + 0.95 * (world.now - began).as_secs_f64() / 20.0;
            let span = cold
                .iter()
                .filter(|at| **at + ms(1500) >= world.now)
                .count() as f64;
            let allowed = 4.0 * warmth * 50.0 * 1.5 + 1.0;
            prop_assert!(
                span <= allowed,
                "rule 4: {} sent within a span, {} allowed",
                span,
                allowed
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config { cases: 10, ..config() })]

    #[test]
    fn spares_a_warming_server(seed: u64, arrivals in prop::collection::vec((0usize..12, 1u64..60), 120..240)) {
        cold_server_is_spared(seed, &arrivals)?;
    }
}

/// Rule 4 at full size: hundreds of quiet nodes, none of which alone sends much, and one cold server that has
/// been listed for a while when all of them turn to it at once. Counts what all together send it in a span.
fn many_nodes_spare_a_cold_server(seed: u64) -> Result<(), TestCaseError> {
    const NODES: u32 = 200;
    let mut settings = with_load_reports();
    settings.nodes = NODES;
    settings.safety.slow_start_capacity = 0.12;
    settings.safety.slow_start_window = ms(19_000);
    settings.safety.overload_factor = 1.5;
    settings.safety.overload_window = ms(1500);
    let nodes = 0..NODES;
    let mut worlds: Vec<_> = nodes
        .map(|node| {
            let mut world = World::seeded(
                Settings {
                    node,
                    ..settings.clone()
                },
                seed.wrapping_add(node.into()),
            );
            world.list(EndpointUpdate::Full, (0..10).map(entry).collect());
            world
        })
        .collect();
    let turn = |worlds: &mut Vec<World>, rounds: std::ops::Range<u32>| {
        let mut sent = Vec::new();
        for round in rounds {
            for (node, world) in worlds.iter_mut().enumerate() {
                // Each node has a request every 500 ms, 400 a second in all: 40 a second for each of ten.
                if node as u32 % 10 == round % 10 {
                    let before = world.log.len();
                    world.request(0);
                    let cold = world.log[before..]
                        .iter()
                        .filter(|a| matches!(a, Action::Send { server, .. } if server.0 == 10));
                    sent.extend(cold.map(|_| round));
                }
                world.pass(ms(50));
                for (id, attempt) in world.out() {
                    world.end(id, attempt, Outcome::Served, Some(1.0));
                }
            }
        }
        sent
    };
    turn(&mut worlds, 0..200);
    for world in &mut worlds {
        let started = Some(world.now);
        world.list(
            EndpointUpdate::Incremental,
            vec![Endpoint {
                started_at: started,
                ..entry(10)
            }],
        );
    }
    // Four seconds later most of the others drain.
    turn(&mut worlds, 200..280);
    for world in &mut worlds {
        let drain = |n| Endpoint {
            state: ServerState::Draining,
            ..entry(n)
        };
        world.list(EndpointUpdate::Incremental, (3..10).map(drain).collect());
    }
    let sent = turn(&mut worlds, 280..340);
    let capacity = 40.0 / 0.6; // the servers were in use for six tenths
    for round in 310..340 {
        let warmth = 0.12 + 0.88 * f64::from(round - 200) * 0.05 / 19.0;
        let span = sent
            .iter()
            .filter(|at| **at <= round && **at + 30 > round)
            .count() as f64;
        let allowed = 1.5 * warmth * capacity * 1.5;
        prop_assert!(
            span <= allowed,
            "rule 4: {} sent within a span, {} allowed",
            span,
            allowed
        );
    }
    Ok(())
}

#[test]
fn hundreds_of_quiet_nodes_spare_a_warming_server() {
    for seed in [1, 1000, 2000] {
        many_nodes_spare_a_cold_server(seed).unwrap_or_else(|broken| panic!("{broken}"));
    }
}
