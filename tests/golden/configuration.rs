//! What `sillward check`, `sillward found` and a start say of configuration.

use super::support::{Scratch, Transcript};
use sillward_scenarios::peers::{config, program, settings};
use sillward_scenarios::{etcd, tally};
use std::process::Command;

fn good_config() -> String {
    config(
        "127.0.0.1:1".parse().expect("an address"),
        &settings(1_000, ""),
        256,
    )
}

/// Keys of the fleet's table that a whole operator file has.
const FLEET: &str = "[fleet]\nname = \"jateng\"\nkey_file = \"KEY\"\nlisten = \"127.0.0.1:0\"\n";

#[test]
fn check_and_found_have_the_same_output() {
    let scratch = Scratch::new();
    let long = "k".repeat(40);
    let key = scratch.file("key", &long, 0o600);
    let open = scratch.file("open", &long, 0o644);
    let short = scratch.file("short", "short", 0o600);
    let fleet = |more: &str| format!("{FLEET}{more}");
    let agreement =
        "[agreement]\nlog = \"l\"\nvoters = [\"n0\", \"n1\", \"n2\"]\nfolder = \"FOLDER\"\n";
    let cases = [
        ("empty", String::new()),
        ("no TOML", "[fleet\n".to_owned()),
        ("unknown table", "[colour]\nred = 1\n".to_owned()),
        ("whole fleet", fleet("[outcomes]\n[agreement]\nlog = \"l\"\nvoters = [\"n0\", \"n1\", \"n2\"]\nfolder = \"FOLDER\"\n[admin]\nlisten = \"127.0.0.1:0\"\n")),
        (
            "bad fleet",
            "[fleet]\nname = \"a name that is too long\"\nlisten = \"0.0.0.0:7946\"\nseeds = [\"host:1\", \"127.0.0.1:0\"]\n\
             frame_bytes = 100\nsuspicion_ms = 300\nwait_ms = 600\nprobe_ms = 500\ncolour = 1\nzone = 7\n\
             advertise = \"127.0.0.1:0\"\n"
                .to_owned(),
        ),
        ("open key", FLEET.replace("KEY", "OPEN")),
        ("short key", FLEET.replace("KEY", "SHORT")),
        ("no key file", FLEET.replace("KEY", "FOLDER/none")),
        ("no fleet", format!("[outcomes]\n{agreement}")),
        (
            "bad outcomes and agreement",
            fleet("[outcomes]\nwindow_ms = 100\nwindows = 31\noldest_ms = 10000\nbytes_a_second = 1\ncolour = 1\n\
                   [agreement]\nvoters = [\"n0\", \"n0\"]\nbound_ms = 1\ncolour = 1\n[admin]\ncolour = 1\n"),
        ),
        ("slow outcomes", fleet("[outcomes]\nwindow_ms = 5000\noldest_ms = 10000\n")),
        (
            "bad etcd",
            "[etcd]\nendpoints = [\"host\"]\nprefix = 7\nkeep_alive_ms = 1\ncolour = 1\n".to_owned(),
        ),
        ("good etcd", etcd::operator(&["127.0.0.1:2379".parse().expect("an address")], 600, "")),
        ("good thrift", tally::operator("compact", "")),
        (
            "bad thrift",
            tally::operator("morse", "order = \"any\"\ncolour = 1\n")
                .replace("class = \"read\"", "class = \"rread\"")
                .replace("station_key = \"1.1\"", "station_key = \"1..1\"")
                .replace("load_report = \"99\"", "load_report = \"x\""),
        ),
    ];
    let mut transcript = Transcript::default();
    let config = scratch.file("config.json", &good_config(), 0o600);
    let bad_config = scratch.file(
        "bad.json",
        &good_config().replace("free", "sometimes"),
        0o600,
    );
    let folder = scratch.0.join("voter").display().to_string();
    let run = |command: &str, operator: &str, config: &str| {
        let text = operator
            .replace("KEY", &key)
            .replace("OPEN", &open)
            .replace("SHORT", &short)
            .replace("FOLDER", &folder);
        let output = Command::new(program())
            .args([
                command,
                "--operator",
                &scratch.file("operator.toml", &text, 0o600),
            ])
            .env("PROXY_CONFIG", config)
            .output()
            .expect("it runs");
        scratch.shown(&output)
    };
    for (title, operator) in &cases {
        transcript.case(&format!("check: {title}"), &run("check", operator, &config));
    }
    let thrift = tally::operator("morse", "");
    transcript.case("check: both files bad", &run("check", &thrift, &bad_config));
    for title in ["found: first", "found: again"] {
        transcript.case(title, &run("found", &fleet(agreement), &config));
    }
    let strangers = agreement.replace("\"n0\"", "\"n3\"");
    transcript.case(
        "found: no voter",
        &run("found", &fleet(&strangers), &config),
    );
    transcript.case("found: no agreement", &run("found", FLEET, &config));
    let output = Command::new(program())
        .args(["check", "--operator", "/none/operator.toml"])
        .env("PROXY_CONFIG", "/none/config.json")
        .output()
        .expect("it runs");
    transcript.case("check: no files", &scratch.shown(&output));
    transcript.compare("check.txt");
}

#[test]
fn a_bad_configuration_has_the_same_lines() {
    let good = good_config();
    let discovery = r#""discovery":"127.0.0.1:1""#;
    let cases = [
        ("no JSON", "not JSON".to_owned()),
        ("empty object", "{}".to_owned()),
        ("cut off", good[..good.len() / 2].to_owned()),
        ("bad address", good.replace("127.0.0.1:0", "somewhere")),
        ("no discovery", good.replace(discovery, r#""discovered":1"#)),
        ("bad seed", good.replace("8c1f30d27a5be964", "seed")),
        (
            "few sockets",
            good.replace(r#""sockets":256"#, r#""sockets":10"#),
        ),
        (
            "little memory",
            good.replace(r#""memory_mb":192"#, r#""memory_mb":1"#),
        ),
        ("unknown idempotency", good.replace("free", "sometimes")),
        (
            "class twice",
            good.replace(r#""Name":"correct""#, r#""Name":"read""#),
        ),
        (
            "no class",
            good.replace(r#""Classes":["#, r#""Classes":[],"Was":["#),
        ),
        (
            "no deadline",
            good.replace(r#""GiveUp":1000"#, r#""GiveUp":0"#),
        ),
        ("no target", good.replace(r#""Target":1000,"#, "")),
        (
            "no attempts",
            good.replace(r#""AttemptsCap":3"#, r#""AttemptsCap":0"#),
        ),
        ("unknown column", good.replace(r#""depth""#, r#""length""#)),
        (
            "unknown way of reports",
            good.replace("piggyback", "by post"),
        ),
        ("no settings", good.replace(r#""settings""#, r#""set""#)),
    ];
    let scratch = Scratch::new();
    let mut transcript = Transcript::default();
    for (title, text) in cases {
        let config = scratch.file("config.json", &text, 0o600);
        for arguments in [&["check"][..], &[]] {
            let mut command = Command::new(program());
            command.args(arguments).env("PROXY_CONFIG", &config);
            let is_good = arguments.is_empty() && is_taken(&config);
            if is_good {
                continue; // it would serve
            }
            let output = command.output().expect("it runs");
            let command = if arguments.is_empty() {
                "start"
            } else {
                "check"
            };
            transcript.case(&format!("{command}: {title}"), &scratch.shown(&output));
        }
    }
    let unset = Command::new(program())
        .env_remove("PROXY_CONFIG")
        .output()
        .expect("it runs");
    transcript.case("start: without PROXY_CONFIG", &scratch.shown(&unset));
    transcript.compare("bad-configuration.txt");
}

fn is_taken(config: &str) -> bool {
    let output = Command::new(program())
        .arg("check")
        .env("PROXY_CONFIG", config)
        .output()
        .expect("it runs");
    output.status.success()
}
