//! Counts and histograms merge in any order; arbitrary messages are decoded or rejected without a panic.

use proptest::prelude::*;
use sillward_membership::{Incarnation, Name};
use sillward_outcome_stats::codec::{MAX_COUNTS_BYTES, decode_counts, encode_counts};
use sillward_outcome_stats::{
    AttemptCounts, BackendClass, BackendId, CallCounts, ClassId, Counts, LatencyHistogram,
    StatsConfig, StatsExchange,
};
use std::time::Duration;

fn histograms() -> impl Strategy<Value = LatencyHistogram> {
    prop::collection::vec((0u8..70, 1u32..50), 0..6).prop_map(|buckets| {
        let mut histogram = LatencyHistogram::default();
        buckets
            .into_iter()
            .for_each(|(bucket, count)| histogram.add(bucket, count));
        histogram
    })
}

fn attempt_counts() -> impl Strategy<Value = AttemptCounts> {
    (prop::array::uniform7(0u32..500), histograms()).prop_map(
        |(
            [
                sent,
                in_time,
                late,
                rejected,
                failed,
                work_ms,
                health_checks,
            ],
            latencies,
        )| AttemptCounts {
            sent,
            in_time,
            late,
            rejected,
            failed,
            work_ms,
            health_checks,
            latencies,
        },
    )
}

fn counts(max_keys: usize) -> impl Strategy<Value = Counts> {
    let attempts_by_key =
        prop::collection::btree_map((1u32..400, 0u32..5), attempt_counts(), 0..max_keys);
    let calls_by_class =
        prop::collection::btree_map(0u32..5, prop::array::uniform3(0u32..900), 0..5);
    (attempts_by_key, calls_by_class).prop_map(|(attempts_by_key, calls_by_class)| Counts {
        attempts: attempts_by_key
            .into_iter()
            .map(|((backend, class), attempts)| {
                (
                    BackendClass {
                        backend: BackendId(backend),
                        class: ClassId(class),
                    },
                    attempts,
                )
            })
            .collect(),
        calls: calls_by_class
            .into_iter()
            .map(|(class, [first, retries, rejected])| {
                (
                    ClassId(class),
                    CallCounts {
                        first,
                        retries,
                        rejected,
                    },
                )
            })
            .collect(),
    })
}

fn merged(parts: &[&Counts]) -> Counts {
    let mut sum = Counts::default();
    parts.iter().for_each(|part| sum.merge(part));
    sum
}

/// Attempts sent, attempts ended and health checks by class, over all backends.
fn by_class(counts: &Counts) -> Vec<(u32, u64, u64, u64)> {
    let mut sums = std::collections::BTreeMap::<u32, (u64, u64, u64)>::new();
    for (key, attempts) in &counts.attempts {
        let sum = sums.entry(key.class.0).or_default();
        *sum = (
            sum.0 + u64::from(attempts.sent),
            sum.1 + attempts.ended(),
            sum.2 + u64::from(attempts.health_checks),
        );
    }
    sums.into_iter()
        .map(|(class, (a, b, c))| (class, a, b, c))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn counts_merge_in_any_order_and_grouping(a in counts(8), b in counts(8), c in counts(8)) {
        let all = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b]), &all);
        prop_assert_eq!(&merged(&[&a, &merged(&[&b, &c])]), &all);
    }

    #[test]
    fn decodes_encoded_counts_and_keeps_sums_of_omitted_backends(counts in counts(300)) {
        let bytes = encode_counts(&counts);
        prop_assert!(bytes.len() <= MAX_COUNTS_BYTES, "{}", bytes.len());
        let decoded = decode_counts(&bytes).expect("encoded counts are valid");
        prop_assert_eq!(&decoded.calls, &counts.calls);
        prop_assert_eq!(by_class(&decoded), by_class(&counts));
        if decoded.attempts.keys().all(|key| key.backend != BackendId::OTHERS) {
            prop_assert_eq!(decoded, counts);
        }
    }

    #[test]
    fn quantiles_are_within_the_stated_error(times in prop::collection::vec(2u64..60_000, 1..80), share in 0.0f64..1.0) {
        let mut histogram = LatencyHistogram::default();
        times.iter().for_each(|ms| histogram.record(Duration::from_millis(*ms)));
        let mut sorted = times.clone();
        sorted.sort();
        let rank = ((share * sorted.len() as f64).ceil() as usize).clamp(1, sorted.len());
        let (exact, estimated) = (sorted[rank - 1] as f64, histogram.quantile(share).expect("a non-empty histogram").as_secs_f64() * 1e3);
        prop_assert!((estimated - exact).abs() <= exact * (LatencyHistogram::MAX_RELATIVE_ERROR + 1e-6), "{} for {}", estimated, exact);
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_counts(&bytes);
        receive(&bytes);
    }

    /// Valid encodings with one byte changed, or truncated.
    #[test]
    fn damaged_reports_are_decoded_or_rejected(counts in counts(20), at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<prop::sample::Index>()) {
        let mut bytes = encode_counts(&counts);
        let place = at.index(bytes.len());
        bytes[place] = byte;
        let _ = decode_counts(&bytes);
        let _ = decode_counts(&bytes[..cut.index(bytes.len())]);
    }
}

fn receive(bytes: &[u8]) {
    let (own_name, other) = (
        Name::new("a").expect("a valid name"),
        Name::new("b").expect("a valid name"),
    );
    let (incarnation, now) = (Incarnation { epoch: 1, salt: 7 }, Duration::from_secs(5));
    let mut exchange = StatsExchange::new(StatsConfig::default(), own_name, incarnation, 1, now);
    let _ = exchange.tick(now, incarnation, [(&other, incarnation)].into_iter());
    let _ = exchange.handle_message(now, &other, incarnation, bytes);
    assert!(
        exchange.reports().len() <= 1,
        "stored a report that was not requested"
    );
}

/// Run with `cargo test --release -p sillward-outcome-stats --test parts -- --ignored`.
#[test]
#[ignore = "takes about 30 s"]
fn million_damaged_messages_are_decoded_or_rejected() {
    use rand_pcg::rand_core::{RngCore, SeedableRng};
    let mut random = rand_pcg::Pcg32::seed_from_u64(1);
    let mut counts = Counts::default();
    for backend in 1..9 {
        counts.record_attempt(
            BackendClass {
                backend: BackendId(backend),
                class: ClassId(1),
            },
            Duration::from_millis(3),
        );
    }
    let whole = encode_counts(&counts);
    for round in 0..1_000_000u32 {
        let mut bytes = if round % 2 == 0 {
            whole.clone()
        } else {
            vec![0; random.next_u32() as usize % 200]
        };
        if round % 2 == 1 {
            random.fill_bytes(&mut bytes);
        }
        for _ in 0..=random.next_u32() % 4 {
            if !bytes.is_empty() {
                let at = random.next_u32() as usize % bytes.len();
                bytes[at] = random.next_u32() as u8;
            }
        }
        let _ = decode_counts(&bytes);
        receive(&bytes);
    }
}

#[test]
fn accepts_windows_as_long_as_the_maximum_age() {
    let (own_name, other) = (
        Name::new("a").expect("a valid name"),
        Name::new("b").expect("a valid name"),
    );
    let (incarnation, now) = (Incarnation { epoch: 1, salt: 7 }, Duration::from_secs(5));
    let window = Duration::from_secs(10);
    let mut exchange = StatsExchange::new(
        StatsConfig {
            window,
            max_report_age: window,
            ..StatsConfig::default()
        },
        own_name,
        incarnation,
        1,
        now,
    );
    let requests = exchange.tick(now, incarnation, [(&other, incarnation)].into_iter());
    assert_eq!(requests.len(), 1);
    use prost::Message;
    let response = sillward_outcome_stats::wire::PullResponse {
        number: 1,
        ..Default::default()
    };
    let message = sillward_outcome_stats::wire::StatsMessage {
        request: None,
        response: Some(response),
    };
    exchange.handle_message(now, &other, incarnation, &message.encode_to_vec());
    assert!(exchange.fresh_for() <= window && exchange.estimate(now).coverage.living == 2);
}

#[test]
fn single_node_estimates_from_its_own_counts() {
    let (own_name, incarnation) = (
        Name::new("a").expect("a valid name"),
        Incarnation { epoch: 1, salt: 7 },
    );
    let mut now = Duration::from_secs(5);
    let mut exchange = StatsExchange::new(StatsConfig::default(), own_name, incarnation, 1, now);
    for _ in 0..100 {
        now += Duration::from_millis(100);
        exchange.counts(now).record_call(ClassId(1), false);
        assert!(exchange.tick(now, incarnation, [].into_iter()).is_empty());
    }
    let estimate = exchange.estimate(now);
    assert!(
        (8.0..12.0).contains(&estimate.demand[&ClassId(1)].first),
        "{estimate:?}"
    );
    assert_eq!(
        (estimate.coverage.living, estimate.coverage.reporting),
        (1, 1)
    );
}

#[test]
fn rejects_reports_that_were_not_requested() {
    use prost::Message;
    use sillward_outcome_stats::wire::{PullResponse, ReportMessage, StatsMessage};
    let (own_name, other) = (
        Name::new("a").expect("a valid name"),
        Name::new("b").expect("a valid name"),
    );
    let (incarnation, now) = (Incarnation { epoch: 1, salt: 7 }, Duration::from_secs(5));
    let mut exchange = StatsExchange::new(StatsConfig::default(), own_name, incarnation, 1, now);
    let requests = exchange.tick(now, incarnation, [(&other, incarnation)].into_iter());
    assert_eq!(requests.len(), 1, "{requests:?}");
    let mut counts = Counts::default();
    counts.record_call(ClassId(1), false);
    let report = |name: &str| ReportMessage {
        name: name.to_owned(),
        epoch: 1,
        salt: 7,
        version: 3,
        age_ms: 100,
        span_ms: 3000,
        counts: encode_counts(&counts),
        ..ReportMessage::default()
    };
    let response = |number: u64, name: &str| {
        let response = PullResponse {
            number,
            until: 1,
            salt: 7,
            reports: vec![report(name)],
            ..PullResponse::default()
        };
        StatsMessage {
            request: None,
            response: Some(response),
        }
        .encode_to_vec()
    };
    exchange.handle_message(now, &other, incarnation, &response(9, "b"));
    assert!(
        exchange.reports().is_empty(),
        "the request number does not match"
    );
    exchange.handle_message(now, &other, incarnation, &response(1, "a"));
    assert!(
        exchange.reports().is_empty(),
        "a report under this node's own name, from another node"
    );
    let mut second = StatsExchange::new(
        StatsConfig::default(),
        Name::new("a").expect("a valid name"),
        incarnation,
        1,
        now,
    );
    second.tick(now, incarnation, [(&other, incarnation)].into_iter());
    let later = now + Duration::from_millis(1500);
    second.handle_message(later, &other, incarnation, &response(1, "b"));
    let (_, report) = second
        .reports()
        .iter()
        .next()
        .expect("the requested report");
    assert_eq!(
        report.age(later),
        Duration::from_millis(1600),
        "the age counts from the time of the request"
    );
    second.handle_message(later, &other, incarnation, &response(1, "b"));
    assert_eq!(
        second.counters().invalid,
        1,
        "a duplicate response is invalid"
    );
}
