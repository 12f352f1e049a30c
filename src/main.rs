//! One real node: clients on one side, backends and discovery on the other, the decision module between.
//! This file reads arguments, configuration and signals; `crates/app` puts the node together.
#![forbid(unsafe_code)]

#[path = "ctl.rs"]
mod ctl;

use clap::{Parser, Subcommand};
use sillward_app::{Controls, fit};
use sillward_balancer::settings::PlatformSettings;
use sillward_logging::log;
use sillward_node_config::Config;
use sillward_operator_config::Operator;
use sillward_runtime::signal::{Signal, SignalKind, signal};
use sillward_runtime::task::{block_on, spawn_local};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::sync::{mpsc, watch};

/// A load-balancing node.
///
/// PROXY_CONFIG names the platform's configuration file. Without an operator file nothing is on but what that says.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// The operator file (TOML): further listeners and backend protocols
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Reads all configuration, says in full what is wrong with it, and exits with 0 or 1
    Check {
        /// The operator file (TOML)
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Founds this voter's folder, once: its folder of the agreement. A voter whose file is lost never votes again by itself
    Found {
        /// The operator file (TOML)
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
    },
    /// Asks a node that runs
    Ctl {
        /// Its address for operators: `admin` of the configuration or of the operator file
        #[arg(long, value_name = "ADDRESS")]
        admin: SocketAddr,
        #[command(subcommand)]
        ask: ctl::Ask,
    },
}

pub(crate) fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command {
        Some(Command::Check { operator }) => return check(operator.as_deref()),
        Some(Command::Found { operator }) => return said(found(&operator)),
        Some(Command::Ctl { admin, ask }) => return tell(admin, &ask),
        None => {}
    }
    let ended = block_on(run(arguments.operator.as_deref()));
    let ended = ended
        .map_err(|e| format!("cannot start: {e}"))
        .and_then(|ended| ended);
    if let Err(what) = &ended {
        what.lines().for_each(log);
    }
    sillward_logging::flush();
    if ended.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Reads an operator file, if there is one; all that is wrong with it, a line each.
fn read_operator(path: Option<&Path>, site: Option<&PlatformSettings>) -> Result<Operator, String> {
    let Some(path) = path else {
        return Ok(Operator::default());
    };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {name}: {e}"))?;
    sillward_operator_config::parse(&name, &text, site).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

fn tell(admin: SocketAddr, ask: &ctl::Ask) -> ExitCode {
    said(
        block_on(ctl::ask(admin, ask))
            .map_err(|e| e.to_string())
            .and_then(|answered| answered),
    )
}

/// The configuration, with its fault as operators read it.
fn read_config() -> Result<Config, String> {
    Config::from_env().map_err(|error| error.to_string())
}

fn found(operator: &Path) -> Result<String, String> {
    let config = read_config()?;
    let operator = read_operator(Some(operator), Some(&config.platform))?;
    sillward_app::found(&config, &operator)
}

fn said(answered: Result<String, String>) -> ExitCode {
    match answered {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(what) => {
            eprintln!("{what}");
            ExitCode::FAILURE
        }
    }
}

fn check(operator: Option<&Path>) -> ExitCode {
    let config = read_config();
    let operator = read_operator(
        operator,
        config.as_ref().ok().map(|config| &config.platform),
    );
    let fit = config
        .as_ref()
        .ok()
        .zip(operator.as_ref().ok())
        .map(|(c, o)| fit(c, o));
    let faults: Vec<String> = [config.err(), operator.err(), fit.and_then(Result::err)]
        .into_iter()
        .flatten()
        .collect();
    for fault in &faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() {
        println!("the configuration is good");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run(operator: Option<&Path>) -> Result<(), String> {
    // Before all else: a signal that comes without its handler ends the process.
    let listen = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let hang_up = listen(SignalKind::hangup())?;
    let (terminate, interrupt) = (
        listen(SignalKind::terminate())?,
        listen(SignalKind::interrupt())?,
    );
    let config = read_config()?;
    let operator = read_operator(operator, Some(&config.platform))?;
    let (again, reload) = mpsc::channel(1);
    let (end, stop) = watch::channel(false);
    spawn_local(reloads(hang_up, again));
    spawn_local(ends(terminate, interrupt, end));
    let controls = Controls {
        reload,
        read: Box::new(read_config),
        stop,
    };
    sillward_app::run(config, operator, controls, None, drop).await
}

/// Passes SIGHUP on. Those that come while one waits are one with it.
async fn reloads(mut hang_up: Signal, again: mpsc::Sender<()>) {
    while hang_up.recv().await.is_some() {
        let _ = again.try_send(());
    }
}

/// Passes SIGTERM and SIGINT on.
async fn ends(mut terminate: Signal, mut interrupt: Signal, end: watch::Sender<bool>) {
    tokio::select! {
        biased;
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let _ = end.send(true);
    std::future::pending::<()>().await // without its sender the word would be lost
}
