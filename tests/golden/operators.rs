//! What operators get of a single node.

use super::support::{
    LONG, RawBackend, Scratch, Transcript, budgeted, ctl, ctl_text, exchange, listed, operate,
    request, served, without_numbers_below,
};
use sillward_scenarios::etcd::{self, Etcd};
use sillward_scenarios::peers::{
    Discovery, Node, config_operated, entry, program, settings, until,
};
use sillward_scenarios::reserved_port::ReservedPort;
use std::process::Command;

/// Nothing but discovery tells this node of backends, and discovery says nothing.
fn call_before_the_first_list(call: &str) -> String {
    let discovery = Discovery::start();
    let node = Node::start(&config_operated(discovery.address, &settings(LONG, "")), "");
    without_numbers_below(&operate(&node, call, ""))
}

#[test]
fn operators_calls_have_the_same_answers() {
    let backend = RawBackend::start(served);
    let etcd = Etcd::start();
    etcd.put(
        "/tally/e-0",
        &entry("e-0", backend.address, "in_service"),
        0,
    );
    let discovery = Discovery::start();
    let config = config_operated(discovery.address, &settings(LONG, ""));
    let operator = etcd::operator(&[etcd.address], 600, "");
    let node = Node::start_with(&config, &operator);
    let entries = [entry("s-0", backend.address, "in_service")];
    let (node, _watch, _discovery) = listed(node, discovery, &entries);
    let mut transcript = Transcript::default();
    let call = "GET /control/ready";
    transcript.case(
        &format!("{call} before the first list"),
        &call_before_the_first_list(call),
    );
    until(
        || {
            node.operate("GET /admin/membership")
                .1
                .matches("\"current\"")
                .count()
                == 2
        },
        "both sources",
    );
    until(
        || {
            node.operate("GET /admin/membership")
                .1
                .matches("\"etcd\":{")
                .count()
                == 1
        },
        "the backend of etcd",
    );
    exchange(node.address, &request("GET /read/1f", &budgeted(LONG), ""));
    for call in [
        "GET /control/ready",
        "GET /control/counters",
        "POST /control/ready",
        "GET /control/out-of-service",
        "GET /control",
        "GET /read/1f",
        "GET /admin/membership",
        "GET /admin/membership/sources",
        "GET /admin/fleet",
        "GET /admin/outcomes",
        "GET /admin/settings",
        "POST /admin/settings",
        "POST /control/out-of-service",
    ] {
        transcript.case(call, &without_numbers_below(&operate(&node, call, "")));
    }
    let health = exchange(node.address, &request("GET /health/ready", "", ""));
    transcript.bytes("GET /health/ready out of service", &health);
    let back = operate(&node, "POST /control/in-service", "");
    transcript.case("POST /control/in-service", &without_numbers_below(&back));
    transcript.compare("operators-calls.txt");
}

#[test]
fn ctl_has_the_same_output_at_a_single_node() {
    let discovery = Discovery::start();
    let node = Node::start(&config_operated(discovery.address, &settings(LONG, "")), "");
    let (node, _watch, _discovery) = listed(node, discovery, &[]);
    let admin = node.admin.expect("a listener").to_string();
    let reserved = ReservedPort::new();
    let nobody = reserved.address().to_string();
    let scratch = Scratch::new();
    let good = scratch.file("good.toml", "[limits]\nattempts = 2\n", 0o600);
    let mut transcript = Transcript::default();
    let cases: [&[&str]; 6] = [
        &["fleet"],
        &["fleet", "--json"],
        &["settings", "show"],
        &["settings", "check", &good],
        &["settings", "check", "FOLDER/none.toml"],
        &["settings", "history"],
    ];
    for arguments in cases {
        let title = arguments.join(" ").replace(&good, "good.toml");
        for (admin, whose) in [
            (&admin, "without [fleet]"),
            (&nobody, "where nobody listens"),
        ] {
            let text = ctl_text(&scratch, &ctl(admin, arguments));
            transcript.case(&format!("ctl {title}, {whose}"), &text);
        }
    }
    transcript.compare("ctl-single-node.txt");
}

/// Commands, arguments and options by name; their descriptions may be worded anew.
#[test]
fn the_command_line_has_the_same_names() {
    let mut transcript = Transcript::default();
    let cases: [&[&str]; 12] = [
        &[],
        &["check"],
        &["found"],
        &["ctl"],
        &["ctl", "fleet"],
        &["ctl", "settings"],
        &["ctl", "settings", "show"],
        &["ctl", "settings", "check"],
        &["ctl", "settings", "propose"],
        &["ctl", "settings", "revert"],
        &["ctl", "settings", "watch"],
        &["ctl", "settings", "diff"],
    ];
    for arguments in cases {
        let output = Command::new(program())
            .args(arguments)
            .arg("--help")
            .output()
            .expect("it runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let names = text.lines().filter_map(|line| {
            let name = line.trim_start().split("  ").next().unwrap_or_default();
            // Descriptions are on the same line, or further to the right.
            let indent = line.len() - line.trim_start().len();
            let is_name = line.starts_with("Usage: ") || (2..=7).contains(&indent);
            (is_name && !name.is_empty()).then(|| name.to_owned())
        });
        let names: Vec<String> = names.collect();
        transcript.case(&arguments.join(" "), &names.join("\n"));
    }
    transcript.compare("command-line.txt");
}
