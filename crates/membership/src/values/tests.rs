use super::{MAX_VALUES, Value, Values};

fn value(key: &str, version: u32) -> Value {
    Value {
        key: key.into(),
        version,
        bytes: version.to_be_bytes().as_slice().into(),
    }
}

#[test]
fn rejects_versions_that_are_not_newer() {
    let mut values = Values::default();
    assert!(values.store(value("load", 2)));
    assert!(!values.store(value("load", 2)));
    assert!(!values.store(value("load", 1)));
    assert!(values.store(value("load", 3)));
    assert_eq!(values.get("load"), Some(&value("load", 3)));
    assert_eq!(values.highest_version(), 3);
}

#[test]
fn rejects_new_keys_beyond_the_bound() {
    let mut values = Values::default();
    for number in 0..MAX_VALUES {
        assert!(values.store(value(&format!("k{number}"), 1)));
    }
    assert!(!values.store(value("extra", 1)));
    assert!(values.store(value("k0", 2)));
    assert_eq!(values.iter().count(), MAX_VALUES);
}
