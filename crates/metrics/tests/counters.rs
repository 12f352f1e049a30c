//! The counters of a node and their text form.

use sillward_metrics::{Counters, EndpointGauges, RequestOutcome};

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn renders_the_counts_of_every_class_that_was_ever_registered() {
    let counters = Counters::new();
    counters.register_classes(&names(&["read", "submit"]));
    counters.request_ended(0, RequestOutcome::Served);
    counters.request_ended(1, RequestOutcome::Rejected);
    counters.request_ended(1, RequestOutcome::Failed);
    counters.request_ended(7, RequestOutcome::Served); // no such class
    counters.register_classes(&names(&["read", "submit", "late"]));
    counters.request_ended(2, RequestOutcome::Served);
    let text = counters.render(EndpointGauges {
        known: 9,
        avoided: 2,
    });
    assert_eq!(
        text,
        "node.handled.read.passed=1\nnode.handled.read.dropped=0\nnode.handled.read.bad_gateway=0\n\
         node.handled.submit.passed=0\nnode.handled.submit.dropped=1\nnode.handled.submit.bad_gateway=1\n\
         node.handled.late.passed=1\nnode.handled.late.dropped=0\nnode.handled.late.bad_gateway=0\n\
         node.upstream_tries=0\nnode.in_progress=0\nnode.known_backends=9\nnode.skipped_backends=2\n\
         node.loads=0\nnode.load_errors=0\nnode.older_settings=0\nnode.shutdown_refused=0\nnode.limit_refused=0\nnode.queued_messages=0\nnode.overdue_bodies=0\nnode.memory_refused=0\n"
    );
}

#[test]
fn counts_a_request_as_in_progress_until_its_guard_is_dropped() {
    let counters = Counters::new();
    let (first, second) = (counters.request_started(), counters.request_started());
    drop(first);
    assert!(
        counters
            .render(EndpointGauges::default())
            .contains("node.in_progress=1\n")
    );
    drop(second);
    assert!(
        counters
            .render(EndpointGauges::default())
            .contains("node.in_progress=0\n")
    );
}
