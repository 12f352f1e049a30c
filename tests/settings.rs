//! Settings on which processes of the program agree: what an operator types and reads, and what holds when voters are gone.

use sillward_scenarios::peers::{config, settings as platform};
use sillward_test_cluster::fleet::{Agreed, Fleet, Options, beside};
use sillward_test_cluster::script::Places;
use sillward_test_cluster::settings::{self, Play};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn options(seed: u64) -> Options {
    Options::of(
        Places { nodes: 9, zones: 3 },
        seed,
        beside("sillward").expect("sillward is built"),
    )
}

fn played(seed: u64, rounds: &[&str]) {
    let rounds = rounds.iter().map(|round| (*round).to_owned()).collect();
    let play = Play {
        options: options(seed),
        voters: 5,
        bound_ms: 2_000,
        rounds,
        count: 0,
    };
    let verdict = settings::play(&play).expect("the ground is laid");
    assert!(verdict.breaches.is_empty(), "{:#?}", verdict.breaches);
}

/// Hard cases 1 and 2: cut off from all voters right before a change, paused through it with calls waiting, words late by more
/// than a right lasts.
#[test]
fn who_is_cut_off_paused_or_told_late_does_not_go_on_by_what_was() {
    played(1, &["cut-off", "pause", "late"]);
}

/// Hard case 3: voters killed while a change is handed in, all of them at once, and a zone that is cut off.
#[test]
fn voters_that_die_lose_nothing_that_was_confirmed() {
    played(2, &["leader", "restart", "bounce", "halves"]);
}

fn ctl(fleet: &Arc<Fleet>, node: usize, arguments: &[&str]) -> (bool, String) {
    let admin = fleet.places[node]
        .process
        .lock()
        .expect("a process")
        .as_ref()
        .map(|process| process.admin);
    let admin = admin.expect("it runs").to_string();
    let mut command = Command::new(&fleet.options.program);
    command
        .args(["ctl", "--admin", &admin, "settings"])
        .args(arguments);
    let output = command.output().expect("it is there");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.success(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

fn until(fleet: &Arc<Fleet>, node: usize, says: &str) -> String {
    let begun = Instant::now();
    loop {
        let (_, text) = ctl(fleet, node, &["show"]);
        if text.contains(says) {
            return text;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "n{node} does not say {says:?}: {text}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn an_operator_changes_settings_and_reads_what_holds() {
    let fleet = Fleet::new(Options {
        agreed: Some(Agreed {
            voters: 3,
            bound_ms: 1_000,
        }),
        ..options(3)
    })
    .expect("the ground is laid");
    fleet.start().expect("all start");
    until(&fleet, 8, "may act on it for");
    let folder = std::env::temp_dir().join(format!("sillward-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a place for files");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path.to_string_lossy().into_owned()
    };
    let first = file(
        "first.toml",
        "[[classes]]\nname = \"read\"\nrepeat = \"unsafe\"\n[limits]\nattempts = 2\n",
    );
    let bad = file(
        "bad.toml",
        "[[classes]]\nname = \"read\"\nrepeat = \"often\"\n[limits]\nattempts = 99\nhedge = 1\n",
    );
    let clash = file(
        "clash.toml",
        "[[classes]]\nname = \"rread\"\nrepeat = \"safe\"\n[[classes]]\nname = \"correct\"\nrepeat = \"keyed\"\nwindow_ms = 9\n",
    );

    let (good, text) = ctl(&fleet, 4, &["check", &bad]);
    let told = ["classes[0].repeat", "limits.attempts", "limits.hedge"]
        .iter()
        .all(|key| text.contains(key));
    assert!(!good && told, "all faults at once, with their keys: {text}");
    let (good, text) = ctl(&fleet, 4, &["check", &clash]);
    assert!(
        !good && text.contains("classes.rread.repeat") && text.contains("classes.correct.repeat"),
        "{text}"
    );
    assert_eq!(
        ctl(&fleet, 4, &["check", &first]),
        (true, "good\n".to_owned())
    );

    let (good, text) = ctl(
        &fleet,
        4,
        &["propose", &first, "--base", "0", "--why", "a first one"],
    );
    assert!(
        good && text.contains("version 1 is confirmed, and in force"),
        "{text}"
    );
    let (good, text) = ctl(
        &fleet,
        7,
        &["propose", &first, "--base", "0", "--why", "too late"],
    );
    assert!(
        !good && text.contains("nothing was changed: the newest version is 1"),
        "{text}"
    );
    until(&fleet, 8, "classes.read.repeat = unsafe (version 1)");
    until(&fleet, 6, "limits.attempts = 2 (version 1)");

    let second = file(
        "second.toml",
        "[[classes]]\nname = \"read\"\nrepeat = \"safe\"\n",
    );
    let twice = [
        "propose", &second, "--base", "1", "--why", "a second", "--id", "77",
    ];
    assert!(ctl(&fleet, 5, &twice).1.contains("version 2 is confirmed"));
    assert!(
        ctl(&fleet, 3, &twice).1.contains("version 2 is confirmed"),
        "sent again, it is there once"
    );
    let (_, text) = ctl(&fleet, 0, &["diff", "1", "2"]);
    assert!(
        text.contains("classes.read.repeat: unsafe -> safe (contradicts)"),
        "{text}"
    );
    assert!(
        ctl(&fleet, 2, &["revert", "1", "--base", "2", "--why", "back"])
            .1
            .contains("version 3 is confirmed")
    );
    let (_, text) = ctl(&fleet, 1, &["history"]);
    assert!(
        text.lines().count() == 3 && text.contains("3  operator  back"),
        "{text}"
    );

    // Hard case 8: without voters nodes go on, by the careful reading, and say so; and calls are served.
    for voter in 0..3 {
        let process = fleet.places[voter]
            .process
            .lock()
            .expect("a process")
            .take();
        process.expect("it runs").kill();
    }
    let text = until(&fleet, 8, "may not act on it: the careful reading holds");
    assert!(
        text.contains("classes.submit.repeat = unsafe (version 3, careful)"),
        "{text}"
    );
    assert!(
        text.contains("limits.attempts = 1 (version 3, careful)"),
        "{text}"
    );
    let before = fleet.asked[8].lock().expect("calls").len();
    std::thread::sleep(Duration::from_millis(1_500));
    let asked: Vec<u16> = fleet.asked[8].lock().expect("calls")[before..]
        .iter()
        .map(|asked| asked.status)
        .collect();
    assert!(
        asked.len() > 3 && asked.iter().all(|status| *status == 200),
        "{asked:?}"
    );

    // Two of three come back; one whose folder is lost does not vote, and says why.
    fleet.start_one(0, false).expect("it starts");
    until(&fleet, 0, "this voter: joining");
    fleet.start_one(1, false).expect("it starts");
    until(&fleet, 8, "may act on it for");
    std::fs::remove_file(fleet.folder(2).join("agreement")).expect("its file");
    fleet.start_one(2, false).expect("it starts");
    until(&fleet, 2, "does not vote: ");
    assert!(
        ctl(
            &fleet,
            6,
            &["propose", &second, "--base", "3", "--why", "by two"]
        )
        .1
        .contains("version 4 is confirmed")
    );
    fleet.end();
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_voters_folder_is_founded_once() {
    let folder = std::env::temp_dir().join(format!("sillward-found-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a place for files");
    let discovery = "127.0.0.1:9".parse().expect("an address");
    let platform = folder.join("platform.json");
    std::fs::write(&platform, config(discovery, &platform_settings(), 64)).expect("a file");
    let operator = folder.join("operator.toml");
    let text = format!(
        "[fleet]\nname = \"f\"\nkey_file = \"k\"\nlisten = \"127.0.0.1:0\"\n[agreement]\nlog = \"l\"\nvoters = [\"n0\", \"n1\", \"n2\"]\nfolder = \"{}\"\n",
        folder.join("voter").display()
    );
    std::fs::write(&operator, &text).expect("a file");
    let found = || {
        let mut command = Command::new(beside("sillward").expect("sillward is built"));
        let output = command
            .args(["found", "--operator"])
            .arg(&operator)
            .env("PROXY_CONFIG", &platform)
            .output();
        let output = output.expect("it is there");
        (
            output.status.success(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    let (good, said) = found();
    assert!(
        good && said.contains("voter n0 of log \"l\" is founded"),
        "{said}"
    );
    let (good, said) = found();
    assert!(
        !good && said.contains("is there already: nothing was changed"),
        "{said}"
    );
    std::fs::write(
        &operator,
        text.replace("\"n2\"]", "\"n2\", \"n3\"]")
            .replace("log = \"l\"\n", ""),
    )
    .expect("a file");
    let (good, said) = found();
    assert!(
        !good && said.contains("agreement.log: is missing") && said.contains("3, 5 or 7"),
        "{said}"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

fn platform_settings() -> String {
    platform(1_500, "")
}
