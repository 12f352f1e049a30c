//! Voters and nodes in a simulated cluster, with lost, delayed and duplicated messages, crashes, pauses and restored storage.
//! The tests observe which values the nodes use.

mod common;

use common::{Cluster, Disk, Fault, ms};
use sillward_consensus::{InjectedBug, Timing};
use sillward_fleet_settings::{FleetSettings, Idempotency, Key, Value};
use std::time::Duration;

const CLASS: &str = "tally-correct";

fn key() -> Key {
    Key::Idempotency(CLASS.to_owned())
}

fn settings(idempotency: Idempotency) -> FleetSettings {
    let mut settings = FleetSettings::default();
    settings
        .insert(key(), Value::Idempotency(idempotency))
        .expect("a valid value");
    settings
}

/// Settings that conflict with those for the preceding number.
fn conflicting_settings(number: u64) -> FleetSettings {
    settings(if number % 2 == 0 {
        Idempotency::Idempotent
    } else {
        Idempotency::Keyed(1000 + number)
    })
}

#[test]
fn puts_versions_in_force_everywhere_without_conflict() {
    let mut cluster = Cluster::new(1, 5, 9, Timing::default());
    cluster.run(ms(3_000));
    for number in 1..=5 {
        let id = cluster.propose(
            number as usize % 9,
            number - 1,
            conflicting_settings(number),
        );
        let elapsed = cluster.run_until(ms(5_000), |cluster| cluster.in_force(number));
        assert!(
            elapsed.is_some_and(|elapsed| elapsed < ms(400)),
            "version {number} took {elapsed:?}"
        );
        assert_eq!(cluster.version_of(id), Some(number));
    }
    assert!(cluster.leased_share() > 0.8, "{}", cluster.leased_share());
    cluster.assert_invariants();
}

#[test]
fn partitioned_node_uses_conservative_values_and_recovers_by_a_lease_request() {
    let mut cluster = Cluster::new(2, 5, 9, Timing::default());
    cluster.run(ms(3_000));
    cluster.propose(0, 0, conflicting_settings(1));
    assert!(
        cluster
            .run_until(ms(5_000), |cluster| cluster.in_force(1))
            .is_some()
    );
    cluster.fault(Fault::Isolate(8));
    let isolated_at = cluster.now();
    cluster.propose(0, 1, conflicting_settings(2));
    // The node uses the old version during its lease, and conservative values afterwards.
    let conservative_after = cluster
        .run_until(ms(5_000), |cluster| {
            cluster.effective_value(8, &key()).conservative
        })
        .expect("its lease expires");
    assert!(conservative_after <= ms(1_000), "{conservative_after:?}");
    let in_force_after = cluster
        .run_until(ms(5_000), |cluster| cluster.in_force_except(2, &[8]))
        .expect("version 2 is in force for the others");
    assert!(
        cluster.now() - isolated_at >= ms(600),
        "the others waited for its lease: {:?}",
        conservative_after + in_force_after
    );
    cluster.run(ms(20_000));
    assert!(cluster.effective_value(8, &key()).conservative);
    cluster.fault(Fault::Heal);
    assert!(
        cluster
            .run_until(ms(1_500), |cluster| cluster.in_force(2))
            .is_some()
    );
    cluster.assert_invariants();
}

#[test]
fn late_responses_renew_no_lease() {
    let mut cluster = Cluster::new(3, 5, 7, Timing::default());
    cluster.run(ms(3_000));
    cluster.propose(0, 0, conflicting_settings(1));
    assert!(
        cluster
            .run_until(ms(5_000), |cluster| cluster.in_force(1))
            .is_some()
    );
    cluster.fault(Fault::Delay(6, ms(4_000)));
    cluster.run(ms(900));
    cluster.propose(0, 1, conflicting_settings(2));
    cluster.run(ms(8_000));
    assert!(cluster.effective_value(6, &key()).conservative);
    cluster.assert_invariants();
}

#[test]
fn paused_node_requests_a_lease_before_it_acts() {
    let mut cluster = Cluster::new(4, 5, 7, Timing::default());
    cluster.run(ms(3_000));
    cluster.propose(0, 0, conflicting_settings(1));
    assert!(
        cluster
            .run_until(ms(5_000), |cluster| cluster.in_force(1))
            .is_some()
    );
    cluster.fault(Fault::Pause(6));
    cluster.propose(0, 1, conflicting_settings(2));
    cluster.run(ms(20_000));
    cluster.fault(Fault::Resume(6));
    assert!(
        cluster.effective_value(6, &key()).conservative,
        "{:?}",
        cluster.effective_value(6, &key())
    );
    assert!(
        cluster
            .run_until(ms(1_500), |cluster| cluster.in_force(2))
            .is_some()
    );
    cluster.assert_invariants();
}

#[test]
fn crash_of_the_leader_after_append_loses_no_committed_version() {
    for after in 0..12 {
        let mut cluster = Cluster::new(100 + after, 5, 7, Timing::default());
        cluster.run(ms(3_000));
        let leader = cluster.leader().expect("a leader");
        let id = cluster.propose(leader, 0, conflicting_settings(1));
        cluster.run(ms(after));
        cluster.fault(Fault::Kill(leader));
        let known = cluster.version_of(id);
        cluster.run(ms(3_000));
        let other_voter = (leader + 1) % 5;
        cluster.propose_again(other_voter, id);
        assert!(
            cluster
                .run_until(ms(5_000), |cluster| cluster.in_force_except(1, &[leader]))
                .is_some(),
            "{after}"
        );
        assert_eq!(
            cluster.version_of(id),
            Some(1),
            "committed once, however often it was sent"
        );
        assert!(known.is_none_or(|known| known == 1));
        cluster.fault(Fault::Start(leader));
        assert!(
            cluster
                .run_until(ms(8_000), |cluster| cluster.in_force(1))
                .is_some(),
            "{after}"
        );
        cluster.assert_invariants();
    }
}

#[test]
fn commits_nothing_without_a_majority_of_voters() {
    let mut cluster = Cluster::new(5, 5, 12, Timing::default());
    cluster.run(ms(3_000));
    cluster.propose(0, 0, conflicting_settings(1));
    assert!(
        cluster
            .run_until(ms(5_000), |cluster| cluster.in_force(1))
            .is_some()
    );
    // Two voters and all other nodes against three voters.
    cluster.fault(Fault::Partition(vec![3, 4, 5, 6, 7, 8, 9, 10, 11]));
    let without_majority = cluster.propose(7, 1, conflicting_settings(2));
    let with_majority = cluster.propose(0, 1, conflicting_settings(3));
    cluster.run(ms(6_000));
    assert!(cluster.effective_value(7, &key()).conservative);
    assert_eq!(
        (
            cluster.version_of(without_majority),
            cluster.version_of(with_majority)
        ),
        (None, Some(2))
    );
    cluster.fault(Fault::Heal);
    assert!(
        cluster
            .run_until(ms(8_000), |cluster| cluster.in_force(2))
            .is_some()
    );
    cluster.run(ms(2_000));
    assert_eq!(
        cluster.version_of(without_majority),
        None,
        "its base is outdated"
    );
    cluster.assert_invariants();
}

#[test]
fn concurrent_proposals_have_one_order() {
    let mut cluster = Cluster::new(6, 5, 9, Timing::default());
    cluster.run(ms(3_000));
    let mut ids = Vec::new();
    for number in 0..10 {
        // Both proposals are based on the same version, so at most one of them is committed.
        let base = cluster.newest(0);
        ids.push(cluster.propose(number % 9, base, conflicting_settings(number as u64)));
        ids.push(cluster.propose(
            (number + 4) % 9,
            base,
            conflicting_settings(number as u64 + 50),
        ));
        cluster.run(ms(100));
    }
    cluster.run(ms(4_000));
    let committed = ids
        .iter()
        .filter(|id| cluster.version_of(**id).is_some())
        .count() as u64;
    assert_eq!(committed, cluster.newest(0));
    assert!((5..=10).contains(&committed), "{committed}");
    assert!(cluster.in_force(committed));
    cluster.assert_invariants();
}

#[test]
fn voter_with_a_full_or_slow_disk_sends_nothing_unpersisted() {
    for disk in [Disk::Full, Disk::Slow(ms(3_000))] {
        let mut cluster = Cluster::new(7, 5, 7, Timing::default());
        cluster.run(ms(3_000));
        let leader = cluster.leader().expect("a leader");
        cluster.fault(Fault::Disk(leader, disk));
        cluster.propose((leader + 1) % 5, 0, conflicting_settings(1));
        assert!(
            cluster
                .run_until(ms(12_000), |cluster| cluster.in_force(1))
                .is_some(),
            "{disk:?}"
        );
        cluster.fault(Fault::Kill(leader));
        cluster.run(ms(500));
        cluster.fault(Fault::Disk(leader, Disk::Healthy));
        cluster.fault(Fault::Start(leader));
        cluster.propose((leader + 1) % 5, 1, conflicting_settings(2));
        assert!(
            cluster
                .run_until(ms(8_000), |cluster| cluster.in_force(2))
                .is_some(),
            "{disk:?}"
        );
        cluster.assert_invariants();
    }
}

#[test]
fn voter_with_restored_or_lost_storage_never_votes_again() {
    let mut cluster = Cluster::new(8, 5, 7, Timing::default());
    cluster.run(ms(3_000));
    let old_copy = cluster.folder(1);
    cluster.run(ms(25_000)); // some incarnations later
    cluster.propose(0, 0, conflicting_settings(1));
    assert!(
        cluster
            .run_until(ms(5_000), |cluster| cluster.in_force(1))
            .is_some()
    );
    cluster.fault(Fault::Kill(1));
    cluster.fault(Fault::ReplaceFolder(1, old_copy));
    cluster.fault(Fault::Start(1));
    cluster.run(ms(3_000));
    assert!(cluster.is_disabled(1), "{:?}", cluster.status(1));
    cluster.fault(Fault::Kill(2));
    cluster.fault(Fault::ReplaceFolder(2, None));
    cluster.fault(Fault::Start(2));
    cluster.run(ms(3_000));
    assert!(!cluster.is_voting(2));
    // The other three of five voters still form a majority.
    cluster.propose(0, 1, conflicting_settings(2));
    assert!(
        cluster
            .run_until(ms(8_000), |cluster| cluster.in_force(2))
            .is_some()
    );
    cluster.assert_invariants();
}

#[test]
fn conflicts_stay_below_the_bound_with_clocks_beyond_the_stated_drift() {
    for (seed, rates) in [
        (9, [1.1, 1.0, 0.9, 1.1, 1.0]),
        (10, [0.9, 0.9, 1.1, 1.1, 1.1]),
    ] {
        let mut cluster = Cluster::new(seed, 5, 9, Timing::default());
        for (process, rate) in rates.into_iter().enumerate() {
            cluster.set_clock_rate(process, rate);
        }
        cluster.set_clock_rate(8, 0.9);
        cluster.run(ms(3_000));
        for number in 1..=6 {
            cluster.fault(if number % 2 == 0 {
                Fault::Heal
            } else {
                Fault::Isolate(8)
            });
            cluster.propose(0, number - 1, conflicting_settings(number));
            cluster.run(ms(2_600));
            if number == 3 {
                cluster.advance_clock(2, Duration::from_secs(3_600));
            }
        }
        cluster.fault(Fault::Heal);
        assert!(
            cluster
                .run_until(ms(8_000), |cluster| cluster.in_force(6))
                .is_some()
        );
        // Conflicts are possible, because a lease ends by its holder's clock, but stay shorter than the bound.
        assert!(
            cluster.longest_conflict() < ms(1_000),
            "{:?}",
            cluster.longest_conflict()
        );
        cluster.assert_log();
    }
}

#[test]
fn uses_conservative_values_without_voters() {
    let mut cluster = Cluster::new(11, 5, 9, Timing::default());
    cluster.run(ms(3_000));
    cluster.propose(0, 0, conflicting_settings(1));
    assert!(
        cluster
            .run_until(ms(5_000), |cluster| cluster.in_force(1))
            .is_some()
    );
    (0..5).for_each(|process| cluster.fault(Fault::Kill(process)));
    cluster.run(ms(10_000));
    for node in 5..9 {
        assert!(cluster.effective_value(node, &key()).conservative);
        assert_eq!(
            cluster.effective_value(node, &key()).value,
            Value::Idempotency(Idempotency::NonIdempotent)
        );
    }
    (0..3).for_each(|process| cluster.fault(Fault::Start(process)));
    assert!(
        cluster
            .run_until(ms(8_000), |cluster| cluster.in_force_except(1, &[3, 4]))
            .is_some()
    );
    cluster.assert_invariants();
}

#[test]
fn stopped_processes_catch_up_with_a_compacted_log() {
    let mut cluster = Cluster::new(12, 5, 7, Timing::default());
    cluster.run(ms(3_000));
    cluster.fault(Fault::Kill(4));
    cluster.fault(Fault::Kill(6));
    for number in 1..=150 {
        cluster.propose(0, number - 1, conflicting_settings(number));
        assert!(
            cluster
                .run_until(ms(5_000), |cluster| cluster.newest(0) == number)
                .is_some(),
            "{number}"
        );
    }
    cluster.fault(Fault::Start(4));
    cluster.fault(Fault::Start(6));
    assert!(
        cluster
            .run_until(ms(8_000), |cluster| cluster.in_force(150))
            .is_some()
    );
    let log = cluster.log_length(0);
    assert!(log.decided >= 150 && log.uncompacted <= 33, "{log:?}");
    cluster.assert_invariants();
}

/// Runs without injected bugs; `finds_every_injected_bug` shows that these checks detect violations.
#[test]
fn random_faults_violate_no_invariant() {
    for seed in 0..50 {
        let (longest_conflict, log) = run_random_faults(seed, None);
        assert_eq!(
            (longest_conflict, log),
            (Duration::ZERO, Ok(())),
            "seed {seed}"
        );
    }
}

fn run_random_faults(seed: u64, bug: Option<InjectedBug>) -> (Duration, Result<(), String>) {
    let mut cluster = Cluster::new(
        1_000 + seed,
        5,
        9,
        Timing {
            injected_bug: bug,
            ..Timing::default()
        },
    );
    cluster.random_faults(ms(40_000), conflicting_settings);
    (cluster.longest_conflict(), cluster.check_log())
}

#[test]
fn finds_every_injected_bug() {
    for bug in [
        InjectedBug::LeaseFromArrival,
        InjectedBug::SendBeforeSync,
        InjectedBug::SkipLeaseWait,
        InjectedBug::ForgetLeases,
    ] {
        // The engine panics if entries of its log disappear.
        let is_detected = |seed| {
            std::panic::catch_unwind(|| run_random_faults(seed, Some(bug)))
                .map_or(true, |result| result != (Duration::ZERO, Ok(())))
        };
        let detected_by = (0..200).find(|seed| is_detected(*seed));
        println!("{bug:?} detected with seed {detected_by:?}");
        assert!(detected_by.is_some(), "{bug:?}");
    }
}

/// Measures the time from the commit at a voter until a version is in force on all nodes, and the message rates, with up to
/// two voters down.
#[test]
#[ignore = "a measurement"]
fn measures_time_to_force_and_message_rates() {
    for nodes in [12, 100, 300, 734] {
        for down in 0..3 {
            let mut cluster = Cluster::new(77, 5, nodes, Timing::default());
            (0..down).for_each(|process| cluster.fault(Fault::Kill(4 - process)));
            cluster.run(ms(4_000));
            let stopped: Vec<usize> = (0..down).map(|process| 4 - process).collect();
            let before = cluster.messages;
            cluster.run(ms(4_000));
            let after = cluster.messages;
            let mut times = Vec::new();
            for number in 1..=5 {
                cluster.propose(0, number - 1, conflicting_settings(number));
                let committed = cluster.run_until(ms(5_000), |cluster| {
                    (0..5).any(|process| cluster.newest(process) >= number)
                });
                let in_force = cluster.run_until(ms(9_000), |cluster| {
                    cluster.in_force_except(number, &stopped)
                });
                times.push((in_force.expect("in force"), committed.expect("committed")));
                cluster.run(ms(1_500));
            }
            times.sort();
            let rate = |which: usize| (after[which] - before[which]) as f64 / 4.0 / 5.0;
            println!(
                "{nodes} nodes, {down} voters down: in force after {:?} (median), {:?} (maximum); per voter and second: {:.0} lease requests, {:.0} responses, {:.0} messages to voters",
                times[2].0,
                times[4].0,
                rate(0),
                rate(1),
                rate(2)
            );
        }
    }
}
