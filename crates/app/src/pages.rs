//! What operators see: plain JSON.

use sillward_balancer::ServerState;
use sillward_endpoints::{Membership, Standing};
use sillward_runtime::Clock;
use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

fn state(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "in_service",
        ServerState::Draining => "terminating",
        ServerState::Removed => "terminated",
    }
}

/// The sources with state and age. Ages are in milliseconds.
pub fn sources(clock: Clock, membership: &Rc<RefCell<Membership>>) -> String {
    let (now, membership) = (clock.now(), membership.borrow());
    let mut out = String::from("{\"sources\":[");
    let age = |at: Duration| now.saturating_sub(at).as_millis();
    let sources = membership.sources();
    for (i, source) in sources.iter().enumerate() {
        let standing = match source.standing {
            Standing::Never => "never",
            Standing::Resyncing => "resyncing",
            Standing::Current => "current",
            Standing::Silent => "silent",
        };
        let heard = source
            .heard
            .map_or("null".to_owned(), |heard| age(heard).to_string());
        let comma = if i > 0 { "," } else { "" };
        // A write into a string can't fail.
        let _ = write!(
            out,
            "{comma}{{\"name\":\"{}\",\"state\":\"{standing}\",\"age_ms\":{heard},\"backends\":{},\"held\":{}}}",
            source.name, source.lines, source.held
        );
    }
    out.push_str("]}");
    out
}

/// The sources, and who says what of each backend. Ages are in milliseconds.
pub fn membership(clock: Clock, membership: &Rc<RefCell<Membership>>) -> String {
    let mut out = sources(clock, membership);
    out.pop();
    out.push_str(",\"backends\":[");
    let (now, membership) = (clock.now(), membership.borrow());
    let age = |at: Duration| now.saturating_sub(at).as_millis();
    let sources = membership.sources();
    for (i, line) in membership.lines().enumerate() {
        let comma = if i > 0 { "," } else { "" };
        let _ = write!(
            out,
            "{comma}{{\"id\":\"{:016x}\",\"address\":\"{}\",\"state\":\"{}\",\"said\":{{",
            line.entry.id.0,
            line.address,
            state(line.entry.state)
        );
        let said = membership.said(line.entry.id);
        let words = sources
            .iter()
            .zip(said)
            .filter_map(|(source, said)| said.map(|said| (&source.name, said)));
        for (j, (name, said)) in words.enumerate() {
            let comma = if j > 0 { "," } else { "" };
            let _ = write!(
                out,
                "{comma}\"{name}\":{{\"state\":\"{}\",\"age_ms\":{},\"held\":{}}}",
                state(said.line.entry.state),
                age(said.since),
                said.held.is_some()
            );
        }
        out.push_str("}}");
    }
    out.push_str("]}");
    out
}
