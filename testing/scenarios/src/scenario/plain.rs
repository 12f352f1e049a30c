//! What the fleet costs the plain path: processor time of a call at a node without it, at one in a fleet, and at an earlier
//! build, in turn in one run.

use super::figure;
use crate::peers::{self, Backend, Client, Discovery, Node, config, entry_in, list, ok, settings};
use sillward_test_cluster::fleet::{Fleet, Options as Ground, beside};
use sillward_test_cluster::script::Places;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
const BOXES: usize = 6;

pub struct Options {
    pub calls: usize,
    pub rounds: usize,
    pub nodes: usize,
    /// An earlier build of the program.
    pub before: Option<PathBuf>,
}

/// Runs it, prints its figures, and returns the exit code.
pub fn run(options: &Options) -> u8 {
    match measure(options) {
        Ok(served) => {
            println!("ok plain calls={served}");
            0
        }
        Err(what) => {
            println!("FAILED plain {what}");
            1
        }
    }
}

fn measure(options: &Options) -> Result<usize, String> {
    let program = beside("sillward").ok_or("sillward is not built")?;
    let places = Places {
        nodes: options.nodes,
        zones: 3,
    };
    let fleet = Fleet::new(Ground {
        rate: 0,
        ..Ground::of(places, 1, program.clone())
    })?;
    fleet.start()?;
    let boxes: Vec<Backend> = (0..BOXES)
        .map(|_| Backend::start(|_| ok("counted")))
        .collect();
    let lines: Vec<String> = (boxes.iter().enumerate())
        .map(|(i, b)| {
            entry_in(
                ["a", "b"][i % 2],
                "m",
                &format!("b-{i}"),
                b.address,
                "in_service",
            )
        })
        .collect();
    let alone = |program: &PathBuf| {
        let discovery = Discovery::start();
        let node = Node::start_of(
            program,
            &config(discovery.address, &settings(1_500, ""), 512),
        );
        let mut watch = discovery.call();
        watch.answer_list(&list(8, true, &lines));
        peers::until(|| node.is_ready(), "a list");
        (node, watch, discovery)
    };
    let off = alone(&program);
    let before = options.before.as_ref().map(alone);
    let member = {
        let slot = fleet.places[0]
            .process
            .lock()
            .map_err(|_| "a process panicked".to_owned())?;
        slot.as_ref()
            .map(|process| process.clients)
            .ok_or("no member")?
    };
    sleep(Duration::from_secs(3)); // all know all
    let cpu = |which: usize| match which {
        0 => off.0.cpu_seconds(),
        1 => {
            let slot = fleet.places[0].process.lock().expect("a process");
            slot.as_ref().map_or(0.0, |process| process.cpu_s())
        }
        _ => before.as_ref().map_or(0.0, |(node, ..)| node.cpu_seconds()),
    };
    let address = |which: usize| match which {
        0 => Some(off.0.address),
        1 => Some(member),
        _ => before.as_ref().map(|(node, ..)| node.address),
    };
    let each = options.calls / CLIENTS / options.rounds;
    let mut spent: [Vec<f64>; 3] = Default::default();
    let mut served = 0;
    for round in 0..=options.rounds {
        // Another one first in each round.
        for which in (0..3).map(|place| (place + round) % 3) {
            let Some(at) = address(which) else { continue };
            let (from, begun) = (cpu(which), Instant::now());
            let count = calls(at, each);
            let used = cpu(which) - from;
            if round > 0 {
                spent[which].push(used * 1e6 / count.max(1) as f64);
                served += count;
            }
            eprintln!(
                "round {round}: {which} {count} calls in {:.1} s",
                begun.elapsed().as_secs_f64()
            );
        }
    }
    let idle = (cpu(0), cpu(1), Instant::now());
    sleep(Duration::from_secs(10));
    let time = idle.2.elapsed().as_secs_f64();
    let idle = ((cpu(0) - idle.0) / time, (cpu(1) - idle.1) / time);
    fleet.end();
    let middle = |all: &[f64]| {
        let mut all = all.to_vec();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or_default()
    };
    let [without, with, earlier] = [0, 1, 2].map(|which: usize| middle(&spent[which]));
    figure("members", options.nodes);
    figure("off_cpu_us", format!("{without:.1}"));
    figure("on_cpu_us", format!("{with:.1}"));
    figure("on_to_off", format!("{:.3}", with / without));
    if options.before.is_some() {
        figure("before_cpu_us", format!("{earlier:.1}"));
        figure("off_to_before", format!("{:.3}", without / earlier));
        figure("on_to_before", format!("{:.3}", with / earlier));
    }
    figure("idle_share_off", format!("{:.4}", idle.0));
    figure("idle_share_on", format!("{:.4}", idle.1));
    Ok(served)
}

fn calls(at: SocketAddr, each: usize) -> usize {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            spawn(move || {
                let mut client = Client::connect(at);
                let ask = |_| {
                    usize::from(
                        client
                            .ask("GET /read/1f", &peers::common(1_500), b"")
                            .status()
                            == 200,
                    )
                };
                (0..each).map(ask).sum::<usize>()
            })
        })
        .collect();
    clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .sum()
}
