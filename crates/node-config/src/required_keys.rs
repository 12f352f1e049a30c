//! Keys that a later file must have: a file that lost one would otherwise be read as if the default had been meant.

use serde_json::{Map, Value};

/// Keys of the file that a later one may leave out.
const OPTIONAL_LATER: [&str; 1] = ["known"];
/// Keys of a class that only keyed classes need.
const KEYED_ONLY: [&str; 2] = ["Window", "Group"];
/// The key of a class that says whether it is keyed, and the value for that.
const IDEMPOTENCY: &str = "Idempotency";
const KEYED: &str = "guarded";

/// Removes the keys that a later file may leave out.
pub(crate) fn without_optional(mut file: Value) -> Value {
    if let Some(keys) = file.as_object_mut() {
        for key in OPTIONAL_LATER {
            keys.remove(key);
        }
    }
    file
}

/// The paths of the keys that `old` has and `new` lacks.
pub(crate) fn missing(old: &Value, new: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect(String::new(), old, new, &mut paths);
    paths
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
