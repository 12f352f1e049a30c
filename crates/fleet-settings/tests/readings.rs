//! What is read of a key that several versions name, or none, or that nobody may act on.

use proptest::prelude::*;
use sillward_fleet_settings::{
    History, Key, MOST_KEPT, Repeat, Rules, Standing, Taken, Value, Version, differences,
};

fn class() -> Key {
    Key::Repeat("tally-correct".to_owned())
}

fn with(values: &[(Key, Value)]) -> Rules {
    let mut rules = Rules::default();
    values
        .iter()
        .for_each(|(key, value)| rules.put(key.clone(), value.clone()).expect("a value"));
    rules
}

fn version(id: u64, rules: &Rules) -> Version {
    Version {
        number: 0,
        id,
        author: "a".to_owned(),
        why: "w".to_owned(),
        rules: rules.text(),
    }
}

fn history(all: &[Rules]) -> History {
    let mut history = History::default();
    for (base, rules) in all.iter().enumerate() {
        assert_eq!(
            history.take(base as u64, version(base as u64 + 1, rules)),
            Taken::New(base as u64 + 1)
        );
    }
    history
}

fn standing(force: u64, newest: u64, right: bool) -> Standing {
    Standing {
        force,
        newest,
        right,
    }
}

#[test]
fn until_a_version_is_in_force_the_careful_value_holds_for_what_it_changes_alone() {
    let safe = with(&[
        (class(), Value::Repeat(Repeat::Safe)),
        (Key::Attempts, Value::Count(3)),
    ]);
    let keyed = with(&[
        (class(), Value::Repeat(Repeat::Keyed(900))),
        (Key::Attempts, Value::Count(3)),
    ]);
    let history = history(&[safe, keyed]);
    let read = |standing, key: &Key| history.reading(standing, key);
    let between = read(standing(1, 2, true), &class());
    assert_eq!(
        (between.value, between.careful),
        (Value::Repeat(Repeat::Unsafe), true)
    );
    let same = read(standing(1, 2, true), &Key::Attempts);
    assert_eq!(
        (same.value, same.careful, same.version),
        (Value::Count(3), false, 2)
    );
    let after = read(standing(2, 2, true), &class());
    assert_eq!(
        (after.value, after.careful),
        (Value::Repeat(Repeat::Keyed(900)), false)
    );
    // Who may not act knows of no key that it is still so.
    let without = read(standing(2, 2, false), &Key::Attempts);
    assert_eq!((without.value, without.careful), (Value::Count(1), true));
}

#[test]
fn what_takes_no_effect_twice_holds_at_once() {
    let aim = Key::Aim("tally-read".to_owned());
    let history = history(&[
        with(&[(aim.clone(), Value::Ms(40))]),
        with(&[(aim.clone(), Value::Ms(60))]),
    ]);
    let reading = history.reading(standing(0, 2, false), &aim);
    assert_eq!((reading.value, reading.careful), (Value::Ms(60), false));
}

#[test]
fn whoever_any_version_in_doubt_takes_out_is_out() {
    let out = Key::Out("00000000000000a1".to_owned());
    let listed = with(&[(out.clone(), Value::Is(true))]);
    let history = history(&[listed, Rules::default()]);
    assert_eq!(
        history.reading(standing(1, 2, true), &out).value,
        Value::Is(true)
    );
    assert_eq!(
        history.reading(standing(2, 2, true), &out).value,
        Value::Is(false)
    );
    // And nobody is held out for a list that may be, or nobody would be served.
    let other = Key::Out("00000000000000b2".to_owned());
    assert_eq!(
        history.reading(standing(1, 2, false), &other).value,
        Value::Is(false)
    );
}

#[test]
fn a_version_that_is_not_there_or_can_not_be_read_makes_careful() {
    let safe = with(&[(class(), Value::Repeat(Repeat::Safe))]);
    let mut history = history(&[safe]);
    assert!(
        history.reading(standing(1, 2, true), &class()).careful,
        "version 2 is not here yet"
    );
    let newer = r#"[[{"a_key_of_tomorrow":"x"},{"is":true}]]"#;
    assert!(history.learn(Version {
        number: 2,
        id: 9,
        rules: newer.to_owned(),
        ..Version {
            number: 2,
            id: 9,
            author: String::new(),
            why: String::new(),
            rules: String::new()
        }
    }));
    assert!(
        history.reading(standing(2, 2, true), &class()).careful,
        "version 2 can't be read here"
    );
    assert_eq!(
        history.newest(),
        2,
        "it is kept all the same, and handed on"
    );
}

#[test]
fn a_proposal_is_there_once_and_on_its_base_alone() {
    let mut history = history(&[Rules::default()]);
    let rules = with(&[(Key::Hedges, Value::Is(false))]);
    assert_eq!(history.take(1, version(7, &rules)), Taken::New(2));
    assert_eq!(history.take(1, version(7, &rules)), Taken::Already(2));
    assert_eq!(history.take(1, version(8, &rules)), Taken::Stale(2));
    assert_eq!(history.take(2, version(7, &rules)), Taken::Already(2));
}

#[test]
fn what_is_wrong_is_told_with_its_key() {
    let mut rules = Rules::default();
    let wrong = rules
        .put(Key::Attempts, Value::Count(0))
        .expect_err("no attempts");
    assert!(wrong.contains("limits.attempts"), "{wrong}");
    rules
        .put(class(), Value::Repeat(Repeat::Keyed(0)))
        .expect("looked at as a whole");
    rules
        .put(
            Key::Zones,
            Value::Names(vec!["a".to_owned(), "a".to_owned()]),
        )
        .expect("as well");
    assert_eq!(rules.faults().len(), 2, "{:?}", rules.faults());
    assert!(Rules::read(&rules.text()).is_err());
    assert!(
        Rules::read("[[\"hedges\",{\"is\":true}],[\"hedges\",{\"is\":false}]]").is_err(),
        "twice"
    );
}

#[test]
fn the_oldest_are_let_go_and_who_was_away_takes_what_is_left() {
    let all: Vec<Rules> = (0..MOST_KEPT as u32 + 20)
        .map(|n| with(&[(Key::Attempts, Value::Count(n % 16 + 1))]))
        .collect();
    let full = history(&all);
    assert_eq!(full.iter().count(), MOST_KEPT);
    let mut away = history(&all[..3]);
    assert!(away.catch_up(full.after(3, 1 << 20)));
    assert_eq!(away, full);
    // In pieces, too; and nothing that is known is taken back.
    let mut slow = History::default();
    while slow.newest() < full.newest() {
        assert!(slow.catch_up(full.after(slow.newest(), 200)));
    }
    assert!(!slow.catch_up(full.after(70, 1 << 20)));
    assert_eq!(slow.newest(), full.newest());
}

fn value() -> impl Strategy<Value = Rules> {
    let repeat = prop_oneof![
        Just(Value::Repeat(Repeat::Safe)),
        Just(Value::Repeat(Repeat::Unsafe)),
        (1u64..3).prop_map(|ms| Value::Repeat(Repeat::Keyed(ms))),
    ];
    (
        proptest::option::of(repeat),
        proptest::option::of(1u32..4),
        proptest::option::of(any::<bool>()),
    )
        .prop_map(|(repeat, attempts, out)| {
            let mut rules = Rules::default();
            repeat.map(|value| rules.put(class(), value));
            attempts.map(|count| rules.put(Key::Attempts, Value::Count(count)));
            out.map(|is| rules.put(Key::Out("b".to_owned()), Value::Is(is)));
            rules
        })
}

proptest! {
    /// Two nodes with rights whose versions overlap never act on values that differ, but for the careful one.
    #[test]
    fn who_considers_a_common_version_agrees(all in proptest::collection::vec(value(), 1..6), a in 0u64..6, b in 0u64..6, c in 0u64..6, d in 0u64..6) {
        let history = history(&all);
        let last = all.len() as u64;
        let range = |x: u64, y: u64| (x.min(y).min(last), x.max(y).min(last));
        let ((from, to), (since, until)) = (range(a, b), range(c, d));
        prop_assume!(from <= until && since <= to);
        for key in [class(), Key::Attempts, Key::Out("b".to_owned())] {
            let one = history.reading(standing(from, to, true), &key);
            let other = history.reading(standing(since, until, true), &key);
            prop_assert!(one.careful || other.careful || one.value == other.value, "{key}: {one:?} {other:?}");
            for reading in [one, other] {
                prop_assert!(!reading.careful || Some(reading.value) == key.careful());
            }
        }
    }

    #[test]
    fn rules_are_read_as_they_were_written(rules in value()) {
        prop_assert_eq!(Rules::read(&rules.text()), Ok(rules));
    }

    #[test]
    fn a_difference_is_told_both_ways(one in value(), other in value()) {
        let (there, back) = (differences(&one, &other), differences(&other, &one));
        prop_assert_eq!(there.len(), back.len());
        prop_assert!(there.iter().zip(&back).all(|(t, b)| t.key == b.key && t.from == b.to && t.contradicts == b.contradicts));
        prop_assert!(one != other || there.is_empty());
    }
}
