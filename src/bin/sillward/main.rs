//! One real node: clients on one side, backends and discovery on the other, the decision module between.
//! This file reads the configuration, starts the parts and sees to signals.
#![forbid(unsafe_code)]

mod backend;
mod config;
mod discovery;
mod front;
mod node;

use config::Config;
use std::fmt::Display;
use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Messages to the node that may wait. Each client connection keeps one place for its leaving.
const MESSAGES: usize = 4096;

/// A line for the operators. Nobody reading the log is no reason to stop serving.
pub fn log(text: impl Display) {
    let _ = writeln!(io::stderr().lock(), "sillward: {text}");
}

/// The one clock: Unix time as it was at the start, carried on by the monotonic clock, so that a backend's
/// `since_ms` and the times of events are on one scale that never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    fn start() -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix }
    }

    pub fn now(self) -> Duration {
        self.unix + self.started.elapsed()
    }

    pub fn instant(self, at: Duration) -> Instant {
        self.started + at.saturating_sub(self.unix)
    }
}

fn main() -> ExitCode {
    let ran = Config::from_env().and_then(|config| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
        LocalSet::new().block_on(&runtime, run(config))
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log(what);
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
    let broken = |e: io::Error| format!("cannot listen for signals: {e}");
    let mut terminate = signal(SignalKind::terminate()).map_err(broken)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(broken)?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;

    let clock = Clock::start();
    let (messages, inbox) = mpsc::channel(MESSAGES);
    let (orders, discovery_orders) = mpsc::channel(16);
    let pool = backend::Pool::start(clock, &config);
    let discovery = discovery::Discovery::new(&config, messages.clone());
    let ready = discovery.ready();
    let node = node::Node::new(clock, &config, pool, messages.clone(), orders);
    let front = front::Front::new(clock, &config, messages, ready);
    let mut node = tokio::task::spawn_local(node.run(inbox));
    let mut discovery = tokio::task::spawn_local(discovery.run(discovery_orders));
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
