//! Tests of the merged list: every pair of reports, random histories compared with a reference model, and the removal
//! guard.

use proptest::prelude::*;
use sillward_balancer::{Endpoint, ServerId, ServerState};
use sillward_endpoints::{
    ListedEndpoint, MAX_CLOCK_SKEW, MergedEndpoints, RemovalGuard, SourceConfig, SourceId,
    SourceState,
};
use std::collections::BTreeMap;
use std::time::Duration;

const DISCOVERY: SourceId = SourceId(0);
const ETCD: SourceId = SourceId(1);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn listed(id: u64, state: ServerState, started: Option<u64>, port: u16) -> ListedEndpoint {
    let endpoint = Endpoint {
        id: ServerId(id),
        state,
        started_at: started.map(at),
        ..Endpoint::default()
    };
    ListedEndpoint {
        endpoint,
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn source(name: &str, removal_guard: Option<RemovalGuard>) -> SourceConfig {
    SourceConfig {
        name: name.to_owned(),
        removal_guard,
    }
}

fn discovery_and_etcd() -> MergedEndpoints {
    let guard = RemovalGuard::default();
    MergedEndpoints::new(vec![source("discovery", None), source("etcd", Some(guard))])
}

fn state(merged: &MergedEndpoints, id: u64) -> Option<ServerState> {
    merged
        .endpoints()
        .find(|listed| listed.endpoint.id == ServerId(id))
        .map(|listed| listed.endpoint.state)
}

use ServerState::{Draining, Ready, Removed};

/// Every pair of reports, in both orders, for the same incarnation, for an older and a newer one, and with a start time
/// missing from one of them or from both. The state `None` means that the source never lists the endpoint.
#[test]
fn merges_every_pair_of_reports() {
    let states = [None, Some(Ready), Some(Draining), Some(Removed)];
    let start_times = [
        (Some(50), Some(50)),
        (Some(50), Some(90)),
        (Some(90), Some(50)),
        (None, Some(50)),
        (Some(50), None),
        (None, None),
    ];
    let mut cases = 0;
    for (first, second) in states
        .iter()
        .flat_map(|a| states.iter().map(move |b| (*a, *b)))
    {
        for (started_a, started_b) in start_times {
            for order in [[DISCOVERY, ETCD], [ETCD, DISCOVERY]] {
                let mut merged = discovery_and_etcd();
                let reports = [(first, started_a), (second, started_b)];
                // Each source that reports a state lists the endpoint first, because an endpoint that no
                // source lists is forgotten.
                for (source, (state, started)) in order.into_iter().zip(reports) {
                    if state.is_some() {
                        merged.update(source, at(100), &[listed(1, Ready, started, 80)]);
                    }
                }
                for (source, (state, started)) in order.into_iter().zip(reports) {
                    if let Some(state) = state {
                        merged.update(source, at(200), &[listed(1, state, started, 80)]);
                    }
                }
                let newest = reports
                    .iter()
                    .filter(|(s, _)| s.is_some())
                    .filter_map(|(_, started)| *started)
                    .max();
                let is_listed = reports
                    .iter()
                    .any(|(s, _)| matches!(s, Some(Ready | Draining)));
                // A report without a start time refers to the incarnation that runs when it is made.
                let effective_state = |i: usize| {
                    let (state, started) = reports[i];
                    let is_current = started.is_none() || started == newest;
                    state.filter(|s| *s == Ready || is_current)
                };
                let effective = [effective_state(0), effective_state(1)];
                let expected = if !is_listed || effective.contains(&Some(Removed)) {
                    None
                } else if effective.contains(&Some(Draining)) {
                    Some(Draining)
                } else {
                    Some(Ready)
                };
                assert_eq!(
                    state(&merged, 1),
                    expected,
                    "{first:?} of {started_a:?}, then {second:?} of {started_b:?}, {order:?}"
                );
                cases += 1;
            }
        }
    }
    assert_eq!(cases, 192);
}

/// Discovery reports an endpoint as ready and etcd reports it as draining. etcd disconnects, then the backend restarts.
#[test]
fn keeps_draining_state_until_a_newer_incarnation_even_if_the_source_disconnects() {
    for started in [None, Some(1)] {
        let mut merged = discovery_and_etcd();
        merged.update(DISCOVERY, at(1), &[listed(1, Ready, started, 80)]);
        resync(&mut merged, ETCD, at(2), &[listed(1, Ready, started, 80)]);
        let changed = merged.update(ETCD, at(3), &[listed(1, Draining, started, 80)]);
        assert_eq!(
            changed,
            [listed(1, Draining, started, 80)],
            "reported at once"
        );
        assert_eq!(
            merged.update(DISCOVERY, at(4), &[listed(1, Ready, started, 80)]),
            [],
            "still draining"
        );
        assert_eq!(
            merged.update(ETCD, at(4), &[listed(1, Draining, started, 80)]),
            [],
            "a repeated report changes nothing"
        );
        assert_eq!(
            merged.source_entries(ServerId(1))[ETCD.0].map(|entry| entry.since),
            Some(at(3))
        );
        merged.mark_disconnected(ETCD);
        assert_eq!(
            (state(&merged, 1), merged.source_statuses()[ETCD.0].state),
            (Some(Draining), SourceState::Disconnected)
        );
        assert_eq!(merged.apply_due_removals(at(1000)), []);
        let changed = merged.update(DISCOVERY, at(90), &[listed(1, Ready, Some(90), 81)]);
        assert_eq!(
            changed,
            [listed(1, Ready, Some(90), 81)],
            "a newer incarnation at a new address"
        );
        // etcd reconnects and repeats its report: on the old incarnation if it names its start time, and else on the
        // one that runs now.
        let repeated = listed(1, Draining, Some(90), 81);
        let expected: &[ListedEndpoint] = if started.is_some() { &[] } else { &[repeated] };
        assert_eq!(
            merged.update(ETCD, at(100), &[listed(1, Draining, started, 80)]),
            expected
        );
    }
}

#[test]
fn applies_a_report_made_after_a_restart_to_the_new_incarnation() {
    let mut merged = discovery_and_etcd();
    merged.update(DISCOVERY, at(10), &[listed(1, Ready, Some(5), 80)]);
    merged.update(ETCD, at(10), &[listed(1, Draining, None, 80)]);
    merged.update(DISCOVERY, at(91), &[listed(1, Ready, Some(90), 80)]);
    assert_eq!(state(&merged, 1), Some(Ready));
    merged.update(ETCD, at(92), &[listed(1, Ready, None, 80)]);
    merged.update(ETCD, at(93), &[listed(1, Draining, None, 80)]);
    assert_eq!(state(&merged, 1), Some(Draining));
}

#[test]
fn removes_an_endpoint_when_one_source_does_until_that_source_lists_it_again() {
    let mut merged = discovery_and_etcd();
    merged.update(DISCOVERY, at(1), &[listed(1, Ready, None, 80)]);
    merged.update(ETCD, at(1), &[listed(1, Ready, None, 90)]);
    assert_eq!(
        merged
            .endpoints()
            .next()
            .map(|listed| listed.address.port()),
        Some(80),
        "the first source's address"
    );
    assert_eq!(merged.remove(ETCD, at(2), ServerId(1)).len(), 1);
    assert_eq!(
        (state(&merged, 1), merged.remove(ETCD, at(2), ServerId(1))),
        (None, vec![])
    );
    assert_eq!(
        merged.update(DISCOVERY, at(3), &[listed(1, Ready, None, 80)]),
        [],
        "discovery still lists it"
    );
    assert_eq!(
        merged.remove(DISCOVERY, at(4), ServerId(1)),
        [],
        "its removal was already reported"
    );
    assert_eq!(merged.endpoints().count(), 0);
    assert_eq!(
        merged.update(DISCOVERY, at(5), &[listed(1, Ready, None, 80)]),
        [],
        "etcd said last that it is gone"
    );
    assert_eq!(
        merged.update(ETCD, at(6), &[listed(1, Ready, None, 90)]),
        [listed(1, Ready, None, 80)],
        "listed again by both"
    );
    merged.remove(ETCD, at(7), ServerId(1));
    merged.remove(DISCOVERY, at(8), ServerId(1));
    assert_eq!(
        merged.update(DISCOVERY, at(40), &[listed(1, Ready, Some(30), 80)]),
        [listed(1, Ready, Some(30), 80)],
        "a newer incarnation"
    );
    assert_eq!(merged.remove(ETCD, at(41), ServerId(7)), [], "never listed");
}

fn resync(
    merged: &mut MergedEndpoints,
    source: SourceId,
    now: Duration,
    endpoints: &[ListedEndpoint],
) -> Vec<ListedEndpoint> {
    merged.begin_resync(source, now);
    let mut changed = Vec::new();
    for part in endpoints.chunks(3) {
        changed.extend(merged.update(source, now, part));
    }
    changed.extend(merged.finish_resync(source, now));
    changed
}

#[test]
fn withholds_implausible_removals_and_applies_explicit_ones() {
    let all: Vec<ListedEndpoint> = (0..10).map(|id| listed(id, Ready, None, 80)).collect();
    let mut merged = discovery_and_etcd();
    assert_eq!(resync(&mut merged, ETCD, at(1), &all).len(), 10);
    // Half of the list may be removed at once.
    assert_eq!(resync(&mut merged, ETCD, at(2), &all[..5]).len(), 5);
    assert_eq!(resync(&mut merged, ETCD, at(3), &all).len(), 5);
    // A larger part is withheld, but draining reported in the same list takes effect.
    let mut few = all[..3].to_vec();
    few[1].endpoint.state = Draining;
    assert_eq!(resync(&mut merged, ETCD, at(10), &few), [few[1]]);
    assert_eq!(
        (
            merged.endpoints().count(),
            merged.source_statuses()[ETCD.0].withheld_removals
        ),
        (10, 7)
    );
    // An explicit removal takes effect too.
    assert_eq!(merged.remove(ETCD, at(11), ServerId(9)).len(), 1);
    // If an endpoint is listed again, its removal is cancelled.
    assert_eq!(merged.update(ETCD, at(12), &all[8..9]), []);
    assert_eq!(
        merged.apply_due_removals(at(39)),
        [],
        "the delay has not elapsed"
    );
    merged.mark_disconnected(ETCD);
    assert_eq!(
        merged.apply_due_removals(at(60)),
        [],
        "the source is disconnected"
    );
    assert_eq!(
        resync(&mut merged, ETCD, at(61), &[few[0], few[1], few[2], all[8]]),
        []
    );
    assert_eq!(merged.apply_due_removals(at(61)).len(), 5);
    assert_eq!(merged.endpoints().count(), 4);
    // An empty list never takes effect, however long it lasts: only explicit removals can empty a list.
    assert_eq!(resync(&mut merged, ETCD, at(70), &[]), []);
    assert_eq!(merged.apply_due_removals(at(7000)), []);
    assert_eq!(merged.endpoints().count(), 4);
    assert_eq!(merged.remove(ETCD, at(7001), ServerId(0)).len(), 1);
}

// ---- Random histories compared with a reference model -------------------------------------------

#[derive(Clone, Debug)]
enum Operation {
    Update {
        source: SourceId,
        id: u64,
        state: u8,
        started: Option<u64>,
    },
    Remove {
        source: SourceId,
        id: u64,
    },
    Resync {
        source: SourceId,
        ids: Vec<u64>,
    },
    Disconnect {
        source: SourceId,
    },
}

fn operation() -> impl Strategy<Value = Operation> {
    let source = (0..3usize).prop_map(SourceId);
    let started = prop_oneof![Just(None), (1..4u64).prop_map(|i| Some(50 * i))];
    prop_oneof![
        6 => (source.clone(), 0..4u64, 0..3u8, started)
            .prop_map(|(source, id, state, started)| Operation::Update { source, id, state, started }),
        2 => (source.clone(), 0..4u64).prop_map(|(source, id)| Operation::Remove { source, id }),
        1 => (source.clone(), proptest::collection::vec(0..4u64, 0..4))
            .prop_map(|(source, ids)| Operation::Resync { source, ids }),
        1 => source.prop_map(|source| Operation::Disconnect { source }),
    ]
}

#[derive(Clone, Copy)]
struct Report {
    state: ServerState,
    received: u64,
    started: Option<u64>,
    /// When its source named the start time first.
    named: u64,
}

impl Report {
    /// Whether the other report is known to refer to a later incarnation.
    fn is_known_to_precede(&self, other: &Report) -> bool {
        let skew = MAX_CLOCK_SKEW.as_secs();
        match (self.started, other.started) {
            (_, None) => false,
            (Some(own), Some(later)) => later > own + skew,
            (None, Some(later)) => other.named > self.received && later > self.received + skew,
        }
    }
}

/// The reference model: every report, by endpoint and source.
#[derive(Default)]
struct Model(BTreeMap<(u64, usize), Report>);

impl Model {
    fn report(
        &mut self,
        source: SourceId,
        received: u64,
        id: u64,
        state: ServerState,
        started: Option<u64>,
    ) {
        let old = self.0.get(&(id, source.0));
        let named = old
            .filter(|old| old.started == started)
            .map_or(received, |old| old.named);
        let report = Report {
            state,
            received,
            started,
            named,
        };
        self.0.insert((id, source.0), report);
    }

    fn is_listed(&self, source: SourceId, id: u64) -> bool {
        self.0
            .get(&(id, source.0))
            .is_some_and(|report| report.state != Removed)
    }

    fn state(&self, id: u64) -> Option<ServerState> {
        let reports: Vec<&Report> = (0..3)
            .filter_map(|source| self.0.get(&(id, source)))
            .collect();
        let is_reported = |state| {
            reports.iter().any(|report| {
                let is_obsolete = reports.iter().any(|r| report.is_known_to_precede(r));
                report.state == state && !is_obsolete
            })
        };
        if reports.is_empty() || is_reported(Removed) {
            None
        } else if is_reported(Draining) {
            Some(Draining)
        } else {
            Some(Ready)
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn matches_the_reference_model_over_random_histories(history in proptest::collection::vec(operation(), 1..60)) {
        // The guard is tested separately: here all missing endpoints are removed, unless they make up the whole list.
        let guard = RemovalGuard { max_removed_percent: 100, min_removed: usize::MAX, delay: Duration::MAX };
        let mut merged = MergedEndpoints::new(["a", "b", "c"].map(|name| source(name, Some(guard))).to_vec());
        let mut model = Model::default();
        let mut reported: BTreeMap<u64, ServerState> = BTreeMap::new();
        for (i, operation) in history.into_iter().enumerate() {
            let seconds = 5 * i as u64;
            let now = at(seconds);
            let changed = match operation {
                Operation::Update { source, id, state, started } => {
                    let state = [Ready, Draining, Removed][state as usize];
                    model.report(source, seconds, id, state, started);
                    merged.update(source, now, &[listed(id, state, started, 80)])
                }
                Operation::Remove { source, id } => {
                    if let Some(report) = model.0.get(&(id, source.0)).copied() {
                        model.report(source, seconds, id, Removed, report.started);
                    }
                    merged.remove(source, now, ServerId(id))
                }
                Operation::Resync { source, ids } => {
                    for id in &ids {
                        model.report(source, seconds, *id, Ready, None);
                    }
                    let missing: Vec<u64> = (0..4).filter(|id| model.is_listed(source, *id) && !ids.contains(id)).collect();
                    if !ids.is_empty() {
                        for id in missing {
                            let started = model.0[&(id, source.0)].started;
                            model.report(source, seconds, id, Removed, started);
                        }
                    }
                    let endpoints: Vec<ListedEndpoint> = ids.iter().map(|id| listed(*id, Ready, None, 80)).collect();
                    resync(&mut merged, source, now, &endpoints)
                }
                Operation::Disconnect { source } => {
                    merged.mark_disconnected(source);
                    Vec::new()
                }
            };
            for changed in changed {
                match changed.endpoint.state {
                    Removed => drop(reported.remove(&changed.endpoint.id.0)),
                    state => drop(reported.insert(changed.endpoint.id.0, state)),
                }
            }
            for id in 0..4 {
                let expected = model.state(id);
                prop_assert_eq!(state(&merged, id), expected, "backend {} after {}", id, i);
                prop_assert_eq!(reported.get(&id).copied(), expected, "the returned changes match the list");
            }
        }
    }
}
