//! The fleet that the node is a member of, where the operator file names one.

use sillward_logging::log;
use sillward_membership::{Name, NodeMetadata};
use sillward_node_config::Config;
use sillward_operator_config::FleetTerms;
use sillward_peer_transport::envelope::Keys;
use sillward_peer_transport::{PeerTransport, TransportSettings};
use sillward_runtime::task::spawn_local;
use sillward_runtime::{Clock, files};
use std::rc::Rc;

/// The shortest and the longest key, in bytes.
const KEY: std::ops::RangeInclusive<usize> = 32..=1024;
/// What this build speaks to other members.
const SPEAKS: &[&str] = &["fleet1", sillward_fleet_settings::SPEAKS];

/// A member's sockets beside its links: one for datagrams, one that listens.
const OWN_SOCKETS: usize = 2;
/// What a link may hold: what waits for it, and what is being read.
const LINK_BYTES: usize = 192 * 1024;
/// What a member that is known takes at most, with its values and rumours.
const MEMBER_BYTES: usize = 2048;

/// The descriptors that the fleet takes from those for clients: an eighth, within bounds.
pub fn sockets(config: &Config) -> usize {
    (config.client_connections / 8).clamp(OWN_SOCKETS + 4, OWN_SOCKETS + 256)
}

/// Links at once; as many again may have been taken.
fn links(config: &Config) -> usize {
    (sockets(config) - OWN_SOCKETS) / 2
}

/// The memory that the fleet takes at the worst, from what bodies may have.
pub fn bytes(config: &Config, fleet: &FleetTerms) -> usize {
    links(config) * 2 * LINK_BYTES + fleet.peers.max_members * MEMBER_BYTES
}

/// What the fleet's member is to be: the operator file's words with the key that they name.
///
/// # Errors
/// All that is wrong, with the operator file's keys.
pub fn terms(config: &Config, fleet: &FleetTerms) -> Result<TransportSettings, String> {
    let mut faults = Vec::new();
    let name = Name::new(&config.name);
    if name.is_none() {
        faults.push(format!(
            "fleet: the node's name {:?} must have 1 to {} bytes and no control characters to be a member's",
            config.name,
            Name::MAX_BYTES
        ));
    }
    let file = fleet.key_file.display();
    let secret = files::secret(&fleet.key_file, *KEY.end() as u64 + 1);
    let secret = secret
        .map_err(|e| faults.push(format!("fleet.key_file: cannot use {file}: {e}")))
        .ok();
    let secret: Option<Vec<u8>> = secret.map(|bytes| bytes.trim_ascii().to_vec());
    if secret
        .as_ref()
        .is_some_and(|secret| !KEY.contains(&secret.len()))
    {
        faults.push(format!(
            "fleet.key_file: {file} must hold {} to {} bytes",
            KEY.start(),
            KEY.end()
        ));
    }
    let (Some(name), Some(secret), true) = (name, secret, faults.is_empty()) else {
        return Err(faults.join("\n"));
    };
    let metadata = NodeMetadata {
        zone: fleet.zone.clone(),
        region: fleet.region.clone(),
        build: build(),
        capabilities: SPEAKS.iter().map(|word| (*word).to_owned()).collect(),
    };
    Ok(TransportSettings {
        fleet: fleet.name.clone(),
        keys: Keys::derive(&secret),
        name,
        listen: fleet.listen,
        advertise: fleet.advertise,
        seeds: fleet.seeds.clone(),
        metadata,
        max_frame_bytes: fleet.frame_bytes,
        max_connections: links(config),
        state_dir: fleet.folder.clone(),
        membership: planted(fleet.peers.clone()),
    })
}

#[cfg(not(feature = "faults"))]
fn build() -> String {
    env!("CARGO_PKG_VERSION").to_owned()
}

#[cfg(not(feature = "faults"))]
fn planted(
    peers: sillward_membership::MembershipSettings,
) -> sillward_membership::MembershipSettings {
    peers
}

/// The ground tells one build from another by this.
#[cfg(feature = "faults")]
fn build() -> String {
    sillward_runtime::told("SILLWARD_FAULT_BUILD")
        .unwrap_or_else(|| env!("CARGO_PKG_VERSION").to_owned())
}

#[cfg(feature = "faults")]
fn planted(
    peers: sillward_membership::MembershipSettings,
) -> sillward_membership::MembershipSettings {
    use sillward_membership::InjectedBug;
    let injected_bug = match sillward_runtime::told("SILLWARD_FAULT_PLANT").as_deref() {
        Some("no-incarnation") => Some(InjectedBug::ReusedIncarnation),
        Some("one-way-blind") => Some(InjectedBug::NoIndirectProbes),
        Some("never-forget") => Some(InjectedBug::DeadKeptForever),
        _ => None,
    };
    sillward_membership::MembershipSettings {
        injected_bug,
        ..peers
    }
}

/// Starts the member; it says goodbye when `stop` is over.
///
/// # Errors
/// See [`terms`]; or it can't listen.
pub async fn start(
    clock: Clock,
    config: &Config,
    fleet: &FleetTerms,
    stop: impl Future<Output = ()> + 'static,
) -> Result<Rc<PeerTransport>, String> {
    let (fleet, listening) = PeerTransport::start(terms(config, fleet)?, clock)
        .await
        .map_err(|e| e.to_string())?;
    log(format_args!(
        "{} listens for its fleet on {}",
        config.name, listening.address
    ));
    spawn_local(fleet.clone().run(listening, stop));
    Ok(fleet)
}
