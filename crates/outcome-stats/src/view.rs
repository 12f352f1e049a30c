//! What a node reads from the words of all: sums and judgements with an age, a weight and how wrong they may be.
//!
//! Words that one node told say what that node saw, or lies: no node counts for more than a stated share of anything that is
//! read here, whatever it tells.

use crate::board::{Board, Word};
use crate::counts::{Backend, Cell, Class, Counts, Tally};
use crate::sketch::Sketch;
use crate::terms::{Plant, Sum};
use sillward_membership::{Incarnation, Name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Of a sum, no node counts for more than all others together: one that truly sees half of the traffic still counts whole.
pub const MOST_OF_SUM: f64 = 0.5;
/// Of a judgement over backends, no node counts for more than this share, where enough others judge.
pub const MOST_OF_JUDGEMENT: f64 = 0.2;
/// Two in three estimates lie within one deviation, 19 in 20 within two.
const DEVIATIONS: f64 = 2.0;

/// How far a reading can be trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Members that live, this node among them.
    pub living: usize,
    /// Of these, those whose words are read.
    pub heard: usize,
    /// Those that are read, each by how fresh its word is, over all that live: 1 if all were just heard.
    pub weight: f64,
    /// The age of the words that are read, by their weights.
    pub age: Duration,
    /// The oldest that is read.
    pub oldest: Duration,
}

/// What clients ask of the whole fleet, calls a second, and by how much each may be wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Calls that are no repeats.
    pub first: f64,
    /// Callers' repeats.
    pub again: f64,
    /// Calls turned away by nodes.
    pub shed: f64,
    /// Attempts sent, and those that ended in time.
    pub sent: f64,
    /// See there.
    pub in_time: f64,
    /// The most by which `first` and `again` together are wrong, in 19 of 20 readings.
    pub error: f64,
}

/// How a class fares at a backend, as all see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Judged {
    /// Attempts a second, of all nodes.
    pub sent: f64,
    /// Of those that ended: in time, and failed in any way but late or turned away. Each node's share is capped.
    pub in_time: f64,
    /// See there.
    pub failed: f64,
    /// Attempts that this rests on, after caps and weights: what a prior's pseudo-counts stand against.
    pub rests_on: f64,
    /// Who judges: nodes of this one's group, and groups.
    pub judges: usize,
    /// How long those took that were served.
    pub times: Sketch,
}

/// What is read at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// How far it can be trusted.
    pub share: Share,
    /// By class.
    pub demand: BTreeMap<Class, Demand>,
    /// By backend and class.
    pub judged: BTreeMap<Cell, Judged>,
}

/// What is known at one node: the words of its group's nodes, if it goes by those, and the sums of groups.
pub(crate) struct Known<'a> {
    pub board: &'a Board<(Name, Incarnation)>,
    pub mates: &'a BTreeMap<Name, Incarnation>,
    pub sums: &'a Board<Sum>,
    pub group: Option<u32>,
}

/// What one node told, its lives together: a restart neither doubles what it asks nor loses what its last life had closed. Or
/// what a group's speakers told, the middle of it.
struct Part {
    counts: Counts,
    span: f64,
    age: f64,
    weight: f64,
    /// For how many nodes it stands, and the share of what is asked that the largest of them is asked.
    nodes: f64,
    largest: f64,
}

/// How much a word of that age counts: whole while it is fresh, nothing once it is too old, in between by a straight line, so
/// that nothing jumps when words stop coming.
fn weight(age: f64, fresh: f64, oldest: f64) -> f64 {
    ((oldest - age) / (oldest - fresh).max(1e-9)).clamp(0.0, 1.0)
}

/// Weights cut so that none has more than `most` of their sum, where there are enough of them to share the rest.
pub(crate) fn capped(weights: &[f64], most: f64) -> Vec<f64> {
    let mut out = weights.to_vec();
    let room = most * weights.iter().filter(|weight| **weight > 0.0).count() as f64;
    if room < 1.0 {
        return out; // so few that they can't all be under it
    }
    // The largest are cut to one height: the one at which they have just their share of the sum.
    let mut order: Vec<usize> = (0..out.len()).collect();
    order.sort_by(|a, b| out[*b].total_cmp(&out[*a]));
    let mut rest: f64 = out.iter().sum();
    for (cut, at) in order.iter().enumerate() {
        let share = 1.0 - most * cut as f64;
        if share <= 0.0 {
            break;
        }
        if out[*at] <= most * rest / share {
            let height = most * rest / share;
            for other in order.iter().take(cut) {
                out[*other] = height;
            }
            break;
        }
        rest -= out[*at];
    }
    out
}

/// What the nodes of a group told, one part a node.
fn parts(
    board: &Board<(Name, Incarnation)>,
    mates: &BTreeMap<Name, Incarnation>,
    now: Duration,
    (fresh, oldest): (f64, f64),
    plant: Option<Plant>,
) -> Vec<Part> {
    let mut nodes: BTreeMap<&Name, Part> = BTreeMap::new();
    let mut words: Vec<_> = board
        .iter()
        .filter(|((name, _), _)| mates.contains_key(name))
        .collect();
    // The newest life first: its age is the node's.
    words.sort_by(|((a, life), _), ((b, other), _)| (a, other).cmp(&(b, life)));
    for ((name, _), word) in words {
        let Some(part) = part(&[word], now, (fresh, oldest), plant) else {
            continue;
        };
        match nodes.get_mut(name) {
            None => drop(nodes.insert(name, part)),
            Some(node) => {
                node.counts.merge(&part.counts);
                node.span += if plant == Some(Plant::DoubleCount) {
                    0.0
                } else {
                    part.span
                };
            }
        }
    }
    nodes.into_values().collect()
}

/// One part of words that say the same thing: a node's, or a group's by its speakers. `None` if all are too old.
fn part(
    words: &[&Word],
    now: Duration,
    (fresh, oldest): (f64, f64),
    plant: Option<Plant>,
) -> Option<Part> {
    let age = |word: &Word| {
        if plant == Some(Plant::StaleAsFresh) {
            0.0
        } else {
            word.age(now).as_secs_f64()
        }
    };
    let good: Vec<&&Word> = words
        .iter()
        .filter(|word| age(word) < oldest && !word.span.is_zero())
        .collect();
    let count = good.len() as f64;
    let first = good.first()?;
    let span = first.span.as_secs_f64();
    let same: Vec<Counts> = match good.as_slice() {
        [_] => Vec::new(),
        several => several
            .iter()
            .map(|word| word.counts.scaled(span / word.span.as_secs_f64()))
            .collect(),
    };
    let counts = if same.is_empty() {
        (*first.counts).clone()
    } else {
        Counts::middle(&same.iter().collect::<Vec<_>>())
    };
    let mean = |of: &dyn Fn(&Word) -> f64| good.iter().map(|word| of(word)).sum::<f64>() / count;
    let mut largest: Vec<f64> = good.iter().map(|word| word.largest).collect();
    largest.sort_by(f64::total_cmp);
    let age = mean(&|word| age(word));
    Some(Part {
        counts,
        span,
        age,
        weight: weight(age, fresh, oldest),
        nodes: mean(&|word| word.heard),
        largest: largest[(largest.len() - 1) / 2],
    })
}

/// A group's sum, as one of its nodes tells it to the others.
pub(crate) struct Summed {
    pub counts: Counts,
    pub age: Duration,
    pub heard: f64,
    pub largest: f64,
}

/// Sums up what the nodes of a group told, over that span; `None` if there is nothing.
pub(crate) fn sum(
    board: &Board<(Name, Incarnation)>,
    mates: &BTreeMap<Name, Incarnation>,
    now: Duration,
    span: Duration,
    fresh: Duration,
    oldest: Duration,
) -> Option<Summed> {
    let parts = parts(
        board,
        mates,
        now,
        (fresh.as_secs_f64(), oldest.as_secs_f64()),
        None,
    );
    let (mut counts, mut heard, mut aged, mut largest) = (Counts::default(), 0.0, 0.0, 0.0f64);
    for part in &parts {
        let by = part.weight * span.as_secs_f64() / part.span;
        counts.merge(&part.counts.scaled(by));
        heard += part.weight;
        aged += part.weight * part.age;
        largest = largest.max(part.counts.calls() as f64 * by);
    }
    let largest = largest / (counts.calls() as f64).max(1.0);
    let age = Duration::from_secs_f64(aged / heard.max(1e-9));
    (heard > 0.0).then_some(Summed {
        counts,
        age,
        heard,
        largest: largest.min(1.0),
    })
}

/// Reads the words at `now`. `living` are the members that live, with this node; `drift` is by how much of itself what is asked
/// changes in a second.
pub(crate) fn read(
    known: &Known<'_>,
    living: &BTreeMap<Name, Incarnation>,
    now: Duration,
    (fresh, oldest): (Duration, Duration),
    drift: f64,
    plant: Option<Plant>,
) -> View {
    let times = (fresh.as_secs_f64(), oldest.as_secs_f64());
    let mut parts = match known.group {
        Some(_) => parts(known.board, known.mates, now, times, plant),
        None => Vec::new(),
    };
    let mut groups: BTreeMap<u32, Vec<&Word>> = BTreeMap::new();
    for ((_, group, ..), word) in known
        .sums
        .iter()
        .filter(|((_, group, ..), _)| known.group != Some(*group))
    {
        groups.entry(*group).or_default().push(word);
    }
    parts.extend(
        groups
            .values()
            .filter_map(|words| part(words, now, times, plant)),
    );
    let all = living.len().max(1) as f64;
    let by = |of: &dyn Fn(&Part) -> f64| {
        parts
            .iter()
            .map(|part| part.weight * part.nodes * of(part))
            .sum::<f64>()
    };
    let weights = by(&|_| 1.0).min(all);
    let share = Share {
        living: living.len(),
        heard: parts.iter().map(|part| part.nodes).sum::<f64>().round() as usize,
        weight: weights / all,
        age: Duration::from_secs_f64(by(&|part| part.age) / weights.max(1e-9)),
        oldest: Duration::from_secs_f64(parts.iter().map(|part| part.age).fold(0.0, f64::max)),
    };
    // What a word says is of the middle of its windows.
    let age = share.age.as_secs_f64() + by(&|part| part.span) / weights.max(1e-9) / 2.0;
    let lies = plant == Some(Plant::BelieveLiar);
    View {
        demand: demand(&parts, all, weights, (age, drift), lies),
        judged: judged(&parts, all, weights, lies),
        share,
    }
}

/// What a part says of a class: what is asked, turned away, sent and in time, a second.
struct Rates {
    weight: f64,
    nodes: f64,
    largest: f64,
    rates: [f64; 5],
}

fn demand(
    parts: &[Part],
    all: f64,
    weights: f64,
    (age, drift): (f64, f64),
    lies: bool,
) -> BTreeMap<Class, Demand> {
    let mut classes: BTreeMap<Class, Vec<Rates>> = BTreeMap::new();
    for part in parts {
        let mut own: BTreeMap<Class, [f64; 5]> = BTreeMap::new();
        for (class, asked) in &part.counts.asked {
            let rates = own.entry(*class).or_default();
            rates[0] += f64::from(asked.first) / part.span;
            rates[1] += f64::from(asked.again) / part.span;
            rates[2] += f64::from(asked.shed) / part.span;
        }
        for (cell, tally) in &part.counts.cells {
            let rates = own.entry(cell.class).or_default();
            rates[3] += f64::from(tally.sent) / part.span;
            rates[4] += f64::from(tally.in_time) / part.span;
        }
        for (class, rates) in own {
            let Part {
                weight,
                nodes,
                largest,
                ..
            } = *part;
            classes.entry(class).or_default().push(Rates {
                weight,
                nodes,
                largest,
                rates,
            });
        }
    }
    let read = |told: Vec<Rates>| class_demand(told, all, weights, (age, drift), lies);
    classes
        .into_iter()
        .map(|(class, told)| (class, read(told)))
        .collect()
}

fn class_demand(
    mut told: Vec<Rates>,
    all: f64,
    weights: f64,
    (age, drift): (f64, f64),
    lies: bool,
) -> Demand {
    // What a node says it is asked is cut to what all others say together; the rest of its rates with it. The largest of a
    // group stands beside the rest of it.
    let asked = |told: &Rates| told.weight * (told.rates[0] + told.rates[1]);
    let each: Vec<f64> = told
        .iter()
        .flat_map(|told| match told.nodes > 1.0 {
            true => [
                asked(told) * (1.0 - told.largest),
                asked(told) * told.largest,
            ],
            false => [asked(told), 0.0],
        })
        .collect();
    let cut = if lies {
        each.clone()
    } else {
        capped(&each, MOST_OF_SUM)
    };
    for (told, cut) in told.iter_mut().zip(cut.chunks(2)) {
        let before = asked(told);
        let by = if before > 0.0 {
            cut.iter().sum::<f64>() / before
        } else {
            1.0
        };
        told.rates.iter_mut().for_each(|rate| *rate *= by);
    }
    let scale = all / weights.max(1e-9);
    let sum = |at: usize| {
        told.iter()
            .map(|told| told.weight * told.rates[at])
            .sum::<f64>()
            * scale
    };
    let total = sum(0) + sum(1);
    // Those that are not heard are like the others, or not: by how far the others differ from each other.
    let mean = cut.iter().sum::<f64>() / weights.max(1e-9);
    let silent = (weights
        - told
            .iter()
            .map(|told| told.weight * told.nodes)
            .sum::<f64>())
    .max(0.0);
    let spread = |told: &Rates| {
        let (asked, others) = (told.rates[0] + told.rates[1], (told.nodes - 1.0).max(0.0));
        let largest = if others > 0.0 {
            asked * told.largest
        } else {
            asked
        };
        let rest = if others > 0.0 {
            (asked - largest) / others
        } else {
            0.0
        };
        told.weight * ((largest - mean).powi(2) + others * (rest - mean).powi(2))
    };
    let spread: f64 = told.iter().map(spread).sum::<f64>() + silent * mean * mean;
    let deviation = (spread / weights.max(1e-9)).sqrt();
    let unheard = (all - weights).max(0.0);
    let missing = unheard * deviation / weights.max(1.0).sqrt() + deviation * unheard.sqrt();
    let stale = total * (1.0 - (-drift * age).exp());
    // A count of few is off by chance alone.
    let chance = total.max(0.0).sqrt();
    let error = DEVIATIONS * (missing + chance) + stale;
    Demand {
        first: sum(0),
        again: sum(1),
        shed: sum(2),
        sent: sum(3),
        in_time: sum(4),
        error,
    }
}

fn judged(parts: &[Part], all: f64, weights: f64, lies: bool) -> BTreeMap<Cell, Judged> {
    let mut cells: BTreeMap<Cell, Vec<(&Part, &Tally)>> = BTreeMap::new();
    for part in parts {
        for (cell, tally) in part
            .counts
            .cells
            .iter()
            .filter(|(cell, _)| cell.backend != Backend::OTHERS)
        {
            cells.entry(*cell).or_default().push((part, tally));
        }
    }
    let scale = all / weights.max(1e-9);
    let read = |told: Vec<(&Part, &Tally)>| {
        let sent = told
            .iter()
            .map(|(part, tally)| part.weight * f64::from(tally.sent) / part.span);
        let weights: Vec<f64> = told
            .iter()
            .map(|(part, tally)| part.weight * tally.ended() as f64)
            .collect();
        let weights = if lies {
            weights
        } else {
            capped(&weights, MOST_OF_JUDGEMENT)
        };
        let rests_on: f64 = weights.iter().sum();
        let share = |of: fn(&Tally) -> u32| {
            let parts = told.iter().zip(&weights).map(|((_, tally), weight)| {
                weight * f64::from(of(tally)) / (tally.ended() as f64).max(1.0)
            });
            parts.sum::<f64>() / rests_on.max(1e-9)
        };
        let mut times = Sketch::default();
        told.iter().for_each(|(_, tally)| times.merge(&tally.times));
        Judged {
            sent: sent.sum::<f64>() * scale,
            in_time: share(|tally| tally.in_time),
            failed: share(|tally| tally.failed),
            rests_on,
            judges: told.len(),
            times,
        }
    };
    cells
        .into_iter()
        .map(|(cell, told)| (cell, read(told)))
        .collect()
}
