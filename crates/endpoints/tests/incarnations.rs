//! Which reports count for which incarnation of an endpoint: reports with and without a start time, in each order of the
//! sources, with clocks that differ, and random histories compared with a model that keeps all of them.

use proptest::prelude::*;
use sillward_balancer::{Endpoint, ServerId, ServerState};
use sillward_endpoints::{
    ListedEndpoint, MAX_CLOCK_SKEW, MAX_UNLISTED_ENDPOINTS, MergedEndpoints, RemovalGuard,
    SourceConfig, SourceId,
};
use std::time::Duration;

use ServerState::{Draining, Ready, Removed};

const ROSTER: SourceId = SourceId(0);
const ETCD: SourceId = SourceId(1);
const BOTH: [SourceId; 2] = [ROSTER, ETCD];
const ID: ServerId = ServerId(1);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn listed_as(id: ServerId, state: ServerState, started_at: Option<Duration>) -> ListedEndpoint {
    let endpoint = Endpoint {
        id,
        state,
        started_at,
        ..Endpoint::default()
    };
    ListedEndpoint {
        endpoint,
        address: ([127, 0, 0, 1], 80).into(),
    }
}

fn listed(state: ServerState, started: Option<u64>) -> ListedEndpoint {
    listed_as(ID, state, started.map(at))
}

fn two_sources() -> MergedEndpoints {
    let config = |name: &str, removal_guard| SourceConfig {
        name: name.to_owned(),
        removal_guard,
    };
    let guard = RemovalGuard::default();
    MergedEndpoints::new(vec![config("roster", None), config("etcd", Some(guard))])
}

fn state_of(merged: &MergedEndpoints, id: ServerId) -> ServerState {
    merged
        .endpoints()
        .find(|listed| listed.endpoint.id == id)
        .map_or(Removed, |listed| listed.endpoint.state)
}

fn state(merged: &MergedEndpoints) -> ServerState {
    state_of(merged, ID)
}

fn other(source: SourceId) -> SourceId {
    SourceId(1 - source.0)
}

/// Guards against work for a draining or terminated endpoint whose source told no start time before the other named one.
#[test]
fn a_report_without_a_start_time_counts_whichever_source_is_heard_first() {
    for strict in [Draining, Removed] {
        for source in BOTH {
            for strict_first in [true, false] {
                let mut merged = two_sources();
                let mut reports = [
                    (source, listed(strict, None)),
                    (other(source), listed(Ready, Some(100))),
                ];
                if !strict_first {
                    reports.reverse();
                }
                for (i, (from, report)) in reports.into_iter().enumerate() {
                    merged.update(from, at(5000 + i as u64), &[report]);
                }
                assert_eq!(
                    state(&merged),
                    strict,
                    "{source:?} told {strict:?}, first: {strict_first}"
                );
            }
        }
    }
}

/// Guards against a `terminated` report being dropped where its source had not listed the endpoint before.
#[test]
fn a_removal_that_is_a_sources_first_report_counts_and_is_kept() {
    let mut merged = two_sources();
    assert_eq!(merged.update(ETCD, at(50), &[listed(Removed, None)]), []);
    assert_eq!(merged.update(ROSTER, at(60), &[listed(Ready, None)]), []);
    assert_eq!(state(&merged), Removed);
    merged.update(ETCD, at(70), &[listed(Ready, None)]);
    assert_eq!(state(&merged), Ready, "its source lists it as in service");
}

/// Guards against a removal being undone when the source that reported it is the only one to have listed the endpoint so far.
#[test]
fn a_removal_counts_against_a_source_that_lists_the_endpoint_later() {
    let mut merged = two_sources();
    merged.update(ROSTER, at(50), &[listed(Ready, None)]);
    merged.update(ROSTER, at(51), &[listed(Removed, None)]);
    merged.update(ETCD, at(60), &[listed(Ready, Some(10))]);
    assert_eq!(state(&merged), Removed);
    merged.update(ETCD, at(90), &[listed(Ready, Some(80))]);
    assert_eq!(state(&merged), Ready, "it started after the removal");
}

/// Guards against an omission in one source's list taking back what the other source said.
#[test]
fn a_removal_stays_when_the_other_source_loses_the_endpoint_and_lists_it_again() {
    let mut merged = two_sources();
    for source in BOTH {
        merged.update(source, at(50), &[listed(Ready, None)]);
    }
    merged.remove(ETCD, at(60), ID);
    merged.begin_resync(ROSTER, at(70));
    merged.finish_resync(ROSTER, at(70));
    merged.update(ROSTER, at(80), &[listed(Ready, None)]);
    assert_eq!(state(&merged), Removed);
    merged.update(ETCD, at(90), &[listed(Ready, None)]);
    assert_eq!(state(&merged), Ready);
}

/// Guards against a mark that repeats an earlier one counting for the earlier incarnation.
#[test]
fn a_repeated_report_counts_for_the_incarnation_that_runs_when_it_is_repeated() {
    let mut merged = two_sources();
    merged.update(ROSTER, at(50), &[listed(Ready, Some(10))]);
    merged.update(ETCD, at(60), &[listed(Draining, None)]);
    merged.update(ROSTER, at(100), &[listed(Ready, Some(95))]);
    assert_eq!(state(&merged), Ready, "it started anew");
    merged.update(ETCD, at(110), &[listed(Draining, None)]);
    assert_eq!(state(&merged), Draining, "marked again");
    // A report that names an earlier start time is about that one, however often it is repeated.
    merged.update(ETCD, at(120), &[listed(Draining, Some(10))]);
    assert_eq!(state(&merged), Ready);
    merged.update(ETCD, at(130), &[listed(Draining, Some(10))]);
    assert_eq!(state(&merged), Ready);
}

/// Guards against a drain being taken for one of an earlier incarnation because the clocks of two sources differ.
#[test]
fn start_times_that_differ_by_no_more_than_the_clocks_may_are_of_one_incarnation() {
    let skew = MAX_CLOCK_SKEW.as_secs();
    for (source, difference, expected) in [
        (ROSTER, skew, Draining),
        (ETCD, skew, Draining),
        (ROSTER, skew + 1, Ready),
        (ETCD, skew + 1, Ready),
    ] {
        let mut merged = two_sources();
        merged.update(source, at(900), &[listed(Draining, Some(500))]);
        let later = listed(Ready, Some(500 + difference));
        merged.update(other(source), at(900), &[later]);
        assert_eq!(state(&merged), expected, "{source:?}, {difference} s apart");
    }
    // The clock of the other source is ahead of this node's: the report came after the start, whatever the start time.
    let mut merged = two_sources();
    merged.update(ROSTER, at(900), &[listed(Draining, None)]);
    merged.update(ETCD, at(901), &[listed(Ready, Some(900 + skew))]);
    assert_eq!(state(&merged), Draining);
}

/// Guards against a wrong clock of one source hiding the drains of the other: what is reported after a start was named is
/// not about an earlier incarnation.
#[test]
fn a_report_that_follows_a_start_time_in_the_future_counts() {
    let mut merged = two_sources();
    merged.update(ETCD, at(900), &[listed(Ready, Some(5000))]);
    merged.update(ROSTER, at(901), &[listed(Draining, None)]);
    assert_eq!(state(&merged), Draining);
    merged.update(ETCD, at(902), &[listed(Ready, Some(5000))]);
    assert_eq!(state(&merged), Draining, "the same start time again");
}

/// The reports on endpoints that no source lists any more are bounded; the oldest are dropped first.
#[test]
fn the_reports_on_unlisted_endpoints_are_bounded() {
    let mut merged = two_sources();
    let count = MAX_UNLISTED_ENDPOINTS as u64 + 2;
    for id in 0..count {
        merged.update(ROSTER, at(id), &[listed_as(ServerId(id), Removed, None)]);
    }
    for id in 0..count {
        merged.update(ETCD, at(9000), &[listed_as(ServerId(id), Ready, None)]);
    }
    for id in 0..count {
        let expected = if id < 2 { Ready } else { Removed };
        assert_eq!(state_of(&merged, ServerId(id)), expected, "endpoint {id}");
    }
}

// ---- Random histories ---------------------------------------------------------------------------

/// The largest error of a source's clock: two of them differ by no more than what is tolerated.
const MAX_CLOCK_ERROR_S: i64 = MAX_CLOCK_SKEW.as_secs() as i64 / 2;
/// The time of the first step, so that start times of earlier incarnations are positive.
const BEGIN_S: u64 = 10_000;

#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// The backend starts anew.
    Restart,
    /// A source reports a state, of the current incarnation or of one `age` restarts ago, with or without its start time.
    Report {
        source: SourceId,
        state: ServerState,
        names_start: bool,
        age: usize,
    },
    /// A source repeats its last report, as after a reconnection or a compaction.
    Resync(SourceId),
    /// A source's complete list lacks the endpoint.
    Omit(SourceId),
    /// The guarded source's complete list is empty: the removals are withheld, and nothing is reported.
    OmitAll,
    /// A source reports that the endpoint is gone, without naming a start time.
    Remove(SourceId),
    Disconnect(SourceId),
    /// The node's process starts again: it knows only what the sources list, which it hears in this order.
    RestartNode([SourceId; 2]),
}

fn step() -> impl Strategy<Value = Step> {
    let source = || prop_oneof![Just(ROSTER), Just(ETCD)];
    let state = prop_oneof![3 => Just(Ready), 2 => Just(Draining), 1 => Just(Removed)];
    let age = prop_oneof![4 => Just(0usize), 1 => 1..3usize];
    let order = prop_oneof![Just([ROSTER, ETCD]), Just([ETCD, ROSTER])];
    prop_oneof![
        3 => (1..40u64).prop_map(Step::Wait),
        2 => Just(Step::Restart),
        8 => (source(), state, any::<bool>(), age).prop_map(|(source, state, names_start, age)| {
            // A report on an earlier incarnation is one that names it.
            let names_start = names_start || age > 0;
            Step::Report { source, state, names_start, age }
        }),
        2 => source().prop_map(Step::Resync),
        1 => source().prop_map(Step::Omit),
        1 => Just(Step::OmitAll),
        1 => source().prop_map(Step::Remove),
        1 => source().prop_map(Step::Disconnect),
        1 => order.prop_map(Step::RestartNode),
    ]
}

/// A report as the model keeps it.
#[derive(Clone, Copy, Debug)]
struct Report {
    source: SourceId,
    received: Duration,
    state: ServerState,
    start: Option<Duration>,
    /// The number of the incarnation that it is about.
    incarnation: usize,
}

/// The reference model: every report, in order, and the true starts of the backend.
struct Model {
    now: Duration,
    /// The true start times.
    starts: Vec<Duration>,
    clock_errors: [i64; 2],
    history: Vec<Report>,
}

impl Model {
    fn new(clock_errors: [i64; 2]) -> Self {
        Model {
            now: at(BEGIN_S),
            starts: vec![at(BEGIN_S - 5000)],
            clock_errors,
            history: Vec::new(),
        }
    }

    fn current_incarnation(&self) -> usize {
        self.starts.len() - 1
    }

    /// A true time by the clock of a source.
    fn by_clock(&self, source: SourceId, time: Duration) -> Duration {
        let seconds = time
            .as_secs()
            .checked_add_signed(self.clock_errors[source.0]);
        at(seconds.expect("a positive time"))
    }

    fn last(&self, source: SourceId) -> Option<&Report> {
        self.history.iter().rev().find(|r| r.source == source)
    }

    fn keep(&mut self, report: Report) {
        self.history.push(Report {
            received: self.now,
            ..report
        });
    }

    fn is_listed(&self, source: SourceId) -> bool {
        self.last(source).is_some_and(|last| last.state != Removed)
    }

    /// The incarnation that a source means which says the same again: the one whose start time it names, or the running one.
    fn repeated_incarnation(&self, last: &Report) -> usize {
        match last.start {
            Some(_) => last.incarnation,
            None => self.current_incarnation(),
        }
    }

    /// Keeps a source's report that the endpoint is gone, if the source has ever listed it.
    fn keep_removal(&mut self, source: SourceId) {
        if let Some(last) = self.last(source).copied() {
            let incarnation = self.repeated_incarnation(&last);
            self.keep(Report {
                state: Removed,
                incarnation,
                ..last
            });
        }
    }

    /// When a source began to name the start time of its last report.
    fn first_named(&self, source: SourceId) -> Option<Duration> {
        let start = self.last(source)?.start?;
        let own = self.history.iter().rev().filter(|r| r.source == source);
        let naming = own.take_while(|report| report.start == Some(start));
        naming.last().map(|report| report.received)
    }

    /// Whether a source's last report is known to be about an earlier incarnation than the other's last report.
    fn is_known_to_be_earlier(&self, report: &Report) -> bool {
        let by = other(report.source);
        let (Some(start), Some(named)) =
            (self.last(by).and_then(|r| r.start), self.first_named(by))
        else {
            return false;
        };
        match report.start {
            Some(own_start) => start > own_start + MAX_CLOCK_SKEW,
            None => named > report.received && start > report.received + MAX_CLOCK_SKEW,
        }
    }

    /// The strictest last report that is not known to be about an earlier incarnation.
    fn expected(&self) -> ServerState {
        let last = BOTH.iter().filter_map(|source| self.last(*source));
        let counting: Vec<ServerState> = last
            .filter(|report| !self.is_known_to_be_earlier(report))
            .map(|report| report.state)
            .collect();
        if counting.is_empty() || counting.contains(&Removed) {
            Removed
        } else if counting.contains(&Draining) {
            Draining
        } else {
            Ready
        }
    }
}

fn strictness(state: ServerState) -> u8 {
    match state {
        Ready => 0,
        Draining => 1,
        Removed => 2,
    }
}

fn resync(merged: &mut MergedEndpoints, source: SourceId, now: Duration, list: &[ListedEndpoint]) {
    merged.begin_resync(source, now);
    merged.update(source, now, list);
    merged.finish_resync(source, now);
}

/// Applies a step to the model and to the merged list.
fn apply(step: Step, model: &mut Model, merged: &mut MergedEndpoints) {
    let now = model.now;
    match step {
        Step::Wait(seconds) => {
            model.now += at(seconds);
            merged.apply_due_removals(model.now);
        }
        Step::Restart => {
            model.now += at(1);
            model.starts.push(model.now);
        }
        Step::Report {
            source,
            state,
            names_start,
            age,
        } => {
            let incarnation = model.current_incarnation().saturating_sub(age);
            let start = model.by_clock(source, model.starts[incarnation]);
            let start = names_start.then_some(start);
            let incarnation = if names_start {
                incarnation
            } else {
                model.current_incarnation()
            };
            model.keep(Report {
                source,
                received: now,
                state,
                start,
                incarnation,
            });
            merged.update(source, now, &[listed_as(ID, state, start)]);
        }
        Step::Resync(source) => {
            let Some(last) = model
                .last(source)
                .copied()
                .filter(|last| last.state != Removed)
            else {
                return;
            };
            let incarnation = model.repeated_incarnation(&last);
            model.keep(Report {
                incarnation,
                ..last
            });
            resync(
                merged,
                source,
                now,
                &[listed_as(ID, last.state, last.start)],
            );
        }
        Step::Omit(source) => {
            // The list of the guarded source is not empty, so that the removal is not withheld.
            let others: Vec<ListedEndpoint> = (10..14)
                .map(|id| listed_as(ServerId(id), Ready, None))
                .collect();
            merged.update(source, now, &others);
            resync(merged, source, now, &others);
            // A list without an endpoint that its source has removed already says nothing new.
            if model.is_listed(source) {
                model.keep_removal(source);
            }
        }
        Step::OmitAll => resync(merged, ETCD, now, &[]),
        Step::Remove(source) => {
            merged.remove(source, now, ID);
            model.keep_removal(source);
        }
        Step::Disconnect(source) => merged.mark_disconnected(source),
        Step::RestartNode(order) => restart_node(order, model, merged),
    }
}

/// Starts the node's process again. What a source no longer lists can't be known afterwards, so the restart is skipped
/// where a source has removed the endpoint.
fn restart_node(order: [SourceId; 2], model: &mut Model, merged: &mut MergedEndpoints) {
    let gone = |source| model.last(source).is_some_and(|last| last.state == Removed);
    if BOTH.into_iter().any(gone) {
        return;
    }
    *merged = two_sources();
    for source in order {
        model.now += at(1);
        apply(Step::Resync(source), model, merged);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]

    /// Guards against a merged state that is less strict than a source's last report which is not known to be about an
    /// earlier incarnation, and against one that is stricter than all of them.
    #[test]
    fn the_merged_state_is_that_of_the_strictest_report_not_known_to_be_obsolete(
        history in proptest::collection::vec(step(), 1..60),
        clock_errors in [-MAX_CLOCK_ERROR_S..=MAX_CLOCK_ERROR_S, -MAX_CLOCK_ERROR_S..=MAX_CLOCK_ERROR_S],
    ) {
        let (mut model, mut merged) = (Model::new(clock_errors), two_sources());
        for (i, step) in history.into_iter().enumerate() {
            let before = state(&merged);
            let restarts = matches!(step, Step::RestartNode(_));
            apply(step, &mut model, &mut merged);
            prop_assert_eq!(state(&merged), model.expected(), "after step {}", i);
            if restarts {
                prop_assert!(strictness(state(&merged)) >= strictness(before), "a new process, step {}", i);
            }
        }
    }

    /// Guards against work for an endpoint of whose running incarnation a source has last said that it drains or is gone: by
    /// the true starts, which no source tells exactly.
    #[test]
    fn no_report_on_the_running_incarnation_is_lost(
        history in proptest::collection::vec(step(), 1..60),
        clock_errors in [-MAX_CLOCK_ERROR_S..=MAX_CLOCK_ERROR_S, -MAX_CLOCK_ERROR_S..=MAX_CLOCK_ERROR_S],
    ) {
        let (mut model, mut merged) = (Model::new(clock_errors), two_sources());
        for (i, step) in history.into_iter().enumerate() {
            apply(step, &mut model, &mut merged);
            let last: Vec<&Report> = BOTH.iter().filter_map(|source| model.last(*source)).collect();
            for report in &last {
                if report.incarnation == model.current_incarnation() {
                    let merged = strictness(state(&merged));
                    prop_assert!(merged >= strictness(report.state), "{:?} at step {}", report, i);
                }
            }
            // In service in all sources: it gets work, whatever was said before.
            if !last.is_empty() && last.iter().all(|report| report.state == Ready) {
                prop_assert_eq!(state(&merged), Ready, "step {}", i);
            }
        }
    }
}
