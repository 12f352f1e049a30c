//! Fleets of the program's own processes on the ground: the hard cases of membership, each a script. Every case has at least
//! five processes, and its checks read what was done and what relays and callers saw.

use sillward_scenarios::peers::{Node, config, settings};
use sillward_scenarios::reserved_port::ReservedPort;
use sillward_test_cluster::fleet::{Options, beside};
use sillward_test_cluster::members::{self, Play, Verdict};
use sillward_test_cluster::outcomes;
use sillward_test_cluster::script::{Fault, Folder, Places, What, Which};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

const PLACES: Places = Places { nodes: 6, zones: 3 };

fn program() -> PathBuf {
    beside("sillward").expect("sillward is built")
}

fn played(seed: u64, faults: Vec<(u64, What)>) -> Verdict {
    let faults = faults
        .into_iter()
        .map(|(at_ms, what)| Fault { at_ms, what })
        .collect();
    let options = Options::of(PLACES, seed, program());
    let play = Play {
        options,
        faults: Some(faults),
        kinds: Vec::new(),
        every_ms: 4_000,
        seconds: 0,
    };
    let verdict = members::play(&play).expect("the ground is laid");
    assert!(
        verdict.breaches.is_empty(),
        "{:#?}\n{}",
        verdict.breaches,
        verdict.script
    );
    verdict
}

fn figure(verdict: &Verdict, name: &str) -> f64 {
    let figure = verdict.figures.iter().find(|(known, _)| *known == name);
    figure
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_else(|| panic!("no figure {name}"))
}

/// Hard case 1: nobody is called gone, and nobody has to begin a life.
#[test]
fn a_way_that_is_cut_one_way_ends_nobody() {
    let cut = |from, to, both| What::Cut {
        from: Which::Node(from),
        to: Which::Node(to),
        both,
        for_ms: 9_000,
    };
    let verdict = played(1, vec![(0, cut(1, 4, false)), (2_000, cut(2, 5, true))]);
    assert_eq!(figure(&verdict, "false_alarms"), 0.0);
}

/// What callers asked, by the ground's clock, is what every node reads, within what it says: through a death without its folder, a
/// pause, and a zone that is cut off; and nothing is counted twice when that is back.
#[test]
fn each_process_reads_what_all_are_asked() {
    let faults = [
        (
            0,
            What::Kill {
                node: 5,
                for_ms: 2_000,
                folder: Folder::Lost,
            },
        ),
        (
            2_000,
            What::Cut {
                from: Which::Zone(0),
                to: Which::All,
                both: true,
                for_ms: 5_000,
            },
        ),
        (
            3_000,
            What::Pause {
                node: 1,
                for_ms: 1_500,
            },
        ),
    ];
    let faults: Vec<Fault> = faults
        .into_iter()
        .map(|(at_ms, what)| Fault { at_ms, what })
        .collect();
    let options = Options {
        rate: 20,
        ..Options::of(PLACES, 7, program())
    };
    let verdict = outcomes::play(options, &faults).expect("the ground is laid");
    assert!(
        verdict.breaches.is_empty(),
        "{:#?}\n{:#?}",
        verdict.breaches,
        verdict.figures
    );
}

/// Hard case 2, and 5 in part: the seed of the zone that is cut off stands within it.
#[test]
fn a_zone_that_was_cut_off_for_longer_than_the_gone_are_remembered_is_back() {
    let cut = What::Cut {
        from: Which::Zone(0),
        to: Which::All,
        both: true,
        for_ms: 20_000,
    };
    played(2, vec![(0, cut)]);
}

/// Hard case 3, with a short pause that ends no life.
#[test]
fn a_process_that_was_paused_goes_on_in_a_new_life() {
    let pause = |node, for_ms| What::Pause { node, for_ms };
    played(
        3,
        vec![
            (0, pause(2, 15_000)),
            (2_000, pause(4, 50)),
            (4_000, pause(5, 300)),
        ],
    );
}

/// Hard case 4.
#[test]
fn no_life_comes_twice_whatever_becomes_of_the_folder() {
    let kill = |node, for_ms, folder| What::Kill {
        node,
        for_ms,
        folder,
    };
    played(
        4,
        vec![
            (0, kill(1, 200, Folder::Lost)),
            (500, kill(2, 100, Folder::Old)),
            (1_000, kill(3, 4_000, Folder::Torn(9))),
            (3_000, kill(1, 100, Folder::Old)),
            (3_500, kill(2, 5_000, Folder::Lost)),
            (6_000, kill(4, 50, Folder::Kept)),
        ],
    );
}

/// Hard case 5: the survivor knows nothing for certain, and all agree once the others are back, seeds or not.
#[test]
fn all_but_one_are_killed_at_one_moment() {
    let kill = |node| What::Kill {
        node,
        for_ms: 8_000 + node as u64 * 300,
        folder: Folder::Lost,
    };
    played(5, (0..5).map(|node| (0, kill(node))).collect());
}

/// Hard case 7: noise at one node, and lies under the key at another, 20,000 datagrams a second.
#[test]
fn a_flood_at_one_node_leaves_the_others_agreed_and_it_serving() {
    let flood = |node, keyed| What::Flood {
        node,
        a_second: 20_000,
        keyed,
        for_ms: 5_000,
    };
    let verdict = played(6, vec![(0, flood(3, false)), (3_000, flood(1, true))]);
    assert!(figure(&verdict, "calls_served") >= 0.99);
}

static NUMBER: AtomicUsize = AtomicUsize::new(0);

fn check(operator: &str) -> (bool, String) {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let folder =
        std::env::temp_dir().join(format!("sillward-fleet-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    };
    let key = file("key", &"k".repeat(40));
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
    std::fs::set_permissions(&key, mode).expect("its mode");
    let open = file("open", &"k".repeat(40));
    let short = file("short", "short");
    std::fs::set_permissions(&short, std::os::unix::fs::PermissionsExt::from_mode(0o600))
        .expect("its mode");
    let text = operator
        .replace("KEY", &key.display().to_string())
        .replace("OPEN", &open.display().to_string())
        .replace("SHORT", &short.display().to_string());
    let config = config(
        "127.0.0.1:1".parse().expect("an address"),
        &settings(1_000, ""),
        256,
    );
    let mut command = Command::new(program());
    command
        .arg("check")
        .arg("--operator")
        .arg(file("operator.toml", &text));
    let output = command
        .env("PROXY_CONFIG", file("config.json", &config))
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    std::fs::remove_dir_all(&folder).expect("the folder");
    (output.status.success(), said)
}

#[test]
fn what_is_wrong_with_the_fleet_is_told_with_file_and_key_all_at_once() {
    let good = "[fleet]\nname = \"jateng\"\nkey_file = \"KEY\"\nlisten = \"127.0.0.1:0\"\n";
    assert_eq!(check(good), (true, String::new()));
    let (fine, said) = check(
        "[fleet]\nname = \"a name that is too long\"\nlisten = \"0.0.0.0:7946\"\nseeds = [\"host:1\", \"127.0.0.1:0\"]\n\
         frame_bytes = 100\nsuspicion_ms = 300\nwait_ms = 600\nprobe_ms = 500\ncolour = 1\n",
    );
    assert!(!fine);
    for key in [
        "fleet.name: is longer",
        "fleet.key_file: is missing",
        "fleet.advertise: is needed",
        "fleet.seeds: \"host:1\"",
        "fleet.seeds: \"127.0.0.1:0\"",
        "fleet.frame_bytes: 100",
        "fleet.wait_ms: must be shorter",
        "fleet.suspicion_ms: must be four times",
        "fleet.colour: unknown key",
    ] {
        assert!(said.contains(key), "{key} in {said}");
    }
    for (file, what) in [
        ("OPEN", "others than its owner"),
        ("SHORT", "32 to 1024 bytes"),
        ("/none", "cannot use"),
    ] {
        let (fine, said) = check(&good.replace("KEY", file));
        assert!(
            !fine && said.contains("fleet.key_file: ") && said.contains(what),
            "{said}"
        );
    }
}

/// Off is off: without the table nothing listens, and there is no page.
#[test]
fn without_the_table_there_is_no_fleet() {
    let discovery = sillward_scenarios::peers::Discovery::start();
    let config = config(discovery.address, &settings(1_000, ""), 256);
    let node = Node::start_with(&config, "[admin]\nlisten = \"127.0.0.1:0\"\n");
    assert_eq!(node.operate("GET /admin/fleet").0, 404);
    assert_eq!(node.count_logged("fleet"), 0);
    let admin = node.admin.expect("it listens").to_string();
    let output = Command::new(program())
        .args(["ctl", "--admin", &admin, "fleet"])
        .output()
        .expect("it runs");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("no [fleet]"));
}

/// What the ground tells a process of faults within is not looked at by the program that ships: it has no such words.
#[test]
fn the_program_that_ships_has_no_faults_within() {
    let bytes = std::fs::read(program()).expect("the program");
    let holds = |word: &[u8]| bytes.windows(word.len()).any(|part| part == word);
    assert!(
        !holds(b"SILLWARD_FAULT"),
        "the program reads faults from its environment"
    );
    assert!(holds(b"PROXY_CONFIG"), "and this test can see such words");
}

/// Hard case 5: seeds that are another fleet's members, under the same key, are never joined.
#[test]
fn a_seed_of_another_fleet_is_not_joined() {
    let folder = std::env::temp_dir().join(format!("sillward-two-fleets-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let key = folder.join("key");
    std::fs::write(&key, "k".repeat(40)).expect("a file");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
    std::fs::set_permissions(&key, mode).expect("its mode");
    let reserved = [ReservedPort::new(), ReservedPort::new()];
    let at = reserved.each_ref().map(ReservedPort::address);
    let discovery = sillward_scenarios::peers::Discovery::start();
    let start = |i: usize, fleet: &str| {
        let config = config(discovery.address, &settings(1_000, ""), 256);
        let config = config.replace("\"name\":\"n0\"", &format!("\"name\":\"n{i}\""));
        let operator = format!(
            "[fleet]\nname = \"{fleet}\"\nkey_file = \"{}\"\nlisten = \"{}\"\nseeds = [\"{}\", \"{}\"]\n\
             [admin]\nlisten = \"127.0.0.1:0\"\n",
            key.display(),
            at[i],
            at[0],
            at[1]
        );
        Node::start_with(&config, &operator)
    };
    let nodes = [start(0, "jateng"), start(1, "diy")];
    let page = |i: usize| nodes[i].operate("GET /admin/fleet").1;
    sillward_scenarios::peers::until(
        || (0..2).all(|i| !page(i).contains("\"fleet\":0")),
        "frames of the other fleet",
    );
    for page in [page(0), page(1)] {
        assert!(
            page.contains("\"members\":[]") && page.contains("\"standing\":\"asking\""),
            "{page}"
        );
    }
    std::fs::remove_dir_all(&folder).expect("the folder");
}
