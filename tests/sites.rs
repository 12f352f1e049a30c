//! Nothing in the program or the deploy file is fitted to one deployment: the sites in `deploy/sites` are served by their own
//! settings alone, and no name of a deployment stands in what ships.

use sillward_scenarios::peers::*;
use std::fs;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn sites() -> Vec<Table> {
    let folders = fs::read_dir(root().join("deploy/sites")).expect("the sites");
    let mut sites = Vec::new();
    for folder in folders.map(|folder| folder.expect("a folder").path()) {
        let name = folder
            .file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        for beside in ["real.json", "wire.json", "unlock.txt"] {
            assert!(folder.join(beside).is_file(), "{name}: {beside}");
        }
        let text = fs::read_to_string(folder.join(format!("{name}.toml"))).expect("its file");
        sites.push(text.parse().expect("TOML"));
    }
    assert!(sites.len() >= 2, "two variants at least");
    sites
}

fn text<'a>(table: &'a Table, key: &str) -> &'a str {
    table[key].as_str().expect("a text")
}

fn number(table: &Table, key: &str) -> f64 {
    let value = &table[key];
    value
        .as_float()
        .or(value.as_integer().map(|whole| whole as f64))
        .expect("a number")
}

fn tables(table: &Table, key: &str) -> Vec<Table> {
    let all = table
        .get(key)
        .and_then(Value::as_array)
        .expect("a list of tables");
    all.iter()
        .map(|one| one.as_table().expect("a table").clone())
        .collect()
}

/// What the platform would tell a node of this site, in its words.
fn settings_of(site: &Table) -> String {
    let classes = tables(site, "class").into_iter().map(|class| {
        let effect = match text(&class, "effect") {
            "safe" => "free",
            "keyed" => "guarded",
            "unsafe" => "single_shot",
            other => panic!("no such effect: {other}"),
        };
        let group = class.get("group").and_then(Value::as_str).unwrap_or("all");
        let window = if effect == "guarded" { number(&class, "window_ms") } else { 5000.0 };
        format!(
            r#"{{"Name":"{}","Target":{},"GiveUp":{},"Idempotency":"{effect}","Group":"{group}","Window":{window},"Credit":{},"LateWorth":{}}}"#,
            text(&class, "name"),
            number(&class, "aim_ms"),
            number(&class, "deadline_ms"),
            number(&class, "worth"),
            number(&class, "late_worth"),
        )
    });
    let classes: Vec<String> = classes.collect();
    let tenants = tables(site, "tenant").into_iter().map(|tenant| {
        let (name, share) = (text(&tenant, "name"), number(&tenant, "share"));
        format!(
            r#"{{"Name":"{name}","AllowancePerS":{},"Share":{share}}}"#,
            1000.0 * share
        )
    });
    let tenants: Vec<String> = tenants.collect();
    let part = |key: &str| site[key].as_table().expect("a table").clone();
    let (allow, rules, clients) = (part("allow"), part("rules"), part("clients"));
    let zones: Vec<String> = part("net")["zones"]
        .as_array()
        .expect("zones")
        .iter()
        .map(|zone| format!("\"{}\"", zone.as_str().expect("a name")))
        .collect();
    format!(
        r#"{{"Classes":[{}],"Projects":[{}],"Localities":[{}],"HostTypes":["x"],"Quantum":5,
        "RegistryMode":"{}","Rules":{{"DrainGrace":{},"OverloadFactor":{},"TipAfter":{}}},
        "Permissions":{{"AttemptsCap":{},"Cancel":{},"ConnectTimeout":{},"MaxRetryAfter":{},"RetryAfter":{},"ParallelTries":{}}}}}"#,
        classes.join(","),
        tenants.join(","),
        zones.join(","),
        text(&part("discovery"), "mode"),
        number(&rules, "drain_grace_ms"),
        number(&rules, "fall_multiple"),
        number(&rules, "fall_ms"),
        number(&allow, "max_attempts"),
        allow["cancel"].as_bool().expect("yes or no"),
        number(
            &tables(site, "tier")[0]["conn"]
                .as_table()
                .expect("a table")
                .clone(),
            "connect_timeout_ms"
        ),
        number(&clients, "max_retry_after_ms"),
        allow["retry_after"].as_bool().expect("yes or no"),
        allow["second_copies"].as_bool().expect("yes or no"),
    )
}

/// Each class by its own effect, whatever its name suggests, and told from those whose names begin alike.
#[test]
fn each_site_is_served_by_its_own_settings() {
    for site in sites() {
        let name = text(&site, "name").to_owned();
        let backend = Backend::start(|message| ok(&message.start));
        let discovery = Discovery::start();
        let node = Node::start(&config(discovery.address, &settings_of(&site), 1024), "");
        let mut watch = discovery.call();
        watch.open();
        let zone = site["net"]["zones"][0].as_str().expect("a zone").to_owned();
        watch.line(&list(
            8,
            true,
            &[entry_in(&zone, "x", "s-0", backend.address, "in_service")],
        ));
        until(|| node.is_ready(), "readiness");
        let tenant = text(&tables(&site, "tenant")[0], "name").to_owned();
        let mut client = node.client();
        for class in tables(&site, "class") {
            let (class, effect) = (text(&class, "name"), text(&class, "effect"));
            let headers = common(5000).replace("acme", &tenant);
            let (method, key) = match effect {
                "safe" => ("GET", ""),
                "keyed" => ("POST", "Idempotency-Key: 5c0f\r\n"),
                _ => ("POST", ""),
            };
            let start = format!("{method} /{class}/1f");
            let answer = client.ask(&start, &format!("{headers}{key}"), b"");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert_eq!(
                (answer.status(), body),
                (200, format!("{start} HTTP/1.1")),
                "{name}: {class}"
            );
            // By another effect's method, without its key, or by another's name it is turned down, and sent nowhere.
            let sent = backend.count();
            let other = if method == "GET" { "POST" } else { "GET" };
            let strange = [
                (format!("{other} /{class}/1f"), 405, key),
                (format!("{method} /{class}-/1f"), 404, key),
                (format!("{method} /{class}x/1f"), 404, key),
            ];
            for (start, status, key) in strange {
                let headers = common(5000).replace("acme", &tenant);
                let answer = node.client().ask(&start, &format!("{headers}{key}"), b"");
                assert_eq!(answer.status(), status, "{name}: {start}");
            }
            if effect == "keyed" {
                let headers = common(5000).replace("acme", &tenant);
                assert_eq!(
                    node.client().ask(&start, &headers, b"").status(),
                    400,
                    "{name}: {class} without a key"
                );
            }
            let nobody = common(5000).replace("acme", &format!("{tenant}-"));
            assert_eq!(
                node.client()
                    .ask(&start, &format!("{nobody}{key}"), b"")
                    .status(),
                403,
                "{name}: {class}"
            );
            assert_eq!(backend.count(), sent, "{name}: {class}");
        }
    }
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_name_of_a_deployment_stands_in_what_ships() {
    // Of those that run it today, as far as no word of common use is among them; and of our own variants.
    let mut names: Vec<String> = [
        "jateng",
        "tembalang",
        "srondol",
        "ungaran",
        "semarang",
        "banyumas",
        "cilacap",
        "brebes",
        "tally-submit",
        "tally-correct",
        "tally-web",
        "kigali",
        "nyarugenge",
        "kacyiru",
        "driver-position",
        "ride-accept",
        "trip-close",
        "driver-payout",
        "umurava",
        "inzira",
        "kivu",
        "dispatch-fleet",
    ]
    .map(str::to_owned)
    .to_vec();
    for site in sites() {
        names.push(text(&site, "name").to_owned());
        names.extend(
            ["class", "tenant"]
                .iter()
                .flat_map(|key| tables(&site, key))
                .map(|t| format!("\"{}\"", text(&t, "name"))),
        );
    }
    let deploy = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let node: Table = deploy.parse().expect("TOML");
    let mut files = Vec::new();
    let folders = node["node"]
        .as_array()
        .expect("its folders")
        .iter()
        .map(|f| f.as_str().expect("a path"));
    folders.for_each(|folder| sources(&root().join(folder), &mut files));
    files.extend(
        node["policy"]
            .as_array()
            .expect("files")
            .iter()
            .map(|f| root().join(f.as_str().expect("a path"))),
    );
    assert!(files.len() > 60, "{}", files.len());
    let mut found = Vec::new();
    let shipped = |text: &str| {
        text.split("#[cfg(test)]")
            .next()
            .unwrap_or_default()
            .to_owned()
    };
    for file in files.iter().filter(|file| {
        !file
            .iter()
            .any(|part| part == "tests" || part == "tests.rs")
    }) {
        let text = shipped(&fs::read_to_string(file).expect("a file"));
        let here = names.iter().filter(|name| text.contains(name.as_str()));
        found.extend(here.map(|name| format!("{}: {name}", file.display())));
    }
    found.extend(
        names
            .iter()
            .filter(|name| deploy.contains(name.as_str()))
            .cloned(),
    );
    assert!(found.is_empty(), "{found:#?}");
}
