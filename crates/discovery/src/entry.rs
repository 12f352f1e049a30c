//! The JSON format of the entries in discovery's endpoint list, and their conversion to backends.

use serde::Deserialize;
use sillward_balancer::settings::{PlatformSettings, millis};
use sillward_balancer::{Endpoint, ServerId, ServerState};
use sillward_forwarding::Backend;
use std::net::SocketAddr;
use thiserror::Error;

const FNV1A_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV1A_PRIME: u64 = 0x0000_0100_0000_01b3;
/// The machine type index of entries whose type is missing from the settings.
const UNKNOWN_MACHINE_TYPE: u8 = u8::MAX;
/// The zone index of entries that name no zone.
const DEFAULT_ZONE: u8 = 0;
const DEFAULT_WEIGHT: f32 = 1.0;

/// An error in reading an endpoint entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The text is not a valid entry.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The entry names a zone that the settings don't define.
    #[error("{name}: unknown zone {zone}")]
    UnknownZone {
        /// The entry's name.
        name: String,
        /// The unknown zone.
        zone: String,
    },
}

#[derive(Deserialize)]
pub(crate) struct Entry {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    machine_type: String,
    #[serde(default, rename = "group")]
    cell: u16,
    status: Status,
    #[serde(default = "default_weight")]
    weight: f32,
    /// When the backend started, in milliseconds; 0 if unknown.
    #[serde(default, rename = "since_ms")]
    started_at_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

fn default_weight() -> f32 {
    DEFAULT_WEIGHT
}

/// Parses a single entry outside of a list, such as the value of an etcd key.
///
/// # Errors
/// The text is not a valid entry, or it names a zone that the settings don't define.
pub fn read_entry(settings: &PlatformSettings, text: &[u8]) -> Result<Backend, EntryError> {
    serde_json::from_slice::<Entry>(text)?.into_backend(settings)
}

impl Entry {
    pub(crate) fn into_backend(self, settings: &PlatformSettings) -> Result<Backend, EntryError> {
        // An unknown machine type is accepted: such a backend serves like any other. An unknown zone is an error,
        // because the zone decides where retries may be sent.
        let Some(zone) = self.zone_index(settings) else {
            return Err(EntryError::UnknownZone {
                name: self.name,
                zone: self.zone,
            });
        };
        let machine_type = index_of(&settings.machine_type_names, &self.machine_type);
        let state = match self.status {
            Status::InService => ServerState::Ready,
            Status::Terminating => ServerState::Draining,
            Status::Terminated => ServerState::Removed,
        };
        let endpoint = Endpoint {
            id: server_id(&self.name),
            zone,
            machine_type: machine_type.unwrap_or(UNKNOWN_MACHINE_TYPE),
            cell: self.cell,
            state,
            weight: self.weight,
            started_at: (self.started_at_ms > 0.0).then(|| millis(self.started_at_ms)),
        };
        Ok(Backend {
            endpoint,
            address: self.address,
        })
    }

    fn zone_index(&self, settings: &PlatformSettings) -> Option<u8> {
        if self.zone.is_empty() {
            Some(DEFAULT_ZONE)
        } else {
            index_of(&settings.zone_names, &self.zone)
        }
    }
}

fn index_of(names: &[String], name: &str) -> Option<u8> {
    let index = names.iter().position(|known| known == name)?;
    u8::try_from(index).ok()
}

/// Derives a server's id from its name alone (FNV-1a hash), so that it is the same on every node.
fn server_id(name: &str) -> ServerId {
    let hash = name.bytes().fold(FNV1A_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV1A_PRIME)
    });
    ServerId(hash)
}
