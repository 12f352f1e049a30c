//! What operators see of the fleet: one JSON object. Times are in milliseconds; ages count from what was last known.

use crate::Fleet;
use crate::envelope::Dropped;
use serde_json::{Value, json};
use sillward_membership::{Standing, State};
use std::rc::Rc;
use std::time::Duration;

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Asking => "asking",
        Standing::Settled => "settled",
        Standing::Alone => "alone",
        Standing::Conflict => "conflict",
    }
}

fn state(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspected => "suspected",
        State::Left => "left",
        State::Gone => "gone",
    }
}

fn ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 100.0
}

/// The page.
pub fn fleet(fleet: &Rc<Fleet>) -> String {
    let standing = standing(fleet.standing());
    let now = fleet.clock.now();
    let age = |at: Duration| now.saturating_sub(at).as_millis() as u64;
    let guard = fleet.guard.borrow();
    let dropped: serde_json::Map<String, Value> = Dropped::ALL
        .iter()
        .map(|why| (why.word().to_owned(), guard.dropped(*why).into()))
        .collect();
    fleet.with(|peers| {
        let members: Vec<Value> = peers
            .members()
            .map(|member| {
                let (probes, missed) = member.probes;
                json!({
                    "name": member.name.as_str(),
                    "address": member.address.to_string(),
                    "state": state(member.state),
                    "age_ms": age(member.since),
                    "life": member.life.to_string(),
                    "word": member.word,
                    "heard_ms": member.heard.map(age),
                    "zone": member.about.zone,
                    "region": member.about.region,
                    "build": member.about.build,
                    "speaks": member.about.speaks,
                    "trip_ms": member.trip.map(ms),
                    "loss": (probes > 0).then(|| f64::from(missed) / f64::from(probes)),
                })
            })
            .collect();
        let (me, figures, health) = (peers.me(), peers.figures(), peers.health());
        json!({
            "fleet": fleet.fleet,
            "name": me.name.as_str(),
            "address": me.address.to_string(),
            "standing": standing,
            "life": peers.life().to_string(),
            "life_kept": fleet.kept.get(),
            "zone": me.about.zone,
            "region": me.about.region,
            "build": me.about.build,
            "up_ms": age(fleet.started),
            "living": peers.living() + 1,
            "print": format!("{:08x}", peers.print()),
            "health": health.score(),
            "trip_ms": health.trip().map(ms),
            "rumours": peers.rumours(),
            "links": fleet.links.borrow().len(),
            "sent": { "frames": fleet.sent.get().0, "bytes": fleet.sent.get().1, "unsent": fleet.unsent.get(),
                "messages": fleet.sent_long.get().0, "message_bytes": fleet.sent_long.get().1 },
            "received": { "frames": fleet.received.get().0, "bytes": fleet.received.get().1, "taken": guard.taken() },
            "dropped": dropped,
            "counts": {
                "lives": figures.lives, "pauses": figures.pauses, "suspected": figures.suspected,
                "called_gone": figures.called_gone, "refuted": figures.refuted,
                "to_earlier_life": figures.to_earlier, "from_ended_life": figures.from_ended,
                "strangers": figures.strangers, "namesakes": figures.namesakes, "nonsense": figures.nonsense,
                "no_room": figures.no_room, "unanswered": figures.discourteous,
                "comparisons": figures.syncs, "fruitful_comparisons": figures.fruitful_syncs,
                "bad_links": fleet.bad_links.get(), "dropped_messages": fleet.dropped_long.get(),
            },
            "members": members,
        })
        .to_string()
    })
}
