//! The table `[fleet]`.

use crate::reader::Section;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the operator file says of the fleet. Names and keys are read by whoever puts the node together.
#[derive(Clone, Debug)]
pub struct FleetTerms {
    /// The fleet's name.
    pub name: String,
    /// The file that holds the fleet's key.
    pub key_file: PathBuf,
    /// Where it listens, by UDP and TCP.
    pub listen: SocketAddr,
    /// Where the others reach it, if not there.
    pub advertise: Option<SocketAddr>,
    /// Whom it asks first.
    pub seeds: Vec<SocketAddr>,
    /// This node's zone and region.
    pub zone: String,
    /// See there.
    pub region: String,
    /// Where it remembers its last life.
    pub folder: Option<PathBuf>,
    /// The most bytes of a frame with its envelope.
    pub frame_bytes: usize,
    /// Times and bounds.
    pub peers: sillward_membership::MembershipSettings,
}

/// The longest zone and region, in bytes: both must fit one value with the build and what the node speaks.
const MOST_PLACE: usize = 24;
const MOST_FLEET: usize = 16;
const MOST_SEEDS: usize = 16;

pub fn read(section: &Section<'_>) -> Option<FleetTerms> {
    let name = section.needed("name").map(str::to_owned);
    if name
        .as_ref()
        .is_some_and(|name| name.len() > MOST_FLEET || name.chars().any(char::is_control))
    {
        section.fault(
            "name",
            format!("is longer than {MOST_FLEET} bytes, or has control characters"),
        );
    }
    let key_file = section.needed("key_file").map(PathBuf::from);
    if !section.has("listen") {
        section.fault("listen", "is missing");
    }
    let listen: Option<SocketAddr> = section.parsed("listen");
    let advertise: Option<SocketAddr> = section.parsed("advertise");
    if listen.is_some_and(|at| at.ip().is_unspecified()) && advertise.is_none() {
        section.fault(
            "advertise",
            "is needed where \"listen\" is every address: the others must know one",
        );
    }
    if advertise.is_some_and(|at| at.port() == 0 || at.ip().is_unspecified()) {
        section.fault(
            "advertise",
            "must be an address with a port that the others can reach",
        );
    }
    let texts = section.texts("seeds");
    if texts.len() > MOST_SEEDS {
        section.fault("seeds", format!("more than {MOST_SEEDS}"));
    }
    let mut seeds = Vec::new();
    for text in texts {
        match text.parse::<SocketAddr>() {
            Ok(seed) if seed.port() != 0 => seeds.push(seed),
            _ => section.fault(
                "seeds",
                format!("{text:?} is no address like \"127.0.0.1:7946\""),
            ),
        }
    }
    let place = |name| {
        let text = section.text(name).unwrap_or_default();
        if text.len() > MOST_PLACE || text.chars().any(char::is_control) {
            section.fault(
                name,
                format!("is longer than {MOST_PLACE} bytes, or has control characters"),
            );
        }
        text.to_owned()
    };
    let (zone, region) = (place("zone"), place("region"));
    let usual = sillward_membership::MembershipSettings::default();
    let ms = |name, least, most, usual: Duration| {
        section
            .number(name, least, most)
            .map_or(usual, |ms| Duration::from_millis(ms as u64))
    };
    let peers = sillward_membership::MembershipSettings {
        probe_interval: ms("probe_ms", 50, 60_000, usual.probe_interval),
        min_ack_timeout: ms("wait_ms", 5, 10_000, usual.min_ack_timeout),
        min_suspicion_timeout: ms("suspicion_ms", 200, 600_000, usual.min_suspicion_timeout),
        gossip_interval: ms("gossip_ms", 20, 10_000, usual.gossip_interval),
        dead_retention: ms("forget_ms", 1_000, 86_400_000, usual.dead_retention),
        max_members: section
            .number("members", 2, 4096)
            .map_or(usual.max_members, |n| n as usize),
        ..usual
    };
    if peers.min_ack_timeout >= peers.probe_interval {
        section.fault(
            "wait_ms",
            "must be shorter than probe_ms: a probe is over before the next one",
        );
    }
    if peers.min_suspicion_timeout < peers.min_ack_timeout * 4 {
        section.fault(
            "suspicion_ms",
            "must be four times wait_ms at least: who is suspected has to hear of it",
        );
    }
    let frame_bytes = section.number("frame_bytes", 256, 1400).unwrap_or(256) as usize;
    let folder = section.text("folder").map(PathBuf::from);
    let (name, key_file, listen) = (name?, key_file?, listen?);
    Some(FleetTerms {
        name,
        key_file,
        listen,
        advertise,
        seeds,
        zone,
        region,
        folder,
        frame_bytes,
        peers,
    })
}
