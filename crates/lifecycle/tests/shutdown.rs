//! Tests of the schedule of a graceful shutdown.

use sillward_lifecycle::ShutdownSchedule;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a process that exits over requests that it has accepted.
#[test]
fn every_accepted_request_has_time_for_its_response_before_the_exit() {
    for longest in [1, 40, 600, 2500, 60_000] {
        let schedule = ShutdownSchedule::new(ms(10_000), ms(550), ms(longest));
        assert_eq!(schedule.exits_by(), ms(10_550 + longest));
        assert!(schedule.responses_by() < schedule.exits_by());
        for wanted in [0, 1, 500, 2500, 600_000] {
            let accepted = schedule.accepts_until(ms(wanted));
            let reserved = ms(wanted).min(ms(longest) / 4);
            assert_eq!(accepted + reserved, schedule.responses_by());
        }
    }
}

#[test]
fn long_deadlines_do_not_end_acceptance_for_most_of_the_shutdown() {
    let schedule = ShutdownSchedule::new(Duration::ZERO, ms(550), ms(20_000));
    assert!(schedule.accepts_until(ms(20_000)) > ms(15_000));
}
