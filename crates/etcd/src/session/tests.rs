//! Tests of the session: order and repetition of events, compaction, older or different clusters, interrupted lists and
//! backoff.

use super::*;
use crate::proto::Event;

fn header(cluster_id: u64, revision: i64) -> Option<ResponseHeader> {
    Some(ResponseHeader {
        cluster_id,
        revision,
        ..ResponseHeader::default()
    })
}

fn kv(key: &str, mod_revision: i64, value: &str) -> KeyValue {
    KeyValue {
        key: Bytes::copy_from_slice(key.as_bytes()),
        value: Bytes::copy_from_slice(value.as_bytes()),
        mod_revision,
        ..KeyValue::default()
    }
}

fn event(key: &str, revision: i64, value: Option<&str>) -> Event {
    let kind = if value.is_some() {
        EventType::Put
    } else {
        EventType::Delete
    };
    Event {
        r#type: kind as i32,
        kv: Some(kv(key, revision, value.unwrap_or_default())),
    }
}

fn put(key: &str, value: &str) -> Action {
    let bytes = |text: &str| Bytes::copy_from_slice(text.as_bytes());
    Action::Put {
        key: bytes(key),
        value: bytes(value),
    }
}

fn delete(key: &str) -> Action {
    Action::Delete {
        key: Bytes::copy_from_slice(key.as_bytes()),
    }
}

fn events(revision: i64, events: Vec<Event>) -> WatchResponse {
    WatchResponse {
        header: header(1, revision),
        events,
        ..WatchResponse::default()
    }
}

fn created(cluster_id: u64, revision: i64) -> WatchResponse {
    WatchResponse {
        header: header(cluster_id, revision),
        created: true,
        ..WatchResponse::default()
    }
}

fn read_first_page() -> Vec<Action> {
    vec![Action::ReadPage {
        after: Bytes::new(),
        revision: 0,
    }]
}

/// Returns a session whose watch is open, after a list with the keys `a` and `b` at revision 10.
fn watching_session() -> Session {
    let mut session = Session::new(3, Timeouts::default(), 1);
    assert_eq!(session.on_connected(), read_first_page());
    let page = |kvs, more| RangeResponse {
        header: header(1, 10),
        kvs,
        more,
        count: 2,
    };
    let actions = session.on_page(page(vec![kv("a", 4, "1")], true));
    let next = Action::ReadPage {
        after: Bytes::from_static(b"a"),
        revision: 10,
    };
    assert_eq!(actions, [Action::BeginList, put("a", "1"), next]);
    let actions = session.on_page(page(vec![kv("b", 9, "2")], false));
    assert_eq!(
        actions,
        [
            put("b", "2"),
            Action::EndList,
            Action::OpenWatch { start_revision: 11 }
        ]
    );
    assert_eq!(session.on_watch_response(created(1, 10)), []);
    assert!(session.is_watching());
    session
}

#[test]
fn applies_each_event_once_in_revision_order() {
    let mut session = watching_session();
    let fragment = |fragment, list| WatchResponse {
        fragment,
        ..events(12, list)
    };
    assert_eq!(
        session.on_watch_response(fragment(true, vec![event("a", 12, Some("3"))])),
        []
    );
    assert_eq!(
        session.revision, 10,
        "a fragment must not advance the revision"
    );
    let last = session.on_watch_response(fragment(
        false,
        vec![event("b", 12, None), event("c", 11, Some("4"))],
    ));
    assert_eq!(last, [put("c", "4"), put("a", "3"), delete("b")]);
    assert_eq!(session.revision, 12);
    // Repeated and older events are ignored.
    let again = vec![
        event("a", 12, Some("3")),
        event("b", 12, None),
        event("b", 9, Some("2")),
        event("before", 7, Some("the list")),
    ];
    assert_eq!(session.on_watch_response(events(12, again)), []);
    // Events out of order: each key keeps the value of its latest revision.
    assert_eq!(
        session.on_watch_response(events(15, vec![event("a", 15, Some("5"))])),
        [put("a", "5")]
    );
    let late = vec![event("a", 14, None), event("c", 14, None)];
    assert_eq!(session.on_watch_response(events(15, late)), [delete("c")]);
    assert_eq!(session.revision, 15);
    // A progress response advances the revision.
    assert_eq!(session.on_watch_response(events(40, vec![])), []);
    session.on_disconnected();
    assert_eq!(
        session.on_connected(),
        [Action::OpenWatch { start_revision: 41 }]
    );
}

#[test]
fn rereads_the_list_after_compaction_rollback_or_cluster_change() {
    let canceled = |compact_revision, reason: &str| WatchResponse {
        header: header(1, 99),
        canceled: true,
        compact_revision,
        cancel_reason: reason.to_owned(),
        ..WatchResponse::default()
    };
    let mut session = watching_session();
    session.on_disconnected();
    assert_eq!(
        session.on_connected(),
        [Action::OpenWatch { start_revision: 11 }]
    );
    assert_eq!(
        session.on_watch_response(canceled(50, "compacted")),
        read_first_page()
    );
    // The revision of the list may be compacted while the list is being read.
    let page = RangeResponse {
        header: header(1, 99),
        kvs: vec![kv("a", 4, "1")],
        more: true,
        count: 9,
    };
    assert_eq!(session.on_page(page).len(), 3);
    assert_eq!(session.on_page_compacted(), read_first_page());
    // A lower revision than the known one, at the creation of the watch or in a progress response.
    let mut session = watching_session();
    session.on_disconnected();
    session.on_connected();
    assert_eq!(session.on_watch_response(created(1, 3)), read_first_page());
    assert_eq!(
        watching_session().on_watch_response(events(9, vec![])),
        read_first_page()
    );
    // A different cluster, whatever its revision.
    assert_eq!(
        watching_session().on_watch_response(WatchResponse {
            header: header(2, 11),
            ..events(11, vec![])
        }),
        read_first_page()
    );
    // A cancellation for another reason closes the connection, and the next one resumes the watch.
    let mut session = watching_session();
    assert!(matches!(
        session.on_watch_response(canceled(0, "permission denied"))[..],
        [Action::Disconnect(_)]
    ));
    session.on_disconnected();
    assert_eq!(
        session.on_connected(),
        [Action::OpenWatch { start_revision: 11 }]
    );
    // A list at a lower revision sets the known revision.
    let mut session = watching_session();
    session.resync();
    let page = RangeResponse {
        header: header(2, 5),
        kvs: vec![kv("z", 5, "9")],
        more: false,
        count: 1,
    };
    assert_eq!(
        session.on_page(page),
        [
            Action::BeginList,
            put("z", "9"),
            Action::EndList,
            Action::OpenWatch { start_revision: 6 }
        ]
    );
    assert_eq!(session.on_watch_response(created(2, 5)), []);
    // Earlier revisions of its keys are forgotten, so that their events count as new.
    let again = WatchResponse {
        header: header(2, 6),
        ..events(6, vec![event("a", 6, Some("1"))])
    };
    assert_eq!(session.on_watch_response(again), [put("a", "1")]);
}

/// Guards against a source that counts as up to date while changes are missing that etcd has compacted.
#[test]
fn a_resumed_watch_is_up_to_date_once_the_changes_since_are_received() {
    let resumed_session = |etcd_revision| {
        let mut session = watching_session();
        session.on_disconnected();
        session.on_connected();
        assert_eq!(session.on_watch_response(created(1, etcd_revision)), []);
        session
    };
    assert!(resumed_session(10).is_watching(), "nothing has changed");
    let compacted = WatchResponse {
        canceled: true,
        compact_revision: 12,
        ..events(12, vec![])
    };
    let mut session = resumed_session(12);
    assert!(!session.is_watching(), "only accepted");
    assert_eq!(session.on_watch_response(compacted), read_first_page());
    assert!(!session.is_watching(), "before the list");
    for changes in [vec![], vec![event("a", 12, Some("3"))]] {
        let mut session = resumed_session(12);
        session.on_watch_response(events(12, changes));
        assert!(session.is_watching(), "caught up");
    }
}

/// Guards against a source that counts as up to date after the first of several responses with the changes that a
/// resumed watch has missed.
#[test]
fn a_resumed_watch_is_up_to_date_only_after_the_last_of_several_responses() {
    let mut session = watching_session();
    session.on_disconnected();
    session.on_connected();
    session.on_watch_response(created(1, 20));
    let changes = events(20, vec![event("a", 12, Some("3"))]);
    assert_eq!(session.on_watch_response(changes), [put("a", "3")]);
    assert!(!session.is_watching(), "13 to 20 are missing");
    let fragment = WatchResponse {
        fragment: true,
        ..events(20, vec![event("a", 20, Some("4"))])
    };
    assert_eq!(session.on_watch_response(fragment), []);
    assert!(!session.is_watching(), "the rest of revision 20 is missing");
    let last_fragment = events(20, vec![event("b", 20, None)]);
    session.on_watch_response(last_fragment);
    assert!(session.is_watching(), "caught up");
    // Changes after the creation of the watch are not waited for.
    session.on_watch_response(events(25, vec![event("a", 21, Some("5"))]));
    assert!(session.is_watching(), "stays up to date");
}

/// Guards against a source that is never up to date again because the changes that it has missed are of other prefixes.
#[test]
fn a_resumed_watch_is_up_to_date_at_the_progress_that_follows_its_changes() {
    let mut session = watching_session();
    session.on_disconnected();
    session.on_connected();
    session.on_watch_response(created(1, 20));
    session.on_watch_response(events(20, vec![event("a", 12, Some("3"))]));
    assert!(!session.is_watching(), "13 to 20 may be missing");
    session.on_watch_response(events(20, vec![]));
    assert!(session.is_watching(), "caught up");
}

#[test]
fn rereads_an_interrupted_list() {
    let mut session = watching_session();
    session.resync();
    let page = RangeResponse {
        header: header(1, 30),
        kvs: vec![kv("a", 4, "1")],
        more: true,
        count: 9,
    };
    session.on_page(page);
    session.on_disconnected();
    assert_eq!(session.on_connected(), read_first_page());
}

#[test]
fn connects_to_endpoints_in_turn_with_exponential_backoff() {
    let timeouts = Timeouts::default();
    let mut session = Session::new(3, timeouts, 7);
    let first = session.endpoint();
    let mut max_delay = timeouts.initial_backoff;
    for i in 1..20 {
        let delay = session.on_disconnected();
        assert_eq!(session.endpoint(), (first + i) % 3);
        assert!(
            delay >= max_delay / 2 && delay <= max_delay,
            "{delay:?} of {max_delay:?}"
        );
        max_delay = (max_delay * 2).min(timeouts.max_backoff);
    }
    let mut session = watching_session();
    assert!(
        session.on_disconnected() <= timeouts.initial_backoff,
        "a watch resets the backoff"
    );
}

/// When etcd restarts, all watches break at once; the nodes must not all reconnect at the same time once it is back.
#[test]
fn spreads_reconnects_of_700_nodes() {
    let timeouts = Timeouts::default();
    let downtime = Duration::from_secs(3);
    let mut reconnect_times = Vec::new();
    let mut lists = 0;
    for seed in 0..700u64 {
        let mut session = Session::new(3, timeouts, seed);
        session.on_connected();
        let page = RangeResponse {
            header: header(1, 10),
            ..RangeResponse::default()
        };
        session.on_page(page);
        session.on_watch_response(created(1, 10));
        let mut at = session.on_disconnected();
        while at < downtime {
            at += session.on_disconnected();
        }
        reconnect_times.push(at);
        session.on_connected();
        // For a quarter of the nodes, the revisions that they missed are compacted.
        let compact_revision = if seed % 4 == 0 { 12 } else { 0 };
        let response = WatchResponse {
            header: header(1, 14),
            canceled: compact_revision > 0,
            created: compact_revision == 0,
            compact_revision,
            ..WatchResponse::default()
        };
        lists += usize::from(session.on_watch_response(response) == read_first_page());
    }
    reconnect_times.sort();
    let spread = reconnect_times[699] - reconnect_times[0];
    let window = Duration::from_millis(100);
    let peak = reconnect_times.iter().map(|from| {
        reconnect_times
            .iter()
            .filter(|at| *at >= from && **at < *from + window)
            .count()
    });
    let peak = peak.max().expect("some");
    println!("peak {peak} in 100 ms, spread {spread:?}, {lists} lists");
    assert_eq!(lists, 175);
    assert!(peak < 700 / 10, "{peak} of 700 within 100 ms");
    assert!(spread > Duration::from_secs(1), "{spread:?}");
}
