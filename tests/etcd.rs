//! Membership from etcd beside the roster, at the real node: compaction, silence, restarts, and what is told then.

use sillward_scenarios::etcd::{Etcd, Manner, Sent, operator};
use sillward_scenarios::peers::{
    Backend, Discovery, Node, Watch, config, entry, list, ok, settings, until,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

const LONG: u64 = 20_000;
/// What a backend that drains may still be sent: the settings' grace.
const GRACE: Duration = Duration::from_millis(2000);
const KEEP_ALIVE: u64 = 600;

struct Site {
    node: Node,
    roster: Watch,
    discovery: Discovery,
    backends: Vec<(String, Backend)>,
}

/// A backend that answers with its name.
fn named(name: &str) -> (String, Backend) {
    let own = name.to_owned();
    (name.to_owned(), Backend::start(move |_| ok(&own)))
}

fn key(name: &str) -> String {
    format!("/tally/{name}")
}

impl Site {
    /// A node that follows these, with an empty roster, and backends that are in none yet.
    fn new(etcds: &[&Arc<Etcd>], names: &[&str], more: &str) -> Self {
        Site::with_keep_alive(KEEP_ALIVE, etcds, names, more)
    }

    /// As [`Site::new`], with a connection to etcd that may say nothing for so long, in milliseconds.
    fn with_keep_alive(ms: u64, etcds: &[&Arc<Etcd>], names: &[&str], more: &str) -> Self {
        let endpoints: Vec<_> = etcds.iter().map(|etcd| etcd.address).collect();
        let operator = operator(&endpoints, ms, more) + "[admin]\nlisten = \"127.0.0.1:0\"\n";
        let discovery = Discovery::start();
        let node = Node::start_with(
            &config(discovery.address, &settings(LONG, ""), 1024),
            &operator,
        );
        let mut roster = discovery.call();
        roster.open();
        roster.line(&list(1, true, &[]));
        Site {
            node,
            roster,
            discovery,
            backends: names.iter().map(|name| named(name)).collect(),
        }
    }

    fn backend(&self, name: &str) -> &Backend {
        &self
            .backends
            .iter()
            .find(|(known, _)| known == name)
            .expect("a backend")
            .1
    }

    fn line(&self, name: &str, status: &str) -> String {
        entry(name, self.backend(name).address, status)
    }

    fn put(&self, etcd: &Etcd, name: &str, status: &str) {
        etcd.put(&key(name), &self.line(name, status), 0);
    }

    /// Reads until that backend has served one.
    fn until_served_by(&self, name: &str) {
        let mut client = self.node.client();
        until(|| client.read().body == name.as_bytes(), name);
    }

    /// Reads on, and sees that these get nothing once the grace is over, and that nothing is refused or fails.
    fn none_past_the_grace(&self, names: &[&str]) {
        let (told, mut client) = (Instant::now(), self.node.client());
        while told.elapsed() < GRACE {
            assert_eq!(client.read().status(), 200);
        }
        let counts = || -> Vec<usize> {
            names
                .iter()
                .map(|name| self.backend(name).count())
                .collect()
        };
        let before = counts();
        for _ in 0..100 {
            assert_eq!(client.read().status(), 200);
        }
        assert_eq!(counts(), before, "{names:?}: nothing new past the grace");
    }

    fn page(&self) -> String {
        let mut client = sillward_scenarios::peers::Client::connect(
            self.node.admin.expect("a listener for operators"),
        );
        let answer = client.ask("GET /admin/membership", "", b"");
        assert_eq!(answer.status(), 200);
        String::from_utf8(answer.body).expect("JSON")
    }

    fn until_page(&self, text: &str) {
        until(|| self.page().contains(text), text);
    }

    /// Sees that each page that was read before the event contains the text.
    fn holds_page_until(&self, text: &str, has_happened: impl Fn() -> bool) {
        loop {
            let page = self.page();
            if has_happened() {
                return;
            }
            assert!(page.contains(text), "{page}");
        }
    }
}

#[test]
fn backends_come_and_go_with_keys_values_and_leases() {
    let etcd = Etcd::start();
    let site = Site::new(&[&etcd], &["a", "b", "c"], "");
    site.put(&etcd, "a", "in_service");
    until(|| site.node.is_ready(), "readiness");
    site.until_served_by("a");
    let lease = etcd.grant(Duration::from_millis(300));
    etcd.put(&key("b"), &site.line("b", "in_service"), lease);
    site.until_served_by("b");
    // It runs out, and nobody says so but etcd.
    site.until_page(r#""backends":1,"#);
    site.none_past_the_grace(&["b"]);
    // A value that can't be read: the last good one stays, and the log names the key.
    etcd.put(&key("a"), "{\"name\":", 0);
    site.node.logged("\"/tally/a\" can't be read");
    etcd.put(&key("c"), "nonsense", 0);
    site.node.logged("\"/tally/c\" can't be read");
    site.put(&etcd, "b", "in_service");
    site.until_served_by("b");
    site.until_served_by("a");
    // Keys beside the prefix are none of its.
    etcd.put("/tallyx", &site.line("c", "in_service"), 0);
    etcd.delete(&key("a"));
    site.until_page(r#""backends":1,"#);
    site.none_past_the_grace(&["a", "c"]);
}

#[test]
fn who_says_what_is_shown_and_the_strictest_word_counts() {
    let etcd = Etcd::start();
    let mut site = Site::new(&[&etcd], &["a", "b"], "");
    let lines = [site.line("a", "in_service"), site.line("b", "in_service")];
    site.roster.line(&list(2, true, &lines));
    site.put(&etcd, "a", "in_service");
    site.until_served_by("a");
    site.put(&etcd, "a", "terminating");
    site.until_page(r#""state":"terminating""#);
    let page = site.page();
    assert!(
        page.contains(r#""said":{"roster":{"state":"in_service""#),
        "{page}"
    );
    assert!(page.contains(r#""etcd":{"state":"terminating""#), "{page}");
    site.none_past_the_grace(&["a"]);
    // etcd is lost: its word stays. The roster says again what it said.
    etcd.down();
    site.until_page(r#""name":"etcd","state":"silent""#);
    site.roster.line(&list(3, true, &lines));
    site.none_past_the_grace(&["a"]);
    // And then that it has started anew.
    let anew = site
        .line("a", "in_service")
        .replace("\"since_ms\":0", "\"since_ms\":1900000000000");
    site.roster.line(&list(4, false, &[anew]));
    site.until_served_by("a");
}

/// Hard case 1.
#[test]
fn drains_and_removals_in_a_stretch_that_is_compacted_away_are_known_after() {
    let etcd = Etcd::start();
    let site = Site::new(&[&etcd], &["a", "b", "c", "d"], "");
    ["a", "b", "c"]
        .iter()
        .for_each(|name| site.put(&etcd, name, "in_service"));
    ["a", "b", "c"]
        .iter()
        .for_each(|name| site.until_served_by(name));
    etcd.down();
    site.until_page(r#""name":"etcd","state":"silent""#);
    site.put(&etcd, "a", "terminating");
    etcd.delete(&key("b"));
    site.put(&etcd, "d", "in_service");
    // Its value can't be read, in the list either: the last good one stays.
    etcd.put(&key("c"), "nonsense", 0);
    etcd.compact();
    let ranges = etcd.seen().1;
    etcd.up();
    site.until_served_by("d");
    site.until_served_by("c");
    site.until_page(r#""backends":3,"held":0"#);
    assert_eq!(etcd.seen().1, ranges + 1, "a whole list, once");
    site.none_past_the_grace(&["a", "b"]);
}

/// Guards against a withheld removal that takes effect while etcd's changes since then are compacted away and its list is
/// not read yet: the node took etcd for up to date as soon as it had accepted the watch.
#[test]
fn a_withheld_removal_waits_for_the_list_that_replaces_a_compacted_watch() {
    const PATIENT_KEEP_ALIVE: u64 = 6000;
    const GUARD: &str = "guard_percent = 30\nguard_least = 1\nguard_hold_ms = 1000\n";
    const HELD: &str = r#""held":1}"#;
    let etcd = Etcd::start();
    let site = Site::with_keep_alive(PATIENT_KEEP_ALIVE, &[&etcd], &["a", "b", "c"], GUARD);
    for name in ["a", "b", "c"] {
        site.put(&etcd, name, "in_service");
        site.until_served_by(name);
    }
    let silent = || site.until_page(r#""name":"etcd","state":"silent""#);
    etcd.down();
    silent();
    etcd.delete(&key("a"));
    etcd.compact();
    etcd.up();
    site.until_page(HELD);
    etcd.down();
    silent();
    site.put(&etcd, "a", "in_service");
    etcd.compact();
    // The removal is due, and etcd, which lists the backend again, answers slowly.
    std::thread::sleep(Duration::from_millis(1500));
    etcd.behave(Manner {
        slow: Duration::from_millis(1500),
        ..Manner::default()
    });
    let ranges = etcd.seen().1;
    etcd.up();
    site.holds_page_until(HELD, || etcd.seen().1 > ranges);
    site.until_page(r#""name":"etcd","state":"current""#);
    site.until_page(r#""backends":3,"held":0"#);
    site.until_served_by("a");
}

/// Guards against a withheld removal that takes effect while etcd is still sending the changes that the node has missed: the
/// backend lost its work although a later change lists it again.
#[test]
fn a_withheld_removal_waits_for_the_last_of_the_changes_that_a_resumed_watch_sends() {
    const PATIENT_KEEP_ALIVE: u64 = 9000;
    const GUARD: &str = "guard_percent = 30\nguard_least = 1\nguard_hold_ms = 1000\n";
    const HELD: &str = r#""held":1}"#;
    let etcd = Etcd::start();
    let site = Site::with_keep_alive(PATIENT_KEEP_ALIVE, &[&etcd], &["a", "b", "c"], GUARD);
    for name in ["a", "b", "c"] {
        site.put(&etcd, name, "in_service");
        site.until_served_by(name);
    }
    let silent = || site.until_page(r#""name":"etcd","state":"silent""#);
    etcd.down();
    silent();
    etcd.delete(&key("a"));
    etcd.compact();
    etcd.up();
    site.until_page(HELD);
    etcd.down();
    silent();
    for name in ["b", "c", "a"] {
        site.put(&etcd, name, "in_service");
    }
    // The removal is due before the change that lists the backend again is sent.
    std::thread::sleep(Duration::from_millis(1500));
    etcd.behave(Manner {
        by_revision: true,
        slow: Duration::from_millis(1000),
        ..Manner::default()
    });
    let is_of_a = |sent: &Sent| matches!(sent, Sent::Event(changed, _) if *changed == key("a"));
    let changes_of_a = || etcd.sent().iter().filter(|(_, sent)| is_of_a(sent)).count();
    let before = changes_of_a();
    etcd.up();
    site.holds_page_until(HELD, || changes_of_a() > before);
    site.until_page(r#""name":"etcd","state":"current""#);
    site.until_page(r#""backends":3,"held":0"#);
    site.until_served_by("a");
}

/// Guards against work for a draining backend that two keys name: in a whole list the last of them counted, whatever the other
/// said.
#[test]
fn a_backend_that_one_of_two_keys_drains_gets_nothing_after_a_whole_list() {
    let etcd = Etcd::start();
    let site = Site::new(&[&etcd], &["a", "b"], "");
    for name in ["a", "b"] {
        site.put(&etcd, name, "in_service");
        site.until_served_by(name);
    }
    for first_in_the_list in [true, false] {
        let mark = key(if first_in_the_list {
            "a-mark"
        } else {
            "c-mark"
        });
        etcd.down();
        site.until_page(r#""name":"etcd","state":"silent""#);
        etcd.put(&mark, &site.line("b", "terminating"), 0);
        etcd.compact();
        etcd.up();
        site.until_page(r#""name":"etcd","state":"current""#);
        site.none_past_the_grace(&["b"]);
        etcd.delete(&mark);
        site.put(&etcd, "b", "in_service");
        site.until_served_by("b");
    }
}

/// Guards against a backend that stays drained after the key that drained it is gone, while another key names it in service.
#[test]
fn a_backend_gets_work_again_once_the_key_that_drained_it_is_deleted() {
    let etcd = Etcd::start();
    let site = Site::new(&[&etcd], &["a", "b"], "");
    for name in ["a", "b"] {
        site.put(&etcd, name, "in_service");
        site.until_served_by(name);
    }
    let mark = key("mark");
    etcd.put(&mark, &site.line("b", "terminating"), 0);
    site.until_page(r#""state":"terminating""#);
    site.none_past_the_grace(&["b"]);
    etcd.delete(&mark);
    site.until_served_by("b");
    // The other way round: the backend's own key goes, and the mark stays.
    etcd.put(&mark, &site.line("b", "terminating"), 0);
    etcd.delete(&key("b"));
    site.until_page(r#""state":"terminating""#);
    site.none_past_the_grace(&["b"]);
}

/// Without compaction no list is read again: the watch goes on where it was.
#[test]
fn a_watch_that_broke_goes_on_from_its_revision() {
    let etcd = Etcd::start();
    let site = Site::new(&[&etcd], &["a", "b"], "");
    site.put(&etcd, "a", "in_service");
    site.until_served_by("a");
    let ranges = etcd.seen().1;
    for _ in 0..3 {
        etcd.down();
        site.put(&etcd, "b", "in_service");
        etcd.up();
        site.until_served_by("b");
        etcd.delete(&key("b"));
        site.until_page(r#""backends":1,"#);
    }
    assert_eq!(etcd.seen().1, ranges);
}

/// Hard case 2, with one endpoint.
#[test]
fn a_silent_etcd_is_noticed_traffic_goes_on_and_no_drain_is_missed() {
    let etcd = Etcd::start();
    let site = Site::new(&[&etcd], &["a", "b"], "");
    ["a", "b"]
        .iter()
        .for_each(|name| site.put(&etcd, name, "in_service"));
    ["a", "b"]
        .iter()
        .for_each(|name| site.until_served_by(name));
    etcd.behave(Manner {
        stalled: true,
        ..Manner::default()
    });
    site.put(&etcd, "a", "terminating");
    site.node.logged("silent");
    site.until_page(r#""name":"etcd","state":"silent""#);
    let mut client = site.node.client();
    let mut by_a = 0;
    for _ in 0..200 {
        let answer = client.read();
        assert_eq!(answer.status(), 200, "the last list serves");
        by_a += usize::from(answer.body == b"a");
    }
    assert!(by_a > 0, "nobody has said that it drains");
    etcd.behave(Manner::default());
    site.until_page(r#""state":"terminating""#);
    site.none_past_the_grace(&["a"]);
}

/// Hard case 2, with another endpoint.
#[test]
fn another_endpoint_is_tried_when_one_is_silent() {
    let etcds = [Etcd::start(), Etcd::start()];
    let site = Site::new(&[&etcds[0], &etcds[1]], &["a", "b"], "");
    // The same cluster: the same writes at the same revisions.
    let both =
        |name: &str, status: &str| etcds.iter().for_each(|etcd| site.put(etcd, name, status));
    ["a", "b"].iter().for_each(|name| both(name, "in_service"));
    ["a", "b"]
        .iter()
        .for_each(|name| site.until_served_by(name));
    let used = usize::from(etcds[0].seen().2 == 0);
    etcds[used].behave(Manner {
        stalled: true,
        ..Manner::default()
    });
    both("a", "terminating");
    site.until_page(r#""state":"terminating""#);
    assert!(etcds[1 - used].seen().2 > 0);
    site.none_past_the_grace(&["a"]);
}

/// Hard case 3.
#[test]
fn an_etcd_that_is_older_or_another_is_followed_from_where_it_is() {
    let etcd = Etcd::start();
    let site = Site::new(&[&etcd], &["a", "b", "c"], "");
    ["a", "b"]
        .iter()
        .for_each(|name| site.put(&etcd, name, "in_service"));
    ["a", "b"]
        .iter()
        .for_each(|name| site.until_served_by(name));
    let revision = etcd.revision();
    (0..20).for_each(|_| site.put(&etcd, "c", "in_service"));
    site.until_served_by("c");
    // Back at a revision of before: `c` was never there. One of three may be missing.
    etcd.restart_at(revision);
    site.until_page(r#""name":"etcd","state":"current""#);
    site.until_page(r#""backends":2,"held":0"#);
    site.none_past_the_grace(&["c"]);
    // A drain at a revision that was known before for something else.
    site.put(&etcd, "a", "terminating");
    site.until_page(r#""state":"terminating""#);
    site.none_past_the_grace(&["a", "c"]);
    // Another cluster, and nothing in it: the last list is held.
    etcd.restart_empty(true);
    site.until_page(r#""backends":2,"held":2"#);
    let mut client = site.node.client();
    for _ in 0..100 {
        assert_eq!(client.read().status(), 200);
    }
    site.put(&etcd, "c", "in_service");
    site.until_served_by("c");
}

#[test]
fn events_that_are_split_and_repeated_count_once() {
    let etcd = Etcd::start();
    etcd.behave(Manner {
        split: 1,
        twice: true,
        slow: Duration::from_millis(5),
        ..Manner::default()
    });
    let site = Site::new(&[&etcd], &["a", "b", "c"], "");
    for round in 0..5 {
        ["a", "b", "c"]
            .iter()
            .for_each(|name| site.put(&etcd, name, "in_service"));
        site.put(&etcd, "b", "terminating");
        etcd.delete(&key("c"));
        site.until_page(r#""backends":2,"held":0"#);
        site.until_page(r#""state":"terminating""#);
        site.until_served_by("a");
        if round == 0 {
            site.none_past_the_grace(&["b", "c"]);
        }
    }
}

/// Hard case 6.
#[test]
fn a_drain_in_etcd_while_discovery_moves_is_kept() {
    let etcd = Etcd::start();
    let mut site = Site::new(&[&etcd], &["a", "b"], "");
    let lines = [site.line("a", "in_service"), site.line("b", "in_service")];
    site.roster.line(&list(2, true, &lines));
    ["a", "b"]
        .iter()
        .for_each(|name| site.put(&etcd, name, "in_service"));
    ["a", "b"]
        .iter()
        .for_each(|name| site.until_served_by(name));
    let moved = Discovery::start();
    site.node
        .reload(&config(moved.address, &settings(LONG, ""), 1024));
    site.put(&etcd, "a", "terminating");
    let mut roster = moved.call();
    roster.open();
    roster.line(&list(1, true, &lines));
    site.until_page(r#""state":"terminating""#);
    site.none_past_the_grace(&["a"]);
    drop(site.discovery);
}

#[test]
fn user_and_password_are_shown_to_etcd() {
    let address = "127.0.0.1:0".parse().expect("an address");
    let etcd = Etcd::start_with(address, Some(("tally", "secret")));
    let site = Site::new(&[&etcd], &["a"], "user = \"tally\"\npassword = \"secret\"");
    site.put(&etcd, "a", "in_service");
    site.until_served_by("a");
    assert!(etcd.was_authorized());
    let site = Site::new(&[&etcd], &["a"], "user = \"tally\"\npassword = \"wrong\"");
    site.node.logged("invalid user ID or password");
}

#[test]
fn a_prefix_with_ten_thousand_entries_is_read_and_followed() {
    let etcd = Etcd::start();
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    for i in 0..10_000 {
        etcd.put(
            &key(&format!("{i:05}")),
            &entry(&format!("far-{i}"), nowhere, "terminating"),
            0,
        );
    }
    let site = Site::new(&[&etcd], &["a"], "");
    site.put(&etcd, "a", "in_service");
    site.until_page(r#""backends":10001,"#);
    site.until_served_by("a");
    let memory = site.node.memory_kb();
    println!("{memory} kB with 10,001 backends");
    assert!(memory < 32 * 1024, "{memory} kB");
    etcd.delete(&key("00000"));
    site.until_page(r#""backends":10000,"#);
}
