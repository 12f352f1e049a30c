//! One real node: clients on one side, backends and discovery on the other, the decision module between.
//! This file reads the configuration, starts the parts and sees to signals.
#![forbid(unsafe_code)]

use sillward_config::Config;
use sillward_core::{Budget, Intake, Node, Reports};
use sillward_log::log;
use sillward_pool::{Pool, Sockets, Terms};
use sillward_roster::Discovery;
use sillward_seam::Clock;
use sillward_seam::net::TcpListener;
use sillward_seam::signal::{Signal, SignalKind, signal};
use sillward_seam::task::{block_on, spawn_local};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// Messages to the node that may wait. Each client connection keeps one place for its leaving.
const MESSAGES: usize = 4096;

fn main() -> ExitCode {
    let ended = block_on(run()).map_err(|e| format!("cannot start: {e}")).and_then(|ended| ended);
    if let Err(what) = &ended {
        log(what);
    }
    sillward_log::flush();
    if ended.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run() -> Result<(), String> {
    // Before all else: a signal that comes without its handler ends the process.
    let listen = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let hang_up = listen(SignalKind::hangup())?;
    let (mut terminate, mut interrupt) = (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
    let config = Rc::new(Config::from_env()?);
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;

    let clock = Clock::start();
    let (messages, inbox) = mpsc::channel(MESSAGES);
    let (orders, discovery_orders) = mpsc::channel(16);
    let (moves, moved) = watch::channel(config.discovery);
    let (site, settings) = (&config.site, &config.site.settings);
    let budget = Budget::new(config.body_bytes);
    let terms = Terms {
        // A request written just when the backend closes the connection would end as a reset.
        idle_limit: site.idle_close * 3 / 4,
        connect_timeout: settings.limits.connect_timeout,
        drain_grace: settings.rules.drain_grace,
    };
    let pool = Pool::start(clock, sillward_http1::Http1, terms, Sockets::new(config.backend_connections));
    let reports = Reports::new(site.columns.clone(), settings.reports);
    let backends = sillward_http1::Backend::new(pool, budget.clone(), reports);
    let known = config.known.clone();
    let discovery = Discovery::new(config.discovery, site.clone(), known, config.seed, messages.clone());
    let ready = discovery.ready();
    let node = Node::new(clock, settings.clone(), config.seed, backends, messages.clone(), orders);
    let intake = Intake::new(clock, messages);
    let front = sillward_http1::Front::new(intake, site.clone(), config.client_connections, budget, ready);
    let mut node = spawn_local(node.run(inbox));
    let mut discovery = spawn_local(discovery.run(discovery_orders, moved));
    spawn_local(reload(hang_up, config.clone(), moves));
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
    log(format_args!("{} listens on {address}", config.name));

    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::select! {
        () = front.run(listener, stop) => Ok(()),
        ended = &mut node => Err(format!("the node ended: {ended:?}")),
        ended = &mut discovery => Err(format!("discovery ended: {ended:?}")),
    }
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
