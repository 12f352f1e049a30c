//! Tests of the replay window and the rate limits.

mod common;

use common::{SECOND, name};
use proptest::prelude::*;
use sillward_membership::Incarnation;
use sillward_peer_transport::envelope::RejectReason;
use sillward_peer_transport::inbound_filter::InboundFilter;
use std::collections::BTreeSet;
use std::time::Duration;

proptest! {
    /// Sequence numbers may arrive in any order; those older than the replay window are rejected.
    #[test]
    fn accepts_each_sequence_number_once(numbers in proptest::collection::vec(1u64..300, 1..200)) {
        let (sender, incarnation) = (name("n3"), Incarnation { epoch: 1, salt: 7 });
        let mut filter = InboundFilter::new(8, SECOND);
        let (mut seen, mut highest) = (BTreeSet::new(), 0);
        for (place, number) in numbers.iter().enumerate() {
            let now = SECOND + Duration::from_millis(place as u64 * 10);
            let accepted = filter.admit(now, &sender, incarnation, *number).is_ok();
            highest = highest.max(*number);
            let expected = !seen.contains(number) && highest - number < 128;
            prop_assert_eq!(accepted, expected, "number {}", number);
            seen.insert(*number);
        }
    }
}

#[test]
fn restarts_the_replay_window_for_a_newer_incarnation_only() {
    let sender = name("n3");
    let (old, new) = (
        Incarnation { epoch: 1, salt: 7 },
        Incarnation { epoch: 2, salt: 3 },
    );
    let mut filter = InboundFilter::new(8, SECOND);
    assert!(filter.admit(SECOND, &sender, old, 500).is_ok());
    assert!(filter.admit(SECOND, &sender, new, 1).is_ok());
    assert!(
        filter.admit(SECOND, &sender, old, 501).is_ok(),
        "accepted, so that membership can notify the sender that its incarnation has ended"
    );
    assert_eq!(
        filter.admit(SECOND, &sender, new, 1),
        Err(RejectReason::Replayed)
    );
    assert!(filter.admit(SECOND, &sender, new, 2).is_ok());
}

/// Guards against floods from senders with a valid key, and against unbounded memory when they use ever new names.
#[test]
fn limits_member_rate_total_rate_and_tracked_members() {
    let incarnation = Incarnation { epoch: 1, salt: 7 };
    let mut filter = InboundFilter::new(8, SECOND);
    let sender = name("n3");
    let accepted = (1..100_000u64).filter(|number| {
        let now = SECOND + Duration::from_micros(number * 10);
        filter.admit(now, &sender, incarnation, *number).is_ok()
    });
    assert!(accepted.count() <= 800 + 400 + 1, "in one second");
    for number in 0..1_000 {
        let sender = name(&format!("x{number}"));
        let _ = filter.admit(SECOND * 3, &sender, incarnation, 1);
        assert!(filter.tracked_members() <= 8);
    }
    let read = (0..100_000u64)
        .filter(|n| filter.allow_read(SECOND * 4 + Duration::from_micros(n * 10)))
        .count();
    assert!(read <= 2_000 + 10_000 + 1, "{read} in one second");
}
