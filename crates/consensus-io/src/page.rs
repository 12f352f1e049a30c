//! What operators see of the agreement: one JSON object. Times are in milliseconds.

use crate::Council;
use serde_json::{Value, json};
use sillward_consensus::voter::Stands;
use sillward_fleet_settings::Key;

/// The page; `more` are keys that the node's own file names.
pub fn settings(council: &Council, more: &[Key]) -> String {
    let now = council.clock.now();
    let standing = council.standing();
    let node = council.node.borrow();
    let until = node
        .holder()
        .until()
        .map(|until| until.saturating_sub(now).as_millis() as u64);
    let versions: Vec<Value> = node
        .history()
        .iter()
        .map(|version| {
            let id = format!("{:016x}", version.id);
            json!({ "number": version.number, "id": id, "author": version.author, "why": version.why,
                "rules": version.rules })
        })
        .collect();
    let readings: Vec<Value> = node
        .history()
        .readings(standing, more)
        .into_iter()
        .map(|(key, reading)| {
            json!({ "key": key.to_string(), "value": reading.value.to_string(), "version": reading.version,
                "careful": reading.careful })
        })
        .collect();
    let voter = council.voter.borrow();
    let said = voter.as_ref().map(|voter| {
        let (leader, leads) = voter.leader();
        let leader = leader.and_then(|place| council.terms.voters.get(place - 1)).map(|name| name.as_str());
        let (decided, loose) = voter.log_length();
        let holding: Vec<Value> = voter
            .granter()
            .holding(now)
            .into_iter()
            .map(|(name, version, left)| {
                json!({ "node": name.as_str(), "may_act_on": version, "for_ms": left.as_millis() as u64 })
            })
            .collect();
        let stands = match voter.stands() {
            Stands::Joining => "joining".to_owned(),
            Stands::Votes => "votes".to_owned(),
            Stands::Refused(why) => format!("does not vote: {why}"),
        };
        json!({ "stands": stands, "leader": leader, "leads": leads, "rights_out": voter.granter().out(),
            "rights_refused": voter.granter().refused, "held_up_by": holding, "entries": decided,
            "entries_kept": loose, "failed_writes": voter.failed_writes })
    });
    let voter = said.or_else(|| {
        council
            .lost
            .as_ref()
            .map(|why| json!({ "stands": format!("does not vote: {why}") }))
    });
    let [asked, answered, between, fetched, dropped] = council.figures.get();
    let voters: Vec<&str> = council
        .terms
        .voters
        .iter()
        .map(|name| name.as_str())
        .collect();
    let page = json!({
        "log": council.terms.log,
        "voters": voters,
        "newest": standing.newest,
        "has": node.history().newest(),
        "in_force": standing.force,
        "right": standing.right,
        "right_for_ms": if standing.right { until } else { None },
        "voters_answering": node.holder().answered(now),
        "voter": voter,
        "readings": readings,
        "versions": versions,
        "sent": { "askings": asked, "answers": answered, "between_voters": between, "fetches": fetched },
        "dropped": dropped,
    });
    page.to_string()
}
