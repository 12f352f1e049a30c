use super::EndpointPoller;
use crate::action::Action;
use crate::settings::SafetyRules;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const TOKEN: u64 = 7;

fn safety() -> SafetyRules {
    crate::settings::Settings::default().safety
}

/// Whether it polls at a time.
fn polls(poller: &mut EndpointPoller, now: Duration) -> bool {
    let mut actions = Vec::new();
    poller.on_tick(now, &safety(), TOKEN, &mut actions);
    assert!(matches!(
        actions.last(),
        Some(Action::SetTimer { token: TOKEN, .. })
    ));
    matches!(actions.first(), Some(Action::WatchEndpoints { on: true }))
}

#[test]
fn backs_off_up_to_four_tenths_of_a_second_whatever_failed_before() {
    let mut poller = EndpointPoller::default();
    let mut now = 1000 * MS;
    for longest in [200, 400, 400, 400] {
        poller.on_failure(now, 1.0);
        assert!(!polls(&mut poller, now + (longest - 1) * MS));
        now += longest * MS;
        assert!(polls(&mut poller, now));
    }
    poller.on_failure(now, 0.0);
    assert!(
        polls(&mut poller, now + 200 * MS),
        "jitter halves it at most"
    );
}

#[test]
fn polls_again_where_no_answer_comes_and_not_after_one() {
    let mut poller = EndpointPoller::default();
    poller.start(Duration::ZERO, &safety(), 0.0);
    assert!(polls(&mut poller, MS));
    assert!(!polls(&mut poller, 4000 * MS));
    assert!(polls(&mut poller, 5001 * MS));
    poller.on_success();
    assert!(!polls(&mut poller, 60_000 * MS));
}
