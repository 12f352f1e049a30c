//! What sources say and what it comes to: pairs of words, random histories against a plain model, and the guard.

use proptest::prelude::*;
use sillward_balancer::{Endpoint, ServerId, ServerState};
use sillward_endpoints::{Guard, Line, Membership, Standing};
use std::collections::BTreeMap;
use std::time::Duration;

const ROSTER: usize = 0;
const ETCD: usize = 1;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn line(id: u64, state: ServerState, started: Option<u64>, port: u16) -> Line {
    let entry = Endpoint {
        id: ServerId(id),
        state,
        started_at: started.map(at),
        ..Endpoint::default()
    };
    Line {
        entry,
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn two() -> Membership {
    Membership::new(&[("roster", None), ("etcd", Some(Guard::default()))])
}

fn state(membership: &Membership, id: u64) -> Option<ServerState> {
    membership
        .lines()
        .find(|line| line.entry.id == ServerId(id))
        .map(|line| line.entry.state)
}

use ServerState::{Draining, Ready, Removed};

/// Every pair of words, in both orders, with the same run, an older and a newer one, and with no start time at one of
/// them. `None`: the source never lists it.
#[test]
fn every_pair_of_words() {
    let words = [None, Some(Ready), Some(Draining), Some(Removed)];
    let runs = [
        (Some(5), Some(5)),
        (Some(5), Some(9)),
        (Some(9), Some(5)),
        (None, Some(5)),
        (Some(5), None),
    ];
    let mut cases = 0;
    for (first, second) in words
        .iter()
        .flat_map(|a| words.iter().map(move |b| (*a, *b)))
    {
        for (run_a, run_b) in runs {
            for order in [[ROSTER, ETCD], [ETCD, ROSTER]] {
                let mut membership = two();
                let said = [(first, run_a), (second, run_b)];
                // Who says anything has listed it before: what nobody lists is forgotten.
                for (source, (state, run)) in order.into_iter().zip(said) {
                    if state.is_some() {
                        membership.tell(source, at(1), &[line(1, Ready, run, 80)]);
                    }
                }
                for (source, (state, run)) in order.into_iter().zip(said) {
                    if let Some(state) = state {
                        membership.tell(source, at(2), &[line(1, state, run, 80)]);
                    }
                }
                let newest = said
                    .iter()
                    .filter(|(s, _)| s.is_some())
                    .filter_map(|(_, run)| *run)
                    .max();
                let live = said
                    .iter()
                    .any(|(s, _)| matches!(s, Some(Ready | Draining)));
                // Without a start time a word is about the newest run that was known when it was said.
                let known = [run_a.or(second.and(run_b)), run_b.or(first.and(run_a))];
                let counts = |i: usize| said[i].0.filter(|s| *s == Ready || known[i] >= newest);
                let strict = [counts(0), counts(1)];
                let expected = if !live || strict.contains(&Some(Removed)) {
                    None
                } else if strict.contains(&Some(Draining)) {
                    Some(Draining)
                } else {
                    Some(Ready)
                };
                assert_eq!(
                    state(&membership, 1),
                    expected,
                    "{first:?} of {run_a:?}, then {second:?} of {run_b:?}, {order:?}"
                );
                cases += 1;
            }
        }
    }
    assert_eq!(cases, 160);
}

/// The roster says ready, etcd says draining; etcd is lost; the roster restarts the backend.
#[test]
fn silence_undoes_nothing_and_a_new_start_does() {
    for started in [None, Some(5)] {
        let mut membership = two();
        membership.tell(ROSTER, at(1), &[line(1, Ready, started, 80)]);
        resync(&mut membership, ETCD, at(2), &[line(1, Ready, started, 80)]);
        let changed = membership.tell(ETCD, at(3), &[line(1, Draining, started, 80)]);
        assert_eq!(changed, [line(1, Draining, started, 80)], "told at once");
        assert_eq!(
            membership.tell(ROSTER, at(4), &[line(1, Ready, started, 80)]),
            [],
            "not taken back"
        );
        assert_eq!(
            membership.tell(ETCD, at(4), &[line(1, Draining, started, 80)]),
            [],
            "and told once"
        );
        assert_eq!(
            membership.said(ServerId(1))[ETCD].map(|said| said.since),
            Some(at(3))
        );
        membership.silent(ETCD);
        assert_eq!(
            (state(&membership, 1), membership.sources()[ETCD].standing),
            (Some(Draining), Standing::Silent)
        );
        assert_eq!(membership.believe(at(1000)), []);
        let changed = membership.tell(ROSTER, at(9), &[line(1, Ready, Some(9), 81)]);
        assert_eq!(
            changed,
            [line(1, Ready, Some(9), 81)],
            "another run, at its new address"
        );
        // etcd returns with what it knew: the old run's word.
        assert_eq!(
            membership.tell(ETCD, at(10), &[line(1, Draining, started, 80)]),
            []
        );
    }
}

#[test]
fn a_word_that_is_said_again_after_a_new_start_counts_for_the_new_run() {
    let mut membership = two();
    membership.tell(ROSTER, at(1), &[line(1, Ready, Some(5), 80)]);
    membership.tell(ETCD, at(1), &[line(1, Draining, None, 80)]);
    membership.tell(ROSTER, at(2), &[line(1, Ready, Some(9), 80)]);
    assert_eq!(state(&membership, 1), Some(Ready));
    membership.tell(ETCD, at(3), &[line(1, Ready, None, 80)]);
    membership.tell(ETCD, at(4), &[line(1, Draining, None, 80)]);
    assert_eq!(state(&membership, 1), Some(Draining));
}

#[test]
fn gone_in_one_source_is_gone_and_is_forgotten_once_nobody_lists_it() {
    let mut membership = two();
    membership.tell(ROSTER, at(1), &[line(1, Ready, None, 80)]);
    membership.tell(ETCD, at(1), &[line(1, Ready, None, 90)]);
    assert_eq!(
        membership.lines().next().map(|line| line.address.port()),
        Some(80),
        "the first source's address"
    );
    assert_eq!(membership.remove(ETCD, at(2), ServerId(1)).len(), 1);
    assert_eq!(
        (
            state(&membership, 1),
            membership.remove(ETCD, at(2), ServerId(1))
        ),
        (None, vec![])
    );
    assert_eq!(
        membership.tell(ROSTER, at(3), &[line(1, Ready, None, 80)]),
        [],
        "the roster lags"
    );
    assert_eq!(
        membership.remove(ROSTER, at(4), ServerId(1)),
        [],
        "that was told before"
    );
    assert_eq!(membership.said(ServerId(1)), [None, None]);
    assert_eq!(
        membership
            .tell(ROSTER, at(5), &[line(1, Ready, None, 80)])
            .len(),
        1,
        "listed anew"
    );
    assert_eq!(
        membership.remove(ETCD, at(6), ServerId(7)),
        [],
        "never listed"
    );
}

fn resync(membership: &mut Membership, source: usize, now: Duration, lines: &[Line]) -> Vec<Line> {
    membership.begin(source, now);
    let mut changed = Vec::new();
    lines
        .chunks(3)
        .for_each(|part| changed.extend(membership.tell(source, now, part)));
    changed.extend(membership.end(source, now));
    changed
}

#[test]
fn a_list_that_shrinks_absurdly_is_held_and_what_was_really_told_is_not() {
    let all: Vec<Line> = (0..10).map(|id| line(id, Ready, None, 80)).collect();
    let mut membership = two();
    assert_eq!(resync(&mut membership, ETCD, at(1), &all).len(), 10);
    // Half of it may go.
    assert_eq!(resync(&mut membership, ETCD, at(2), &all[..5]).len(), 5);
    assert_eq!(resync(&mut membership, ETCD, at(3), &all).len(), 5);
    // More may not, at once; but a drain in the same list is told.
    let mut few = all[..3].to_vec();
    few[1].entry.state = Draining;
    assert_eq!(resync(&mut membership, ETCD, at(10), &few), [few[1]]);
    assert_eq!(
        (membership.lines().count(), membership.sources()[ETCD].held),
        (10, 7)
    );
    // So is a deletion that a watch reports.
    assert_eq!(membership.remove(ETCD, at(11), ServerId(9)).len(), 1);
    // A line that comes back is no longer held.
    assert_eq!(membership.tell(ETCD, at(12), &all[8..9]), []);
    assert_eq!(membership.believe(at(39)), [], "not yet");
    membership.silent(ETCD);
    assert_eq!(
        membership.believe(at(60)),
        [],
        "not from one that is silent"
    );
    assert_eq!(
        resync(
            &mut membership,
            ETCD,
            at(61),
            &[few[0], few[1], few[2], all[8]]
        ),
        []
    );
    assert_eq!(membership.believe(at(61)).len(), 5);
    assert_eq!(membership.lines().count(), 4);
    // An empty list is never believed by time: only deletions empty a list.
    assert_eq!(resync(&mut membership, ETCD, at(70), &[]), []);
    assert_eq!(membership.believe(at(7000)), []);
    assert_eq!(membership.lines().count(), 4);
    assert_eq!(membership.remove(ETCD, at(7001), ServerId(0)).len(), 1);
}

// ---- Random histories against a plain model -----------------------------------------------------

#[derive(Clone, Debug)]
enum Telling {
    Line {
        source: usize,
        id: u64,
        state: u8,
        started: Option<u64>,
    },
    Remove {
        source: usize,
        id: u64,
    },
    Resync {
        source: usize,
        ids: Vec<u64>,
    },
    Silent {
        source: usize,
    },
}

fn telling() -> impl Strategy<Value = Telling> {
    let source = 0..3usize;
    let started = prop_oneof![Just(None), (1..4u64).prop_map(Some)];
    prop_oneof![
        6 => (source.clone(), 0..4u64, 0..3u8, started)
            .prop_map(|(source, id, state, started)| Telling::Line { source, id, state, started }),
        2 => (source.clone(), 0..4u64).prop_map(|(source, id)| Telling::Remove { source, id }),
        1 => (source.clone(), proptest::collection::vec(0..4u64, 0..4))
            .prop_map(|(source, ids)| Telling::Resync { source, ids }),
        1 => source.prop_map(|source| Telling::Silent { source }),
    ]
}

/// A word, its start time, and that of the run it is about.
type Word = (ServerState, Option<u64>, Option<u64>);

/// The plain model: the words, and one look at all of them.
#[derive(Default)]
struct Model(BTreeMap<(u64, usize), Word>);

impl Model {
    fn say(&mut self, source: usize, id: u64, state: ServerState, started: Option<u64>) {
        let of = |words: &BTreeMap<(u64, usize), Word>| {
            (0..3).filter_map(|s| words.get(&(id, s))?.1).max()
        };
        let run = started.or(of(&self.0));
        match self.0.get(&(id, source)) {
            None if state == Removed => return,
            Some(old) if old.0 == state && old.1 == started => {}
            _ => drop(self.0.insert((id, source), (state, started, run))),
        }
        if (0..3).all(|s| self.0.get(&(id, s)).is_none_or(|word| word.0 == Removed)) {
            self.0.retain(|(of, _), _| *of != id);
        }
    }

    fn state(&self, id: u64) -> Option<ServerState> {
        let words: Vec<&Word> = (0..3).filter_map(|s| self.0.get(&(id, s))).collect();
        let newest = words.iter().filter_map(|word| word.1).max();
        let strict = |state| words.iter().any(|word| word.0 == state && word.2 >= newest);
        if words.is_empty() || strict(Removed) {
            None
        } else if strict(Draining) {
            Some(Draining)
        } else {
            Some(Ready)
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn random_histories_come_to_what_a_plain_model_says(history in proptest::collection::vec(telling(), 1..60)) {
        // The guard has tests of its own: here whatever is missing is gone, but for a list that is emptied.
        let guard = Guard { most_percent: 100, least: usize::MAX, hold: Duration::MAX };
        let mut membership = Membership::new(&[("a", Some(guard)), ("b", Some(guard)), ("c", Some(guard))]);
        let mut model = Model::default();
        let mut told: BTreeMap<u64, ServerState> = BTreeMap::new();
        for (i, telling) in history.into_iter().enumerate() {
            let now = at(i as u64);
            let changed = match telling {
                Telling::Line { source, id, state, started } => {
                    let state = [Ready, Draining, Removed][state as usize];
                    model.say(source, id, state, started);
                    membership.tell(source, now, &[line(id, state, started, 80)])
                }
                Telling::Remove { source, id } => {
                    if let Some((_, started, _)) = model.0.get(&(id, source)).copied() {
                        model.say(source, id, Removed, started);
                    }
                    membership.remove(source, now, ServerId(id))
                }
                Telling::Resync { source, ids } => {
                    for id in &ids {
                        model.say(source, *id, Ready, None);
                    }
                    let live = |model: &Model, id| model.0.get(&(id, source)).is_some_and(|word| word.0 != Removed);
                    let missing: Vec<u64> = (0..4).filter(|id| live(&model, *id) && !ids.contains(id)).collect();
                    if !ids.is_empty() {
                        for id in missing {
                            let started = model.0[&(id, source)].1;
                            model.say(source, id, Removed, started);
                        }
                    }
                    let lines: Vec<Line> = ids.iter().map(|id| line(*id, Ready, None, 80)).collect();
                    resync(&mut membership, source, now, &lines)
                }
                Telling::Silent { source } => {
                    membership.silent(source);
                    Vec::new()
                }
            };
            for line in changed {
                match line.entry.state {
                    Removed => drop(told.remove(&line.entry.id.0)),
                    state => drop(told.insert(line.entry.id.0, state)),
                }
            }
            for id in 0..4 {
                let expected = model.state(id);
                prop_assert_eq!(state(&membership, id), expected, "backend {} after {}", id, i);
                prop_assert_eq!(told.get(&id).copied(), expected, "the changes add up to the list");
            }
        }
    }
}
