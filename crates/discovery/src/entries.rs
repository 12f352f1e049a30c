//! The form in which discovery writes lists and their entries.

use serde::Deserialize;
use serde_json::Value;
use sillward_balancer::settings::{PlatformSettings, millis};
use sillward_balancer::{Endpoint, ServerId, ServerState};
use sillward_forwarding::Backend;
use std::net::SocketAddr;

/// A list, or what changed of it, with its entries as they came: one that can't be read takes no other with it.
#[derive(Deserialize)]
pub struct List {
    #[serde(default)]
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Value>,
}

#[derive(Deserialize)]
pub struct Line {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default = "one")]
    weight: f32,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

fn one() -> f32 {
    1.0
}

/// Reads a line of the list by itself, in discovery's entry form.
///
/// # Errors
/// The text is no such line, or names a zone that the settings don't know.
pub fn read_entry(site: &PlatformSettings, text: &[u8]) -> Result<Backend, String> {
    serde_json::from_slice(text)
        .map_err(|e| e.to_string())
        .and_then(|line| read(site, line))
}

pub fn read(site: &PlatformSettings, line: Line) -> Result<Backend, String> {
    let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let zone = if line.zone.is_empty() {
        Some(0)
    } else {
        place(&site.zone_names, &line.zone)
    };
    let zone = zone.and_then(|zone| u8::try_from(zone).ok());
    // A new kind of machine serves like any other, but the zone decides where repeats may go.
    let kind = place(&site.machine_type_names, &line.kind).and_then(|kind| u8::try_from(kind).ok());
    let state = match line.status {
        Status::InService => ServerState::Ready,
        Status::Terminating => ServerState::Draining,
        Status::Terminated => ServerState::Removed,
    };
    let entry = Endpoint {
        id: number(&line.name),
        zone: zone.ok_or_else(|| format!("{}: unknown zone {}", line.name, line.zone))?,
        machine_type: kind.unwrap_or(u8::MAX),
        cell: line.group,
        state,
        weight: line.weight,
        started_at: (line.since_ms > 0.0).then(|| millis(line.since_ms)),
    };
    Ok(Backend {
        endpoint: entry,
        address: line.address,
    })
}

/// A backend's number: made from its name alone, so that it is the same at every node (FNV-1a).
fn number(name: &str) -> ServerId {
    ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}
