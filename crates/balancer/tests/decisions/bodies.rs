//! Requests whose body is still being received, and streamed responses.

use crate::actions::{failed, rejected, sent_to};
use crate::common::*;
use sillward_balancer::*;
use std::time::Duration;

/// A node with two servers in the same zone and cell. It does not use `Harness`, whose deadlines don't apply to requests
/// with a pending body.
struct BodyHarness {
    node: Balancer,
    now: std::time::Duration,
}

impl BodyHarness {
    fn new() -> Self {
        let mut harness = BodyHarness {
            node: Balancer::new(with_load_reports(), 1),
            now: ms(100_000),
        };
        harness.handle(Event::EndpointList {
            update: EndpointUpdate::Full,
            endpoints: vec![endpoint(0), endpoint(3)],
        });
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        actions
    }

    fn request(&mut self, id: u64, class: usize, body_pending: bool) -> Vec<Action> {
        let (id, remaining) = (RequestId(id), ms(1000));
        self.handle(Event::Request(NewRequest {
            id,
            class,
            remaining,
            body_pending,
            ..Default::default()
        }))
    }

    fn end(&mut self, id: u64, server: u64, outcome: Outcome, body_consumed: bool) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            id: RequestId(id),
            attempt: 0,
            server: ServerId(server),
            outcome,
            elapsed: ms(1),
            has_final_response: false,
            body_consumed,
            report: None,
        }))
    }
}

/// The times after which the timers of a request are due.
fn timers_of(id: u64, actions: &[Action]) -> Vec<Duration> {
    let timer = |action: &Action| match action {
        Action::SetTimer { after, token } if *token == id => Some(*after),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

#[test]
fn counts_the_deadline_from_the_last_byte_of_the_body() {
    let mut harness = BodyHarness::new();
    let actions = harness.request(1, 1, true);
    assert_eq!(
        sent_to(&actions).len(),
        1,
        "it is sent while its body arrives: {actions:?}"
    );
    assert!(
        timers_of(1, &actions)
            .iter()
            .all(|after| *after > ms(60_000)),
        "no deadline while its body arrives: {actions:?}"
    );
    harness.now += ms(30_000);
    assert!(
        harness.handle(Event::Timer { token: 1 }).is_empty(),
        "it is not past its deadline"
    );
    let actions = harness.handle(Event::BodyComplete {
        id: RequestId(1),
        since_last_byte: Duration::ZERO,
        body_consumed: true,
    });
    assert_eq!(
        timers_of(1, &actions),
        [ms(400)],
        "the latency objective counts from now: {actions:?}"
    );
    harness.now += ms(400);
    let actions = harness.handle(Event::Timer { token: 1 });
    assert!(
        failed(&actions) && sent_to(&actions).is_empty(),
        "{actions:?}"
    );
    assert!(
        harness
            .handle(Event::BodyComplete {
                id: RequestId(1),
                since_last_byte: Duration::ZERO,
                body_consumed: true
            })
            .is_empty(),
        "a repeated event has no effect"
    );
}

#[test]
fn rejects_a_request_in_time_where_no_server_is_eligible_for_its_body() {
    let mut harness = BodyHarness::new();
    harness.handle(Event::EndpointList {
        update: EndpointUpdate::Full,
        endpoints: Vec::new(),
    });
    assert!(
        sent_to(&harness.request(1, 1, true)).is_empty(),
        "no server is listed"
    );
    let mut waited = Duration::ZERO;
    let ended = loop {
        harness.now += ms(10);
        waited += ms(10);
        let actions = harness.handle(Event::Timer { token: 1 });
        if rejected(&actions) || failed(&actions) {
            break actions;
        }
        assert!(
            waited < ms(2000),
            "the body is not read, and the client gets no response"
        );
    };
    assert!(
        rejected(&ended) && waited >= ms(400),
        "rejected after its latency objective: {waited:?} {ended:?}"
    );
}

/// Guards against a deadline that counts from when the end of a body was read, though its client may have sent it earlier.
#[test]
fn the_deadline_counts_from_when_the_client_may_have_sent_the_last_byte() {
    let mut harness = BodyHarness::new();
    for (id, since_last_byte, left) in [(1, 150, 250), (2, 400, 0), (3, 9_000, 0)] {
        harness.request(id, 1, true);
        let actions = harness.handle(Event::BodyComplete {
            id: RequestId(id),
            since_last_byte: ms(since_last_byte),
            body_consumed: true,
        });
        assert_eq!(timers_of(id, &actions), [ms(left)], "{actions:?}");
    }
}

#[test]
fn counts_only_requests_with_complete_bodies_towards_overload() {
    let sends_after_24_requests = |complete: bool| {
        let mut harness = BodyHarness::new();
        for id in 1..=24 {
            let actions = harness.request(id, 1, true);
            if !complete {
                assert_eq!(sent_to(&actions).len(), 1, "{id}: {actions:?}");
            } else {
                harness.handle(Event::BodyComplete {
                    id: RequestId(id),
                    since_last_byte: Duration::ZERO,
                    body_consumed: true,
                });
            }
        }
        sent_to(&harness.request(99, 1, false)).len()
    };
    assert_eq!(sends_after_24_requests(false), 1);
    assert_eq!(sends_after_24_requests(true), 0);
}

#[test]
fn never_retries_a_consumed_body_and_rejects_it_only_if_nothing_ran() {
    let mut harness = BodyHarness::new();
    let first = sent_to(&harness.request(1, 1, true))[0];
    let actions = harness.end(1, first, Outcome::NotSent, false);
    assert_eq!(
        sent_to(&actions).len(),
        1,
        "its body is still buffered: {actions:?}"
    );
    let first = sent_to(&harness.request(2, 1, true))[0];
    let actions = harness.end(2, first, Outcome::NotSent, true);
    assert!(
        sent_to(&actions).is_empty() && rejected(&actions),
        "{actions:?}"
    );
    let first = sent_to(&harness.request(3, 1, true))[0];
    harness.handle(Event::BodyComplete {
        id: RequestId(3),
        since_last_byte: Duration::ZERO,
        body_consumed: true,
    });
    let actions = harness.end(3, first, Outcome::Reset, true);
    assert!(
        sent_to(&actions).is_empty() && failed(&actions),
        "it may have run: {actions:?}"
    );
}

#[test]
fn lets_a_started_response_be_the_only_one_and_never_times_it_out() {
    let mut harness = BodyHarness::new();
    let first = sent_to(&harness.request(1, 0, false))[0];
    harness.now += ms(399);
    let second = sent_to(&harness.handle(Event::Timer { token: 1 }));
    assert_eq!(second.len(), 1, "an attempt without a response is hedged");
    let started = Event::ResponseStarted {
        id: RequestId(1),
        attempt: 0,
        server: ServerId(first),
        report: None,
    };
    let actions = harness.handle(started.clone());
    assert_eq!(
        actions,
        [Action::CancelAttempt {
            id: RequestId(1),
            attempt: 1
        }]
    );
    harness.now += ms(5000);
    assert!(
        harness.handle(Event::Timer { token: 1 }).is_empty(),
        "a response that has started is not timed out"
    );
    assert!(
        harness.handle(started).is_empty(),
        "a repeated event has no effect"
    );
    let mut end = AttemptEnd {
        id: RequestId(1),
        attempt: 1,
        server: ServerId(second[0]),
        outcome: Outcome::Cancelled,
        elapsed: ms(1),
        has_final_response: true,
        body_consumed: false,
        report: None,
    };
    assert!(harness.handle(Event::AttemptEnded(end.clone())).is_empty());
    (end.attempt, end.server, end.outcome) = (0, ServerId(first), Outcome::Served);
    assert!(harness.handle(Event::AttemptEnded(end)).is_empty());
    // Both servers are idle again: neither end was counted twice.
    assert_eq!(sent_to(&harness.request(2, 1, false)).len(), 1);
}
