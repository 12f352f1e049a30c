//! What a node is told at its start: the file that `PROXY_CONFIG` names.
#![forbid(unsafe_code)]

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use sillward_balancer::settings::{self, PlatformSettings};
use sillward_forwarding::READ_BUFFER_BYTES;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Descriptors for all but connections: standard streams, listener, runtime, discovery, dials that end.
const SPARE_SOCKETS: usize = 48;
/// And beside these, for operators: their listener and callers.
const ADMIN_SOCKETS: usize = 33;
/// What the program takes by itself, its code, tables and queues: several times what is measured.
const OWN_BYTES: usize = 8 << 20;
/// What a connection may take: hyper's buffers either way, and its tasks.
const CONNECTION_BYTES: usize = READ_BUFFER_BYTES + 8 * 1024;
/// Room for bodies at the least.
const LEAST_BODY_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    admin: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<Box<RawValue>>,
    settings: Box<RawValue>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: 192.0,
        }
    }
}

/// A node's configuration, checked.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call; nothing listens for them without it.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    limits: Limits,
    /// The most client connections, and the most connections to backends.
    pub client_connections: usize,
    pub backend_connections: usize,
    /// The most bytes of bodies, requests' and answers' together, at once.
    pub body_bytes: usize,
    /// The list of backends as this node last had it: discovery's JSON, perhaps old.
    pub known: Option<String>,
    pub site: PlatformSettings,
    /// The listening socket that this process was started with, where the platform replaces processes.
    pub listen_fd: Option<i32>,
    /// Where processes of this node find each other, where the platform replaces them.
    pub folder: Option<PathBuf>,
    /// The text as it was, without what may be left out of a later one.
    text: Value,
}

/// Of a whole file, what a later one need not have.
const PASSING: [&str; 1] = ["known"];
/// Of a class, what only some kinds of it need.
const OF_SOME_CLASSES: [&str; 2] = ["Window", "Group"];

/// Puts down the keys that `old` has and `new` lacks: a file that came short of one would otherwise be read as if its
/// writer had meant the default.
fn lacks(path: &str, old: &Value, new: &Value, missing: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, old) in old {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                match new.get(key) {
                    Some(new) => lacks(&path, old, new, missing),
                    None => missing.push(path),
                }
            }
        }
        // Entries come and go; what all had, each of them has.
        (Value::Array(old), Value::Array(new)) => {
            let old: Vec<_> = old.iter().filter_map(Value::as_object).collect();
            let Some((first, others)) = old.split_first() else {
                return;
            };
            let all = |key: &&String| others.iter().all(|entry| entry.contains_key(*key));
            let common: Vec<_> = first.keys().filter(all).collect();
            for (i, entry) in new.iter().enumerate() {
                let Some(entry) = entry.as_object() else {
                    continue;
                };
                let guarded = entry
                    .get("Idempotency")
                    .is_none_or(|kind| kind == "guarded");
                let needed = |key: &&&String| guarded || !OF_SOME_CLASSES.contains(&key.as_str());
                let short = common
                    .iter()
                    .filter(needed)
                    .filter(|key| !entry.contains_key(key.as_str()));
                missing.extend(short.map(|key| format!("{path}[{i}].{key}")));
            }
        }
        _ => {}
    }
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names. The other `PROXY_` variables say nothing that it does not; but
    /// `PROXY_LISTEN_FD` is of the process, and `PROXY_ADMIN` is read where the file has no `admin`.
    pub fn from_env() -> Result<Self, String> {
        let path =
            std::env::var_os("PROXY_CONFIG").ok_or("bad configuration: PROXY_CONFIG is not set")?;
        let path = PathBuf::from(path);
        let text = std::fs::read_to_string(&path)
            .map_err(|e| format!("bad configuration: cannot read {}: {e}", path.display()))?;
        let mut config =
            Config::parse(&text).map_err(|what| format!("bad configuration: {what}"))?;
        if let Some(number) = std::env::var_os("PROXY_LISTEN_FD").filter(|v| !v.is_empty()) {
            let number = number
                .to_str()
                .and_then(|number| number.parse().ok())
                .filter(|number| *number > 2);
            config.listen_fd = Some(
                number
                    .ok_or("bad configuration: PROXY_LISTEN_FD is no descriptor's number over 2")?,
            );
        }
        config.folder = std::env::var_os("TMPDIR")
            .filter(|v| !v.is_empty())
            .map(PathBuf::from);
        if let (None, Some(admin)) = (
            config.admin,
            std::env::var_os("PROXY_ADMIN").filter(|v| !v.is_empty()),
        ) {
            let admin = admin.to_str().and_then(|admin| admin.parse().ok());
            config.admin =
                Some(admin.ok_or("bad configuration: PROXY_ADMIN is no address with a port")?);
        }
        Ok(config)
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let mut text: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if let Some(keys) = text.as_object_mut() {
            PASSING.iter().for_each(|key| drop(keys.remove(*key)));
        }
        let seed = match file.seed.as_str() {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(|e| format!("seed: {e}"))?,
        };
        let site =
            settings::parse(file.settings.get().as_bytes()).map_err(|fault| fault.to_string())?;
        // Two numbers would mean the same class or tenant if a name stood twice.
        for (key, names) in [
            ("Classes: a Name", &site.class_names),
            ("Projects: a Name", &site.tenant_names),
            ("Localities: a name", &site.zone_names),
        ] {
            if names
                .iter()
                .enumerate()
                .any(|(i, name)| name.is_empty() || names[..i].contains(name))
            {
                return Err(format!(
                    "settings.{key} is empty or stands twice in {names:?}"
                ));
            }
        }
        let free =
            ((file.limits.memory_mb * f64::from(1 << 20)) as usize).saturating_sub(OWN_BYTES);
        let spare = SPARE_SOCKETS + file.admin.map_or(0, |_| ADMIN_SOCKETS);
        let connections = file.limits.sockets.saturating_sub(spare);
        if connections < 2 {
            return Err(format!(
                "{} sockets are too few: {spare} and 2 at least",
                file.limits.sockets
            ));
        }
        // Half of the memory at most is for connections; a quarter of the rest is left for chance.
        let connections = connections.min(free / 2 / CONNECTION_BYTES).max(2);
        let body_bytes =
            (free.saturating_sub(connections * CONNECTION_BYTES) / 4 * 3).max(LEAST_BODY_BYTES);
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            admin: file.admin,
            seed,
            limits: file.limits,
            client_connections: connections / 2,
            backend_connections: connections - connections / 2,
            body_bytes,
            known: file.known.map(|known| known.get().to_owned()),
            site,
            listen_fd: None,
            folder: None,
            text,
        })
    }

    /// Takes a later configuration's settings into a process that runs with `now`, all of them or none.
    ///
    /// # Errors
    /// It lacks keys that this one has, each by its path; or it names more than a process may come to know.
    pub fn followed_by(
        &self,
        later: &Config,
        now: &PlatformSettings,
    ) -> Result<PlatformSettings, String> {
        let mut missing = Vec::new();
        lacks("", &self.text, &later.text, &mut missing);
        if !missing.is_empty() {
            return Err(format!(
                "bad configuration: it lacks {}",
                missing.join(", ")
            ));
        }
        later
            .site
            .clone()
            .merged_onto(now)
            .map_err(|what| format!("bad configuration: {what}"))
    }

    /// What differs in a later configuration and can't change in a node that runs. The seed is none of it:
    /// it is new with each start.
    pub fn fixed_that_differ(&self, later: &Config) -> Vec<&'static str> {
        let fixed = [
            ("name", self.name != later.name),
            ("listen", self.listen != later.listen),
            ("admin", self.admin != later.admin),
            ("limits", self.limits != later.limits),
        ];
        fixed
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name)
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        running.followed_by(&Config::parse(text)?, &running.site)
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
    fn a_file_cut_at_any_byte_changes_nothing() {
        assert!(after(FILE).is_ok());
        for cut in 0..FILE.len() {
            assert!(after(&FILE[..cut]).is_err(), "cut at {cut}");
        }
    }

    #[test]
    fn a_file_short_of_any_key_is_told_with_it_unless_it_may_be_left_out() {
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

    #[test]
    fn what_makes_no_sense_is_told_all_at_once_each_with_its_key() {
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
    fn what_has_had_a_number_keeps_it_whatever_the_order() {
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
            .followed_by(&parsed(&text), &first.site)
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
            second.settings.classes[0], first.site.settings.classes[0],
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
            .followed_by(&parsed(FILE), &second)
            .expect("a good file");
        assert_eq!(
            (third.class("submit"), third.class("late")),
            (Some(0), None)
        );
    }

    #[test]
    fn names_without_end_are_turned_down() {
        let first = parsed(FILE);
        let (mut site, mut turned_down) = (first.site.clone(), 0);
        for i in 0..1000 {
            let text = with(|file| file["settings"]["Classes"][0]["Name"] = format!("c{i}").into());
            match first.followed_by(&parsed(&text), &site) {
                Ok(next) => site = next,
                Err(what) => turned_down += usize::from(what.contains("settings.Classes")),
            }
        }
        assert!(site.class_names.len() <= 250 && turned_down > 700);
    }
}
