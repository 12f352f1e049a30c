//! What ran where, and what callers were told of it: the checks of the rules, on what peers saw alone.

use crate::tally::End;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

/// How far a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Safe,
    /// By its key, within its group.
    Keyed,
    Unsafe,
    /// Unsafe, and nobody waits for it.
    Oneway,
}

#[derive(Default)]
struct Entry {
    repeat: Option<Repeat>,
    /// The groups in which it took effect, once for each time.
    effects: Vec<usize>,
    /// Answers, and how far each came after the deadline.
    answers: Vec<(End, Duration)>,
    /// Its caller saw an answer that was another's.
    foreign: bool,
}

/// The ledger of a run. Calls are known by their sheet, which no two share.
#[derive(Default)]
pub struct Ledger {
    entries: Mutex<BTreeMap<String, Entry>>,
}

/// What a ledger comes to.
#[derive(Debug, Default)]
pub struct Verdict {
    pub calls: usize,
    pub ends: BTreeMap<End, usize>,
    pub oneway: usize,
    pub oneway_ran: usize,
    pub latest: Duration,
    /// Each breach of a rule, in words.
    pub breaches: Vec<String>,
}

/// So late may an answer be with its caller, whose thread may have to wait for a core.
const LATE: Duration = Duration::from_millis(150);

impl Ledger {
    fn entry<T>(&self, sheet: &str, act: impl FnOnce(&mut Entry) -> T) -> T {
        let mut entries = self.entries.lock().expect("the ledger");
        act(entries.entry(sheet.to_owned()).or_default())
    }

    /// A caller begins a call.
    pub fn begins(&self, sheet: &str, repeat: Repeat) {
        self.entry(sheet, |entry| entry.repeat = Some(repeat));
    }

    /// A backend of that group lets the call take effect. A keyed one does so once in its group, as the backends of
    /// a group share what they have seen: returns whether it did.
    pub fn runs(&self, sheet: &str, group: usize) -> bool {
        self.entry(sheet, |entry| {
            let known = entry.repeat == Some(Repeat::Keyed) && entry.effects.contains(&group);
            if !known {
                entry.effects.push(group);
            }
            !known
        })
    }

    /// A caller has its answer, so long after its deadline; `own` if it was made for this call.
    pub fn ends(&self, sheet: &str, end: End, late: Duration, own: bool) {
        self.entry(sheet, |entry| {
            entry.answers.push((end, late));
            entry.foreign |= !own;
        });
    }

    /// Checks the whole run.
    pub fn verdict(&self) -> Verdict {
        let mut verdict = Verdict::default();
        for (sheet, entry) in self.entries.lock().expect("the ledger").iter() {
            let Some(repeat) = entry.repeat else {
                verdict
                    .breaches
                    .push(format!("{sheet} ran and nobody called it"));
                continue;
            };
            let mut breach = |what: String| {
                verdict
                    .breaches
                    .push(format!("{sheet} ({repeat:?}): {what}"))
            };
            let effects = entry.effects.len();
            if repeat == Repeat::Oneway {
                verdict.oneway += 1;
                verdict.oneway_ran += usize::from(effects > 0);
                if effects > 1 {
                    breach(format!("took effect {effects} times"));
                }
                continue;
            }
            verdict.calls += 1;
            match entry.answers[..] {
                [] => breach("no answer".to_owned()),
                [(end, late)] => {
                    *verdict.ends.entry(end).or_default() += 1;
                    verdict.latest = verdict.latest.max(late);
                    if late > LATE {
                        breach(format!("answered {late:?} after its deadline"));
                    }
                    if end == End::Served && effects == 0 {
                        breach("served, and took no effect".to_owned());
                    }
                    if end == End::Refused && effects > 0 && repeat != Repeat::Safe {
                        breach("refused, and took effect".to_owned());
                    }
                }
                [..] => breach(format!("{} answers", entry.answers.len())),
            }
            if entry.foreign {
                breach("an answer that was another's".to_owned());
            }
            if repeat != Repeat::Safe && effects > 1 {
                breach(format!("took effect {effects} times"));
            }
        }
        verdict
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn breaches(calls: impl Fn(&Ledger)) -> usize {
        let ledger = Ledger::default();
        calls(&ledger);
        ledger.verdict().breaches.len()
    }

    #[test]
    fn each_breach_is_found_and_nothing_else_is_one() {
        let none = Duration::ZERO;
        let one = |repeat, groups: &[usize], end| {
            breaches(|ledger| {
                ledger.begins("a", repeat);
                groups
                    .iter()
                    .for_each(|group| assert!(ledger.runs("a", *group) || repeat == Repeat::Keyed));
                ledger.ends("a", end, none, true);
            })
        };
        assert_eq!(one(Repeat::Unsafe, &[0], End::Served), 0);
        assert_eq!(one(Repeat::Unsafe, &[0], End::Failed), 0);
        assert_eq!(one(Repeat::Unsafe, &[], End::Refused), 0);
        assert_eq!(one(Repeat::Safe, &[0, 1], End::Served), 0);
        assert_eq!(one(Repeat::Keyed, &[0, 0], End::Served), 0);
        assert_eq!(one(Repeat::Keyed, &[0, 1], End::Served), 1);
        assert_eq!(one(Repeat::Unsafe, &[0, 0], End::Served), 1);
        assert_eq!(one(Repeat::Unsafe, &[0], End::Refused), 1);
        assert_eq!(one(Repeat::Unsafe, &[], End::Served), 1);
        assert_eq!(
            breaches(|ledger| ledger.begins("a", Repeat::Safe)),
            1,
            "no answer"
        );
        assert_eq!(
            breaches(|ledger| assert!(ledger.runs("a", 0))),
            1,
            "called by nobody"
        );
        let answered = |late, own, times: usize| {
            breaches(|ledger| {
                ledger.begins("a", Repeat::Safe);
                (0..times).for_each(|_| ledger.ends("a", End::Failed, late, own));
            })
        };
        assert_eq!(answered(none, true, 1), 0);
        assert_eq!(answered(LATE * 2, true, 1), 1);
        assert_eq!(answered(none, false, 1), 1);
        assert_eq!(answered(none, true, 2), 1);
        let oneway = |times: usize| {
            breaches(|ledger| {
                ledger.begins("a", Repeat::Oneway);
                (0..times).for_each(|_| assert!(ledger.runs("a", 0)));
            })
        };
        assert_eq!((oneway(0), oneway(1), oneway(2)), (0, 0, 1));
    }
}
