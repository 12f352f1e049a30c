//! What operators see: plain JSON.

use sillward_balancer::ServerState;
use sillward_endpoints::{ListedEndpoint, MergedEndpoints, SourceEntry, SourceState};
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
pub fn sources(clock: Clock, membership: &Rc<RefCell<MergedEndpoints>>) -> String {
    let (now, membership) = (clock.now(), membership.borrow());
    let mut out = String::from("{\"sources\":[");
    let age = |at: Duration| now.saturating_sub(at).as_millis();
    let sources = membership.source_statuses();
    for (i, source) in sources.iter().enumerate() {
        let state = match source.state {
            SourceState::NeverSynced => "never",
            SourceState::Resyncing => "resyncing",
            SourceState::Current => "current",
            SourceState::Disconnected => "silent",
        };
        let heard = source
            .last_heard
            .map_or("null".to_owned(), |heard| age(heard).to_string());
        let comma = if i > 0 { "," } else { "" };
        // A write into a string can't fail.
        let _ = write!(
            out,
            "{comma}{{\"name\":\"{}\",\"state\":\"{state}\",\"age_ms\":{heard},\"backends\":{},\"held\":{}}}",
            source.name, source.endpoints, source.withheld_removals
        );
    }
    out.push_str("]}");
    out
}

/// The sources, and who says what of each backend. Ages are in milliseconds.
pub fn membership(clock: Clock, membership: &Rc<RefCell<MergedEndpoints>>) -> String {
    let mut out = sources(clock, membership);
    out.pop();
    out.push_str(",\"backends\":[");
    let (now, membership) = (clock.now(), membership.borrow());
    let sources = membership.source_statuses();
    for (i, line) in membership.endpoints().enumerate() {
        let comma = if i > 0 { "," } else { "" };
        let _ = write!(
            out,
            "{comma}{{\"id\":\"{:016x}\",\"address\":\"{}\",\"state\":\"{}\",\"since_ms\":{},\"said\":{{",
            line.endpoint.id.0,
            line.address,
            state(line.endpoint.state),
            since_ms(line)
        );
        let said = membership.source_entries(line.endpoint.id);
        let words = sources
            .iter()
            .zip(said)
            .filter_map(|(source, said)| said.map(|said| (&source.name, said)));
        for (j, (name, said)) in words.enumerate() {
            let comma = if j > 0 { "," } else { "" };
            let _ = write!(out, "{comma}\"{name}\":");
            write_report(&mut out, now, &said, membership.is_obsolete(&said));
        }
        out.push_str("}}");
    }
    out.push_str("]}");
    out
}

/// A source's report on a backend, and whether it is about an earlier incarnation and so has no effect.
fn write_report(out: &mut String, now: Duration, report: &SourceEntry, is_obsolete: bool) {
    let age = |at: Duration| now.saturating_sub(at).as_millis();
    let _ = write!(
        out,
        "{{\"state\":\"{}\",\"age_ms\":{},\"held\":{},\"since_ms\":{},\"last_said_ms\":{},\"obsolete\":{is_obsolete}}}",
        state(report.listed.endpoint.state),
        age(report.since),
        report.removal_withheld_since.is_some(),
        since_ms(&report.listed),
        age(report.reported_at),
    );
}

/// The start time as discovery's list gives it: in Unix milliseconds, 0 where it is not known.
fn since_ms(listed: &ListedEndpoint) -> u128 {
    listed
        .endpoint
        .started_at
        .map_or(0, |started_at| started_at.as_millis())
}
