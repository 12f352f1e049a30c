//! Effective values of keys that several versions have, or none, or that a node may not act on.

use proptest::prelude::*;
use sillward_fleet_settings::{
    FleetSettings, History, Idempotency, Key, MAX_VERSIONS, ProposalOutcome, Value, Version,
    VersionStatus, differences,
};

fn class() -> Key {
    Key::Idempotency("tally-correct".to_owned())
}

fn with(values: &[(Key, Value)]) -> FleetSettings {
    let mut settings = FleetSettings::default();
    values.iter().for_each(|(key, value)| {
        settings
            .insert(key.clone(), value.clone())
            .expect("a value")
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
    let safe = with(&[
        (class(), Value::Idempotency(Idempotency::Idempotent)),
        (Key::MaxAttempts, Value::Count(3)),
    ]);
    let keyed = with(&[
        (class(), Value::Idempotency(Idempotency::Keyed(900))),
        (Key::MaxAttempts, Value::Count(3)),
    ]);
    let history = history(&[safe, keyed]);
    let read = |status, key: &Key| history.effective_value(status, key);
    let between = read(status(1, 2, true), &class());
    assert_eq!(
        (between.value, between.conservative),
        (Value::Idempotency(Idempotency::NonIdempotent), true)
    );
    let same = read(status(1, 2, true), &Key::MaxAttempts);
    assert_eq!(
        (same.value, same.conservative, same.version),
        (Value::Count(3), false, 2)
    );
    let after = read(status(2, 2, true), &class());
    assert_eq!(
        (after.value, after.conservative),
        (Value::Idempotency(Idempotency::Keyed(900)), false)
    );
    // Without a lease any key may have changed.
    let without = read(status(2, 2, false), &Key::MaxAttempts);
    assert_eq!(
        (without.value, without.conservative),
        (Value::Count(1), true)
    );
}

#[test]
fn uses_keys_that_cannot_conflict_at_once() {
    let aim = Key::LatencyObjective("tally-read".to_owned());
    let history = history(&[
        with(&[(aim.clone(), Value::Milliseconds(40))]),
        with(&[(aim.clone(), Value::Milliseconds(60))]),
    ]);
    let reading = history.effective_value(status(0, 2, false), &aim);
    assert_eq!(
        (reading.value, reading.conservative),
        (Value::Milliseconds(60), false)
    );
}

#[test]
fn excludes_what_any_candidate_version_excludes() {
    let out = Key::EjectedBackend("00000000000000a1".to_owned());
    let listed = with(&[(out.clone(), Value::Flag(true))]);
    let history = history(&[listed, FleetSettings::default()]);
    assert_eq!(
        history.effective_value(status(1, 2, true), &out).value,
        Value::Flag(true)
    );
    assert_eq!(
        history.effective_value(status(2, 2, true), &out).value,
        Value::Flag(false)
    );
    // An unknown version must not exclude everything.
    let other = Key::EjectedBackend("00000000000000b2".to_owned());
    assert_eq!(
        history.effective_value(status(1, 2, false), &other).value,
        Value::Flag(false)
    );
}

#[test]
fn uses_the_conservative_value_if_a_version_is_missing_or_unreadable() {
    let safe = with(&[(class(), Value::Idempotency(Idempotency::Idempotent))]);
    let mut history = history(&[safe]);
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
    assert_eq!(history.newest(), 2, "it is retained all the same");
}

#[test]
fn commits_a_proposal_once_and_on_its_base_only() {
    let mut history = history(&[FleetSettings::default()]);
    let settings = with(&[(Key::Hedging, Value::Flag(false))]);
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
    let wrong = settings
        .insert(Key::MaxAttempts, Value::Count(0))
        .expect_err("no attempts");
    assert!(wrong.to_string().contains("limits.attempts"), "{wrong}");
    settings
        .insert(class(), Value::Idempotency(Idempotency::Keyed(0)))
        .expect("validated as a whole");
    settings
        .insert(
            Key::ZoneOrder,
            Value::Names(vec!["a".to_owned(), "a".to_owned()]),
        )
        .expect("as well");
    assert_eq!(settings.validate().len(), 2, "{:?}", settings.validate());
    assert!(FleetSettings::from_json(&settings.to_json()).is_err());
    assert!(
        FleetSettings::from_json("[[\"hedges\",{\"is\":true}],[\"hedges\",{\"is\":false}]]")
            .is_err(),
        "duplicate"
    );
}

#[test]
fn drops_the_oldest_versions_and_merges_what_is_retained() {
    let all: Vec<FleetSettings> = (0..MAX_VERSIONS as u32 + 20)
        .map(|n| with(&[(Key::MaxAttempts, Value::Count(n % 16 + 1))]))
        .collect();
    let full = history(&all);
    assert_eq!(full.iter().count(), MAX_VERSIONS);
    let mut away = history(&all[..3]);
    assert!(away.merge(full.versions_after(3, 1 << 20)));
    assert_eq!(away, full);
    // In parts as well; and known versions stay.
    let mut slow = History::default();
    while slow.newest() < full.newest() {
        assert!(slow.merge(full.versions_after(slow.newest(), 200)));
    }
    assert!(!slow.merge(full.versions_after(70, 1 << 20)));
    assert_eq!(slow.newest(), full.newest());
}

fn value() -> impl Strategy<Value = FleetSettings> {
    let repeat = prop_oneof![
        Just(Value::Idempotency(Idempotency::Idempotent)),
        Just(Value::Idempotency(Idempotency::NonIdempotent)),
        (1u64..3).prop_map(|ms| Value::Idempotency(Idempotency::Keyed(ms))),
    ];
    (
        proptest::option::of(repeat),
        proptest::option::of(1u32..4),
        proptest::option::of(any::<bool>()),
    )
        .prop_map(|(repeat, attempts, out)| {
            let mut settings = FleetSettings::default();
            repeat.map(|value| settings.insert(class(), value));
            attempts.map(|count| settings.insert(Key::MaxAttempts, Value::Count(count)));
            out.map(|is| settings.insert(Key::EjectedBackend("b".to_owned()), Value::Flag(is)));
            settings
        })
}

proptest! {
    /// Two nodes with leases whose candidate versions overlap never use different values, except for the conservative one.
    #[test]
    fn nodes_with_a_common_candidate_version_do_not_conflict(all in proptest::collection::vec(value(), 1..6), a in 0u64..6, b in 0u64..6, c in 0u64..6, d in 0u64..6) {
        let history = history(&all);
        let last = all.len() as u64;
        let range = |x: u64, y: u64| (x.min(y).min(last), x.max(y).min(last));
        let ((from, to), (since, until)) = (range(a, b), range(c, d));
        prop_assume!(from <= until && since <= to);
        for key in [class(), Key::MaxAttempts, Key::EjectedBackend("b".to_owned())] {
            let one = history.effective_value(status(from, to, true), &key);
            let other = history.effective_value(status(since, until, true), &key);
            prop_assert!(one.conservative || other.conservative || one.value == other.value, "{key}: {one:?} {other:?}");
            for reading in [one, other] {
                prop_assert!(!reading.conservative || Some(reading.value) == key.conservative_value());
            }
        }
    }

    #[test]
    fn rules_are_read_as_they_were_written(settings in value()) {
        prop_assert_eq!(FleetSettings::from_json(&settings.to_json()).map_err(|e| e.to_string()), Ok(settings));
    }

    #[test]
    fn differences_are_symmetric(one in value(), other in value()) {
        let (there, back) = (differences(&one, &other), differences(&other, &one));
        prop_assert_eq!(there.len(), back.len());
        prop_assert!(there.iter().zip(&back).all(|(t, b)| t.key == b.key && t.from == b.to && t.conflicts == b.conflicts));
        prop_assert!(one != other || there.is_empty());
    }
}
