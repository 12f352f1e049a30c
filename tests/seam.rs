//! Time, sockets, signals and random numbers come to the program through `crates/runtime` alone, packages import
//! one way only, and the core knows no protocol: read off the sources and manifests.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Not part of the program: the simulator's adapter reads its wire, and the rig plays the world outside.
const OUTSIDE: &[&str] = &["simulator-adapter"];
/// What reaches past the seam.
const PAST: [&str; 21] = [
    "tokio::time",
    "tokio::net",
    "tokio::signal",
    "tokio::task",
    "tokio::spawn",
    "tokio::runtime",
    "std::time::Instant",
    "SystemTime",
    "std::net::Tcp",
    "std::net::Udp",
    "std::os::unix::net",
    "rand_pcg",
    "std::fs",
    "std::env",
    "std::thread",
    "env::var",
    "tokio::join!",
    "FuturesUnordered",
    "watch::channel",
    "RandomState",
    "thread_rng",
];
/// Where one of them has its reason: the modules have their own seeded generators and no outside to reach; files and
/// variables are read before a node is put together, and whoever starts it says how they are read again; the log's
/// writer is a thread on purpose, and writes nothing where a world stands beneath. A `watch` wakes several tasks in an
/// order drawn by lot: these have one that waits.
const ALLOWED: [(&str, &str); 9] = [
    ("app", "watch::channel"),
    ("src", "watch::channel"),
    ("balancer", "rand_pcg"),
    ("outcome-stats", "rand_pcg"),
    ("membership", "rand_pcg"),
    ("node-config", "std::env"),
    ("node-config", "std::fs"),
    ("src", "std::fs"),
    ("logging", "std::thread"),
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").path())
    {
        if entry.is_dir() {
            sources(&entry, found);
        } else if entry.extension().is_some_and(|extension| extension == "rs") {
            found.push(entry);
        }
    }
}

/// The packages of the program by folder, each with its sources.
fn packages() -> BTreeMap<String, Vec<PathBuf>> {
    let mut all = BTreeMap::new();
    for folder in fs::read_dir(root().join("crates"))
        .expect("packages")
        .map(|e| e.expect("one").path())
    {
        let name = folder
            .file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        if !OUTSIDE.contains(&name.as_str()) {
            let mut found = Vec::new();
            sources(&folder.join("src"), &mut found);
            all.insert(name, found);
        }
    }
    let mut found = Vec::new();
    sources(&root().join("src"), &mut found);
    all.insert("src".to_owned(), found);
    all
}

#[test]
fn nothing_reaches_past_the_seam() {
    let mut past = Vec::new();
    for (package, files) in packages()
        .into_iter()
        .filter(|(package, _)| package != "runtime")
    {
        for file in files {
            let text = fs::read_to_string(&file).expect("a source");
            let mut lines = text
                .lines()
                .enumerate()
                .filter(|(_, line)| !line.trim_start().starts_with("//"));
            past.extend(lines.by_ref().filter_map(|(number, line)| {
                let what = PAST.iter().find(|what| line.contains(**what))?;
                let allowed = ALLOWED.contains(&(package.as_str(), what));
                (!allowed).then(|| format!("{}:{}: {what}", file.display(), number + 1))
            }));
        }
    }
    assert!(past.is_empty(), "{past:#?}");
}

/// A `select!` that isn't biased asks a generator of the runtime's own which branch comes first: a run could not be
/// played again.
#[test]
fn what_is_ready_first_is_never_drawn_by_lot() {
    let mut drawn = Vec::new();
    for (_, files) in packages() {
        for file in files {
            let text = fs::read_to_string(&file).expect("a source");
            for (at, _) in text.match_indices("select! {") {
                if !text[at + 9..].trim_start().starts_with("biased;") {
                    drawn.push(format!("{}:{}", file.display(), text[..at].lines().count()));
                }
            }
        }
    }
    assert!(drawn.is_empty(), "{drawn:#?}");
}

/// Each package's own dependencies within the workspace, without those of its tests.
fn dependencies() -> BTreeMap<String, BTreeSet<String>> {
    let mut all = BTreeMap::new();
    for package in packages().into_keys().filter(|package| package != "src") {
        let manifest = fs::read_to_string(root().join("crates").join(&package).join("Cargo.toml"));
        let manifest = manifest.expect("a manifest");
        let (_, after) = manifest.split_once("[dependencies]").expect("dependencies");
        let names = after
            .lines()
            .take_while(|line| !line.starts_with('['))
            .filter_map(|line| {
                let name = line.split(['.', ' ', '=']).next()?;
                name.strip_prefix("sillward-")
            });
        all.insert(package, names.map(str::to_owned).collect());
    }
    all
}

/// Cargo forbids circles; this forbids the shortcuts that would make the core know a protocol, or one protocol
/// another.
#[test]
fn the_core_knows_no_protocol_and_protocols_do_not_know_each_other() {
    let dependencies = dependencies();
    let reach = |from: &str| {
        let (mut seen, mut open) = (BTreeSet::new(), vec![from.to_owned()]);
        while let Some(package) = open.pop() {
            for next in &dependencies[&package] {
                if seen.insert(next.clone()) {
                    open.push(next.clone());
                }
            }
        }
        seen
    };
    let set = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<BTreeSet<_>>()
    };
    assert_eq!(reach("balancer"), set(&[]));
    assert_eq!(reach("endpoints"), set(&["balancer"]));
    assert_eq!(
        reach("forwarding"),
        set(&["balancer", "logging", "metrics", "runtime"])
    );
    assert_eq!(
        (reach("lifecycle"), reach("hot-restart")),
        (set(&[]), set(&[]))
    );
    assert_eq!(
        (reach("membership"), reach("fleet-settings")),
        (set(&[]), set(&[]))
    );
    assert_eq!(reach("consensus"), set(&["membership", "fleet-settings"]));
    assert_eq!(reach("outcome-stats"), set(&["membership"]));
    assert_eq!(
        reach("consensus-io"),
        set(&[
            "consensus",
            "peer-transport",
            "logging",
            "membership",
            "fleet-settings",
            "runtime"
        ])
    );
    assert_eq!(
        reach("peer-transport"),
        set(&["logging", "membership", "runtime"])
    );
    assert!(!reach("pool").contains("http1") && !reach("pool").contains("thrift"));
    assert!(!reach("thrift").contains("http1") && !reach("http1").contains("thrift"));
    assert!(!reach("discovery").contains("pool"));
}

/// No two files of a package import each other, directly or by way of others.
#[test]
fn no_circle_between_the_files_of_a_package() {
    for (package, files) in packages() {
        let base = if package == "src" {
            root().join("src")
        } else {
            root().join("crates").join(&package).join("src")
        };
        let module = |file: &PathBuf| {
            let path = file.strip_prefix(&base).expect("within").with_extension("");
            path.iter()
                .next()
                .expect("a name")
                .to_string_lossy()
                .into_owned()
        };
        let mut imports: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for file in &files {
            let text = fs::read_to_string(file).expect("a source");
            let from = module(file);
            for (at, _) in text.match_indices("crate::") {
                let rest: String = text[at + 7..]
                    .chars()
                    .take_while(|c| c.is_alphanumeric() || *c == '_')
                    .collect();
                if files.iter().any(|other| module(other) == rest) && rest != from {
                    imports.entry(from.clone()).or_default().insert(rest);
                }
            }
        }
        for start in imports.keys() {
            let (mut seen, mut open) = (BTreeSet::new(), vec![start.clone()]);
            while let Some(next) = open.pop() {
                for to in imports.get(&next).into_iter().flatten() {
                    assert_ne!(to, start, "a circle through {package}/{start}");
                    if seen.insert(to.clone()) {
                        open.push(to.clone());
                    }
                }
            }
        }
    }
}
