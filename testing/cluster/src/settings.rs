//! The scenario `settings`: a class is made safe and unsafe by turns, each time with a fault on the way; boxes lose the answers of
//! some of its calls, and see who sends them again.
//!
//! What is checked was seen from outside: no box gets a call a second time while a version that makes its class unsafe is in
//! force, as an operator was told by any node; no version that was confirmed is lost or stands for two changes; and calls are
//! served as without a change.

use crate::fleet::{Agreed, Asked, DROPPED, Fleet, Options, post};
use crate::members::Verdict;
use crate::relays::Way;
use crate::script::{Fault, Folder, What, Which};
use serde_json::{Value, json};
use sillward_fleet_settings::{FleetSettings, Idempotency, Key, Value as Held};
use sillward_test_servers::peers::Client;
use sillward_test_servers::random::Random;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Kinds of rounds.
pub const ROUNDS: [&str; 8] = [
    "calm", "cut-off", "late", "pause", "restart", "leader", "halves", "bounce",
];
const CLASS: &str = "read";
/// A version that nothing holds up is in force within so long, and one that something does within so much more than W.
const FORCE_MS: u64 = 20_000;
/// What a call may take from its second send to the box's sight of it, in microseconds.
const SIGHT_US: u64 = 30_000;

/// How it is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// The fleet.
    pub options: Options,
    /// Voters: the first so many nodes.
    pub voters: usize,
    /// W.
    pub bound_ms: u64,
    /// Rounds, by their kinds; drawn if there are none.
    pub rounds: Vec<String>,
    /// How many are drawn.
    pub count: usize,
}

/// A change, as an operator sees it.
#[derive(Clone, Copy, Debug)]
struct Change {
    number: u64,
    safe: bool,
    /// When it was handed in, was confirmed, and was said to be in force.
    asked_us: u64,
    confirmed_us: u64,
    force_us: u64,
}

/// Plays it.
///
/// # Errors
/// The ground could not be laid, or a process did not start: no verdict.
pub fn play(play: &Play) -> Result<Verdict, String> {
    let options = Options {
        agreed: Some(Agreed {
            voters: play.voters,
            bound_ms: play.bound_ms,
        }),
        ..play.options.clone()
    };
    let mut random = Random::new(options.seed.wrapping_mul(0x9e37_79b9).wrapping_add(29));
    let mut drawn = || {
        (0..play.count)
            .map(|_| ROUNDS[random.below(ROUNDS.len())].to_owned())
            .collect()
    };
    let rounds: Vec<String> = if play.rounds.is_empty() {
        drawn()
    } else {
        play.rounds.clone()
    };
    let fleet = Fleet::new(options)?;
    let seen = Arc::new(Mutex::new(Seen::default()));
    fleet.start()?;
    for node in 0..fleet.places.len() {
        let (own, seen) = (fleet.clone(), seen.clone());
        fleet.work(spawn(move || look(&own, node, &seen)));
        let own = fleet.clone();
        fleet.work(spawn(move || probe(&own, node)));
    }
    let played = run(&fleet, play, &rounds, &seen);
    let used = fleet.end();
    let changes = played?;
    let mut verdict = Verdict {
        script: rounds.join(" "),
        ..Verdict::default()
    };
    let seen = std::mem::take(&mut *seen.lock().expect("what was seen"));
    verdict.breaches.extend(seen.breaches.iter().cloned());
    let (resent, sights) = sights(&fleet, &changes, &mut verdict.breaches);
    let lines = fleet.history.lines();
    let ran = |node: usize, asked: &Asked| {
        !lines.iter().any(|line| {
            let near = line.t_us + 2_500_000 > asked.t_us && line.t_us < asked.t_us + asked.took_us;
            let other = matches!(line.what, "killed" | "paused" | "started" | "goes-on");
            line.node == Some(node) && other && near
        })
    };
    let (calls, share) = fleet.served(ran, &mut verdict.breaches);
    let mut force: Vec<u64> = changes
        .iter()
        .map(|c| (c.force_us - c.confirmed_us) / 1000)
        .collect();
    force.sort_unstable();
    let mut asked: Vec<u64> = changes
        .iter()
        .map(|c| (c.confirmed_us - c.asked_us) / 1000)
        .collect();
    asked.sort_unstable();
    let at = |times: &[u64], at: usize| times.get(at).map_or("none".to_owned(), u64::to_string);
    verdict.figures = vec![
        ("nodes", fleet.places.len().to_string()),
        ("changes", changes.len().to_string()),
        ("confirmed_median_ms", at(&asked, asked.len() / 2)),
        (
            "confirmed_worst_ms",
            at(&asked, asked.len().saturating_sub(1)),
        ),
        ("in_force_median_ms", at(&force, force.len() / 2)),
        (
            "in_force_worst_ms",
            at(&force, force.len().saturating_sub(1)),
        ),
        ("calls_that_lost_their_answer", sights.to_string()),
        ("sent_again_while_safe", resent.to_string()),
        ("calls", calls.to_string()),
        ("calls_served", format!("{share:.4}")),
        (
            "memory_kb_worst",
            used.iter()
                .map(|(kb, _)| kb)
                .max()
                .unwrap_or(&0)
                .to_string(),
        ),
    ];
    Ok(verdict)
}

/// What pages said of versions: by number the change's own id.
#[derive(Default)]
struct Seen {
    versions: BTreeMap<u64, String>,
    has: BTreeMap<usize, u64>,
    breaches: Vec<String>,
}

fn page(fleet: &Fleet, node: usize) -> Option<Value> {
    let (admin, _) = fleet.at(node)?;
    serde_json::from_str(&post(admin, "/admin/settings", None)?).ok()
}

fn look(fleet: &Fleet, node: usize, seen: &Mutex<Seen>) {
    while !fleet.ended() {
        sleep(Duration::from_millis(200));
        let Some(page) = page(fleet, node) else {
            continue;
        };
        let mut seen = seen.lock().expect("what was seen");
        for version in page["versions"].as_array().into_iter().flatten() {
            let (Some(number), Some(id)) = (version["number"].as_u64(), version["id"].as_str())
            else {
                continue;
            };
            match seen.versions.get(&number) {
                Some(known) if known != id => {
                    let what = format!("version {number} is {id} on n{node}, and was {known}");
                    if !seen.breaches.contains(&what) {
                        seen.breaches.push(what);
                    }
                }
                Some(_) => {}
                None => {
                    fleet
                        .history
                        .note(None, "confirmed", json!({ "version": number, "id": id }));
                    seen.versions.insert(number, id.to_owned());
                }
            }
        }
        seen.has
            .insert(node, page["has"].as_u64().unwrap_or_default());
    }
}

/// Calls a node whose answers a box loses, paused or not: what waits at a paused one is there when it goes on.
fn probe(fleet: &Fleet, node: usize) {
    let mut number = 0u64;
    let mut last = None;
    while !fleet.ended() {
        sleep(Duration::from_millis(80));
        let at = fleet.at(node).map(|(_, clients)| clients).or(last);
        let Some(at) = at else { continue };
        last = Some(at);
        number += 1;
        let call = format!("{:08x}{number:08x}", 0xd0_0000 + node);
        let Some(mut client) = Client::try_connect(at, Duration::from_millis(700)) else {
            continue;
        };
        let headers = format!("X-Call-Id: {call}\r\nX-Caller: acme\r\nX-Budget-Ms: 600\r\n");
        if client.try_send(&format!("GET {DROPPED}"), &headers) {
            let _ = client.answer(); // what it is told is the four rules' business
        }
    }
}

fn rules(safe: bool) -> FleetSettings {
    let mut rules = FleetSettings::default();
    let idempotency = if safe {
        Idempotency::Idempotent
    } else {
        Idempotency::NonIdempotent
    };
    let _ = rules.insert(
        Key::Idempotency(CLASS.to_owned()),
        Held::Idempotency(idempotency),
    ); // a value of this key
    let _ = rules.insert(Key::MaxAttempts, Held::Count(3));
    rules
}

/// Proposes a change, and waits until some node says that it is in force.
fn change(fleet: &Fleet, random: &mut Random, base: u64, safe: bool) -> Result<Change, String> {
    let (begun, asked_us) = (Instant::now(), fleet.history.now_us());
    let id = random.number() ^ random.number().rotate_left(32);
    let body = json!({ "base": base, "id": id, "author": "ground", "why": "a turn", "rules": rules(safe).to_json() });
    let (own, mut confirmed_us, mut sent) = (
        format!("{id:016x}"),
        None,
        Instant::now() - Duration::from_secs(9),
    );
    let mut turn = random.below(fleet.places.len());
    while begun.elapsed() < Duration::from_millis(FORCE_MS) {
        // Sent again under its id, to another node each time: it is there once.
        if confirmed_us.is_none() && sent.elapsed() > Duration::from_millis(1_500) {
            turn = (turn + 1) % fleet.places.len();
            let Some((admin, _)) = fleet.at(turn) else {
                continue;
            };
            if post(admin, "/admin/settings", Some(&body.to_string())).is_some() {
                sent = Instant::now();
            }
        }
        for node in 0..fleet.places.len() {
            let Some(page) = page(fleet, node) else {
                continue;
            };
            let mut versions = page["versions"].as_array().into_iter().flatten();
            let version = versions.rfind(|version| version["id"] == own.as_str());
            let Some(number) = version.and_then(|version| version["number"].as_u64()) else {
                continue;
            };
            let now_us = fleet.history.now_us();
            let confirmed_us = *confirmed_us.get_or_insert(now_us);
            if page["in_force"].as_u64() >= Some(number) {
                fleet.history.note(
                    Some(node),
                    "in-force",
                    json!({ "version": number, "safe": safe }),
                );
                return Ok(Change {
                    number,
                    safe,
                    asked_us,
                    confirmed_us,
                    force_us: now_us,
                });
            }
        }
        sleep(Duration::from_millis(10));
    }
    Err(format!(
        "version {} is not in force after {FORCE_MS} ms (confirmed: {})",
        base + 1,
        confirmed_us.is_some()
    ))
}

fn run(
    fleet: &Arc<Fleet>,
    play: &Play,
    rounds: &[String],
    seen: &Mutex<Seen>,
) -> Result<Vec<Change>, String> {
    let mut random = Random::new(play.options.seed ^ 0x5e77);
    let (mut changes, mut base) = (Vec::new(), 0);
    sleep(Duration::from_millis(2_500 + play.bound_ms));
    for round in rounds {
        fleet.history.note(None, "round", json!({ "kind": round }));
        for safe in [true, false] {
            let fault = (!safe).then(|| faults(play, round, &mut random));
            let striking = fault.map(|faults| {
                let own = fleet.clone();
                spawn(move || own.play(&faults))
            });
            // Late words are on their way for some time already when the change comes.
            let lead = if round == "late" {
                play.bound_ms * 2 / 5
            } else {
                0
            };
            sleep(Duration::from_millis(if safe {
                0
            } else {
                lead + 60 + random.below(100) as u64
            }));
            match change(fleet, &mut random, base, safe) {
                Ok(change) => {
                    base = change.number;
                    changes.push(change);
                }
                Err(what) => seen
                    .lock()
                    .expect("what was seen")
                    .breaches
                    .push(format!("{round}: {what}")),
            }
            sleep(Duration::from_millis(if safe {
                600
            } else {
                play.bound_ms * 5 / 4
            }));
            if let Some(striking) = striking {
                striking
                    .join()
                    .map_err(|_| "a fault panicked".to_owned())??;
            }
            sleep(Duration::from_millis(if safe { 0 } else { 700 }));
            base = base.max(newest(fleet));
        }
    }
    // All have what was confirmed.
    let begun = Instant::now();
    loop {
        let behind = {
            let seen = seen.lock().expect("what was seen");
            let most = seen.versions.keys().last().copied().unwrap_or_default();
            (0..fleet.places.len())
                .find(|node| seen.has.get(node) != Some(&most))
                .map(|node| (node, most))
        };
        match behind {
            None => break,
            Some((node, most)) if begun.elapsed() > Duration::from_secs(10) => {
                let what = format!("n{node} has not version {most} ten seconds after all faults");
                seen.lock().expect("what was seen").breaches.push(what);
                break;
            }
            Some(_) => sleep(Duration::from_millis(100)),
        }
    }
    Ok(changes)
}

fn newest(fleet: &Fleet) -> u64 {
    (0..fleet.places.len())
        .filter_map(|node| page(fleet, node)?["has"].as_u64())
        .max()
        .unwrap_or_default()
}

/// What goes wrong in a round, from right before its change on.
fn faults(play: &Play, round: &str, random: &mut Random) -> Vec<Fault> {
    let nodes = play.options.places.nodes;
    let plain = play.voters + random.below(nodes - play.voters);
    let voter = random.below(play.voters);
    let span = play.bound_ms * 2;
    let fault = |at_ms, what| Fault { at_ms, what };
    let cut = |node| What::Cut {
        from: Which::Node(node),
        to: Which::All,
        both: true,
        for_ms: span,
    };
    let kill = |node, for_ms| What::Kill {
        node,
        for_ms,
        folder: Folder::Kept,
    };
    match round {
        "cut-off" => vec![fault(0, cut(plain))],
        "late" => {
            // Every word to it is late by three quarters of W: longer than a right lasts beyond an asking.
            let late = (play.bound_ms * 3 / 4) as u32;
            let way = Way {
                late_ms: (late, late + 50),
                ..Way::default()
            };
            vec![fault(
                0,
                What::Ways {
                    from: Which::All,
                    to: Which::Node(plain),
                    way,
                    for_ms: span,
                },
            )]
        }
        "pause" => vec![fault(
            0,
            What::Pause {
                node: plain,
                for_ms: span,
            },
        )],
        "restart" => {
            let mut all = vec![fault(0, cut(plain))];
            all.extend(
                (0..play.voters / 2 + 1).map(|at| fault(10, kill((voter + at) % play.voters, 100))),
            );
            all
        }
        // All voters at once, when the change has been confirmed, or has not.
        "bounce" => (0..play.voters)
            .map(|at| fault(400 + random.below(600) as u64, kill(at, 100)))
            .collect(),
        "leader" => vec![
            fault(0, kill(voter, 1_500)),
            fault(100, kill((voter + 1) % play.voters, 800)),
        ],
        "halves" => {
            let zone = random.below(play.options.places.zones);
            vec![fault(
                0,
                What::Cut {
                    from: Which::Zone(zone),
                    to: Which::All,
                    both: true,
                    for_ms: span,
                },
            )]
        }
        _ => Vec::new(),
    }
}

/// What boxes saw: calls that were sent again while their class was safe, and those that lost an answer at all.
fn sights(fleet: &Fleet, changes: &[Change], breaches: &mut Vec<String>) -> (usize, usize) {
    let lines = fleet.history.lines();
    let mut calls: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.what == "box-sees") {
        let call = line.fields["call"].as_str().unwrap_or_default().to_owned();
        calls.entry(call).or_default().push(line.t_us);
    }
    let mut again = 0;
    for (call, times) in &calls {
        for second in times.iter().skip(1) {
            again += 1;
            // From when an operator knew of it until the next change was asked for.
            let within = |(at, change): &(usize, &Change)| {
                let until = changes.get(at + 1).map_or(u64::MAX, |next| next.asked_us);
                !change.safe && *second > change.force_us + SIGHT_US && *second < until
            };
            if let Some((_, change)) = changes.iter().enumerate().find(within) {
                let late = (second - change.force_us) / 1000;
                breaches.push(format!(
                    "call {call} was sent again {late} ms after version {}, which makes it unsafe, was in force",
                    change.number
                ));
            }
        }
    }
    let unsafe_alone = calls.values().filter(|times| times.len() == 1).count();
    if again == 0 || unsafe_alone == 0 {
        breaches.push(format!(
            "{again} calls were sent again and {unsafe_alone} were not: that is no test"
        ));
    }
    (again, calls.len())
}
