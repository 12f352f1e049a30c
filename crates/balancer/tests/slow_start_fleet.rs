//! Rule 4 over a whole fleet: many nodes that know nothing of each other's sends, and one allowance for all of them.
//!
//! A cold server falls when the calls of a judged time, of all nodes together, are more than N + 2 root of N + 2, N being
//! what the settings allow it then. Counted here from what the servers were sent, by an account of its own.

use sillward_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const SERVERS: u64 = 12;
/// What a warm server serves a second.
const CAPACITY: f64 = 10.0;
const STARTED_AT: Duration = Duration::from_secs(1_000_000);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Numbers of its own: none of the deciders' generators is drawn from.
struct Dice(u64);

impl Dice {
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

/// How a fleet is used.
#[derive(Clone, Copy)]
struct Play {
    nodes: u32,
    /// Of what all servers serve warm.
    load: f64,
    /// The first node sees so many times the mean.
    busiest: f64,
    /// So many servers start at once, each time.
    together: u64,
    /// Every start finds a third of the nodes just restarted.
    forgets: bool,
    /// So many processes of each node at once, which share its traffic and its number.
    processes: u32,
    factor: f64,
    probes: bool,
    seconds: f64,
}

const PLAIN: Play = Play {
    nodes: 1,
    load: 0.75,
    busiest: 1.0,
    together: 1,
    forgets: false,
    processes: 1,
    factor: 4.0,
    probes: false,
    seconds: 240.0,
};

#[derive(Debug, Default, PartialEq)]
struct Counted {
    windows: usize,
    breaks: usize,
    /// The most of a window against its bound, and the mean of all against N.
    worst: f64,
    mean: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival(u32),
    Timer(u32, u32, u64),
    Answer {
        node: u32,
        life: u32,
        id: u64,
        attempt: u32,
        server: u64,
        sent: Duration,
        ok: bool,
    },
    Probed(u32, u32, u64),
    Starts,
}

struct Fleet {
    play: Play,
    settings: Settings,
    nodes: Vec<(Balancer, u32)>,
    dice: Dice,
    due: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    set: u64,
    now: Duration,
    started: BTreeMap<u64, Duration>,
    out: BTreeMap<u64, u32>,
    /// Until when each server is busy with what it has.
    busy: BTreeMap<u64, Duration>,
    /// What each server was sent, and when.
    sent: BTreeMap<u64, Vec<Duration>>,
    /// Times of starts, of each server.
    starts: BTreeMap<u64, Vec<Duration>>,
    attempts: BTreeMap<(u32, u32, u64), u32>,
    next: u64,
}

impl Fleet {
    fn new(play: Play, seed: u64) -> Self {
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
            nodes: play.nodes.div_ceil(play.processes),
            classes: vec![class],
            ..Settings::default()
        };
        settings.safety = SafetyRules {
            slow_start_capacity: 0.35,
            slow_start_window: secs(6.0),
            overload_factor: play.factor,
            overload_window: secs(1.5),
            drain_grace: secs(2.0),
            ..settings.safety
        };
        settings.reports = ReportSource::Responses;
        settings.limits.cancel_attempts = true;
        settings.limits.hedging = true;
        settings.limits.max_attempts = 3;
        if play.probes {
            settings.reports = ReportSource::HealthChecks;
            settings.limits.health_checks = true;
            settings.penalties.health_check = 0.002;
        }
        let mut fleet = Fleet {
            play,
            settings,
            nodes: Vec::new(),
            dice: Dice(seed.wrapping_mul(2).wrapping_add(77)),
            due: BinaryHeap::new(),
            set: 0,
            now: STARTED_AT,
            started: BTreeMap::new(),
            out: BTreeMap::new(),
            busy: BTreeMap::new(),
            sent: BTreeMap::new(),
            starts: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next: 0,
        };
        for node in 0..play.nodes {
            let balancer = fleet.fresh(node, seed);
            fleet.nodes.push((balancer, 0));
        }
        for node in 0..play.nodes {
            fleet.list(node);
            fleet.arrive(node);
        }
        // Calm for as long as rates are remembered.
        fleet.at(STARTED_AT + secs(20.0), Due::Starts);
        fleet
    }

    fn fresh(&self, node: u32, seed: u64) -> Balancer {
        let settings = Settings {
            node: node / self.play.processes,
            ..self.settings.clone()
        };
        Balancer::new(
            settings,
            seed.wrapping_mul(1_000_003).wrapping_add(u64::from(node)),
        )
    }

    fn at(&mut self, when: Duration, due: Due) {
        self.set += 1;
        self.due.push(Reverse((when, self.set, due)));
    }

    /// What a node sees a second.
    fn rate(&self, node: u32) -> f64 {
        let (all, nodes) = (
            self.play.load * SERVERS as f64 * CAPACITY,
            f64::from(self.play.nodes),
        );
        let busy = all * (self.play.busiest / nodes).min(1.0);
        if node == 0 {
            busy
        } else {
            (all - busy) / (nodes - 1.0)
        }
    }

    fn arrive(&mut self, node: u32) {
        let rate = self.rate(node);
        if rate > 0.0 {
            let after = self.dice.exponential(rate);
            self.at(self.now + after, Due::Arrival(node));
        }
    }

    fn list(&mut self, node: u32) {
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
        let (balancer, life) = &mut self.nodes[node as usize];
        let life = *life;
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(node, life, id.0, server.0),
                Action::SetTimer { after, token } => {
                    self.at(self.now + after, Due::Timer(node, life, token))
                }
                Action::HealthCheck { server } => {
                    // A deep probe is served like a call.
                    self.sent.entry(server.0).or_default().push(self.now);
                    self.at(self.now + secs(0.01), Due::Probed(node, life, server.0));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: u32, life: u32, id: u64, server: u64) {
        self.sent.entry(server).or_default().push(self.now);
        let out = self.out.entry(server).or_default();
        *out += 1;
        // It works off one call after the other, slower while it is cold. What would come after its time is dropped, and
        // one call in twenty fails; both are sent again.
        let warm = self.started.get(&server).map_or(1.0, |at| {
            let age = (self.now - *at).as_secs_f64()
                / self.settings.safety.slow_start_window.as_secs_f64();
            (self.settings.safety.slow_start_capacity
                + (1.0 - self.settings.safety.slow_start_capacity) * age)
                .min(1.0)
        });
        let begins = self
            .busy
            .get(&server)
            .copied()
            .unwrap_or_default()
            .max(self.now);
        let done = begins + secs(1.0 / (CAPACITY * warm));
        let late = done > self.now + secs(0.9);
        if !late {
            self.busy.insert(server, done);
        }
        let time = if late {
            secs(0.9)
        } else {
            done - self.now + secs(0.01)
        };
        let ok = !late && self.dice.fraction() > 0.05;
        let attempt = self.attempts.entry((node, life, id)).or_default();
        let number = std::mem::replace(attempt, *attempt + 1);
        let sent = self.now;
        self.at(
            self.now + time,
            Due::Answer {
                node,
                life,
                id,
                attempt: number,
                server,
                sent,
                ok,
            },
        );
    }

    fn run(mut self) -> Counted {
        let end = STARTED_AT + secs(self.play.seconds);
        while let Some(Reverse((when, _, due))) = self.due.pop() {
            if when > end {
                break;
            }
            self.now = when;
            match due {
                Due::Arrival(node) => {
                    self.next += 1;
                    let id = RequestId(self.next);
                    let new = NewRequest {
                        id,
                        remaining: secs(1.0),
                        ..NewRequest::default()
                    };
                    self.handle(node, Event::Request(new));
                    self.arrive(node);
                }
                Due::Timer(node, life, token) if self.nodes[node as usize].1 == life => {
                    self.handle(node, Event::Timer { token });
                }
                Due::Answer {
                    node,
                    life,
                    id,
                    attempt,
                    server,
                    sent,
                    ok,
                } => {
                    let out = self.out.entry(server).or_default();
                    *out -= 1;
                    let load = LoadReport {
                        in_flight: Some(*out as f32),
                        ..LoadReport::default()
                    };
                    if self.nodes[node as usize].1 == life {
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
                Due::Probed(node, life, server) if self.nodes[node as usize].1 == life => {
                    let load = self.out.get(&server).copied().unwrap_or_default() as f32;
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
                Due::Timer(..) | Due::Probed(..) => {}
                Due::Starts => self.servers_start(),
            }
        }
        self.count()
    }

    /// Servers start anew, all nodes are told, and the next ones follow once these are warm.
    fn servers_start(&mut self) {
        let first = (self.dice.fraction() * SERVERS as f64) as u64;
        for server in (0..self.play.together.min(SERVERS)).map(|i| (first + i) % SERVERS) {
            self.started.insert(server, self.now);
            self.starts.entry(server).or_default().push(self.now);
        }
        for node in 0..self.play.nodes {
            if self.play.forgets && node % 3 == 0 {
                let life = self.nodes[node as usize].1 + 1;
                let balancer = self.fresh(node, self.now.as_nanos() as u64);
                self.nodes[node as usize] = (balancer, life);
            }
            self.list(node);
        }
        self.at(self.now + secs(8.0), Due::Starts);
    }

    fn count(&self) -> Counted {
        let rules = self.settings.safety;
        let (mut counted, mut ratios) = (Counted::default(), 0.0);
        for (server, starts) in &self.starts {
            let sent = self.sent.get(server).map_or(&[][..], Vec::as_slice);
            for start in starts {
                let mut from = *start;
                while from + rules.overload_window < *start + rules.slow_start_window {
                    let to = from + rules.overload_window;
                    let age = (from + rules.overload_window / 2 - *start).as_secs_f64();
                    let warm = rules.slow_start_capacity
                        + (1.0 - rules.slow_start_capacity) * age
                            / rules.slow_start_window.as_secs_f64();
                    let allowed = rules.overload_factor
                        * warm
                        * CAPACITY
                        * rules.overload_window.as_secs_f64();
                    let calls = sent.iter().filter(|at| (from..to).contains(*at)).count() as f64;
                    let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
                    counted.windows += 1;
                    counted.breaks += usize::from(calls > bound);
                    counted.worst = counted.worst.max(calls / bound);
                    ratios += calls / allowed;
                    from += rules.overload_window / 4;
                }
            }
        }
        counted.mean = ratios / counted.windows.max(1) as f64;
        counted
    }
}

/// Plays it on several seeds.
fn played(play: Play, seeds: u64) -> Counted {
    let mut all = Counted::default();
    for seed in 0..seeds {
        let one = Fleet::new(play, seed).run();
        all.mean += one.mean * one.windows as f64;
        (all.windows, all.breaks) = (all.windows + one.windows, all.breaks + one.breaks);
        all.worst = all.worst.max(one.worst);
    }
    all.mean /= all.windows.max(1) as f64;
    all
}

/// The hard cases: traffic uneven, nodes that restarted and forgot, more calls than all can serve, servers that may be sent
/// little more than they serve, some or all of them cold at once, probes.
fn plays(nodes: u32) -> Vec<(&'static str, Play)> {
    let plain = Play { nodes, ..PLAIN };
    let all = Play {
        together: SERVERS,
        ..plain
    };
    vec![
        (
            "uneven",
            Play {
                busiest: 6.0,
                ..plain
            },
        ),
        (
            "uneven, forgets",
            Play {
                busiest: 4.0,
                forgets: true,
                ..plain
            },
        ),
        (
            "little to spare",
            Play {
                factor: 1.2,
                load: 1.6,
                ..plain
            },
        ),
        (
            "half cold, overload",
            Play {
                together: SERVERS / 2,
                load: 3.0,
                ..plain
            },
        ),
        (
            "half cold, two processes",
            Play {
                together: SERVERS / 2,
                load: 3.0,
                processes: 2,
                ..plain
            },
        ),
        (
            "all cold",
            Play {
                busiest: 4.0,
                ..all
            },
        ),
        ("all cold, overload", Play { load: 3.0, ..all }),
        (
            "all cold, overload, forgets",
            Play {
                load: 3.0,
                forgets: true,
                ..all
            },
        ),
        (
            "all cold, probes",
            Play {
                load: 1.6,
                probes: true,
                ..all
            },
        ),
    ]
}

#[test]
fn all_nodes_together_keep_the_bound_of_every_warming_server() {
    std::thread::scope(|threads| {
        for nodes in [1, 3, 20, 30, 300] {
            threads.spawn(move || {
                for (name, play) in plays(nodes) {
                    let counted = played(play, 1);
                    println!(
                        "{nodes:4} nodes, {name:28} {} of {} windows break; worst {:.2} of the bound, mean {:.3} of N",
                        counted.breaks, counted.windows, counted.worst, counted.mean
                    );
                    assert_eq!(counted.breaks, 0, "{nodes} nodes, {name}: {counted:?}");
                    // And they are used: else nothing would be shown.
                    assert!(counted.windows > 300 && counted.mean > 0.0, "{nodes} nodes, {name}: {counted:?}");
                }
            });
        }
    });
}

/// Permits that come at even times add up with less chance than draws that know nothing of each other, so few nodes may aim
/// nearer to the bound, and use what they may.
#[test]
fn few_nodes_use_most_of_what_a_warming_server_may_get() {
    for nodes in [1, 3] {
        let counted = played(
            Play {
                nodes,
                factor: 1.2,
                load: 1.6,
                ..PLAIN
            },
            2,
        );
        println!(
            "{nodes:4} nodes: mean {:.3} of N, worst {:.2} of the bound",
            counted.mean, counted.worst
        );
        assert_eq!(counted.breaks, 0, "{nodes} nodes: {counted:?}");
        assert!(counted.mean > 0.62, "{nodes} nodes: {counted:?}");
    }
}

/// Where load is probed a cold server shows no sign, since it is not probed: its permit stands for one.
#[test]
fn uses_a_warming_server_where_load_is_health_checked() {
    for nodes in [3, 20] {
        let counted = played(
            Play {
                nodes,
                probes: true,
                load: 0.5,
                ..PLAIN
            },
            2,
        );
        println!(
            "{nodes:4} nodes: mean {:.3} of N, worst {:.2} of the bound",
            counted.mean, counted.worst
        );
        assert_eq!(counted.breaks, 0, "{nodes} nodes: {counted:?}");
        assert!(counted.mean > 0.18, "{nodes} nodes: {counted:?}");
    }
}
