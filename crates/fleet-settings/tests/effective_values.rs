//! Effective values, the history of versions, and the validation and encoding of settings.

use proptest::prelude::*;
use sillward_fleet_settings::{
    FleetSettings, History, Idempotency, Key, MAX_VERSIONS, ProposalOutcome, Value, Version,
    VersionStatus, differences,
};

fn class() -> Key {
    Key::Idempotency("tally-correct".to_owned())
}

fn settings_with(values: &[(Key, Value)]) -> FleetSettings {
    let mut settings = FleetSettings::default();
    values.iter().for_each(|(key, value)| {
        settings
            .insert(key.clone(), value.clone())
            .expect("a valid value")
    });
    settings
}

fn version(id: u64, settings: &FleetSettings) -> Version {
    Version {
        number: 0,
        id,
        author: "a".to_owned(),
        reason: "w".to_owned(),
        settings: settings.to_json(),
    }
}

fn history(all: &[FleetSettings]) -> History {
    let mut history = History::default();
    for (base, settings) in all.iter().enumerate() {
        assert_eq!(
            history.apply_proposal(base as u64, version(base as u64 + 1, settings)),
            ProposalOutcome::Committed(base as u64 + 1)
        );
    }
    history
}

fn status(in_force: u64, newest: u64, has_lease: bool) -> VersionStatus {
    VersionStatus {
        in_force,
        newest,
        has_lease,
    }
}

#[test]
fn uses_the_conservative_value_of_changed_keys_until_a_version_is_in_force() {
    let idempotent = settings_with(&[
        (class(), Value::Idempotency(Idempotency::Idempotent)),
        (Key::MaxAttempts, Value::Count(3)),
    ]);
    let keyed = settings_with(&[
        (class(), Value::Idempotency(Idempotency::Keyed(900))),
        (Key::MaxAttempts, Value::Count(3)),
    ]);
    let history = history(&[idempotent, keyed]);
    let effective_value = |status, key: &Key| history.effective_value(status, key);
    let while_pending = effective_value(status(1, 2, true), &class());
    assert_eq!(
        (while_pending.value, while_pending.conservative),
        (Value::Idempotency(Idempotency::NonIdempotent), true)
    );
    let unchanged = effective_value(status(1, 2, true), &Key::MaxAttempts);
    assert_eq!(
        (unchanged.value, unchanged.conservative, unchanged.version),
        (Value::Count(3), false, 2)
    );
    let in_force = effective_value(status(2, 2, true), &class());
    assert_eq!(
        (in_force.value, in_force.conservative),
        (Value::Idempotency(Idempotency::Keyed(900)), false)
    );
    // Without a lease, a version that the node does not know of may have changed any key.
    let without_lease = effective_value(status(2, 2, false), &Key::MaxAttempts);
    assert_eq!(
        (without_lease.value, without_lease.conservative),
        (Value::Count(1), true)
    );
}

#[test]
fn uses_keys_that_cannot_conflict_at_once() {
    let latency_objective = Key::LatencyObjective("tally-read".to_owned());
    let history = history(&[
        settings_with(&[(latency_objective.clone(), Value::Milliseconds(40))]),
        settings_with(&[(latency_objective.clone(), Value::Milliseconds(60))]),
    ]);
    let effective = history.effective_value(status(0, 2, false), &latency_objective);
    assert_eq!(
        (effective.value, effective.conservative),
        (Value::Milliseconds(60), false)
    );
}

#[test]
fn excludes_what_any_candidate_version_excludes() {
    let ejected = Key::EjectedBackend("00000000000000a1".to_owned());
    let listed = settings_with(&[(ejected.clone(), Value::Flag(true))]);
    let history = history(&[listed, FleetSettings::default()]);
    assert_eq!(
        history.effective_value(status(1, 2, true), &ejected).value,
        Value::Flag(true)
    );
    assert_eq!(
        history.effective_value(status(2, 2, true), &ejected).value,
        Value::Flag(false)
    );
    // A version that the node does not know of must not exclude everything.
    let other = Key::EjectedBackend("00000000000000b2".to_owned());
    assert_eq!(
        history.effective_value(status(1, 2, false), &other).value,
        Value::Flag(false)
    );
}

#[test]
fn uses_the_conservative_value_if_a_version_is_missing_or_unreadable() {
    let idempotent = settings_with(&[(class(), Value::Idempotency(Idempotency::Idempotent))]);
    let mut history = history(&[idempotent]);
    assert!(
        history
            .effective_value(status(1, 2, true), &class())
            .conservative,
        "version 2 is missing"
    );
    let newer = r#"[[{"a_key_of_tomorrow":"x"},{"is":true}]]"#;
    assert!(history.append(Version {
        number: 2,
        id: 9,
        settings: newer.to_owned(),
        ..Version {
            number: 2,
            id: 9,
            author: String::new(),
            reason: String::new(),
            settings: String::new()
        }
    }));
    assert!(
        history
            .effective_value(status(2, 2, true), &class())
            .conservative,
        "version 2 is unreadable"
    );
    assert_eq!(history.newest(), 2, "an unreadable version is retained");
}

#[test]
fn commits_a_proposal_once_and_on_its_base_only() {
    let mut history = history(&[FleetSettings::default()]);
    let settings = settings_with(&[(Key::Hedging, Value::Flag(false))]);
    assert_eq!(
        history.apply_proposal(1, version(7, &settings)),
        ProposalOutcome::Committed(2)
    );
    assert_eq!(
        history.apply_proposal(1, version(7, &settings)),
        ProposalOutcome::AlreadyCommitted(2)
    );
    assert_eq!(
        history.apply_proposal(1, version(8, &settings)),
        ProposalOutcome::StaleBase(2)
    );
    assert_eq!(
        history.apply_proposal(2, version(7, &settings)),
        ProposalOutcome::AlreadyCommitted(2)
    );
}

#[test]
fn reports_errors_with_their_keys() {
    let mut settings = FleetSettings::default();
    let error = settings
        .insert(Key::MaxAttempts, Value::Count(0))
        .expect_err("0 attempts are out of range");
    assert!(error.to_string().contains("limits.attempts"), "{error}");
    settings
        .insert(class(), Value::Idempotency(Idempotency::Keyed(0)))
        .expect("insert does not check the window");
    settings
        .insert(
            Key::ZoneOrder,
            Value::Names(vec!["a".to_owned(), "a".to_owned()]),
        )
        .expect("insert does not check for duplicate names");
    assert_eq!(settings.validate().len(), 2, "{:?}", settings.validate());
    assert!(FleetSettings::from_json(&settings.to_json()).is_err());
    assert!(
        FleetSettings::from_json("[[\"hedges\",{\"is\":true}],[\"hedges\",{\"is\":false}]]")
            .is_err(),
        "duplicate"
    );
}

#[test]
fn drops_the_oldest_versions_and_merges_the_retained_ones() {
    let all: Vec<FleetSettings> = (0..MAX_VERSIONS as u32 + 20)
        .map(|n| settings_with(&[(Key::MaxAttempts, Value::Count(n % 16 + 1))]))
        .collect();
    let full = history(&all);
    assert_eq!(full.iter().count(), MAX_VERSIONS);
    let mut outdated = history(&all[..3]);
    assert!(outdated.merge(full.versions_after(3, 1 << 20)));
    assert_eq!(outdated, full);
    // A merge in several parts reaches the same version, and merging known versions changes nothing.
    let mut in_parts = History::default();
    while in_parts.newest() < full.newest() {
        assert!(in_parts.merge(full.versions_after(in_parts.newest(), 200)));
    }
    assert!(!in_parts.merge(full.versions_after(70, 1 << 20)));
    assert_eq!(in_parts.newest(), full.newest());
}

fn any_settings() -> impl Strategy<Value = FleetSettings> {
    let idempotency = prop_oneof![
        Just(Value::Idempotency(Idempotency::Idempotent)),
        Just(Value::Idempotency(Idempotency::NonIdempotent)),
        (1u64..3).prop_map(|ms| Value::Idempotency(Idempotency::Keyed(ms))),
    ];
    (
        proptest::option::of(idempotency),
        proptest::option::of(1u32..4),
        proptest::option::of(any::<bool>()),
    )
        .prop_map(|(idempotency, attempts, ejected)| {
            let mut settings = FleetSettings::default();
            idempotency.map(|value| settings.insert(class(), value));
            attempts.map(|count| settings.insert(Key::MaxAttempts, Value::Count(count)));
            ejected.map(|is| settings.insert(Key::EjectedBackend("b".to_owned()), Value::Flag(is)));
            settings
        })
}

proptest! {
    /// Two nodes with leases and a common candidate version never use different values, except for the conservative one.
    #[test]
    fn nodes_with_a_common_candidate_version_do_not_conflict(all in proptest::collection::vec(any_settings(), 1..6), a in 0u64..6, b in 0u64..6, c in 0u64..6, d in 0u64..6) {
        let history = history(&all);
        let last = all.len() as u64;
        let range = |x: u64, y: u64| (x.min(y).min(last), x.max(y).min(last));
        let ((from, to), (since, until)) = (range(a, b), range(c, d));
        prop_assume!(from <= until && since <= to);
        for key in [class(), Key::MaxAttempts, Key::EjectedBackend("b".to_owned())] {
            let one = history.effective_value(status(from, to, true), &key);
            let other = history.effective_value(status(since, until, true), &key);
            prop_assert!(one.conservative || other.conservative || one.value == other.value, "{key}: {one:?} {other:?}");
            for effective in [one, other] {
                prop_assert!(!effective.conservative || Some(effective.value) == key.conservative_value());
            }
        }
    }

    #[test]
    fn settings_survive_encoding_and_decoding(settings in any_settings()) {
        prop_assert_eq!(FleetSettings::from_json(&settings.to_json()).map_err(|e| e.to_string()), Ok(settings));
    }

    #[test]
    fn differences_are_symmetric(one in any_settings(), other in any_settings()) {
        let (forward, backward) = (differences(&one, &other), differences(&other, &one));
        prop_assert_eq!(forward.len(), backward.len());
        prop_assert!(forward.iter().zip(&backward).all(|(t, b)| t.key == b.key && t.from == b.to && t.conflicts == b.conflicts));
        prop_assert!(one != other || forward.is_empty());
    }
}
