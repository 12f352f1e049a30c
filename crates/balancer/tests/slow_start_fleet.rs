//! Slow start across a fleet: many nodes, which do not know each other's sends, share one allowance per warming server.
//!
//! A warming server is overloaded when all nodes together send it more than N + 2 sqrt(N) + 2 requests in a window, where N
//! is the allowance that the settings give it at that time. The test counts the sends itself.

use sillward_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const SERVERS: u64 = 12;
/// Capacity of a warm server, in requests per second.
const CAPACITY: f64 = 10.0;
const STARTED_AT: Duration = Duration::from_secs(1_000_000);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// A generator of its own, so that the test does not draw from the balancers' generators.
struct Random(u64);

impl Random {
    fn fraction(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 11) as f64 / 2f64.powi(53)
    }
    fn exponential(&mut self, rate: f64) -> Duration {
        secs(-(1.0 - self.fraction()).ln() / rate)
    }
}

/// The load and the events of a simulated fleet.
#[derive(Clone, Copy)]
struct Scenario {
    nodes: u32,
    /// Request rate as a fraction of the capacity of all servers when warm.
    load: f64,
    /// Request rate of node 0, as a multiple of the nodes' mean.
    busiest_node_factor: f64,
    /// Number of servers that start at the same time.
    simultaneous_starts: u64,
    /// Whether a third of the nodes restarts, and loses its state, whenever servers start.
    nodes_restart: bool,
    /// Number of concurrent processes per node, which share its traffic and node number.
    processes: u32,
    overload_factor: f64,
    health_checks: bool,
    seconds: f64,
}

const BASE_SCENARIO: Scenario = Scenario {
    nodes: 1,
    load: 0.75,
    busiest_node_factor: 1.0,
    simultaneous_starts: 1,
    nodes_restart: false,
    processes: 1,
    overload_factor: 4.0,
    health_checks: false,
    seconds: 240.0,
};

#[derive(Debug, Default, PartialEq)]
struct WindowStats {
    windows: usize,
    violations: usize,
    /// The highest ratio of a window's sends to its bound.
    worst_ratio: f64,
    /// The mean ratio of a window's sends to its allowance N.
    mean_ratio: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival(u32),
    Timer(u32, u32, u64),
    AttemptEnd {
        node: u32,
        generation: u32,
        id: u64,
        attempt: u32,
        server: u64,
        sent: Duration,
        ok: bool,
    },
    HealthCheckEnd(u32, u32, u64),
    ServerStarts,
}

struct Fleet {
    scenario: Scenario,
    settings: Settings,
    /// Each node's balancer, and how often the node has restarted.
    nodes: Vec<(Balancer, u32)>,
    random: Random,
    queue: BinaryHeap<Reverse<(Duration, u64, ScheduledEvent)>>,
    scheduled: u64,
    now: Duration,
    /// The last start time of each server that has restarted.
    started: BTreeMap<u64, Duration>,
    in_flight: BTreeMap<u64, u32>,
    /// When each server finishes the requests that it has.
    busy_until: BTreeMap<u64, Duration>,
    /// The times of all sends to each server.
    sent: BTreeMap<u64, Vec<Duration>>,
    /// All start times of each server.
    starts: BTreeMap<u64, Vec<Duration>>,
    attempts: BTreeMap<(u32, u32, u64), u32>,
    last_request: u64,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let class = Class {
            latency_objective: secs(0.4),
            objective_stretch: 0.0,
            deadline: secs(1.0),
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::Idempotent,
            streamed: false,
        };
        let mut settings = Settings {
            nodes: scenario.nodes.div_ceil(scenario.processes),
            classes: vec![class],
            ..Settings::default()
        };
        settings.safety = SafetyRules {
            slow_start_capacity: 0.35,
            slow_start_window: secs(6.0),
            overload_factor: scenario.overload_factor,
            overload_window: secs(1.5),
            drain_grace: secs(2.0),
            ..settings.safety
        };
        settings.reports = ReportSource::Responses;
        settings.limits.cancel_attempts = true;
        settings.limits.hedging = true;
        settings.limits.max_attempts = 3;
        if scenario.health_checks {
            settings.reports = ReportSource::HealthChecks;
            settings.limits.health_checks = true;
            settings.penalties.health_check = 0.002;
        }
        let mut fleet = Fleet {
            scenario,
            settings,
            nodes: Vec::new(),
            random: Random(seed.wrapping_mul(2).wrapping_add(77)),
            queue: BinaryHeap::new(),
            scheduled: 0,
            now: STARTED_AT,
            started: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            sent: BTreeMap::new(),
            starts: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_request: 0,
        };
        for node in 0..scenario.nodes {
            let balancer = fleet.new_balancer(node, seed);
            fleet.nodes.push((balancer, 0));
        }
        for node in 0..scenario.nodes {
            fleet.send_endpoint_list(node);
            fleet.schedule_arrival(node);
        }
        // No server starts within the time over which the nodes measure request rates.
        fleet.schedule(STARTED_AT + secs(20.0), ScheduledEvent::ServerStarts);
        fleet
    }

    fn new_balancer(&self, node: u32, seed: u64) -> Balancer {
        let settings = Settings {
            node: node / self.scenario.processes,
            ..self.settings.clone()
        };
        Balancer::new(
            settings,
            seed.wrapping_mul(1_000_003).wrapping_add(u64::from(node)),
        )
    }

    fn schedule(&mut self, when: Duration, event: ScheduledEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse((when, self.scheduled, event)));
    }

    /// Request rate of a node, per second.
    fn arrival_rate(&self, node: u32) -> f64 {
        let (all, nodes) = (
            self.scenario.load * SERVERS as f64 * CAPACITY,
            f64::from(self.scenario.nodes),
        );
        let busy = all * (self.scenario.busiest_node_factor / nodes).min(1.0);
        if node == 0 {
            busy
        } else {
            (all - busy) / (nodes - 1.0)
        }
    }

    fn schedule_arrival(&mut self, node: u32) {
        let rate = self.arrival_rate(node);
        if rate > 0.0 {
            let after = self.random.exponential(rate);
            self.schedule(self.now + after, ScheduledEvent::Arrival(node));
        }
    }

    fn send_endpoint_list(&mut self, node: u32) {
        let entries = (0..SERVERS).map(|id| Endpoint {
            id: ServerId(id),
            state: ServerState::Ready,
            weight: 1.0,
            started_at: self.started.get(&id).copied(),
            ..Endpoint::default()
        });
        let event = Event::EndpointList {
            update: EndpointUpdate::Full,
            endpoints: entries.collect(),
        };
        self.handle(node, event);
    }

    fn handle(&mut self, node: u32, event: Event) {
        let mut actions = Vec::new();
        let (balancer, generation) = &mut self.nodes[node as usize];
        let generation = *generation;
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(node, generation, id.0, server.0),
                Action::SetTimer { after, token } => self.schedule(
                    self.now + after,
                    ScheduledEvent::Timer(node, generation, token),
                ),
                Action::HealthCheck { server } => {
                    // A health check costs the server as much as a request.
                    self.sent.entry(server.0).or_default().push(self.now);
                    self.schedule(
                        self.now + secs(0.01),
                        ScheduledEvent::HealthCheckEnd(node, generation, server.0),
                    );
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: u32, generation: u32, id: u64, server: u64) {
        self.sent.entry(server).or_default().push(self.now);
        let in_flight = self.in_flight.entry(server).or_default();
        *in_flight += 1;
        // A server processes one request at a time, more slowly while it warms up. Requests that would finish too late are
        // dropped and one in twenty fails, so the nodes retry both.
        let capacity_fraction = self.started.get(&server).map_or(1.0, |at| {
            let age = (self.now - *at).as_secs_f64()
                / self.settings.safety.slow_start_window.as_secs_f64();
            (self.settings.safety.slow_start_capacity
                + (1.0 - self.settings.safety.slow_start_capacity) * age)
                .min(1.0)
        });
        let begins = self
            .busy_until
            .get(&server)
            .copied()
            .unwrap_or_default()
            .max(self.now);
        let done = begins + secs(1.0 / (CAPACITY * capacity_fraction));
        let late = done > self.now + secs(0.9);
        if !late {
            self.busy_until.insert(server, done);
        }
        let time = if late {
            secs(0.9)
        } else {
            done - self.now + secs(0.01)
        };
        let ok = !late && self.random.fraction() > 0.05;
        let attempt = self.attempts.entry((node, generation, id)).or_default();
        let number = std::mem::replace(attempt, *attempt + 1);
        let sent = self.now;
        self.schedule(
            self.now + time,
            ScheduledEvent::AttemptEnd {
                node,
                generation,
                id,
                attempt: number,
                server,
                sent,
                ok,
            },
        );
    }

    fn run(mut self) -> WindowStats {
        let end = STARTED_AT + secs(self.scenario.seconds);
        while let Some(Reverse((when, _, event))) = self.queue.pop() {
            if when > end {
                break;
            }
            self.now = when;
            match event {
                ScheduledEvent::Arrival(node) => {
                    self.last_request += 1;
                    let id = RequestId(self.last_request);
                    let new = NewRequest {
                        id,
                        remaining: secs(1.0),
                        ..NewRequest::default()
                    };
                    self.handle(node, Event::Request(new));
                    self.schedule_arrival(node);
                }
                ScheduledEvent::Timer(node, generation, token)
                    if self.nodes[node as usize].1 == generation =>
                {
                    self.handle(node, Event::Timer { token });
                }
                ScheduledEvent::AttemptEnd {
                    node,
                    generation,
                    id,
                    attempt,
                    server,
                    sent,
                    ok,
                } => {
                    let in_flight = self.in_flight.entry(server).or_default();
                    *in_flight -= 1;
                    let load = LoadReport {
                        in_flight: Some(*in_flight as f32),
                        ..LoadReport::default()
                    };
                    if self.nodes[node as usize].1 == generation {
                        let end = AttemptEnd {
                            id: RequestId(id),
                            attempt,
                            server: ServerId(server),
                            outcome: if ok { Outcome::Served } else { Outcome::Error },
                            elapsed: self.now - sent,
                            has_final_response: ok,
                            body_consumed: false,
                            report: ok.then_some(load),
                        };
                        self.handle(node, Event::AttemptEnded(end));
                    }
                }
                ScheduledEvent::HealthCheckEnd(node, generation, server)
                    if self.nodes[node as usize].1 == generation =>
                {
                    let load = self.in_flight.get(&server).copied().unwrap_or_default() as f32;
                    let report = Some(LoadReport {
                        in_flight: Some(load),
                        ..LoadReport::default()
                    });
                    let server = ServerId(server);
                    let (outcome, elapsed) = (Outcome::Served, secs(0.01));
                    self.handle(
                        node,
                        Event::HealthChecked(HealthCheckEnd {
                            server,
                            outcome,
                            elapsed,
                            report,
                        }),
                    );
                }
                ScheduledEvent::Timer(..) | ScheduledEvent::HealthCheckEnd(..) => {}
                ScheduledEvent::ServerStarts => self.start_servers(),
            }
        }
        self.window_stats()
    }

    /// Restarts servers, sends all nodes the new endpoint list, and schedules the next start for when these are warm.
    fn start_servers(&mut self) {
        let first = (self.random.fraction() * SERVERS as f64) as u64;
        for server in
            (0..self.scenario.simultaneous_starts.min(SERVERS)).map(|i| (first + i) % SERVERS)
        {
            self.started.insert(server, self.now);
            self.starts.entry(server).or_default().push(self.now);
        }
        for node in 0..self.scenario.nodes {
            if self.scenario.nodes_restart && node % 3 == 0 {
                let generation = self.nodes[node as usize].1 + 1;
                let balancer = self.new_balancer(node, self.now.as_nanos() as u64);
                self.nodes[node as usize] = (balancer, generation);
            }
            self.send_endpoint_list(node);
        }
        self.schedule(self.now + secs(8.0), ScheduledEvent::ServerStarts);
    }

    fn window_stats(&self) -> WindowStats {
        let rules = self.settings.safety;
        let (mut stats, mut ratios) = (WindowStats::default(), 0.0);
        for (server, starts) in &self.starts {
            let sent = self.sent.get(server).map_or(&[][..], Vec::as_slice);
            for start in starts {
                let mut from = *start;
                while from + rules.overload_window < *start + rules.slow_start_window {
                    let to = from + rules.overload_window;
                    let age = (from + rules.overload_window / 2 - *start).as_secs_f64();
                    let capacity_fraction = rules.slow_start_capacity
                        + (1.0 - rules.slow_start_capacity) * age
                            / rules.slow_start_window.as_secs_f64();
                    let allowed = rules.overload_factor
                        * capacity_fraction
                        * CAPACITY
                        * rules.overload_window.as_secs_f64();
                    let sends = sent.iter().filter(|at| (from..to).contains(*at)).count() as f64;
                    let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
                    stats.windows += 1;
                    stats.violations += usize::from(sends > bound);
                    stats.worst_ratio = stats.worst_ratio.max(sends / bound);
                    ratios += sends / allowed;
                    from += rules.overload_window / 4;
                }
            }
        }
        stats.mean_ratio = ratios / stats.windows.max(1) as f64;
        stats
    }
}

/// Runs a scenario with several seeds and combines the results.
fn run_seeds(scenario: Scenario, seeds: u64) -> WindowStats {
    let mut all = WindowStats::default();
    for seed in 0..seeds {
        let result = Fleet::new(scenario, seed).run();
        all.mean_ratio += result.mean_ratio * result.windows as f64;
        (all.windows, all.violations) = (
            all.windows + result.windows,
            all.violations + result.violations,
        );
        all.worst_ratio = all.worst_ratio.max(result.worst_ratio);
    }
    all.mean_ratio /= all.windows.max(1) as f64;
    all
}

/// The difficult cases: uneven traffic, restarted nodes, overload, an allowance just above the capacity, some or all servers
/// warming up at once, and health checks.
fn scenarios(nodes: u32) -> Vec<(&'static str, Scenario)> {
    let base = Scenario {
        nodes,
        ..BASE_SCENARIO
    };
    let all = Scenario {
        simultaneous_starts: SERVERS,
        ..base
    };
    vec![
        (
            "uneven",
            Scenario {
                busiest_node_factor: 6.0,
                ..base
            },
        ),
        (
            "uneven, restarts",
            Scenario {
                busiest_node_factor: 4.0,
                nodes_restart: true,
                ..base
            },
        ),
        (
            "small allowance, overload",
            Scenario {
                overload_factor: 1.2,
                load: 1.6,
                ..base
            },
        ),
        (
            "half warming, overload",
            Scenario {
                simultaneous_starts: SERVERS / 2,
                load: 3.0,
                ..base
            },
        ),
        (
            "half warming, two processes",
            Scenario {
                simultaneous_starts: SERVERS / 2,
                load: 3.0,
                processes: 2,
                ..base
            },
        ),
        (
            "all warming",
            Scenario {
                busiest_node_factor: 4.0,
                ..all
            },
        ),
        ("all warming, overload", Scenario { load: 3.0, ..all }),
        (
            "all warming, overload, restarts",
            Scenario {
                load: 3.0,
                nodes_restart: true,
                ..all
            },
        ),
        (
            "all warming, health checks",
            Scenario {
                load: 1.6,
                health_checks: true,
                ..all
            },
        ),
    ]
}

#[test]
fn all_nodes_together_stay_within_the_bound_of_every_warming_server() {
    std::thread::scope(|threads| {
        for nodes in [1, 3, 20, 30, 300] {
            threads.spawn(move || {
                for (name, scenario) in scenarios(nodes) {
                    let stats = run_seeds(scenario, 1);
                    println!(
                        "{nodes:4} nodes, {name:32} {} of {} windows violate the bound; worst {:.2} of the bound, mean {:.3} of N",
                        stats.violations, stats.windows, stats.worst_ratio, stats.mean_ratio
                    );
                    assert_eq!(stats.violations, 0, "{nodes} nodes, {name}: {stats:?}");
                    // The warming servers must be used, or the test would show nothing.
                    assert!(stats.windows > 300 && stats.mean_ratio > 0.0, "{nodes} nodes, {name}: {stats:?}");
                }
            });
        }
    });
}

/// Evenly spaced permits add up with less variance than independent random draws, so with few nodes the sends may come
/// closer to the bound. The test checks that they do.
#[test]
fn few_nodes_use_most_of_a_warming_servers_allowance() {
    for nodes in [1, 3] {
        let stats = run_seeds(
            Scenario {
                nodes,
                overload_factor: 1.2,
                load: 1.6,
                ..BASE_SCENARIO
            },
            2,
        );
        println!(
            "{nodes:4} nodes: mean {:.3} of N, worst {:.2} of the bound",
            stats.mean_ratio, stats.worst_ratio
        );
        assert_eq!(stats.violations, 0, "{nodes} nodes: {stats:?}");
        assert!(stats.mean_ratio > 0.62, "{nodes} nodes: {stats:?}");
    }
}

/// Where load comes from health checks, a warming server gives no idle signal because it is not checked: a permit takes its
/// place.
#[test]
fn uses_a_warming_server_where_load_comes_from_health_checks() {
    for nodes in [3, 20] {
        let stats = run_seeds(
            Scenario {
                nodes,
                health_checks: true,
                load: 0.5,
                ..BASE_SCENARIO
            },
            2,
        );
        println!(
            "{nodes:4} nodes: mean {:.3} of N, worst {:.2} of the bound",
            stats.mean_ratio, stats.worst_ratio
        );
        assert_eq!(stats.violations, 0, "{nodes} nodes: {stats:?}");
        assert!(stats.mean_ratio > 0.18, "{nodes} nodes: {stats:?}");
    }
}
