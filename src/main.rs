//! One real node: clients on one side, backends and discovery on the other, the decision module between.
//! This file reads the configuration, starts the parts and sees to signals.
#![forbid(unsafe_code)]

mod pages;

use clap::{Parser, Subcommand};
use hillpick::settings::Site;
use sillward_admin::Admin;
use sillward_config::Config;
use sillward_core::{Backends, Budget, Dispatch, Intake, Node, Reports};
use sillward_etcd::Etcd;
use sillward_hub::Hub;
use sillward_listener::Door;
use sillward_log::log;
use sillward_membership::Membership;
use sillward_operator::Operator;
use sillward_pool::{Pool, Sockets, Terms};
use sillward_roster::Discovery;
use sillward_seam::Clock;
use sillward_seam::net::TcpListener;
use sillward_seam::signal::{Signal, SignalKind, signal};
use sillward_seam::task::{block_on, spawn_local};
use sillward_thrift::BackendTerms;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Messages to the node that may wait. Each client connection keeps one place for its leaving.
const MESSAGES: usize = 4096;
/// Operators at once.
const ADMIN_CLIENTS: usize = 4;

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
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(Command::Check { operator }) = arguments.command {
        return check(operator.as_deref());
    }
    let ended = block_on(run(arguments.operator.as_deref()));
    let ended = ended.map_err(|e| format!("cannot start: {e}")).and_then(|ended| ended);
    if let Err(what) = &ended {
        what.lines().for_each(log);
    }
    sillward_log::flush();
    if ended.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Reads an operator file, if there is one; all that is wrong with it, a line each.
fn read_operator(path: Option<&Path>, site: Option<&Site>) -> Result<Operator, String> {
    let Some(path) = path else { return Ok(Operator::default()) };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {name}: {e}"))?;
    sillward_operator::parse(&name, &text, site).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

fn check(operator: Option<&Path>) -> ExitCode {
    let config = Config::from_env();
    let operator = read_operator(operator, config.as_ref().ok().map(|config| &config.site));
    let fit = config.as_ref().ok().zip(operator.as_ref().ok()).map(|(c, o)| thrift_connections(c, o));
    let faults: Vec<String> =
        [config.err(), operator.err(), fit.and_then(Result::err)].into_iter().flatten().collect();
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

/// How many of the node's client connections are Thrift callers'.
fn thrift_connections(config: &Config, operator: &Operator) -> Result<usize, String> {
    let Some(terms) = &operator.thrift else { return Ok(0) };
    let most = config.client_connections;
    match terms.connections.unwrap_or(most / 2) {
        part if part < most => Ok(part),
        part => Err(format!("thrift.connections: {part}, but the limits allow {most} clients in all")),
    }
}

async fn run(operator: Option<&Path>) -> Result<(), String> {
    // Before all else: a signal that comes without its handler ends the process.
    let listen = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let hang_up = listen(SignalKind::hangup())?;
    let (mut terminate, mut interrupt) = (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
    let config = Rc::new(Config::from_env()?);
    let operator = read_operator(operator, Some(&config.site))?;
    let thrift_connections = thrift_connections(&config, &operator)?;
    let listener = bind(config.listen).await?;

    let clock = Clock::start();
    let (messages, inbox) = mpsc::channel(MESSAGES);
    let (orders, discovery_orders) = mpsc::channel(16);
    let (moves, moved) = watch::channel(config.discovery);
    let (site, settings) = (&config.site, &config.site.settings);
    let budget = Budget::new(config.body_bytes);
    let backends = backends(clock, &config, operator.thrift_backends, &budget);
    let known = config.known.clone();
    // Without a further source the roster tells the node itself.
    let (roster, told) = match &operator.etcd {
        Some(_) => mpsc::channel(16),
        None => (messages.clone(), mpsc::channel(1).1),
    };
    let discovery = Discovery::new(config.discovery, site.clone(), known, config.seed, roster);
    let ready = discovery.ready();
    let sources = match operator.etcd {
        Some((terms, guard)) => {
            let sources = [("roster", None), ("etcd", Some(guard))];
            let membership = Rc::new(RefCell::new(Membership::new(&sources)));
            let (tellings, heard) = mpsc::channel(16);
            let etcd = Etcd::new(terms, site.clone(), config.seed, tellings);
            let hub = Hub::new(clock, membership.clone(), messages.clone(), ready.clone());
            spawn_local(hub.run(told, heard));
            spawn_local(etcd.run());
            Some(membership)
        }
        None => None,
    };
    let node = Node::new(clock, settings.clone(), config.seed, backends, messages.clone(), orders);
    let intake = Intake::new(clock, messages);
    let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let door = Door::new(config.client_connections - thrift_connections, longest);
    let front = sillward_http1::Front::new(intake.clone(), site.clone(), door.clone(), budget.clone(), ready);
    let mut node = spawn_local(node.run(inbox));
    let mut discovery = spawn_local(discovery.run(discovery_orders, moved));
    spawn_local(reload(hang_up, config.clone(), moves));
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
    log(format_args!("{} listens on {address}", config.name));

    let (stop, stopped) = watch::channel(false);
    let thrift = async {
        let Some(terms) = operator.thrift else { return Ok(()) };
        let listener = bind(terms.listen).await?;
        let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
        log(format_args!("{} listens for Thrift on {address}", config.name));
        let door = Door::new(thrift_connections, longest);
        let seed = config.seed;
        let front = sillward_thrift::Front::new(intake, site.clone(), terms, door.clone(), budget, seed);
        door.run(front.clone(), listener, told_to_stop(stopped.clone())).await;
        log(format_args!("{} oneway calls were taken", front.oneway_calls()));
        Ok(())
    };
    let admin = async {
        let Some(address) = operator.admin else { return Ok(()) };
        let listener = bind(address).await?;
        let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
        log(format_args!("{} listens for operators on {address}", config.name));
        let door = Door::new(ADMIN_CLIENTS, Duration::from_secs(1));
        let page = |text: fn(Clock, &Rc<RefCell<Membership>>) -> String| -> sillward_admin::Page {
            let sources = sources.clone();
            Box::new(move || sources.as_ref().map_or_else(|| "{}".to_owned(), |m| text(clock, m)))
        };
        let pages = vec![
            ("/admin/membership", page(pages::membership)),
            ("/admin/membership/sources", page(pages::sources)),
        ];
        let front = Admin::new(door.clone(), pages);
        door.run(front, listener, told_to_stop(stopped.clone())).await;
        Ok(())
    };
    let fronts = async {
        let http = async {
            door.run(front, listener, told_to_stop(stopped.clone())).await;
            Ok(())
        };
        tokio::try_join!(http, thrift, admin).map(drop)
    };
    let signals = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let _ = stop.send(true);
        std::future::pending::<()>().await
    };
    tokio::select! {
        ended = fronts => ended,
        () = signals => Ok(()),
        ended = &mut node => Err(format!("the node ended: {ended:?}")),
        ended = &mut discovery => Err(format!("discovery ended: {ended:?}")),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// Waits until the node is told to stop.
async fn told_to_stop(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

/// The backend protocols: HTTP/1.1, and beside it whatever the operator file names for a machine type. All share
/// the descriptors that backends may take.
fn backends(clock: Clock, config: &Config, thrift: Vec<BackendTerms>, budget: &Budget) -> Rc<dyn Backends> {
    let (site, settings) = (&config.site, &config.site.settings);
    let terms = Terms {
        // A request written just when the backend closes the connection would end as a reset.
        idle_limit: site.idle_close * 3 / 4,
        connect_timeout: settings.limits.connect_timeout,
        drain_grace: settings.rules.drain_grace,
    };
    let sockets = Sockets::new(config.backend_connections);
    let reports = Reports::new(site.columns.clone(), settings.reports);
    let pool = Pool::start(clock, sillward_http1::Http1, terms, sockets.clone());
    let http = sillward_http1::Backend::new(pool, budget.clone(), reports.clone());
    if thrift.is_empty() {
        return http;
    }
    let others = thrift.into_iter().map(|kind| {
        let protocol = sillward_thrift::Thrift { send_buffer: kind.send_buffer };
        let pool = Pool::start(clock, protocol, terms, sockets.clone());
        let (place, budget) = (kind.kind, budget.clone());
        let backends: Rc<dyn Backends> = sillward_thrift::Backend::new(pool, kind, budget, reports.clone());
        (place, backends)
    });
    Rc::new(Dispatch::new(http, others.collect()))
}

/// Reads the configuration again at each SIGHUP. Discovery's address is all that can change in a node that
/// runs; a file that can't be used changes nothing.
async fn reload(mut hang_up: Signal, started: Rc<Config>, moves: watch::Sender<SocketAddr>) {
    while hang_up.recv().await.is_some() {
        let new = match Config::from_env() {
            Ok(new) => new,
            Err(what) => {
                log(format_args!("{what}; the configuration stays as it was"));
                continue;
            }
        };
        let fixed = started.fixed_that_differ(&new).join(", ");
        if !fixed.is_empty() {
            log(format_args!("changed in the configuration, but only a restart takes it in: {fixed}"));
        }
        let moved =
            moves.send_if_modified(|address| std::mem::replace(address, new.discovery) != new.discovery);
        let what = if moved { "moved to" } else { "stays at" };
        log(format_args!("configuration read again: discovery {what} {}", new.discovery));
    }
}
