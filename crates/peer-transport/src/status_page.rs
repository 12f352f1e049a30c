//! What operators see of the fleet: one JSON object. Times are in milliseconds; ages count from what was last known.

use crate::PeerTransport;
use crate::envelope::RejectReason;
use serde_json::{Value, json};
use sillward_membership::{MemberState, MembershipStatus, ProbeCounts};
use std::rc::Rc;
use std::time::Duration;

fn standing(standing: MembershipStatus) -> &'static str {
    match standing {
        MembershipStatus::Joining => "asking",
        MembershipStatus::Joined => "settled",
        MembershipStatus::Isolated => "alone",
        MembershipStatus::NameConflict => "conflict",
    }
}

fn state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Left => "left",
        MemberState::Dead => "gone",
    }
}

fn ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 100.0
}

/// The page.
pub fn render(fleet: &Rc<PeerTransport>) -> String {
    let standing = standing(fleet.status());
    let now = fleet.clock.now();
    let age = |at: Duration| now.saturating_sub(at).as_millis() as u64;
    let guard = fleet.inbound_filter.borrow();
    let dropped: serde_json::Map<String, Value> = RejectReason::ALL
        .iter()
        .map(|why| (why.as_str().to_owned(), guard.rejected(*why).into()))
        .collect();
    fleet.with_membership(|peers| {
        let members: Vec<Value> = peers
            .members()
            .map(|member| {
                let ProbeCounts { sent: probes, unanswered: missed } = member.probes;
                json!({
                    "name": member.name.as_str(),
                    "address": member.address.to_string(),
                    "state": state(member.state),
                    "age_ms": age(member.state_since),
                    "life": member.incarnation.to_string(),
                    "word": member.refutation,
                    "heard_ms": member.last_heard.map(age),
                    "zone": member.metadata.zone,
                    "region": member.metadata.region,
                    "build": member.metadata.build,
                    "speaks": member.metadata.capabilities,
                    "trip_ms": member.round_trip.map(ms),
                    "loss": (probes > 0).then(|| f64::from(missed) / f64::from(probes)),
                })
            })
            .collect();
        let (me, counters, health) = (peers.local(), peers.counters(), peers.health());
        json!({
            "fleet": fleet.fleet,
            "name": me.name.as_str(),
            "address": me.address.to_string(),
            "standing": standing,
            "life": peers.incarnation().to_string(),
            "life_kept": fleet.kept.get(),
            "zone": me.metadata.zone,
            "region": me.metadata.region,
            "build": me.metadata.build,
            "up_ms": age(fleet.started),
            "living": peers.active_count() + 1,
            "print": format!("{:08x}", peers.digest()),
            "health": health.score(),
            "trip_ms": health.round_trip().map(ms),
            "rumours": peers.pending_updates(),
            "links": fleet.links.borrow().len(),
            "sent": { "frames": fleet.sent.get().0, "bytes": fleet.sent.get().1, "unsent": fleet.unsent.get(),
                "messages": fleet.sent_long.get().0, "message_bytes": fleet.sent_long.get().1 },
            "received": { "frames": fleet.received.get().0, "bytes": fleet.received.get().1, "taken": guard.accepted() },
            "dropped": dropped,
            "counts": {
                "lives": counters.incarnations, "pauses": counters.pauses, "suspected": counters.suspected,
                "called_gone": counters.declared_dead, "refuted": counters.refutations,
                "to_earlier_life": counters.to_earlier_incarnation, "from_ended_life": counters.from_ended_incarnation,
                "strangers": counters.from_strangers, "namesakes": counters.name_conflicts, "nonsense": counters.invalid,
                "no_room": counters.capacity_rejections, "unanswered": counters.rate_limited_replies,
                "comparisons": counters.syncs, "fruitful_comparisons": counters.productive_syncs,
                "bad_links": fleet.bad_links.get(), "dropped_messages": fleet.dropped_long.get(),
            },
            "members": members,
        })
        .to_string()
    })
}
