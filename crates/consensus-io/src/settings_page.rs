//! The operators' page of the consensus: one JSON object. Times are in milliseconds.

use crate::service::ConsensusService;
use serde_json::{Value, json};
use sillward_consensus::node::Node;
use sillward_consensus::voter::{Voter, VoterStatus};
use sillward_fleet_settings::Key;
use std::time::Duration;

/// The page. `more_keys` are keys that the node's own configuration has.
pub fn render(service: &ConsensusService, more_keys: &[Key]) -> String {
    let now = service.clock().now();
    let status = service.status();
    let config = service.config();
    let voters: Vec<&str> = config.voters.iter().map(|name| name.as_str()).collect();
    let (expires_at, responding) = service.with_node(|node| {
        let lease = node.lease();
        (lease.expires_at(), lease.responding_voters(now))
    });
    let remaining = expires_at.map(|at| milliseconds(at.saturating_sub(now)));
    let counts = service.message_counts();
    let page = json!({
        "log": config.log_name,
        "voters": voters,
        "newest": status.newest,
        "has": service.with_node(|node| node.history().newest()),
        "in_force": status.in_force,
        "right": status.has_lease,
        "right_for_ms": if status.has_lease { remaining } else { None },
        "voters_answering": responding,
        "voter": voter(service, now),
        "readings": readings(service, more_keys),
        "versions": service.with_node(versions),
        "sent": { "askings": counts.requests, "answers": counts.responses,
            "between_voters": counts.voter_messages, "fetches": counts.fetches },
        "dropped": counts.dropped,
    });
    page.to_string()
}

fn milliseconds(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn versions(node: &Node) -> Vec<Value> {
    let versions = node.history().iter().map(|version| {
        let id = format!("{:016x}", version.id);
        json!({ "number": version.number, "id": id, "author": version.author, "why": version.reason,
            "rules": version.settings })
    });
    versions.collect()
}

fn readings(service: &ConsensusService, more_keys: &[Key]) -> Vec<Value> {
    let values = service.effective_values(more_keys).into_iter();
    let readings = values.map(|(key, effective)| {
        json!({ "key": key.to_string(), "value": effective.value.to_string(),
            "version": effective.version, "careful": effective.conservative })
    });
    readings.collect()
}

/// This voter's state, or why it counts as lost; `None` on a node that is no voter.
fn voter(service: &ConsensusService, now: Duration) -> Option<Value> {
    let running = service.with_voter(|voter| running_voter(service, voter, now));
    running.or_else(|| {
        let lost = service.lost_state()?;
        Some(json!({ "stands": format!("does not vote: {lost}") }))
    })
}

fn running_voter(service: &ConsensusService, voter: &Voter, now: Duration) -> Value {
    let leader = voter
        .leader()
        .and_then(|place| service.config().voter(place))
        .map(|name| name.as_str());
    let log = voter.log_length();
    let leases = voter.leases();
    let blocking: Vec<Value> = leases
        .blocking_leases(now)
        .into_iter()
        .map(|lease| {
            json!({ "node": lease.node.as_str(), "may_act_on": lease.version,
                "for_ms": milliseconds(lease.remaining) })
        })
        .collect();
    let status = match voter.status() {
        VoterStatus::Joining => "joining".to_owned(),
        VoterStatus::Voting => "votes".to_owned(),
        VoterStatus::Disabled(reason) => format!("does not vote: {reason}"),
    };
    json!({ "stands": status, "leader": leader, "leads": voter.is_leader(),
        "rights_out": leases.outstanding(), "rights_refused": leases.rejected, "held_up_by": blocking,
        "entries": log.decided, "entries_kept": log.uncompacted, "failed_writes": voter.failed_writes() })
}
