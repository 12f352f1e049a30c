//! Requests are admitted before they are submitted, and what is too much waits or is rejected: no number of callers keeps the
//! node from answering. No backend is listed until a test says so, and until then the node holds what it has admitted.

use sillward_scenarios::peers::*;
use sillward_scenarios::tally::{self, BINARY, Caller, End, Tally, Value, origin};
use sillward_thrift::wire::Kind;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The latency objective and the deadline of each class.
const LONG_MS: u64 = 20_000;
/// The time budget of a request that no backend answers.
const SHORT_MS: u64 = 300;
/// The time for its answer, with room for a busy machine. The node's other calls are open for longer.
const ANSWERED_WITHIN: Duration = Duration::from_secs(5);
/// More oneway calls than the node may have open, sent by few callers and by many: callers, calls of each.
const FLOODS: [(usize, i32); 2] = [(12, 500), (60, 100)];

/// A node without backends, and a backend that may be listed later.
struct Site {
    node: Node,
    watch: Watch,
    _discovery: Discovery,
    tally: Arc<Tally>,
}

impl Site {
    /// A node with these keys in the `[thrift]` section of its operator file.
    fn start(limits: &str) -> Self {
        let discovery = Discovery::start();
        let config = config_operated(discovery.address, &settings(LONG_MS, ""));
        let operator = tally::operator("binary", limits);
        let (node, watch, discovery) = serving_operator(&config, discovery, &operator, &[]);
        Site {
            node,
            watch,
            _discovery: discovery,
            tally: Tally::start(BINARY, |_| tally::ok("counted")),
        }
    }

    fn caller(&self) -> Caller {
        Caller::connect(self.node.thrift.expect("a Thrift listener"), BINARY)
    }

    fn list_backend(&mut self) {
        let entries = [entry_of("t", "t-0", self.tally.address, "in_service")];
        self.watch.line(&list(9, false, &entries));
    }

    /// How many requests have ended, in whatever way.
    fn ended(&self) -> u64 {
        ["passed", "dropped", "bad_gateway"]
            .map(|outcome| self.node.figure(&format!("node.handled.read.{outcome}")))
            .iter()
            .sum()
    }

    /// Guards the invariant of each test: a client over HTTP has its answer, although nobody serves it.
    fn answers_over_http(&self) {
        let asked = Instant::now();
        let answer = self
            .node
            .client()
            .ask("GET /read/1f", &common(SHORT_MS), b"");
        assert!([502, 503, 504].contains(&answer.status()), "{answer:?}");
        assert!(asked.elapsed() < ANSWERED_WITHIN, "{:?}", asked.elapsed());
    }
}

/// The frames of that many oneway calls.
fn notes(caller: &Caller, count: i32) -> Vec<u8> {
    let arguments = [origin("1f", "", LONG_MS as i64), (2, Value::from("sheet"))];
    let frames =
        (0..count).map(|seqid| caller.frame_as(Kind::Oneway, "Tally:note", seqid, &arguments));
    frames.flatten().collect()
}

/// Guards against requests that hold a place in the node's queue while they wait for another one: once they held all of them,
/// nobody was answered any more.
#[test]
fn a_flood_of_oneway_calls_keeps_no_other_client_from_its_answer() {
    for (callers, calls) in FLOODS {
        let mut site = Site::start("");
        for _ in 0..callers {
            let mut caller = site.caller();
            let frames = notes(&caller, calls);
            caller.write(&frames).expect("room in the sockets' buffers");
            // The caller goes while most of what it sent is still to be read.
        }
        site.answers_over_http();
        site.list_backend();
        // The decision module may reject some of them when the backend is busy.
        let all = callers as u64 * calls as u64;
        let over_http = 1;
        until(|| site.ended() == all + over_http, "the end of each call");
        assert_eq!(site.caller().read().end(), End::Served);
        assert_eq!(site.node.figure("node.in_progress"), 0);
        assert_eq!(site.node.figure("node.queued_messages"), 0);
        assert!(site.tally.count() as u64 <= all + 1, "each call once");
    }
}

/// Guards against oneway calls that count neither for their connection nor for the node.
#[test]
fn oneway_calls_beyond_a_limit_wait_unread_and_each_is_sent_once() {
    for limits in ["calls_in_flight = 2\n", "oneway_calls = 2\n"] {
        let mut site = Site::start(limits);
        let mut caller = site.caller();
        let frames = notes(&caller, 7);
        caller.write(&frames).expect("the node reads");
        drop(caller);
        until(
            || site.node.figure("node.in_progress") == 2,
            "as many calls as may be open",
        );
        site.answers_over_http();
        assert_eq!(site.node.figure("node.in_progress"), 2, "{limits}");
        site.list_backend();
        until(|| site.tally.count() == 7, "all calls at the backend");
        until(|| site.node.figure("node.in_progress") == 0, "no open call");
        assert_eq!(site.tally.count(), 7, "{limits}: each call once");
        assert_eq!(site.node.figure("node.limit_refused"), 0);
    }
}

/// Guards against calls whose number nothing limits over all connections.
#[test]
fn calls_beyond_the_limit_of_all_connections_are_rejected_with_a_reply_and_counted() {
    let mut site = Site::start("open_calls = 1\n");
    let mut first = site.caller();
    let frame = first.frame("Tally:read", &[origin("1f", "", LONG_MS as i64)]);
    first.write(&frame).expect("the node reads");
    until(
        || site.node.figure("node.in_progress") == 1,
        "the first call",
    );
    let rejected = site.caller().read();
    assert_eq!(rejected.end(), End::Refused, "{rejected:?}");
    assert_eq!(site.node.figure("node.limit_refused"), 1);
    site.answers_over_http();
    site.list_backend();
    let reply = first.answer().expect("the connection lasts");
    assert_eq!(reply.expect("a reply").end(), End::Served);
    assert_eq!(site.caller().read().end(), End::Served, "a free permit");
    assert_eq!(site.node.figure("node.limit_refused"), 1);
}
