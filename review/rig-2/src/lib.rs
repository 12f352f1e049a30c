//! Stand-ins for the platform, for clients and for tally boxes, and what starts the node.
//!
//! Everything listens on loopback addresses with free ports. Each case is a program in `src/bin` that uses these parts.

pub mod boxes;
pub mod client;
pub mod discovery;
pub mod etcd;
pub mod node;
pub mod record;
pub mod thrift;
pub mod traffic;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Whether the case runs with its disruption. `TROUBLE=0` runs the same without it.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Ends the process with 2 if the case takes longer than this, so that nothing is left running.
pub fn watchdog(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the case couldn't run: it took longer than {limit:?}");
        node::kill_all();
        std::process::exit(2);
    });
}
