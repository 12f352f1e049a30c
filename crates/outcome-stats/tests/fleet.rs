//! Estimates of simulated fleets against the truth, under loss, delay, partitions, restarts and false reports.

mod common;

use common::{Fleet, Network, class, ms};
use sillward_outcome_stats::{BackendClass, BackendId, InjectedBug, StatsConfig};
use std::time::Duration;

/// Of all readings of all nodes, once a second for so long, the share within what they say they may be wrong by; and the mean of
/// how wrong they are, as a share.
fn accuracy(fleet: &mut Fleet, seconds: u64) -> (f64, f64) {
    let (mut good, mut all, mut off) = (0, 0, 0.0);
    for _ in 0..seconds {
        fleet.pass(ms(1000));
        let truth = fleet.truth();
        for number in (0..fleet.nodes.len()).step_by(fleet.nodes.len().div_ceil(12)) {
            let (read, error) = fleet.read(number);
            all += 1;
            good += usize::from((read - truth).abs() <= error);
            off += (read - truth).abs() / truth;
        }
    }
    (good as f64 / f64::from(all), off / f64::from(all))
}

#[test]
fn estimates_demand_within_the_stated_error() {
    for (seed, lost, late) in [(1, 0, 2), (2, 20, 500), (3, 5, 50)] {
        let mut fleet = Fleet::new(12, 8, 40.0, seed, StatsConfig::default());
        fleet.nodes[0].rate = 300.0;
        fleet.network = Network {
            lost,
            late: ms(late),
        };
        fleet
            .nodes
            .iter_mut()
            .for_each(|node| node.swing = (0.2, 20.0));
        fleet.pass(ms(10_000));
        let (within, off) = accuracy(&mut fleet, 20);
        assert!(
            within >= 0.95,
            "{seed}: {within} of the readings are within their error"
        );
        assert!(off < 0.2, "{seed}: {off}");
        assert!(
            fleet.most_bytes <= 10_000.0,
            "{seed}: {} bytes a node and second",
            fleet.most_bytes
        );
        let share = fleet.view(0).coverage;
        assert!(
            share.reporting == 12 && share.age < ms(8_000),
            "{seed}: {share:?}"
        );
    }
}

#[test]
fn estimates_backends_that_a_node_has_never_used() {
    let mut fleet = Fleet::new(12, 8, 30.0, 4, StatsConfig::default());
    fleet.good[3] = 40;
    // Node 11 is asked nothing.
    fleet.nodes[11].rate = 0.0;
    fleet.pass(ms(15_000));
    let view = fleet.view(11);
    let at = |backend: u64| {
        view.backends[&BackendClass {
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
    let median = at(4).latencies.quantile(0.5).expect("times");
    assert!(
        (22..=27).contains(&median.as_millis()),
        "24 ms, an eleventh off: {median:?}"
    );
}

#[test]
fn partitioned_half_fades_and_counts_once_after_recovery() {
    let mut fleet = Fleet::new(12, 8, 40.0, 5, StatsConfig::default());
    fleet.pass(ms(10_000));
    let before = fleet.view(0).coverage.weight;
    fleet.cut = Some(6);
    let mut weights = vec![before];
    for _ in 0..70 {
        fleet.pass(ms(1000));
        weights.push(fleet.view(0).coverage.weight);
    }
    // By a straight line, and nothing at once.
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
    // A half stands for the whole, and says how wrong that may be: its own callers ask as the others do.
    let ((read, error), truth) = (fleet.read(0), fleet.truth());
    assert!(
        (read - truth).abs() <= error && error > 0.1 * truth,
        "{read} +- {error} of {truth}"
    );
    fleet.cut = None;
    fleet.pass(ms(10_000));
    let (within, _) = accuracy(&mut fleet, 10);
    assert!(
        within >= 0.95 && fleet.view(0).coverage.weight > 0.99,
        "{within}"
    );
}

#[test]
fn restart_neither_doubles_nor_loses_demand() {
    let dip = |bug: Option<InjectedBug>| {
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
        fleet.pass(ms(10_000));
        let (mut least, mut most) = (f64::MAX, 0.0f64);
        for round in 0..30 {
            if round % 3 == 0 {
                fleet.restart(1 + round / 3);
            }
            fleet.pass(ms(500));
            let ratio = fleet.read(0).0 / fleet.truth();
            (least, most) = (least.min(ratio), most.max(ratio));
        }
        (least, most)
    };
    let (least, most) = dip(None);
    assert!(least > 0.75 && most < 1.25, "{least} to {most}");
    let (_, doubled) = dip(Some(InjectedBug::DoubleCountRestarts));
    assert!(doubled > 1.25, "the injected bug has no effect: {doubled}");
}

#[test]
fn false_reports_have_a_bounded_share_of_estimates() {
    let sway = |bug: Option<InjectedBug>| {
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
        fleet.pass(ms(15_000));
        let judged = fleet.view(0).backends[&BackendClass {
            backend: BackendId::of(1),
            class: class(),
        }]
            .in_time;
        (fleet.read(0).0 / fleet.truth(), judged)
    };
    let (sum, judged) = sway(None);
    assert!(
        sum <= 2.1,
        "all others together once more at the most: {sum}"
    );
    assert!(
        judged >= 0.97 * 0.75,
        "a fifth of the judgement at the most: {judged}"
    );
    let (believed, dead) = sway(Some(InjectedBug::NoShareCap));
    assert!(
        believed > 4.0 && dead < 0.3,
        "the injected bug has no effect: {believed} {dead}"
    );
}

#[test]
fn node_with_half_of_the_traffic_counts_in_full() {
    let mut fleet = Fleet::new(12, 8, 40.0, 8, StatsConfig::default());
    fleet.nodes[0].rate = 440.0;
    fleet.pass(ms(15_000));
    let (read, truth) = (fleet.read(5).0, fleet.truth());
    assert!((0.85..1.15).contains(&(read / truth)), "{read} of {truth}");
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
        fleet.pass(ms(10_000));
        // Everything that is said from now on is held up for 15 s, and asks are forgotten before that.
        fleet.network.late = ms(0);
        fleet.cut = Some(1);
        fleet.pass(ms(40_000));
        fleet.view(0).coverage.weight
    };
    assert!(weight(None) < 0.6, "five of six are 40 s old");
    assert!(
        weight(Some(InjectedBug::IgnoreAge)) > 0.9,
        "the injected bug has no effect"
    );
}

#[test]
fn loss_and_delay_never_make_a_report_younger() {
    let mut fleet = Fleet::new(12, 8, 20.0, 10, StatsConfig::default());
    fleet.network = Network {
        lost: 20,
        late: ms(1500),
    };
    for _ in 0..30 {
        fleet.pass(ms(1000));
        for number in 0..12 {
            for ((whose, incarnation), word) in fleet.nodes[number].exchange.reports().iter() {
                let of: usize = whose.as_str()[1..].parse().expect("a node");
                if fleet.nodes[of].incarnation != *incarnation {
                    continue;
                }
                // The word's last window ended so long after its incarnation began.
                let ended = ms(10_000) + Duration::from_secs(word.version);
                let true_age = fleet.now.saturating_sub(ended);
                assert!(
                    word.age(fleet.now) + ms(1) >= true_age,
                    "{whose} at n{number}"
                );
            }
        }
    }
}

#[test]
fn hundred_nodes_exchange_by_groups_within_the_same_rate() {
    let mut fleet = Fleet::new(100, 40, 8.0, 11, StatsConfig::default());
    fleet.nodes[0].rate = 300.0;
    fleet.good[3] = 40;
    fleet.network = Network {
        lost: 2,
        late: ms(20),
    };
    fleet.pass(ms(30_000));
    let (within, off) = accuracy(&mut fleet, 4);
    assert!(within >= 0.95 && off < 0.15, "{within} {off}");
    assert!(
        fleet.most_bytes <= 10_000.0,
        "{} bytes a node and second",
        fleet.most_bytes
    );
    for number in (0..100).step_by(9) {
        let view = fleet.view(number);
        assert!(
            view.coverage.reporting >= 97 && view.coverage.age < ms(10_000),
            "n{number} {:?}",
            view.coverage
        );
        let bad = &view.backends[&BackendClass {
            backend: BackendId::of(4),
            class: class(),
        }];
        assert!((0.3..0.52).contains(&bad.in_time), "n{number} {bad:?}");
    }
}

/// `cargo test --release -p sillward-outcome-stats --test fleet -- --ignored --nocapture sizes`
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
            lost: 2,
            late: ms(20),
        };
        fleet.pass(ms(60_000));
        fleet.bytes = 0;
        let (within, off) = accuracy(&mut fleet, 10);
        let bytes = fleet.bytes as f64 / 10.0 / nodes as f64;
        let (share, (read, error)) = (fleet.view(nodes / 2).coverage, fleet.read(nodes / 2));
        println!(
            "| {nodes} | {backends} | {:.1}, {:.1} (fresh for {:.1}) | {:.3} | {:.3} | {bytes:.0} | {:.2} |",
            share.age.as_secs_f64(),
            share.oldest.as_secs_f64(),
            fleet.nodes[nodes / 2].exchange.fresh_for().as_secs_f64(),
            within,
            off,
            error / read
        );
    }
}
