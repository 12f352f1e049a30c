//! Estimates of simulated fleets compared with the true demand, under loss, delay, partitions, restarts and false reports.

mod common;

use common::{Fleet, Network, class, ms};
use sillward_outcome_stats::{BackendClass, BackendId, InjectedBug, StatsConfig};
use std::time::Duration;

/// Samples the demand estimates of up to 12 nodes once per second. Returns the share of estimates within their stated error, and
/// the mean relative error.
fn accuracy(fleet: &mut Fleet, seconds: u64) -> (f64, f64) {
    let (mut within, mut all, mut error_sum) = (0, 0, 0.0);
    for _ in 0..seconds {
        fleet.advance(ms(1000));
        let truth = fleet.true_demand();
        for number in (0..fleet.nodes.len()).step_by(fleet.nodes.len().div_ceil(12)) {
            let (estimated, error) = fleet.estimated_demand(number);
            all += 1;
            within += usize::from((estimated - truth).abs() <= error);
            error_sum += (estimated - truth).abs() / truth;
        }
    }
    (within as f64 / f64::from(all), error_sum / f64::from(all))
}

#[test]
fn estimates_demand_within_the_stated_error() {
    for (seed, loss_percent, max_delay_ms) in [(1, 0, 2), (2, 20, 500), (3, 5, 50)] {
        let mut fleet = Fleet::new(12, 8, 40.0, seed, StatsConfig::default());
        fleet.nodes[0].rate = 300.0;
        fleet.network = Network {
            loss_percent,
            max_delay: ms(max_delay_ms),
        };
        fleet
            .nodes
            .iter_mut()
            .for_each(|node| node.swing = (0.2, 20.0));
        fleet.advance(ms(10_000));
        let (within, mean_error) = accuracy(&mut fleet, 20);
        assert!(
            within >= 0.95,
            "{seed}: {within} of the estimates are within their error"
        );
        assert!(mean_error < 0.2, "{seed}: {mean_error}");
        assert!(
            fleet.max_bytes_per_second <= 10_000.0,
            "{seed}: {} bytes a node and second",
            fleet.max_bytes_per_second
        );
        let share = fleet.estimate(0).coverage;
        assert!(
            share.reporting == 12 && share.age < ms(8_000),
            "{seed}: {share:?}"
        );
    }
}

#[test]
fn estimates_backends_that_a_node_has_never_used() {
    let mut fleet = Fleet::new(12, 8, 30.0, 4, StatsConfig::default());
    fleet.in_time_percent[3] = 40;
    // Node 11 receives no calls.
    fleet.nodes[11].rate = 0.0;
    fleet.advance(ms(15_000));
    let estimate = fleet.estimate(11);
    let at = |backend: u64| {
        estimate.backends[&BackendClass {
            backend: BackendId::of(1 + backend),
            class: class(),
        }]
            .clone()
    };
    assert!((0.3..0.5).contains(&at(3).in_time), "{:?}", at(3));
    assert!(
        at(4).in_time > 0.9 && at(4).observers == 11 && at(4).evidence > 50.0,
        "{:?}",
        at(4)
    );
    let median = at(4).latencies.quantile(0.5).expect("latencies");
    assert!(
        (22..=27).contains(&median.as_millis()),
        "expected 24 ms within 1/11: {median:?}"
    );
}

#[test]
fn weight_of_partitioned_nodes_falls_linearly_and_recovers() {
    let mut fleet = Fleet::new(12, 8, 40.0, 5, StatsConfig::default());
    fleet.advance(ms(10_000));
    let before = fleet.estimate(0).coverage.weight;
    fleet.partition_at = Some(6);
    let mut weights = vec![before];
    for _ in 0..70 {
        fleet.advance(ms(1000));
        weights.push(fleet.estimate(0).coverage.weight);
    }
    // The weight falls linearly, without a jump.
    assert!(
        weights
            .windows(2)
            .all(|pair| pair[1] <= pair[0] + 0.01 && pair[0] - pair[1] < 0.1),
        "{weights:?}"
    );
    assert!(
        before > 0.99 && (0.45..0.55).contains(&weights[70]),
        "{weights:?}"
    );
    // The reachable half is extrapolated to the whole fleet with a larger error. Both halves have the same call rate.
    let ((estimated, error), truth) = (fleet.estimated_demand(0), fleet.true_demand());
    assert!(
        (estimated - truth).abs() <= error && error > 0.1 * truth,
        "{estimated} +- {error} of {truth}"
    );
    fleet.partition_at = None;
    fleet.advance(ms(10_000));
    let (within, _) = accuracy(&mut fleet, 10);
    assert!(
        within >= 0.95 && fleet.estimate(0).coverage.weight > 0.99,
        "{within}"
    );
}

#[test]
fn restart_neither_doubles_nor_loses_demand() {
    let demand_ratio_range = |bug: Option<InjectedBug>| {
        let mut fleet = Fleet::new(
            12,
            8,
            40.0,
            6,
            StatsConfig {
                injected_bug: bug,
                ..StatsConfig::default()
            },
        );
        fleet.nodes[1].rate = 300.0;
        fleet.advance(ms(10_000));
        let (mut min, mut max) = (f64::MAX, 0.0f64);
        for round in 0..30 {
            if round % 3 == 0 {
                fleet.restart(1 + round / 3);
            }
            fleet.advance(ms(500));
            let ratio = fleet.estimated_demand(0).0 / fleet.true_demand();
            (min, max) = (min.min(ratio), max.max(ratio));
        }
        (min, max)
    };
    let (min, max) = demand_ratio_range(None);
    assert!(min > 0.75 && max < 1.25, "{min} to {max}");
    let (_, doubled) = demand_ratio_range(Some(InjectedBug::DoubleCountRestarts));
    assert!(doubled > 1.25, "the injected bug has no effect: {doubled}");
}

#[test]
fn false_reports_have_a_bounded_share_of_estimates() {
    let effect_of_false_report = |bug: Option<InjectedBug>| {
        let mut fleet = Fleet::new(
            12,
            8,
            40.0,
            7,
            StatsConfig {
                injected_bug: bug,
                ..StatsConfig::default()
            },
        );
        fleet.nodes[2].inflation = 60.0;
        fleet.advance(ms(15_000));
        let in_time = fleet.estimate(0).backends[&BackendClass {
            backend: BackendId::of(1),
            class: class(),
        }]
            .in_time;
        (fleet.estimated_demand(0).0 / fleet.true_demand(), in_time)
    };
    let (demand_ratio, in_time) = effect_of_false_report(None);
    assert!(
        demand_ratio <= 2.1,
        "the false report counts for more than all others together: {demand_ratio}"
    );
    assert!(
        in_time >= 0.97 * 0.75,
        "the false report has more than a fifth of the weight: {in_time}"
    );
    let (uncapped_ratio, uncapped_in_time) = effect_of_false_report(Some(InjectedBug::NoShareCap));
    assert!(
        uncapped_ratio > 4.0 && uncapped_in_time < 0.3,
        "the injected bug has no effect: {uncapped_ratio} {uncapped_in_time}"
    );
}

#[test]
fn node_with_half_of_the_traffic_counts_in_full() {
    let mut fleet = Fleet::new(12, 8, 40.0, 8, StatsConfig::default());
    fleet.nodes[0].rate = 440.0;
    fleet.advance(ms(15_000));
    let (estimated, truth) = (fleet.estimated_demand(5).0, fleet.true_demand());
    assert!(
        (0.85..1.15).contains(&(estimated / truth)),
        "{estimated} of {truth}"
    );
}

#[test]
fn old_reports_lose_their_weight() {
    let weight = |bug: Option<InjectedBug>| {
        let mut fleet = Fleet::new(
            6,
            4,
            20.0,
            9,
            StatsConfig {
                injected_bug: bug,
                ..StatsConfig::default()
            },
        );
        fleet.advance(ms(10_000));
        // The partition separates node 0 from the other five nodes.
        fleet.network.max_delay = ms(0);
        fleet.partition_at = Some(1);
        fleet.advance(ms(40_000));
        fleet.estimate(0).coverage.weight
    };
    assert!(
        weight(None) < 0.6,
        "reports of five of six nodes are 40 s old"
    );
    assert!(
        weight(Some(InjectedBug::IgnoreAge)) > 0.9,
        "the injected bug has no effect"
    );
}

#[test]
fn loss_and_delay_never_understate_the_age_of_a_report() {
    let mut fleet = Fleet::new(12, 8, 20.0, 10, StatsConfig::default());
    fleet.network = Network {
        loss_percent: 20,
        max_delay: ms(1500),
    };
    for _ in 0..30 {
        fleet.advance(ms(1000));
        for number in 0..12 {
            for ((origin, incarnation), report) in fleet.nodes[number].exchange.reports().iter() {
                let of: usize = origin.as_str()[1..].parse().expect("a node number");
                if fleet.nodes[of].incarnation != *incarnation {
                    continue;
                }
                // Windows last one second, so the last window ended `version` seconds after the incarnation began.
                let ended = ms(10_000) + Duration::from_secs(report.version);
                let true_age = fleet.now.saturating_sub(ended);
                assert!(
                    report.age(fleet.now) + ms(1) >= true_age,
                    "{origin} at n{number}"
                );
            }
        }
    }
}

#[test]
fn hundred_nodes_exchange_by_groups_within_the_same_rate() {
    let mut fleet = Fleet::new(100, 40, 8.0, 11, StatsConfig::default());
    fleet.nodes[0].rate = 300.0;
    fleet.in_time_percent[3] = 40;
    fleet.network = Network {
        loss_percent: 2,
        max_delay: ms(20),
    };
    fleet.advance(ms(30_000));
    let (within, mean_error) = accuracy(&mut fleet, 4);
    assert!(within >= 0.95 && mean_error < 0.15, "{within} {mean_error}");
    assert!(
        fleet.max_bytes_per_second <= 10_000.0,
        "{} bytes a node and second",
        fleet.max_bytes_per_second
    );
    for number in (0..100).step_by(9) {
        let estimate = fleet.estimate(number);
        assert!(
            estimate.coverage.reporting >= 97 && estimate.coverage.age < ms(10_000),
            "n{number} {:?}",
            estimate.coverage
        );
        let bad = &estimate.backends[&BackendClass {
            backend: BackendId::of(4),
            class: class(),
        }];
        assert!((0.3..0.52).contains(&bad.in_time), "n{number} {bad:?}");
    }
}

/// `cargo test --release -p sillward-outcome-stats --test fleet -- --ignored --nocapture sizes`. The environment variable `SIZES`
/// lists the numbers of nodes.
#[test]
#[ignore = "a measurement"]
fn sizes() {
    println!(
        "| nodes | backends | age, s (middle, oldest) | within stated error | off by | bytes a node and s | stated error |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let sizes = std::env::var("SIZES").unwrap_or_else(|_| "12,30,100,300,734".to_owned());
    for nodes in sizes
        .split(',')
        .map(|nodes| nodes.parse::<usize>().expect("a number"))
    {
        let backends = (nodes / 2).clamp(8, 147);
        let mut fleet = Fleet::new(
            nodes,
            backends,
            3100.0 / 734.0 * 2.0,
            1,
            StatsConfig::default(),
        );
        fleet.nodes.iter_mut().enumerate().for_each(|(i, node)| {
            node.rate *= if i % 20 == 0 { 6.0 } else { 0.74 };
            node.swing = (0.2, 60.0);
        });
        fleet.network = Network {
            loss_percent: 2,
            max_delay: ms(20),
        };
        fleet.advance(ms(60_000));
        fleet.bytes = 0;
        let (within, mean_error) = accuracy(&mut fleet, 10);
        let bytes = fleet.bytes as f64 / 10.0 / nodes as f64;
        let (share, (estimated, error)) = (
            fleet.estimate(nodes / 2).coverage,
            fleet.estimated_demand(nodes / 2),
        );
        println!(
            "| {nodes} | {backends} | {:.1}, {:.1} (fresh for {:.1}) | {:.3} | {:.3} | {bytes:.0} | {:.2} |",
            share.age.as_secs_f64(),
            share.oldest.as_secs_f64(),
            fleet.nodes[nodes / 2].exchange.fresh_for().as_secs_f64(),
            within,
            mean_error,
            error / estimated
        );
    }
}
