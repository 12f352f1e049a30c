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

/// How a node begins.
#[derive(Clone, Copy)]
struct Launch {
    known: Known,
    etcd_is_up: bool,
    /// The settings' rules, as JSON fields.
    rules: &'static str,
}

/// The grace alone: a backend that has just started is not sent less than others.
const WITHOUT_SLOW_START: &str = r#""DrainGrace":2000"#;
/// A backend that has just started is sent a twentieth of its share, and all of it after 30 s.
const SLOW_START: &str =
    r#""DrainGrace":2000,"ColdFrom":0.05,"RampTime":30000,"OverloadFactor":2,"TipAfter":1500"#;

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

/// The roster's list, which names the same start time for both.
fn roster_lines(a: &Backend, b: &Backend, a_said: Said) -> [String; 2] {
    let b_said = said("in_service", a_said.since_ms);
    [line("a", a, a_said), line("b", b, b_said)]
}

fn start_node(etcd: &Etcd, discovery: &Discovery, known: &[String], rules: &str) -> Node {
    let operator =
        operator(&[etcd.address], KEEP_ALIVE, "") + "[admin]\nlisten = \"127.0.0.1:0\"\n";
    let known = format!("\"known\":{}", list(7, true, known));
    let settings = settings(LONG, "").replace(WITHOUT_SLOW_START, rules);
    assert!(settings.contains(rules));
    let config = config(discovery.address, &settings, 1024).replace(
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
        let launch = Launch {
            known,
            etcd_is_up: first == First::Etcd,
            rules: WITHOUT_SLOW_START,
        };
        let mut site = Site::launch(launch, roster, etcd_says);
        site.hear_both(first, roster);
        site
    }

    /// A node that has just started and has heard no source.
    fn launch(launch: Launch, roster: Said, etcd_says: Said) -> Self {
        let (a, b) = (backend("a"), backend("b"));
        let (etcd, discovery) = (Etcd::start(), Discovery::start());
        etcd.put("/tally/a", &line("a", &a, etcd_says), 0);
        let b_in_etcd = said("in_service", etcd_says.since_ms);
        etcd.put("/tally/b", &line("b", &b, b_in_etcd), 0);
        if !launch.etcd_is_up {
            etcd.down();
        }
        let known = match launch.known {
            Known::Roster => roster_lines(&a, &b, roster).to_vec(),
            Known::Nothing => Vec::new(),
        };
        let node = start_node(&etcd, &discovery, &known, launch.rules);
        Site {
            a,
            b,
            etcd,
            discovery,
            roster: None,
            node,
            version: 8,
        }
    }

    fn hear_both(&mut self, first: First, roster: Said) {
        let lines = roster_lines(&self.a, &self.b, roster);
        match first {
            First::Roster => {
                self.open_roster(&lines);
                self.until_heard("roster");
                self.etcd.up();
                self.until_heard("etcd");
            }
            First::Etcd => {
                self.until_heard("etcd");
                self.open_roster(&lines);
                self.until_heard("roster");
            }
        }
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

    /// What `a` gets of the requests that are sent one after another for so long.
    fn share_of_a(&self, time: Duration) -> f64 {
        let (began, mut client) = (Instant::now(), self.node.client());
        let before = (self.a.count(), self.b.count());
        while began.elapsed() < time {
            assert_eq!(client.read().status(), 200);
        }
        let (a, b) = (self.a.count() - before.0, self.b.count() - before.1);
        a as f64 / (a + b) as f64
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
    site.open_roster(&roster_lines(&site.a, &site.b, drains));
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
    let launch = Launch {
        known: Known::Roster,
        etcd_is_up: false,
        rules: WITHOUT_SLOW_START,
    };
    let in_service = said("in_service", NO_START);
    let started = said("in_service", now_ms() - 3 * HOUR_MS);
    let mut site = Site::launch(launch, in_service, started);
    site.open_roster(&roster_lines(&site.a, &site.b, in_service));
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

/// The share of `a` in the requests of a second, after it drained and returned to service with this start time in etcd.
fn share_after_the_return(start_of_the_return: impl Fn(u64) -> u64) -> f64 {
    let first_start = now_ms() - 3 * HOUR_MS;
    let drains = said("terminating", NO_START);
    let launch = Launch {
        known: Known::Roster,
        etcd_is_up: false,
        rules: SLOW_START,
    };
    let mut site = Site::launch(launch, drains, said("in_service", first_start));
    site.hear_both(First::Roster, drains);
    site.a_gets_nothing_past_the_grace("drains");
    let returned = said("in_service", start_of_the_return(first_start));
    let in_etcd = line("a", &site.a, returned);
    site.etcd.put("/tally/a", &in_etcd, 0);
    let in_roster = line("a", &site.a, said("in_service", NO_START));
    site.roster_changes(&[in_roster]);
    site.until_a_serves();
    site.share_of_a(Duration::from_secs(2))
}

/// Guards against a backend that drained and started anew and is taken for warm: it gets work again, and at first little of
/// it. One that drained and never ended is as warm as before.
#[test]
fn a_backend_that_drained_is_cold_only_if_it_started_anew() {
    let anew = share_after_the_return(|_| now_ms());
    let never_ended = share_after_the_return(|first_start| first_start);
    assert!(anew < 0.25, "{anew} of the requests, cold");
    assert!(never_ended > 0.35, "{never_ended} of the requests, warm");
}
