//! What operators get of a fleet with outcomes and an agreement.

use super::support::{
    LONG, RawBackend, Scratch, Transcript, budgeted, ctl, ctl_text, exchange, listed, operate,
    request, served, without_numbers,
};
use sillward_scenarios::peers::{
    Discovery, Node, PATIENCE, Watch, config, entry, program, settings,
};
use sillward_scenarios::reserved_port::ReservedPort;
use std::process::Command;
use std::time::{Duration, Instant};

/// Three nodes that are a fleet, tell each other outcomes and agree on settings; their backend serves all.
struct Fleet {
    nodes: Vec<Node>,
    backend: RawBackend,
    scratch: Scratch,
    _watches: Vec<(Watch, Discovery)>,
}

impl Fleet {
    fn start() -> Self {
        let scratch = Scratch::new();
        let backend = RawBackend::start(served);
        let key = scratch.file("key", &"k".repeat(40), 0o600);
        let reserved = [(); 3].map(|()| ReservedPort::new());
        let addresses = reserved.iter().map(|port| port.address().to_string());
        let addresses: Vec<String> = addresses.collect();
        let mut nodes = Vec::new();
        let mut watches = Vec::new();
        for (i, address) in addresses.iter().enumerate() {
            let discovery = Discovery::start();
            let config = config(discovery.address, &settings(LONG, ""), 256)
                .replace("\"name\":\"n0\"", &format!("\"name\":\"n{i}\""));
            let folder = scratch.0.join(format!("n{i}"));
            std::fs::create_dir_all(&folder).expect("a folder");
            let folder = folder.display();
            let operator = format!(
                "[fleet]\nname = \"golden\"\nkey_file = \"{key}\"\nlisten = \"{address}\"\nseeds = [\"{}\"]\n\
                 zone = \"a\"\nregion = \"r\"\nfolder = \"{folder}\"\n\
                 [outcomes]\nwindow_ms = 500\nwindows = 5\noldest_ms = 10000\n\
                 [agreement]\nlog = \"golden\"\nvoters = [\"n0\", \"n1\", \"n2\"]\nfolder = \"{folder}\"\n\
                 [admin]\nlisten = \"127.0.0.1:0\"\n",
                addresses[0]
            );
            let found = Command::new(program())
                .args(["found", "--operator"])
                .arg(scratch.file(&format!("n{i}.toml"), &operator, 0o600))
                .env(
                    "PROXY_CONFIG",
                    scratch.file(&format!("n{i}.json"), &config, 0o600),
                )
                .output()
                .expect("it runs");
            assert!(found.status.success(), "{found:?}");
            let entries = [entry("s-0", backend.address, "in_service")];
            let node = Node::start_with(&config, &operator);
            let (node, watch, discovery) = listed(node, discovery, &entries);
            nodes.push(node);
            watches.push((watch, discovery));
        }
        Fleet {
            nodes,
            backend,
            scratch,
            _watches: watches,
        }
    }

    /// A page of the first node's, once it is complete.
    fn page(&self, call: &str, complete: impl Fn(&str) -> bool) -> String {
        let begun = Instant::now();
        loop {
            let (_, page) = self.nodes[0].operate(call);
            if complete(&page) {
                return without_numbers(&page)
                    .replace("\"leads\":true", "\"leads\":#")
                    .replace("\"leads\":false", "\"leads\":#");
            }
            assert!(begun.elapsed() < PATIENCE, "{page}");
            for node in &self.nodes {
                exchange(node.address, &request("GET /read/1f", &budgeted(LONG), ""));
            }
            while self.backend.seen.try_recv().is_ok() {}
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The page of the settings, with that version in force and nobody waited for.
    fn settled(&self, version: u64) -> String {
        self.page("GET /admin/settings", |page| {
            let in_force = format!("\"in_force\":{version},");
            page.contains(&in_force)
                && page.contains("\"held_up_by\":[]")
                && page.contains("\"right\":true")
                && page.contains("\"careful\":false")
                && !page.contains("\"careful\":true")
                && !page.contains("null")
        })
    }

    fn ctl(&self, arguments: &[&str]) -> String {
        let admin = self.nodes[0].admin.expect("a listener").to_string();
        ctl_text(&self.scratch, &ctl(&admin, arguments))
    }

    /// Asks again until the answer holds, for what a busy machine may change for a moment.
    fn ctl_until(&self, arguments: &[&str], holds: impl Fn(&str) -> bool) -> String {
        let begun = Instant::now();
        loop {
            let text = self.ctl(arguments);
            if holds(&text) {
                return text;
            }
            assert!(begun.elapsed() < PATIENCE, "{text}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn a_fleet_has_the_same_pages_and_ctl_output() {
    let fleet = Fleet::start();
    let mut transcript = Transcript::default();
    let page = fleet.page("GET /admin/fleet", |page| {
        let whole = page.contains("\"standing\":\"settled\"") && !page.contains("null");
        whole && page.matches("\"state\":\"alive\"").count() == 2
    });
    transcript.case("GET /admin/fleet", &page);
    let page = fleet.page("GET /admin/outcomes", |page| {
        page.contains("\"judged\":[{") && page.contains("\"demand\":{\"") && !page.contains("null")
    });
    transcript.case("GET /admin/outcomes", &page);
    transcript.case("GET /admin/settings at first", &fleet.settled(0));
    for arguments in [&["fleet"][..], &["fleet", "--json"]] {
        let all_alive = |text: &str| {
            let alive = text.matches("alive").count() == 2 && text.contains("settled");
            alive && !text.contains("null") && !text.contains(" - ")
        };
        let text = fleet.ctl_until(arguments, all_alive);
        transcript.case(&arguments.join(" "), &text);
    }

    let first = fleet.scratch.file(
        "first.toml",
        "[[classes]]\nname = \"read\"\nrepeat = \"unsafe\"\naim_ms = 100\ndeadline_ms = 200\n\
         [[classes]]\nname = \"submit\"\nrepeat = \"keyed\"\nwindow_ms = 9000\n\
         [limits]\nattempts = 2\nhedges = \"allowed\"\n",
        0o600,
    );
    let second = fleet.scratch.file(
        "second.toml",
        "[[classes]]\nname = \"read\"\nrepeat = \"safe\"\n",
        0o600,
    );
    let bad = fleet.scratch.file(
        "bad.toml",
        "[[classes]]\nname = \"read\"\nrepeat = \"often\"\n[[classes]]\nname = \"submit\"\nrepeat = \"keyed\"\n\
         [[classes]]\nname = \"correct\"\nrepeat = \"safe\"\nwindow_ms = 9\n[[classes]]\nrepeat = \"safe\"\n\
         [limits]\nattempts = 99\nhedge = 1\nhedges = \"sometimes\"\n",
        0o600,
    );
    let broken = fleet.scratch.file("broken.toml", "[[classes]\n", 0o600);
    let contrary = fleet.scratch.file(
        "contrary.toml",
        "[[classes]]\nname = \"read\"\naim_ms = 300\ndeadline_ms = 200\n",
        0o600,
    );
    let clash = fleet.scratch.file(
        "clash.toml",
        "[[classes]]\nname = \"rread\"\nrepeat = \"safe\"\naim_ms = 5\n\
         [[classes]]\nname = \"correct\"\nrepeat = \"keyed\"\nwindow_ms = 9\n",
        0o600,
    );
    let run = |transcript: &mut Transcript, arguments: &[&str]| {
        let folder = fleet.scratch.0.display().to_string();
        let title = arguments.join(" ").replace(&folder, "FOLDER");
        let all = [&["settings"], arguments].concat();
        transcript.case(&title, &fleet.ctl(&all));
    };
    for file in [&first, &bad, &broken, &contrary, &clash] {
        run(&mut transcript, &["check", file]);
    }
    run(&mut transcript, &["history"]);
    run(
        &mut transcript,
        &["propose", &first, "--base", "0", "--why", "a first one"],
    );
    transcript.case("GET /admin/settings after it", &fleet.settled(1));
    run(
        &mut transcript,
        &["propose", &first, "--base", "0", "--why", "too late"],
    );
    run(
        &mut transcript,
        &["propose", &clash, "--base", "1", "--why", "a clash"],
    );
    let named = [
        "--base", "1", "--why", "a second", "--author", "ann", "--id", "77",
    ];
    run(
        &mut transcript,
        &[&["propose", &second][..], &named].concat(),
    );
    fleet.settled(2);
    let shown = fleet.ctl_until(&["settings", "show"], |text| {
        text.contains("may act on it for")
    });
    transcript.case("show", &shown);
    run(&mut transcript, &["diff", "0", "1"]);
    run(&mut transcript, &["diff", "1", "2"]);
    run(&mut transcript, &["diff", "1", "1"]);
    run(&mut transcript, &["diff", "1", "9"]);
    run(
        &mut transcript,
        &["revert", "9", "--base", "2", "--why", "back"],
    );
    run(
        &mut transcript,
        &["revert", "1", "--base", "2", "--why", "back"],
    );
    fleet.settled(3);
    run(&mut transcript, &["history"]);
    // A line for each change: how many come is up to the run.
    let watched = fleet.ctl_until(&["settings", "watch", "--seconds", "1"], |text| {
        text.matches("newest version").count() == 1 && text.contains("may act on it for")
    });
    transcript.case("watch --seconds 1", &watched);

    let change = |rules: &str| {
        format!(
            r#"{{"base":3,"id":5,"author":"ann","why":"by hand","rules":{},"check":true}}"#,
            serde_json::Value::from(rules)
        )
    };
    for (title, body) in [
        ("nothing", String::new()),
        ("no rules", r#"{"base":3}"#.to_owned()),
        (
            "a key too many",
            change("").replace("\"base\"", "\"colour\":1,\"base\""),
        ),
        ("empty rules", change("")),
        ("unreadable rules", change("nonsense")),
        ("an unknown key", change(r#"[["colours",{"count":2}]]"#)),
        (
            "a value of another key",
            change(r#"[["attempts",{"is":true}]]"#),
        ),
        (
            "a value out of range",
            change(r#"[["attempts",{"count":99}]]"#),
        ),
        (
            "a key twice",
            change(r#"[["attempts",{"count":1}],["attempts",{"count":2}]]"#),
        ),
        (
            "several faults",
            change(
                r#"[[{"repeat":"read"},{"repeat":{"keyed":0}}],["zones",{"names":["a","a"]}],[{"out":""},{"is":true}]]"#,
            ),
        ),
        (
            "a class that is not there",
            change(r#"[[{"deadline":"rread"},{"ms":5}]]"#),
        ),
        (
            "a good change",
            change(
                r#"[["attempts",{"count":2}],["zones",{"names":["a","b"]}],[{"out":"b"},{"is":true}],[{"away":"t"},{"is":false}]]"#,
            ),
        ),
        ("a body too long", " ".repeat(65 * 1024)),
    ] {
        let answer = operate(&fleet.nodes[0], "POST /admin/settings", &body);
        transcript.case(&format!("POST /admin/settings: {title}"), &answer);
    }
    transcript.compare("fleet.txt");
}
