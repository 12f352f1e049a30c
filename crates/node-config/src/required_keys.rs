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
/// The list of classes.
const CLASSES: &str = "settings.Classes";
/// Keys of a class that only keyed classes need, and that these always need: no default is as strict as what was meant.
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
    let old = objects(old);
    let mut common: Vec<&str> = common_keys(&old);
    let is_class_list = path == CLASSES;
    if is_class_list {
        common.retain(|key| !KEYED_ONLY.contains(key));
    }
    for (position, entry) in new.iter().enumerate() {
        let Some(entry) = entry.as_object() else {
            continue;
        };
        let mut needed = common.clone();
        if is_class_list && is_keyed(entry) {
            needed.extend(keys_of_keyed_classes(&old));
        }
        let lacking = needed.iter().filter(|key| !entry.contains_key(**key));
        missing.extend(lacking.map(|key| format!("{path}[{position}].{key}")));
    }
}

fn objects(entries: &[Value]) -> Vec<&Map<String, Value>> {
    entries.iter().filter_map(Value::as_object).collect()
}

/// The keys that all of these have.
fn common_keys<'a>(entries: &[&'a Map<String, Value>]) -> Vec<&'a str> {
    let Some((first, others)) = entries.split_first() else {
        return Vec::new();
    };
    let in_all = |key: &&String| others.iter().all(|entry| entry.contains_key(*key));
    first.keys().filter(in_all).map(String::as_str).collect()
}

fn is_keyed(class: &Map<String, Value>) -> bool {
    class.get(IDEMPOTENCY).is_none_or(|kind| kind == KEYED)
}

/// The keys of [`KEYED_ONLY`], but for those that a keyed class already runs without.
fn keys_of_keyed_classes(old: &[&Map<String, Value>]) -> Vec<&'static str> {
    let in_all_keyed = |key: &&str| {
        let mut keyed = old.iter().filter(|class| is_keyed(class));
        keyed.all(|class| class.contains_key(*key))
    };
    KEYED_ONLY.into_iter().filter(in_all_keyed).collect()
}
