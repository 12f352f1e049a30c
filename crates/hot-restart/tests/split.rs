//! The limits of two processes of a node, in every order of events.

use sillward_hot_restart::{Event, ResourceSplit, Resources};

const ALONE: Resources = Resources {
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

fn fits(one: Resources, other: Resources) -> bool {
    let both = one.zip(other, |one, other| one + other);
    let together = ALONE.saturating_sub(OVERHEAD);
    both.client_connections <= together.client_connections
        && both.backend_connections <= together.backend_connections
        && both.body_bytes <= together.body_bytes
}

#[test]
fn a_process_alone_has_all_limits() {
    let split = ResourceSplit::new(ALONE, OVERHEAD);
    assert_eq!(split.limits(resources(3, 3, 3)), ALONE);
}

/// Over all orders of what can happen, with what both use drifting up to their limits: never more than the node's limits,
/// once the older one uses no more than both may.
#[test]
fn two_processes_keep_the_limits_in_every_order_of_events() {
    let mut checked = 0;
    for code in 0..6_usize.pow(6) {
        let mut old = ResourceSplit::new(ALONE, OVERHEAD);
        let mut new = ResourceSplit::new(ALONE, OVERHEAD);
        // The older one used this much when the newer came: at most what both may.
        let mut old_use = resources(code % 101, code % 61, code % 801);
        let mut new_use = Resources::default();
        old.handle(Event::NewerConnected);
        new.handle(Event::OlderFound);
        let mut old_runs = true;
        let mut new_runs = true;
        for step in 0..6 {
            match code / 6_usize.pow(step) % 6 {
                0 if old_runs && new_runs => {
                    new.handle(Event::OlderReported(old.report(old_use)));
                }
                1 if old_runs => old.handle(Event::Shutdown),
                // A process that is shutting down releases; what it used is reported later.
                2 if old_runs && old.is_shutting_down() => old_use = old_use.half(),
                3 if old_runs => old_use = old_use.max(old.limits(old_use)),
                4 if new_runs => new_use = new_use.max(new.limits(new_use)),
                5 if old_runs && code % 7 == 0 => {
                    old_runs = false;
                    old_use = Resources::default();
                    new.handle(Event::OlderExited);
                }
                5 if new_runs && code % 7 == 1 => {
                    new_runs = false;
                    new_use = Resources::default();
                    old.handle(Event::NewerExited);
                }
                _ => continue,
            }
            if old_runs && new_runs && fits(old_use, Resources::default()) {
                assert!(fits(old_use, new_use), "{code}: {old_use:?} {new_use:?}");
                checked += 1;
            }
        }
    }
    assert!(checked > 10_000, "{checked}");
}

#[test]
fn the_newer_process_grows_as_the_older_releases_and_has_all_when_it_has_exited() {
    let mut new = ResourceSplit::new(ALONE, OVERHEAD);
    new.handle(Event::OlderFound);
    assert_eq!(new.limits(Resources::default()), Resources::default());
    new.handle(Event::OlderReported(resources(60, 40, 500)));
    assert_eq!(new.limits(Resources::default()), resources(40, 20, 300));
    new.handle(Event::OlderReported(resources(10, 5, 0)));
    assert_eq!(new.limits(Resources::default()), resources(90, 55, 800));
    new.handle(Event::OlderExited);
    assert_eq!(new.limits(Resources::default()), ALONE);
}

#[test]
fn a_newer_process_that_exits_leaves_the_older_one_as_it_was() {
    let mut old = ResourceSplit::new(ALONE, OVERHEAD);
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
    assert_eq!(old.limits(resources(7, 6, 5)), ALONE);
}
