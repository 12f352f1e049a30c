//! Reading the platform's configuration, and taking a later one into a running process.

use serde_json::Value;
use sillward_balancer::settings::PlatformSettings;
use sillward_node_config::Config;

const FILE: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",
        "limits":{"cores":0.5,"memory_mb":48,"sockets":384},"known":{"index":1,"endpoints":[]},
        "settings":{"Classes":[
          {"Name":"submit","Target":160,"GiveUp":400,"Idempotency":"guarded","Group":"zone","Window":600,"Credit":10},
          {"Name":"correct","Target":190,"GiveUp":950,"Idempotency":"single_shot","Group":"all","Window":50,"Credit":2}],
        "Projects":[{"Name":"pati","AllowancePerS":59,"Share":0.5},{"Name":"tegal","AllowancePerS":74,"Share":0.5}],
        "Localities":["a","b"],"HostTypes":["m"],"Zone":1,"Quantum":1,
        "Rules":{"DrainGrace":2000,"TipAfter":1500},"Permissions":{"AttemptsCap":3,"ConnectTimeout":200}}}"#;

fn parsed(text: &str) -> Config {
    Config::parse(text).expect("a good file")
}

/// What a node that runs with FILE comes to by another.
fn after(text: &str) -> Result<PlatformSettings, String> {
    let running = parsed(FILE);
    let later = Config::parse(text).map_err(|error| error.to_string())?;
    let settings = running.reloaded_settings(&later, &running.platform);
    settings.map_err(|error| error.to_string())
}

fn with(change: impl FnOnce(&mut Value)) -> String {
    let mut value: Value = serde_json::from_str(FILE).expect("JSON");
    change(&mut value);
    value.to_string()
}

/// Every way to an object's key.
fn paths(at: &Value, path: &mut Vec<String>, all: &mut Vec<Vec<String>>) {
    let entries: Vec<(String, &Value)> = match at {
        Value::Object(keys) => keys
            .iter()
            .map(|(key, value)| (key.clone(), value))
            .collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(i, value)| (i.to_string(), value))
            .collect(),
        _ => return,
    };
    for (key, value) in entries {
        path.push(key);
        if at.is_object() {
            all.push(path.clone());
        }
        paths(value, path, all);
        path.pop();
    }
}

#[test]
fn rejects_a_file_cut_at_any_byte() {
    assert!(after(FILE).is_ok());
    for cut in 0..FILE.len() {
        assert!(after(&FILE[..cut]).is_err(), "cut at {cut}");
    }
}

#[test]
fn rejects_a_file_that_lacks_a_key_and_names_it() {
    let (value, mut all) = (
        serde_json::from_str::<Value>(FILE).expect("JSON"),
        Vec::new(),
    );
    paths(&value, &mut Vec::new(), &mut all);
    let mut may = Vec::new();
    for path in all {
        let (key, way) = path.split_last().expect("a key");
        let text = with(|value| {
            let parent = way
                .iter()
                .fold(value, |at, step| match step.parse::<usize>() {
                    Ok(i) => &mut at[i],
                    Err(_) => &mut at[step],
                });
            parent.as_object_mut().expect("an object").remove(key);
        });
        match after(&text) {
            Ok(_) => may.push(path.join(".")),
            Err(what) => assert!(what.contains(key.as_str()), "{path:?}: {what}"),
        }
    }
    // What unsafe work does not need, and the list as it was once.
    assert_eq!(
        may,
        [
            "known",
            "known.endpoints",
            "known.index",
            "settings.Classes.1.Group",
            "settings.Classes.1.Window"
        ]
    );
}

/// Guards against a good file being refused, and with it the new address of discovery, because it leaves out a key that may be
/// absent.
#[test]
fn accepts_a_later_file_without_the_keys_that_may_be_absent() {
    let optional = [
        "/settings/Specifics/WarmKeys",
        "/settings/Specifics/PassesDeadline",
        "/settings/Prices/Fleet",
        "/settings/Classes/0/AimStretch",
        "/settings/Classes/1/AimStretch",
    ];
    let mut full: Value = serde_json::from_str(FILE).expect("JSON");
    let settings = &mut full["settings"];
    settings["Specifics"] =
        serde_json::json!({"WarmKeys": false, "PassesDeadline": true, "Other": 1});
    settings["Prices"] = serde_json::json!({"Probe": 0.1, "Fleet": 0.2});
    for position in 0..2 {
        settings["Classes"][position]["AimStretch"] = serde_json::json!(0.5);
    }
    let running = parsed(&full.to_string());
    let reloaded = |from: &Config, file: &Value| {
        let later = parsed(&file.to_string());
        let settings = from.reloaded_settings(&later, &from.platform);
        settings.map(drop).map_err(|error| error.to_string())
    };
    let without = |paths: &[&str]| {
        let mut file = full.clone();
        for path in paths {
            let (parent, key) = path.rsplit_once('/').expect("a path");
            let parent = file.pointer_mut(parent).expect("its parent");
            let keys = parent.as_object_mut().expect("an object");
            keys.remove(key).expect("the key");
        }
        file
    };
    for path in optional {
        let short = without(&[path]);
        assert_eq!(reloaded(&running, &short), Ok(()), "{path} leaves");
        let back = reloaded(&parsed(&short.to_string()), &full);
        assert_eq!(back, Ok(()), "{path} returns");
    }
    assert_eq!(reloaded(&running, &without(&optional)), Ok(()));
    for path in [
        "/settings/Specifics/Other",
        "/settings/Prices/Probe",
        "/settings/Specifics",
    ] {
        assert!(reloaded(&running, &without(&[path])).is_err(), "{path}");
    }
}

/// Guards against a keyed class that loses its group, and is then repeated anywhere, because a class that needs no group has
/// none either.
#[test]
fn rejects_a_keyed_class_without_its_group_whatever_the_other_classes_have() {
    let class = |name: &str, kind: &str, more: &str| {
        format!(r#"{{"Name":"{name}","Target":160,"GiveUp":400,"Idempotency":"{kind}"{more}}}"#)
    };
    let file = |classes: &[String]| {
        let classes: Vec<Value> = classes
            .iter()
            .map(|class| serde_json::from_str(class).expect("JSON"))
            .collect();
        with(|value| value["settings"]["Classes"] = classes.into())
    };
    let refusal = |running: &str, later: &str| {
        let (running, later) = (parsed(running), parsed(later));
        let settings = running.reloaded_settings(&later, &running.platform);
        settings.err().map(|error| error.to_string())
    };
    let unsafe_class = class("correct", "single_shot", "");
    let whole = class("submit", "guarded", r#","Group":"zone","Window":600"#);
    let without_group = class("submit", "guarded", r#","Window":600"#);
    let running = file(&[whole, unsafe_class.clone()]);
    let only_unsafe = file(std::slice::from_ref(&unsafe_class));
    let short = file(&[without_group, unsafe_class]);
    for before in [&running, &only_unsafe] {
        let refused = refusal(before, &short).expect("a refusal");
        assert!(refused.contains("settings.Classes[0].Group"), "{refused}");
    }
    for later in [&running, &only_unsafe] {
        for before in [&running, &only_unsafe] {
            assert_eq!(refusal(before, later), None);
        }
    }
    // What a node has run with since its start is no worse than before.
    assert_eq!(refusal(&short, &short), None);
}

#[test]
fn reports_all_invalid_values_with_their_keys() {
    for (key, value) in [
        ("GiveUp", Value::from(0)),
        ("GiveUp", Value::from(-1)),
        ("GiveUp", Value::from("soon")),
        ("GiveUp", Value::Null),
        ("GiveUp", Value::from(1e300)),
        ("Target", Value::from(0)),
        ("Window", Value::from(0)),
        ("Credit", Value::from(-5)),
        ("Name", Value::from("")),
        ("Name", Value::from("correct")),
        ("Idempotency", Value::from("perhaps")),
    ] {
        let text = with(|file| file["settings"]["Classes"][0][key] = value.clone());
        assert!(after(&text).is_err(), "{key} {value}");
    }
    for cap in [
        Value::from(0),
        Value::from(-1),
        Value::from(2.5),
        Value::from("3"),
    ] {
        assert!(
            after(&with(
                |file| file["settings"]["Permissions"]["AttemptsCap"] = cap.clone()
            ))
            .is_err(),
            "{cap}"
        );
    }
    let what = after(&with(|file| {
        file["settings"]["Classes"][0]["GiveUp"] = 0.into();
        file["settings"]["Classes"][1]["Target"] = (-3).into();
        file["settings"]["Permissions"]["AttemptsCap"] = 0.into();
    }));
    let what = what.expect_err("three faults");
    for part in [
        "submit: GiveUp is 0",
        "correct: Target is -3",
        "Permissions.AttemptsCap is 0",
    ] {
        assert!(what.contains(part), "{what}");
    }
}

#[test]
fn keeps_positions_whatever_the_order() {
    let first = parsed(FILE);
    let text = with(|file| {
        let settings = &mut file["settings"];
        settings["Localities"] = vec!["b", "c", "a"].into();
        settings["Zone"] = 0.into();
        settings["Projects"]
            .as_array_mut()
            .expect("a list")
            .reverse();
        let late = serde_json::json!({"Name":"late","Target":1,"GiveUp":2,"Idempotency":"free","Credit":1});
        settings["Classes"][0] = late; // submit vanishes
    });
    let second = first
        .reloaded_settings(&parsed(&text), &first.platform)
        .expect("a good file");
    assert_eq!(second.class_names, ["submit", "correct", "late"]);
    assert_eq!(
        (
            second.class("submit"),
            second.class("correct"),
            second.class("late")
        ),
        (None, Some(1), Some(2))
    );
    assert_eq!(
        second.settings.classes[0], first.platform.settings.classes[0],
        "open requests keep its terms"
    );
    assert_eq!(
        (second.tenant(b"pati"), second.tenant(b"tegal")),
        (Some(0), Some(1))
    );
    assert_eq!(second.zone_names, ["a", "b", "c"]);
    assert_eq!(second.settings.zone, 1, "b, as before");
    // One that comes back is the same.
    let third = first
        .reloaded_settings(&parsed(FILE), &second)
        .expect("a good file");
    assert_eq!(
        (third.class("submit"), third.class("late")),
        (Some(0), None)
    );
}

#[test]
fn rejects_more_names_than_a_process_may_know() {
    let first = parsed(FILE);
    let (mut site, mut rejected) = (first.platform.clone(), 0);
    for i in 0..1000 {
        let text = with(|file| file["settings"]["Classes"][0]["Name"] = format!("c{i}").into());
        match first.reloaded_settings(&parsed(&text), &site) {
            Ok(next) => site = next,
            Err(what) => rejected += usize::from(what.to_string().contains("settings.Classes")),
        }
    }
    assert!(site.class_names.len() <= 250 && rejected > 700);
}

/// Guards against a file of a site with many tenants that no later file can replace, not even the same one.
#[test]
fn a_later_file_may_have_any_number_of_tenants() {
    const TENANTS: usize = 300;
    let file_of = |tenants: std::ops::Range<usize>| {
        let tenants = tenants
            .map(|i| serde_json::json!({"Name": format!("t{i}"), "AllowancePerS": 10, "Share": 1}));
        parsed(&with(|file| {
            file["settings"]["Projects"] = tenants.collect()
        }))
    };
    let first = file_of(0..TENANTS);
    let same = first.reloaded_settings(&first, &first.platform);
    assert_eq!(same.expect("the same file").tenant(b"t299"), Some(299));
    let another = first.reloaded_settings(&file_of(1..TENANTS + 1), &first.platform);
    let another = another.expect("one more, and one less");
    assert_eq!(
        (another.tenant(b"t0"), another.tenant(b"t300")),
        (None, Some(300))
    );
}

#[test]
fn rejects_more_removed_tenants_than_a_process_may_know() {
    let first = parsed(FILE);
    let (mut site, mut rejected) = (first.platform.clone(), 0);
    for i in 0..1000 {
        let text = with(|file| file["settings"]["Projects"][0]["Name"] = format!("t{i}").into());
        match first.reloaded_settings(&parsed(&text), &site) {
            Ok(next) => site = next,
            Err(what) => rejected += usize::from(what.to_string().contains("settings.Projects")),
        }
    }
    assert!(site.tenant_names.len() <= 252 && rejected > 700);
}
