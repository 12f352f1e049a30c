//! Drains and removals that one source tells of a backend which another source lists as in service, at a node that has
//! just started: reports with and without a start time, in each order of the sources.

use sillward_scenarios::etcd::{Etcd, operator};
use sillward_scenarios::peers::{
    Backend, Client, Discovery, Node, Watch, config, entry, list, ok, settings, until,
};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LONG: u64 = 20_000;
/// What a backend that drains may still be sent: the settings' grace.
const GRACE: Duration = Duration::from_millis(2000);
const KEEP_ALIVE: u64 = 600;
const HOUR_MS: u64 = 3_600_000;
/// A start time that is not told.
const NO_START: u64 = 0;

/// The source that a node hears first after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum First {
    Roster,
    Etcd,
}

/// The list that a node has from before its start.
#[derive(Clone, Copy, Debug)]
enum Known {
    /// What the roster says.
    Roster,
    Nothing,
}

/// What a source says of the backend `a`; `b` is in service in both sources.
#[derive(Clone, Copy, Debug)]
struct Said {
    status: &'static str,
    since_ms: u64,
}

const fn said(status: &'static str, since_ms: u64) -> Said {
    Said { status, since_ms }
}

/// Backends `a` and `b`, the sources that list them, and the node of the moment.
struct Site {
    a: Backend,
    b: Backend,
    etcd: Arc<Etcd>,
    discovery: Discovery,
    roster: Option<Watch>,
    node: Node,
    version: u64,
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.expect("a time after 1970").as_millis() as u64
}

fn backend(name: &'static str) -> Backend {
    Backend::start(move |_| ok(name))
}

fn line(name: &str, backend: &Backend, said: Said) -> String {
    let since = format!("\"since_ms\":{}", said.since_ms);
    entry(name, backend.address, said.status).replace("\"since_ms\":0", &since)
}

fn start_node(etcd: &Etcd, discovery: &Discovery, known: &[String]) -> Node {
    let operator =
        operator(&[etcd.address], KEEP_ALIVE, "") + "[admin]\nlisten = \"127.0.0.1:0\"\n";
    let known = format!("\"known\":{}", list(7, true, known));
    let config = config(discovery.address, &settings(LONG, ""), 1024).replace(
        r#""known":{"index":7,"snapshot":true,"endpoints":[]}"#,
        &known,
    );
    assert!(config.contains(&known));
    Node::start_with(&config, &operator)
}

impl Site {
    /// A node that has just started with the roster's list as it was known, and has heard both sources, `first` before the
    /// other.
    fn start(first: First, roster: Said, etcd_says: Said) -> Self {
        Site::start_with(Known::Roster, first, roster, etcd_says)
    }

    /// As [`Site::start`], with that list from before the start.
    fn start_with(known: Known, first: First, roster: Said, etcd_says: Said) -> Self {
        let (a, b) = (backend("a"), backend("b"));
        let (etcd, discovery) = (Etcd::start(), Discovery::start());
        etcd.put("/tally/a", &line("a", &a, etcd_says), 0);
        let b_in_etcd = said("in_service", etcd_says.since_ms);
        etcd.put("/tally/b", &line("b", &b, b_in_etcd), 0);
        if first == First::Roster {
            etcd.down();
        }
        let lines = [
            line("a", &a, roster),
            line("b", &b, said("in_service", roster.since_ms)),
        ];
        let known_lines = match known {
            Known::Roster => &lines[..],
            Known::Nothing => &[],
        };
        let node = start_node(&etcd, &discovery, known_lines);
        let mut site = Site {
            a,
            b,
            etcd,
            discovery,
            roster: None,
            node,
            version: 8,
        };
        match first {
            First::Roster => {
                site.open_roster(&lines);
                site.until_heard("roster");
                site.etcd.up();
                site.until_heard("etcd");
            }
            First::Etcd => {
                site.until_heard("etcd");
                site.open_roster(&lines);
                site.until_heard("roster");
            }
        }
        site
    }

    /// Answers the node's next call to discovery with a watch that begins with the whole list.
    fn open_roster(&mut self, lines: &[String]) {
        let mut roster = self.discovery.call();
        roster.open();
        self.version += 1;
        roster.line(&list(self.version, true, lines));
        self.roster = Some(roster);
    }

    fn roster_changes(&mut self, lines: &[String]) {
        self.version += 1;
        let change = list(self.version, false, lines);
        self.roster.as_mut().expect("an open watch").line(&change);
    }

    fn page(&self) -> String {
        let admin = self.node.admin.expect("a listener for operators");
        let answer = Client::connect(admin).ask("GET /admin/membership", "", b"");
        assert_eq!(answer.status(), 200);
        String::from_utf8(answer.body).expect("JSON")
    }

    fn until_page(&self, text: &str) {
        until(|| self.page().contains(text), text);
    }

    fn until_heard(&self, source: &str) {
        self.until_page(&format!(r#""name":"{source}","state":"current""#));
    }

    fn until_a_serves(&self) {
        let mut client = self.node.client();
        until(|| client.read().body == b"a", "an answer of a");
    }

    /// Reads on, and sees that `a` gets nothing once the grace is over, and that nothing is refused or fails.
    fn a_gets_nothing_past_the_grace(&self, what: &str) {
        let (told, mut client) = (Instant::now(), self.node.client());
        while told.elapsed() < GRACE {
            assert_eq!(client.read().status(), 200);
        }
        let before = (self.a.count(), self.b.count());
        for _ in 0..100 {
            assert_eq!(client.read().status(), 200);
        }
        let after = (self.a.count() - before.0, self.b.count() - before.1);
        assert_eq!(after, (0, 100), "{what}: {}", self.page());
    }
}

/// Guards against work for a backend that one source drains without a start time, where the other source names one and is
/// heard later: after a restart of the node such a drain was taken for one of an earlier incarnation.
#[test]
fn a_drain_without_a_start_time_counts_at_a_node_that_has_just_started() {
    let started = now_ms() - 3 * HOUR_MS;
    let (in_service, drains) = (said("in_service", started), said("terminating", NO_START));
    for known in [Known::Roster, Known::Nothing] {
        for first in [First::Roster, First::Etcd] {
            for (roster, etcd) in [(drains, in_service), (in_service, drains)] {
                let site = Site::start_with(known, first, roster, etcd);
                let case = format!("{known:?} known, {first:?} first, {roster:?}, {etcd:?}");
                site.a_gets_nothing_past_the_grace(&case);
            }
        }
    }
}

/// Guards against work for a draining backend whose start the other source names some seconds later, by its own clock.
#[test]
fn a_drain_counts_where_the_sources_clocks_are_some_seconds_apart() {
    let started = now_ms() - HOUR_MS;
    let drains = said("terminating", started);
    for ahead_ms in [3_000, 8_000] {
        let in_service = said("in_service", started + ahead_ms);
        for (roster, etcd) in [(drains, in_service), (in_service, drains)] {
            let site = Site::start(First::Roster, roster, etcd);
            site.a_gets_nothing_past_the_grace(&format!("{roster:?}, {etcd:?}"));
        }
    }
}

/// Guards against work for a draining backend after its sources were heard again: a compacted revision makes the node read
/// etcd's whole list, and a broken watch the roster's.
#[test]
fn a_drain_without_a_start_time_counts_after_a_compaction_and_a_reconnection() {
    let started = now_ms() - 3 * HOUR_MS;
    let drains = said("terminating", NO_START);
    let mut site = Site::start(First::Roster, drains, said("in_service", started));
    site.etcd.down();
    site.until_page(r#""name":"etcd","state":"silent""#);
    let b = line("b", &site.b, said("in_service", started));
    site.etcd.put("/tally/b", &b, 0);
    site.etcd.compact();
    let ranges = site.etcd.seen().1;
    site.etcd.up();
    site.until_heard("etcd");
    assert_eq!(site.etcd.seen().1, ranges + 1, "a whole list, once");
    site.a_gets_nothing_past_the_grace("after a compaction");
    site.roster.take().expect("an open watch").reset();
    let lines = [
        line("a", &site.a, drains),
        line("b", &site.b, said("in_service", NO_START)),
    ];
    site.open_roster(&lines);
    site.a_gets_nothing_past_the_grace("after the roster's watch broke");
}

/// Guards against work for a backend that etcd gives as terminated where a node hears of it for the first time: the report
/// was ignored, because the source had not listed the backend before.
#[test]
fn a_backend_that_etcd_gives_as_terminated_gets_nothing_from_a_node_that_has_just_started() {
    for (first, roster_start) in [(First::Roster, NO_START), (First::Etcd, now_ms() - HOUR_MS)] {
        let roster = said("in_service", roster_start);
        let site = Site::start(first, roster, said("terminated", NO_START));
        site.a_gets_nothing_past_the_grace(&format!("{first:?} first"));
    }
}

/// Guards against work for a backend that the roster gave as terminated while etcd was out of reach: no source listed it any
/// more, so it was forgotten, and etcd's older list brought it back.
#[test]
fn a_backend_that_the_roster_gave_as_terminated_stays_gone_when_etcd_is_heard() {
    let in_service = said("in_service", NO_START);
    let (a, b) = (backend("a"), backend("b"));
    let (etcd, discovery) = (Etcd::start(), Discovery::start());
    let started = said("in_service", now_ms() - 3 * HOUR_MS);
    etcd.put("/tally/a", &line("a", &a, started), 0);
    etcd.put("/tally/b", &line("b", &b, started), 0);
    etcd.down();
    let lines = [line("a", &a, in_service), line("b", &b, in_service)];
    let node = start_node(&etcd, &discovery, &lines);
    let mut site = Site {
        a,
        b,
        etcd,
        discovery,
        roster: None,
        node,
        version: 8,
    };
    site.open_roster(&lines);
    site.until_a_serves();
    let gone = line("a", &site.a, said("terminated", NO_START));
    site.roster_changes(&[gone]);
    site.until_page(r#""backends":1,"held":0},{"name":"etcd","#);
    site.etcd.up();
    site.until_heard("etcd");
    site.a_gets_nothing_past_the_grace("terminated by the roster");
}

/// Guards against work for a backend that was marked as draining, started anew, and was marked once more: the repeated
/// report counted as one about the earlier incarnation.
#[test]
fn a_drain_that_is_reported_again_after_a_new_start_counts_for_the_new_incarnation() {
    let started = said("in_service", now_ms() - 3 * HOUR_MS);
    let drains = said("terminating", NO_START);
    let mut site = Site::start(First::Roster, started, drains);
    site.until_page(r#""state":"terminating""#);
    let anew = line("a", &site.a, said("in_service", now_ms() + 60_000));
    site.roster_changes(&[anew]);
    site.until_a_serves();
    let marked = line("a", &site.a, drains);
    site.etcd.put("/tally/a", &marked, 0);
    site.until_page(r#""obsolete":false},"etcd":{"state":"terminating","#);
    site.until_page(r#""state":"terminating","since_ms""#);
    site.a_gets_nothing_past_the_grace("marked again");
}

/// A backend that drained, truly started anew and is in service in all sources gets work again, and counts as started then.
#[test]
fn a_backend_that_started_anew_and_is_in_service_in_all_sources_gets_work() {
    let started = said("in_service", now_ms() - 3 * HOUR_MS);
    let mut site = Site::start(First::Roster, said("terminating", NO_START), started);
    site.a_gets_nothing_past_the_grace("drains");
    let new_start = now_ms();
    let in_etcd = line("a", &site.a, said("in_service", new_start));
    site.etcd.put("/tally/a", &in_etcd, 0);
    let in_roster = line("a", &site.a, said("in_service", NO_START));
    site.roster_changes(&[in_roster]);
    site.until_a_serves();
    site.until_page(&format!(
        r#""state":"in_service","since_ms":{new_start},"said""#
    ));
}
