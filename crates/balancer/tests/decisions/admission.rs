//! Admission: crowding, priority, quotas, deadlines.

use crate::actions::{rejected, sent_to, serve};
use crate::common::*;
use sillward_balancer::*;

#[test]
fn reduces_admission_when_idle_looking_servers_are_late_and_recovers() {
    // Hundreds of nodes may choke the servers with one request each: none of them looks crowded to its node.
    let mut world = World::with_servers(with_load_reports(), 4);
    let sent = |world: &mut World, takes: u64| {
        let mut sent = 0;
        for _ in 0..200 {
            let (id, actions) = world.request(1);
            if !sent_to(&actions).is_empty() {
                sent += 1;
                world.pass(ms(takes));
                world.end(id, 0, Outcome::Served, Some(3.0));
            }
        }
        sent
    };
    assert_eq!(sent(&mut world, 50), 200);
    let slow = sent(&mut world, 390);
    assert!((15..100).contains(&slow), "{slow}");
    sent(&mut world, 50);
    assert_eq!(sent(&mut world, 50), 200);
}

#[test]
fn rejects_a_request_whose_expected_work_exceeds_its_deadline() {
    // The danger: in a busy fleet, heavy requests that can't be in time take the work of many light ones.
    let mut world = World::with_servers(with_load_reports(), 4);
    for _ in 0..60 {
        serve(&mut world, 3.0); // nobody is idle
    }
    assert!(
        rejected(&world.request_with(1, 0, ms(1000), Some(ms(420))).1),
        "420 ms of work, 400 to the aim"
    );
    assert_eq!(
        sent_to(&world.request_with(1, 0, ms(1000), Some(ms(200))).1).len(),
        1
    );
    for _ in 0..200 {
        serve(&mut world, 0.0);
    }
    assert_eq!(
        sent_to(&world.request_with(1, 0, ms(1000), Some(ms(420))).1).len(),
        1,
        "most are idle: it may try"
    );
}

#[test]
fn rejects_a_tenant_over_its_quota_first() {
    let mut settings = with_load_reports();
    settings.tenants = vec![
        Tenant {
            quota_per_s: 30.0,
            share: 0.5
        };
        2
    ];
    settings.over_quota_weight = 0.1;
    let mut world = World::with_servers(settings, 2);
    // Tenant 0 floods, tenant 1 keeps to its share; nothing crowded comes back in time.
    let mut refusals = [0, 0];
    for step in 0..2000 {
        let tenant = usize::from(step % 23 == 0);
        let (_, actions) = world.request_with(1, tenant, ms(1000), None);
        refusals[tenant] += usize::from(rejected(&actions));
        world.pass(ms(5));
        let out = world.out();
        if step % 10 == 0 && !out.is_empty() {
            world.end(out[0].0, out[0].1, Outcome::Served, None);
        }
    }
    let [flood, modest] = [refusals[0] as f64 / 1913.0, refusals[1] as f64 / 87.0];
    assert!(
        flood > 0.3 && modest < flood,
        "refused: {flood} of the flood, {modest} of the modest tenant"
    );
}

#[test]
fn fills_no_server_when_started_into_an_overload() {
    // The danger: dozens of requests of one node at a server before its first time-out is seen.
    let mut world = World::with_servers(with_load_reports(), 4);
    for _ in 0..300 {
        world.request(1);
        world.pass(ms(1));
    }
    assert!(
        world.out().len() <= 4 * 2,
        "{} out at four silent servers",
        world.out().len()
    );
}

#[test]
fn rejects_nothing_at_a_few_fast_servers_while_crowding_is_unexplored() {
    // The danger: a node learns one level of crowding after the other, and refuses all that goes beyond meanwhile.
    for servers in [1, 2] {
        let mut world = World::with_servers(with_load_reports(), servers);
        let mut refusals = 0;
        for _ in 0..400 {
            for _ in world.open().len()..12 {
                refusals += usize::from(rejected(&world.request(1).1));
            }
            world.pass(ms(5));
            let due: Vec<_> = world
                .out()
                .into_iter()
                .filter(|(id, _)| world.age(*id) >= ms(10))
                .collect();
            due.into_iter()
                .for_each(|(id, attempt)| drop(world.end(id, attempt, Outcome::Served, None)));
        }
        let refused = world
            .log
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. }))
            .count();
        assert_eq!((refusals, refused), (0, 0), "a list of {servers}");
        assert!(
            world
                .log
                .iter()
                .filter(|action| matches!(action, Action::Send { .. }))
                .count()
                > 1500
        );
    }
}

#[test]
fn bounds_requests_held_for_unexplored_crowding_and_rejects_them_once_a_server_is_late() {
    let mut world = World::with_servers(with_load_reports(), 1);
    let taken: Vec<_> = (0..100).map(|_| world.request(1)).collect();
    let at_once = taken
        .iter()
        .filter(|(_, actions)| rejected(actions))
        .count();
    assert_eq!(
        (world.out().len(), at_once),
        (2, 100 - 2 - 64),
        "two are out, 64 are held"
    );
    // All of it comes in time for the next, and is late for the aim: no more room, and that is said at once.
    world.pass(ms(390));
    for (id, attempt) in world.out() {
        world.end(id, attempt, Outcome::Served, None);
    }
    world.pass(ms(50));
    assert!(
        world.open().is_empty(),
        "{} are still held",
        world.open().len()
    );
}

#[test]
fn closes_a_crowding_level_after_slow_answers() {
    // The danger: servers choke while nearly all answers are still in time.
    let fill = |answer: u64| {
        let mut world = World::with_servers(with_load_reports(), 4);
        let mut most = 0;
        for _ in 0..2000 {
            world.request(1);
            world.pass(ms(2));
            most = most.max(world.out().len());
            let due: Vec<_> = world
                .out()
                .into_iter()
                .filter(|(id, _)| world.age(*id) >= ms(answer))
                .collect();
            due.into_iter()
                .for_each(|(id, attempt)| drop(world.end(id, attempt, Outcome::Served, Some(3.0))));
        }
        most
    };
    let (quick, late) = (fill(100), fill(390));
    assert!(
        quick >= 4 * 4,
        "{quick} out at four servers: answers with time to spare open the levels"
    );
    assert!(
        late <= 4 * 2,
        "{late} out at four servers: answers at the last moment keep them closed"
    );
}

#[test]
fn rejects_a_client_retry_past_its_latency_objective_without_an_attempt() {
    // The danger: clients that gave up come again, and work for answers worth nothing keeps a jam alive.
    let mut world = World::with_servers(with_load_reports(), 4);
    let repeat = |world: &mut World, left: u64| {
        let mut new = NewRequest {
            id: RequestId(1_000_000 + left),
            class: 0,
            remaining: ms(left),
            ..Default::default()
        };
        new.client_retry = true;
        world.take(new)
    };
    world.request_with(0, 0, ms(450), None); // a first try waits for 450 of the 1000 ms
    assert!(
        rejected(&repeat(&mut world, 550)),
        "450 ms have gone by, the aim is 400"
    );
    assert_eq!(
        sent_to(&repeat(&mut world, 650)).len(),
        1,
        "350 ms have gone by"
    );
    assert_eq!(
        sent_to(&repeat(&mut world, 449)).len(),
        1,
        "like a first try: it may have been refused at once"
    );
}

#[test]
fn admits_higher_priority_first_in_an_overload() {
    // The danger: a share of all alike is refused, and with it most of the worth.
    let mut settings = with_load_reports();
    settings.classes[1].priority_weight = 10.0;
    let mut world = World::with_servers(settings, 4);
    let mut sent = [0, 0];
    for step in 0..600 {
        let class = step % 2;
        let (id, actions) = world.request(class);
        if !sent_to(&actions).is_empty() {
            sent[class] += 1;
            world.pass(ms(390)); // with nothing to spare
            world.end(id, 0, Outcome::Served, Some(3.0));
        }
    }
    assert!(sent[1] > 2 * sent[0] && sent[0] > 0, "{sent:?}");
}

#[test]
fn sends_no_request_to_a_crowded_server_that_a_free_one_did_not_admit() {
    // The danger: in a jam the free servers are closed by chance and the crowded ones, known to serve, stay open.
    let mut settings = with_load_reports();
    settings.limits.max_attempts = 1;
    let mut world = World::with_servers(settings, 2);
    for _ in 0..40 {
        let ids = [world.request(1).0, world.request(1).0, world.request(1).0];
        world.pass(ms(20));
        for id in ids
            .into_iter()
            .filter(|id| world.out().contains(&(*id, 0)))
            .collect::<Vec<_>>()
        {
            world.end(id, 0, Outcome::Served, None);
        }
    }
    let (blocker, actions) = world.request(1); // one server has an attempt out, the other is free
    let busy = sent_to(&actions)[0];
    for _ in 0..60 {
        let (id, actions) = world.request(1);
        if sent_to(&actions).is_empty() {
            continue;
        }
        assert_ne!(
            sent_to(&actions),
            [busy],
            "the free server is open or nobody is"
        );
        world.pass(ms(1));
        world.end(id, 0, Outcome::Rejected, None);
    }
    assert!(!world.answered(blocker));
}
