use super::{ConcurrencyGate, LEVELS, level};

#[test]
fn levels_are_rounded_and_bounded() {
    assert_eq!([0.4, 0.6, 3.2, 1e9].map(level), [0, 1, 3, LEVELS - 1]);
}

#[test]
fn closes_a_level_and_those_above_it_after_late_responses() {
    let mut gate = ConcurrencyGate::new();
    (0..8).for_each(|_| gate.on_served_in_time(5));
    assert!(gate.admits(5, false, 1.0, 0.5) && gate.admits(6, false, 1.0, 0.5));
    (0..4).for_each(|_| gate.on_late(4));
    assert!(!gate.admits(5, false, 1.0, 0.5) && !gate.admits(6, false, 1.0, 0.5));
    assert!(gate.admits(3, false, 1.0, 0.5));
    assert!(
        gate.admits(5, true, 1.0, 0.05),
        "a trial request is admitted where nothing is in flight"
    );
}

#[test]
fn levels_far_above_those_served_in_time_are_unexplored() {
    let mut gate = ConcurrencyGate::new();
    assert!(!gate.is_unexplored(1) && gate.is_unexplored(2));
    gate.on_served_in_time(1);
    assert!(!gate.is_unexplored(4) && gate.is_unexplored(5));
}

#[test]
fn admits_higher_priority_more_often_once_servers_at_level_zero_are_late() {
    let mut gate = ConcurrencyGate::new();
    (0..12).for_each(|_| gate.on_late(0));
    assert!(!gate.admits(0, false, 1.0, 0.5));
    assert!(gate.admits(0, false, 4.0, 0.5));
}
