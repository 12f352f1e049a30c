//! Tests of the lifecycle of a node: health, draining and shutdown.

use sillward_lifecycle::{Event, EventOutcome, Lifecycle, LifecycleSettings};
use std::time::Duration;

const DEREGISTRATION_DELAY: Duration = Duration::from_millis(450);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node_in_service() -> Lifecycle {
    let mut node = Lifecycle::new(LifecycleSettings {
        deregistration_delay: DEREGISTRATION_DELAY,
    });
    assert!(
        !node.is_healthy() && !node.can_serve(),
        "no endpoints are known yet"
    );
    node.handle(at(0), Event::EndpointsKnown);
    assert!(node.is_healthy() && node.can_serve() && !node.is_draining());
    node
}

#[test]
fn reports_unhealthy_immediately_and_closes_idle_connections_after_the_deregistration_delay() {
    let mut node = node_in_service();
    assert_eq!(
        node.handle(at(1000), Event::OutOfService),
        EventOutcome::Applied
    );
    assert!(
        !node.is_healthy() && node.is_draining(),
        "the load balancer stops sending clients, and each response closes its connection"
    );
    assert!(node.can_serve(), "a node out of service can still serve");
    assert!(!node.may_close_idle(at(1449)));
    assert!(node.may_close_idle(at(1450)));
}

#[test]
fn does_not_restart_the_drain_on_a_repeated_event() {
    let mut node = node_in_service();
    node.handle(at(1000), Event::OutOfService);
    assert_eq!(
        node.handle(at(1400), Event::OutOfService),
        EventOutcome::Applied
    );
    assert!(
        node.may_close_idle(at(1450)),
        "the delay counts from the first event"
    );
}

#[test]
fn is_healthy_immediately_when_returned_to_service_during_the_deregistration_delay() {
    let mut node = node_in_service();
    node.handle(at(1000), Event::OutOfService);
    assert_eq!(
        node.handle(at(1100), Event::InService),
        EventOutcome::Applied
    );
    assert!(node.is_healthy() && !node.is_draining());
    assert!(!node.may_close_idle(at(9000)), "the drain was cancelled");
    node.handle(at(9000), Event::OutOfService);
    assert!(
        !node.may_close_idle(at(9449)),
        "a second drain has a new delay"
    );
}

#[test]
fn rejects_a_return_to_service_while_shutting_down() {
    let mut node = node_in_service();
    node.handle(at(1000), Event::OutOfService);
    node.handle(at(1200), Event::ShutDown);
    assert_eq!(
        node.handle(at(1300), Event::InService),
        EventOutcome::RejectedShuttingDown
    );
    assert!(!node.is_healthy() && !node.can_serve() && node.is_draining());
    assert!(
        node.may_close_idle(at(1450)),
        "the delay counts from the drain that preceded the shutdown"
    );
}

/// Checks all sequences of six events: a node is healthy only if its endpoints are known and it is in service.
#[test]
fn is_never_healthy_while_out_of_service_or_shutting_down_in_any_order_of_events() {
    let events = [
        Event::EndpointsKnown,
        Event::OutOfService,
        Event::InService,
        Event::ShutDown,
    ];
    for code in 0..4_usize.pow(6) {
        let mut node = Lifecycle::new(LifecycleSettings {
            deregistration_delay: DEREGISTRATION_DELAY,
        });
        let (mut endpoints_known, mut out_of_service, mut shutting_down) = (false, false, false);
        for step in 0..6 {
            let event = events[code / 4_usize.pow(step) % 4];
            node.handle(at(step.into()), event);
            match event {
                Event::EndpointsKnown => endpoints_known = true,
                Event::OutOfService => out_of_service = true,
                Event::InService => out_of_service &= shutting_down,
                Event::ShutDown => shutting_down = true,
            }
            assert_eq!(
                node.is_healthy(),
                endpoints_known && !out_of_service && !shutting_down,
                "{code} {step}"
            );
            assert_eq!(
                node.can_serve(),
                endpoints_known && !shutting_down,
                "{code} {step}"
            );
            assert_eq!(
                node.is_draining(),
                out_of_service || shutting_down,
                "{code} {step}"
            );
        }
    }
}
