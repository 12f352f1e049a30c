use super::EndpointPoller;
use crate::action::Action;
use crate::settings::SafetyRules;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const TOKEN: u64 = 7;

fn safety() -> SafetyRules {
    crate::settings::Settings::default().safety
}

/// Runs the housekeeping timer at `now` and returns whether the poller polls.
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
fn backoff_is_at_most_400_ms_after_any_number_of_failures() {
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
        "jitter shortens the backoff by at most half"
    );
}

#[test]
fn polls_again_without_a_response_and_not_after_success() {
    let mut poller = EndpointPoller::default();
    poller.start(Duration::ZERO, &safety(), 0.0);
    assert!(polls(&mut poller, MS));
    assert!(!polls(&mut poller, 4000 * MS));
    assert!(polls(&mut poller, 5001 * MS));
    poller.on_success();
    assert!(!polls(&mut poller, 60_000 * MS));
}
