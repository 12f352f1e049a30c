use super::{LocalHealth, MAX_SCORE};
use std::time::Duration;

const MIN: Duration = Duration::from_millis(100);

#[test]
fn score_lengthens_the_ack_timeout_within_bounds() {
    let mut health = LocalHealth::new(MIN);
    assert_eq!(health.ack_timeout(), MIN);
    health.degrade(2);
    assert_eq!((health.score(), health.ack_timeout()), (2, MIN * 3));
    health.degrade(100);
    assert_eq!(health.score(), MAX_SCORE);
    health.recover();
    assert_eq!(health.score(), MAX_SCORE - 1);
}

#[test]
fn base_timeout_follows_round_trips_within_bounds() {
    let mut health = LocalHealth::new(MIN);
    health.record_round_trip(MIN * 2);
    assert_eq!(health.round_trip(), Some(MIN * 2));
    assert_eq!(health.base_ack_timeout(), MIN * 6);
    health.record_round_trip(MIN * 100);
    assert_eq!(health.base_ack_timeout(), MIN * 10);
}
