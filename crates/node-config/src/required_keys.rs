//! Keys that a later file must have: a file that lost one would otherwise be read as if the default had been meant.

use serde_json::{Map, Value};

/// Keys of the file that a later one may leave out, with `[]` for any position in a list: the platform says that they may be
/// absent, or gives them at a start only.
const OPTIONAL: [&str; 5] = [
    "known",
    "settings.Classes[].AimStretch",
    "settings.Prices.Fleet",
    "settings.Specifics.PassesDeadline",
    "settings.Specifics.WarmKeys",
];
/// Keys of a class that only keyed classes need.
const KEYED_ONLY: [&str; 2] = ["Window", "Group"];
/// The key of a class that says whether it is keyed, and the value for that.
const IDEMPOTENCY: &str = "Idempotency";
const KEYED: &str = "guarded";

/// The paths of the required keys that `old` has and `new` lacks.
pub(crate) fn missing(old: &Value, new: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect(String::new(), old, new, &mut paths);
    paths.retain(|path| !is_optional(path));
    paths
}

/// Whether the path is that of an optional key, or of a key within one.
fn is_optional(path: &str) -> bool {
    let path = any_position(path);
    OPTIONAL.iter().any(|optional| {
        path.strip_prefix(optional)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    })
}

/// A path with `[]` in the place of each position in a list.
fn any_position(path: &str) -> String {
    let mut pattern = String::new();
    let mut is_position = false;
    for character in path.chars() {
        is_position &= character != ']';
        if !is_position {
            pattern.push(character);
        }
        is_position |= character == '[';
    }
    pattern
}

fn collect(path: String, old: &Value, new: &Value, missing: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => collect_object(&path, old, new, missing),
        (Value::Array(old), Value::Array(new)) => collect_array(&path, old, new, missing),
        _ => {}
    }
}

fn collect_object(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    missing: &mut Vec<String>,
) {
    for (key, old) in old {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        match new.get(key) {
            Some(new) => collect(path, old, new, missing),
            None => missing.push(path),
        }
    }
}

/// Entries of a list come and go: each new one needs the keys that all old ones have.
fn collect_array(path: &str, old: &[Value], new: &[Value], missing: &mut Vec<String>) {
    let old: Vec<_> = old.iter().filter_map(Value::as_object).collect();
    let Some((first, others)) = old.split_first() else {
        return;
    };
    let in_all = |key: &&String| others.iter().all(|entry| entry.contains_key(*key));
    let common: Vec<_> = first.keys().filter(in_all).collect();
    for (position, entry) in new.iter().enumerate() {
        let Some(entry) = entry.as_object() else {
            continue;
        };
        let keyed = entry.get(IDEMPOTENCY).is_none_or(|kind| kind == KEYED);
        for key in &common {
            let needed = keyed || !KEYED_ONLY.contains(&key.as_str());
            if needed && !entry.contains_key(key.as_str()) {
                missing.push(format!("{path}[{position}].{key}"));
            }
        }
    }
}
