//! A request is decided by the settings under which its head was accepted, whatever is loaded before its last byte. Each
//! test holds a body back while the settings change.

use sillward_scenarios::held_request::HeldRequest;
use sillward_scenarios::peers::*;

/// The latency objective and the deadline of each class: longer than any request of these tests takes.
const LONG_MS: u64 = 4_000;
/// Responses after which the node knows how fast these backends are, and so when a hedged request is due.
const READS: usize = 150;
/// How long a client waits for its response. A hedged request would follow after a few milliseconds.
const BUDGET_MS: u64 = 1_200;
const BODY_BYTES: usize = 13;
/// The header of a keyed request.
const KEY: &str = "Idempotency-Key: 77\r\n";
const HEDGING: &str = r#","ParallelTries":true"#;

fn class(name: &str, effect: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Target":{LONG_MS},"GiveUp":{LONG_MS},"Idempotency":"{effect}","Group":"zone","Window":60000}}"#
    )
}

/// Settings with `read` and, unless it is `None`, the class `sheet` with this effect.
fn settings_with(sheet: Option<&str>, permissions: &str) -> String {
    let plain = settings(LONG_MS, permissions);
    let from = plain.find(r#"{"Name":"submit""#).expect("a class");
    let to = plain.find(r#"],"Projects""#).expect("the classes' end");
    let sheet = sheet.map_or_else(|| class("other", "free"), |effect| class("sheet", effect));
    format!("{}{sheet}{}", &plain[..from], &plain[to..])
}

/// A sheet whose head the node has accepted and whose body it waits for.
fn send_head(node: &Node, headers: &str) -> HeldRequest {
    HeldRequest::send(node, "sheet", BUDGET_MS, headers, (0, BODY_BYTES))
}

/// Completes a sheet that no backend answers, and waits for its end.
fn finish_unanswered(held: HeldRequest) {
    let status = held.finish().status().expect("a response");
    assert!(status >= 500, "{status}: nobody answered it");
}

/// Two backends that never answer a sheet and answer everything else, and a node that knows their latency.
fn with_slow_backends(settings: &str) -> (Node, Watch, Discovery, [Backend; 2]) {
    let backends = [0, 1].map(|_| {
        Backend::start(|message| match message.start.contains("/sheet/") {
            true => Reply::Silence,
            false => ok("figure"),
        })
    });
    let (node, watch, discovery) = serving_operators(settings, &[&backends[0], &backends[1]]);
    let mut client = node.client();
    for _ in 0..READS {
        assert_eq!(client.read().status(), 200);
    }
    (node, watch, discovery, backends)
}

/// The sheets that any of the backends has read.
fn sheets(backends: &[Backend; 2]) -> Vec<Message> {
    let all = backends.iter().flat_map(Backend::requests_so_far);
    all.filter(|message| message.start.contains("/sheet/"))
        .collect()
}

fn load(node: &Node, discovery: &Discovery, settings: &str, loads: u64) {
    node.reload(&config_operated(discovery.address, settings));
    until(|| node.figure("node.loads") == loads, "the new settings");
}

/// What the backends receive of a sheet whose head is accepted under the settings `first`, and whose body comes after `later`
/// have been loaded one after the other.
fn received_across_reloads(first: &str, later: &[&str], headers: &str) -> Vec<Message> {
    let (node, _watch, discovery, backends) = with_slow_backends(first);
    let held = send_head(&node, headers);
    for (loads, settings) in later.iter().enumerate() {
        load(&node, &discovery, settings, loads as u64 + 1);
    }
    finish_unanswered(held);
    let overtaken = later.last().is_some_and(|last| *last != first);
    assert_eq!(node.figure("node.older_settings"), u64::from(overtaken));
    sheets(&backends)
}

/// Guards against a second copy of an unsafe request whose class vanished and appeared as keyed while its body came.
#[test]
fn an_unsafe_request_stays_unsafe_when_its_class_vanishes_and_appears_as_keyed() {
    let single_shot = settings_with(Some("single_shot"), HEDGING);
    let without = settings_with(None, HEDGING);
    let keyed = settings_with(Some("guarded"), HEDGING);
    let received = received_across_reloads(&single_shot, &[&without, &keyed], "");
    assert_eq!(received.len(), 1, "it may run once");
}

/// Guards against the same fault where one file changes the class in one step.
#[test]
fn an_unsafe_request_stays_unsafe_when_its_class_becomes_keyed_in_one_step() {
    let single_shot = settings_with(Some("single_shot"), HEDGING);
    let keyed = settings_with(Some("guarded"), HEDGING);
    let received = received_across_reloads(&single_shot, &[&keyed], "");
    assert_eq!(received.len(), 1, "it may run once");
}

/// Guards against the opposite: a keyed request that loses the second copy that its head was promised.
#[test]
fn a_keyed_request_stays_keyed_when_its_class_becomes_unsafe() {
    let keyed = settings_with(Some("guarded"), HEDGING);
    let single_shot = settings_with(Some("single_shot"), HEDGING);
    let received = received_across_reloads(&keyed, &[&single_shot], KEY);
    assert_eq!(received.len(), 2, "the first copy and the hedged one");
    let has_key = |sheet: &Message| sheet.header("idempotency-key") == Some("77");
    assert!(received.iter().all(has_key), "{received:?}");
}

/// Guards against a limit on attempts and a permission to hedge that are read when the body is whole.
#[test]
fn a_request_gets_no_more_attempts_than_its_head_was_accepted_with() {
    let two_copies = settings_with(Some("guarded"), HEDGING);
    let one_attempt = two_copies.replacen(r#""AttemptsCap":3"#, r#""AttemptsCap":1"#, 1);
    let no_copies = settings_with(Some("guarded"), r#","ParallelTries":false"#);
    for (first, expected) in [(&one_attempt, 1), (&two_copies, 2)] {
        let received = received_across_reloads(first, &[&no_copies, &two_copies], KEY);
        assert_eq!(received.len(), expected);
    }
}
