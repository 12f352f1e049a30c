//! The form in which discovery writes the entries of a list.

use serde::Deserialize;
use sillward_balancer::settings::{PlatformSettings, millis};
use sillward_balancer::{Endpoint, ServerId, ServerState};
use sillward_forwarding::Backend;
use std::net::SocketAddr;
use thiserror::Error;

const FNV1A_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV1A_PRIME: u64 = 0x0000_0100_0000_01b3;
/// The machine type of entries whose type is not in the settings.
const UNKNOWN_MACHINE_TYPE: u8 = u8::MAX;
/// The zone of entries without one.
const DEFAULT_ZONE: u8 = 0;
const DEFAULT_WEIGHT: f32 = 1.0;

/// Why an entry can't be read.
#[derive(Debug, Error)]
pub enum EntryError {
    /// It is not of the entry form.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The settings have no such zone.
    #[error("{name}: unknown zone {zone}")]
    UnknownZone {
        /// The entry's name.
        name: String,
        /// The zone that it names.
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
    /// When the backend started, in milliseconds; 0 where that is not known.
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

/// Reads an entry that stands by itself.
///
/// # Errors
/// The text is not of the entry form, or names a zone that the settings do not have.
pub fn read_entry(site: &PlatformSettings, text: &[u8]) -> Result<Backend, EntryError> {
    serde_json::from_slice::<Entry>(text)?.into_backend(site)
}

impl Entry {
    pub(crate) fn into_backend(self, site: &PlatformSettings) -> Result<Backend, EntryError> {
        // A server of an unknown machine type serves like any other, but the zone decides where retries may go.
        let Some(zone) = self.zone_index(site) else {
            return Err(EntryError::UnknownZone {
                name: self.name,
                zone: self.zone,
            });
        };
        let machine_type = index_of(&site.machine_type_names, &self.machine_type);
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

    fn zone_index(&self, site: &PlatformSettings) -> Option<u8> {
        if self.zone.is_empty() {
            Some(DEFAULT_ZONE)
        } else {
            index_of(&site.zone_names, &self.zone)
        }
    }
}

fn index_of(names: &[String], name: &str) -> Option<u8> {
    let index = names.iter().position(|known| known == name)?;
    u8::try_from(index).ok()
}

/// A server's id: a hash (FNV-1a) of its name alone, so that it is the same on every node.
fn server_id(name: &str) -> ServerId {
    let hash = name.bytes().fold(FNV1A_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV1A_PRIME)
    });
    ServerId(hash)
}
