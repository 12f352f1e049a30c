//! Admin page of the fleet, a single JSON object. Times are in milliseconds; ages count from the last known event.

use crate::envelope::RejectReason;
use crate::incarnation_store::StoreStatus;
use crate::transport::PeerTransport;
use serde_json::{Map, Value, json};
use sillward_membership::{
    Counters, Member, MemberState, Membership, MembershipStatus, ProbeCounts,
};
use std::rc::Rc;
use std::time::Duration;

/// Renders the page as JSON.
pub fn render(transport: &Rc<PeerTransport>) -> String {
    let status = transport.status();
    let now = transport.clock.now();
    transport
        .with_membership(|membership| page(transport, membership, status, now))
        .to_string()
}

fn page(
    transport: &PeerTransport,
    membership: &Membership,
    status: MembershipStatus,
    now: Duration,
) -> Value {
    let local = membership.local_node();
    let health = membership.health();
    let members: Vec<Value> = membership
        .members()
        .map(|member| member_entry(member, now))
        .collect();
    json!({
        "fleet": transport.fleet,
        "name": local.name.as_str(),
        "address": local.address.to_string(),
        "standing": status_text(status),
        "life": membership.incarnation().to_string(),
        "life_kept": store_status(transport.incarnation_store.status()),
        "zone": local.metadata.zone,
        "region": local.metadata.region,
        "build": local.metadata.build,
        "up_ms": age_ms(now, transport.started_at),
        "living": membership.active_count() + 1,
        "print": format!("{:08x}", membership.digest()),
        "health": health.score(),
        "trip_ms": health.round_trip().map(milliseconds),
        "rumours": membership.pending_updates(),
        "links": transport.connections.borrow().len(),
        "sent": sent(transport),
        "received": received(transport),
        "dropped": rejected(transport),
        "counts": counts(transport, &membership.counters()),
        "members": members,
    })
}

fn member_entry(member: &Member, now: Duration) -> Value {
    let ProbeCounts { sent, unanswered } = member.probes;
    let loss = (sent > 0).then(|| f64::from(unanswered) / f64::from(sent));
    json!({
        "name": member.name.as_str(),
        "address": member.address.to_string(),
        "state": state_text(member.state),
        "age_ms": age_ms(now, member.state_since),
        "life": member.incarnation.to_string(),
        "word": member.refutation,
        "heard_ms": member.last_heard.map(|at| age_ms(now, at)),
        "zone": member.metadata.zone,
        "region": member.metadata.region,
        "build": member.metadata.build,
        "speaks": member.metadata.capabilities,
        "trip_ms": member.round_trip.map(milliseconds),
        "loss": loss,
    })
}

fn sent(transport: &PeerTransport) -> Value {
    let sent = transport.sent();
    json!({
        "frames": sent.datagrams,
        "bytes": sent.datagram_bytes,
        "unsent": transport.traffic.unsent.get(),
        "messages": sent.messages,
        "message_bytes": sent.message_bytes,
    })
}

fn received(transport: &PeerTransport) -> Value {
    let received = &transport.traffic.received;
    json!({
        "frames": received.count(),
        "bytes": received.bytes(),
        "taken": transport.inbound_filter.borrow().accepted(),
    })
}

fn rejected(transport: &PeerTransport) -> Map<String, Value> {
    let filter = transport.inbound_filter.borrow();
    RejectReason::ALL
        .iter()
        .map(|reason| (reason.as_str().to_owned(), filter.rejected(*reason).into()))
        .collect()
}

fn counts(transport: &PeerTransport, counters: &Counters) -> Value {
    json!({
        "lives": counters.incarnations,
        "pauses": counters.pauses,
        "suspected": counters.suspected,
        "called_gone": counters.declared_dead,
        "refuted": counters.refutations,
        "to_earlier_life": counters.to_earlier_incarnation,
        "from_ended_life": counters.from_ended_incarnation,
        "strangers": counters.to_unknown_incarnation,
        "namesakes": counters.name_conflicts,
        "nonsense": counters.invalid,
        "no_room": counters.capacity_rejections,
        "unanswered": counters.rate_limited_responses,
        "comparisons": counters.sync_exchanges,
        "fruitful_comparisons": counters.productive_sync_messages,
        "bad_links": transport.traffic.bad_connections.get(),
        "dropped_messages": transport.traffic.dropped_messages.get(),
    })
}

fn status_text(status: MembershipStatus) -> &'static str {
    match status {
        MembershipStatus::Joining => "asking",
        MembershipStatus::Joined => "settled",
        MembershipStatus::Isolated => "alone",
        MembershipStatus::NameConflict => "conflict",
    }
}

fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Left => "left",
        MemberState::Dead => "gone",
    }
}

/// `None`, rendered as `null`, while the status is pending.
fn store_status(status: StoreStatus) -> Option<bool> {
    match status {
        StoreStatus::Pending => None,
        StoreStatus::Stored => Some(true),
        StoreStatus::Failed => Some(false),
    }
}

fn age_ms(now: Duration, at: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}

/// Converts to milliseconds, rounded to two decimals.
fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 100.0
}
