//! Fleets of processes on the ground.

use sillward_test_cluster::fleet::{Options as Ground, beside};
use sillward_test_cluster::members::{self, Play};
use sillward_test_cluster::script::{Fault, Folder, KINDS, Places, What, Which, read};
use sillward_test_cluster::{outcomes, settings};
use std::path::PathBuf;

/// See [`Ground`].
#[derive(clap::Args)]
pub struct Options {
    /// What is played: members, settings on which they agree, or outcomes that they tell each other
    #[arg(value_parser = ["members", "settings", "outcomes"])]
    scenario: String,
    #[arg(long, default_value_t = 12)]
    nodes: usize,
    /// Several seeds are played one after the other
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seed: Vec<u64>,
    /// Zones; the first half of them is a region
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// A script of faults, a JSON object a line, in place of the seed's own
    #[arg(long, value_name = "FILE")]
    faults: Option<PathBuf>,
    /// Kinds of faults that the seed draws from
    #[arg(long, value_delimiter = ',', default_values = KINDS)]
    kinds: Vec<String>,
    /// How long the faults last
    #[arg(long, default_value_t = 36)]
    seconds: u64,
    /// A mistake in every process that the checks must find; unreadable: in those that a script changes to a newer build
    #[arg(long, value_parser = ["no-incarnation", "one-way-blind", "never-forget", "unreadable",
        "from-arrival", "no-sync", "skip-wait", "forget-right"])]
    plant: Option<String>,
    /// Clocks that run at another rate: NODE:RATE
    #[arg(long, value_delimiter = ',', value_parser = clock)]
    clocks: Vec<(usize, f64)>,
    /// Clocks that jump ahead: NODE:MS@MS, how far and when after the start
    #[arg(long, value_delimiter = ',', value_parser = jump)]
    jumps: Vec<(usize, u64, u64)>,
    /// Between two faults that the seed draws
    #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u64).range(200..))]
    every_ms: u64,
    /// settings: voters, W, and rounds by their kinds, drawn if there are none
    #[arg(long, default_value_t = 5)]
    voters: usize,
    /// See there
    #[arg(long, default_value_t = 2_000)]
    bound_ms: u64,
    /// See there
    #[arg(long, value_delimiter = ',', value_parser = settings::ROUNDS)]
    rounds: Vec<String>,
    /// settings: rounds that are drawn
    #[arg(long, default_value_t = 5)]
    count: usize,
    /// A disk that takes so long, in milliseconds
    #[arg(long)]
    disk_ms: Option<u64>,
    /// Calls a second at each node
    #[arg(long, default_value_t = 10)]
    rate: u32,
    /// Where the history goes: JSON lines with true times
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Where the script that was played goes
    #[arg(long, value_name = "FILE")]
    script: Option<PathBuf>,
}

fn clock(text: &str) -> Result<(usize, f64), String> {
    let read = text
        .split_once(':')
        .and_then(|(node, rate)| Some((node.parse().ok()?, rate.parse().ok()?)));
    read.ok_or_else(|| format!("{text:?} is not NODE:RATE"))
}

fn jump(text: &str) -> Result<(usize, u64, u64), String> {
    let read = || {
        let (node, rest) = text.split_once(':')?;
        let (far, at) = rest.split_once('@')?;
        Some((node.parse().ok()?, far.parse().ok()?, at.parse().ok()?))
    };
    read().ok_or_else(|| format!("{text:?} is not NODE:MS@MS"))
}

/// Plays it, prints its figures, and returns the exit code.
pub fn run(options: &Options) -> u8 {
    let mut worst = 0;
    for seed in &options.seed {
        worst = worst.max(one(options, *seed).unwrap_or_else(|what| {
            println!("FAILED {} seed={seed} no verdict: {what}", options.scenario);
            1
        }));
    }
    worst
}

/// A node killed without its folder, one paused, and a zone cut off.
fn killed_and_cut(nodes: usize) -> Vec<Fault> {
    let last = nodes - 1;
    let cut = What::Cut {
        from: Which::Zone(0),
        to: Which::All,
        both: true,
        for_ms: 6_000,
    };
    vec![
        Fault {
            at_ms: 0,
            what: What::Kill {
                node: last,
                for_ms: 2_000,
                folder: Folder::Lost,
            },
        },
        Fault {
            at_ms: 3_000,
            what: cut,
        },
        Fault {
            at_ms: 4_000,
            what: What::Pause {
                node: 1,
                for_ms: 1_500,
            },
        },
    ]
}

fn one(options: &Options, seed: u64) -> Result<u8, String> {
    if options.nodes < 2 || options.zones == 0 || options.zones > options.nodes {
        return Err("a fleet has two nodes at least, and a zone for each of some".to_owned());
    }
    let places = Places {
        nodes: options.nodes,
        zones: options.zones,
    };
    if let Some(unknown) = options
        .kinds
        .iter()
        .find(|kind| !KINDS.contains(&kind.as_str()))
    {
        return Err(format!("{unknown:?} is none of {}", KINDS.join(", ")));
    }
    let faults = match &options.faults {
        None => None,
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            Some(read(&text, places).map_err(|e| format!("{}: {e}", path.display()))?)
        }
    };
    let program = beside("sillward").ok_or("sillward is not built")?;
    let ground = Ground {
        places,
        seed,
        program,
        faulty: beside("sillward-faults"),
        plant: options.plant.clone(),
        clocks: options.clocks.clone(),
        jumps: options.jumps.clone(),
        rate: options.rate,
        more: String::new(),
        agreed: None,
        history: options.history.clone(),
        disk_ms: options.disk_ms,
    };
    if options.scenario == "settings" {
        if options.voters >= options.nodes || !matches!(options.voters, 3 | 5 | 7) {
            return Err("3, 5 or 7 voters, and some that are none".to_owned());
        }
        let (voters, bound_ms) = (options.voters, options.bound_ms);
        let (rounds, count) = (options.rounds.clone(), options.count);
        let verdict = settings::play(&settings::Play {
            options: ground,
            voters,
            bound_ms,
            rounds,
            count,
        })?;
        for (name, value) in &verdict.figures {
            super::figure(name, value);
        }
        let more = format!("nodes={} rounds: {}", options.nodes, verdict.script);
        return Ok(super::last_line(
            &options.scenario,
            seed,
            &verdict.breaches,
            &more,
        ));
    }
    if options.scenario == "outcomes" {
        let faults = faults.unwrap_or_else(|| killed_and_cut(options.nodes));
        let verdict = outcomes::play(ground, &faults)?;
        for (name, value) in &verdict.figures {
            super::figure(name, value);
        }
        let more = format!("nodes={} faults={}", options.nodes, faults.len());
        return Ok(super::last_line(
            &options.scenario,
            seed,
            &verdict.breaches,
            &more,
        ));
    }
    let play = Play {
        options: ground,
        faults,
        kinds: options.kinds.clone(),
        every_ms: options.every_ms,
        seconds: options.seconds,
    };
    let verdict = members::play(&play)?;
    if let Some(path) = &options.script {
        std::fs::write(path, &verdict.script).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    for (name, value) in &verdict.figures {
        super::figure(name, value);
    }
    if !verdict.breaches.is_empty() {
        print!(
            "{}",
            verdict
                .script
                .lines()
                .map(|line| format!("script {line}\n"))
                .collect::<String>()
        );
    }
    let more = format!(
        "nodes={} faults={}",
        options.nodes,
        verdict.script.lines().count()
    );
    Ok(super::last_line(
        &options.scenario,
        seed,
        &verdict.breaches,
        &more,
    ))
}
