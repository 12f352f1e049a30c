//! The settings page of the admin interface: the state of the consensus as one JSON object, with times in milliseconds.

use crate::service::ConsensusService;
use serde_json::{Value, json};
use sillward_consensus::node::Node;
use sillward_consensus::voter::{Voter, VoterStatus};
use sillward_fleet_settings::Key;
use std::time::Duration;

/// Renders the page. `more_keys` are the keys of the node's own configuration.
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
        "voter": voter_state(service, now),
        "readings": effective_values(service, more_keys),
        "versions": service.with_node(versions),
        "sent": { "askings": counts.requests, "answers": counts.responses,
            "between_voters": counts.voter_messages, "fetches": counts.fetches },
        "dropped": counts.dropped,
    });
    page.to_string()
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn versions(node: &Node) -> Vec<Value> {
    let versions = node.history().iter().map(|version| {
        let id = format!("{:016x}", version.id);
        json!({ "number": version.number, "id": id, "author": version.author, "why": version.reason,
            "rules": version.settings })
    });
    versions.collect()
}

fn effective_values(service: &ConsensusService, more_keys: &[Key]) -> Vec<Value> {
    let values = service.effective_values(more_keys).into_iter();
    let values = values.map(|(key, effective)| {
        json!({ "key": key.to_string(), "value": effective.value.to_string(),
            "version": effective.version, "careful": effective.conservative })
    });
    values.collect()
}

/// This voter's state, or why it is treated as lost; `None` on a node that is not a voter.
fn voter_state(service: &ConsensusService, now: Duration) -> Option<Value> {
    let running_state = service.with_voter(|voter| running_voter_state(service, voter, now));
    running_state.or_else(|| {
        let lost = service.lost_state()?;
        Some(json!({ "stands": format!("does not vote: {lost}") }))
    })
}

fn running_voter_state(service: &ConsensusService, voter: &Voter, now: Duration) -> Value {
    let leader = voter
        .leader()
        .and_then(|voter_id| service.config().voter(voter_id))
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
