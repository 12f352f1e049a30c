//! The limits of two processes of a node during a hot restart.

use sillward_hot_restart::{Event, ResourceSplit, Resources};

const SINGLE: Resources = Resources {
    client_connections: 100,
    backend_connections: 80,
    body_bytes: 1000,
};
const OVERHEAD: Resources = Resources {
    client_connections: 0,
    backend_connections: 20,
    body_bytes: 200,
};

fn resources(
    client_connections: usize,
    backend_connections: usize,
    body_bytes: usize,
) -> Resources {
    Resources {
        client_connections,
        backend_connections,
        body_bytes,
    }
}

/// Whether two processes together use no more than their combined limits.
fn fits(old: Resources, new: Resources) -> bool {
    let total = old.zip(new, |old, new| old + new);
    let combined = SINGLE.saturating_sub(OVERHEAD);
    total.client_connections <= combined.client_connections
        && total.backend_connections <= combined.backend_connections
        && total.body_bytes <= combined.body_bytes
}

#[test]
fn a_single_process_has_the_full_limits() {
    let split = ResourceSplit::new(SINGLE, OVERHEAD);
    assert_eq!(split.limits(resources(3, 3, 3)), SINGLE);
}

/// Runs all sequences of six events in which both processes may use resources up to their limits. Together they must never
/// exceed the combined limits, as long as the older process alone does not.
#[test]
fn two_processes_keep_the_limits_in_every_order_of_events() {
    keep_the_limits_in_every_order_of_events(ResourceSplit::new(SINGLE, OVERHEAD));
}

#[test]
fn two_processes_with_uncounted_clients_keep_the_limits_in_every_order_of_events() {
    let split = ResourceSplit::new(SINGLE, OVERHEAD).with_uncounted_clients();
    keep_the_limits_in_every_order_of_events(split);
}

fn keep_the_limits_in_every_order_of_events(started: ResourceSplit) {
    let mut checked = 0;
    for code in 0..6_usize.pow(6) {
        let mut old = started.clone();
        let mut new = started.clone();
        // What the older process uses when the newer one starts: at most the combined limits.
        let mut old_use = resources(code % 101, code % 61, code % 801);
        let mut new_use = Resources::default();
        old.handle(Event::NewerConnected);
        new.handle(Event::OlderFound);
        let mut old_running = true;
        let mut new_running = true;
        for step in 0..6 {
            match code / 6_usize.pow(step) % 6 {
                0 if old_running && new_running => {
                    new.handle(Event::OlderReported(old.report(old_use)));
                }
                1 if old_running => old.handle(Event::Shutdown),
                // A process that is shutting down releases resources, and reports this later.
                2 if old_running && old.is_shutting_down() => old_use = old_use.half(),
                3 if old_running => old_use = old_use.max(old.limits(old_use)),
                4 if new_running => new_use = new_use.max(new.limits(new_use)),
                5 if old_running && code % 7 == 0 => {
                    old_running = false;
                    old_use = Resources::default();
                    new.handle(Event::OlderExited);
                }
                5 if new_running && code % 7 == 1 => {
                    new_running = false;
                    new_use = Resources::default();
                    old.handle(Event::NewerExited);
                }
                _ => continue,
            }
            if old_running && new_running && fits(old_use, Resources::default()) {
                assert!(fits(old_use, new_use), "{code}: {old_use:?} {new_use:?}");
                checked += 1;
            }
        }
    }
    assert!(checked > 10_000, "{checked}");
}

#[test]
fn the_newer_process_gets_what_the_older_one_releases_and_the_full_limits_after_its_exit() {
    let mut new = ResourceSplit::new(SINGLE, OVERHEAD);
    new.handle(Event::OlderFound);
    assert_eq!(new.limits(Resources::default()), Resources::default());
    new.handle(Event::OlderReported(resources(60, 40, 500)));
    assert_eq!(new.limits(Resources::default()), resources(40, 20, 300));
    new.handle(Event::OlderReported(resources(10, 5, 0)));
    assert_eq!(new.limits(Resources::default()), resources(90, 55, 800));
    new.handle(Event::OlderExited);
    assert_eq!(new.limits(Resources::default()), SINGLE);
}

#[test]
fn the_older_process_regains_the_full_limits_when_the_newer_one_exits() {
    let mut old = ResourceSplit::new(SINGLE, OVERHEAD);
    old.handle(Event::NewerConnected);
    assert_eq!(old.limits(resources(10, 10, 10)), resources(50, 30, 400));
    let report = old.report(resources(70, 10, 10));
    assert_eq!(report, resources(70, 30, 400), "it keeps what it uses");
    old.handle(Event::Shutdown);
    let limits = old.limits(resources(7, 3, 5));
    assert_eq!(
        limits,
        resources(7, 7, 400),
        "what its clients may still need"
    );
    assert_eq!(old.limits(resources(0, 3, 5)), resources(0, 3, 5));
    old.handle(Event::NewerExited);
    assert_eq!(old.limits(resources(7, 6, 5)), SINGLE);
}

/// Guards against Thrift calls for which a process that is being replaced has no memory, since no HTTP client is connected.
#[test]
fn a_process_with_uncounted_clients_keeps_its_share_until_it_exits() {
    let mut old = ResourceSplit::new(SINGLE, OVERHEAD).with_uncounted_clients();
    old.handle(Event::NewerConnected);
    assert_eq!(old.report(resources(0, 3, 5)), resources(50, 30, 400));
    old.handle(Event::Shutdown);
    assert_eq!(old.limits(resources(0, 3, 5)), resources(0, 30, 400));
    assert_eq!(old.report(resources(0, 3, 5)), resources(0, 30, 400));
    old.handle(Event::NewerExited);
    assert_eq!(old.limits(resources(0, 3, 5)), SINGLE);
}
