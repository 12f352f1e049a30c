//! New and extreme settings in a running node.

use crate::actions::{failed, play, rejected, sent_to, serve, world_of_alike_servers};
use crate::common::*;
use sillward_balancer::*;

fn change_settings(world: &mut World, change: impl FnOnce(&mut Settings)) {
    let mut settings = world.settings.clone();
    change(&mut settings);
    world.settings = settings.clone();
    world.handle(Event::Settings(Box::new(settings)));
}

#[test]
fn keeps_the_idempotency_of_open_requests() {
    // Looser now: what must not run twice when it came must not later.
    let mut world = world_of_alike_servers(with_load_reports());
    let (id, _) = world.request(1);
    change_settings(&mut world, |settings| {
        settings.classes[1].idempotency = Idempotency::Idempotent
    });
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && failed(&actions),
        "{actions:?}"
    );
    // Stricter now: what may be repeated when it came still may, and is refused as harmless where it can't.
    let mut world = world_of_alike_servers(with_load_reports());
    let (id, _) = world.request(0);
    change_settings(&mut world, |settings| {
        settings.classes[0].idempotency = Idempotency::NonIdempotent
    });
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert_eq!(sent_to(&actions).len(), 1, "{actions:?}");
    let (id, _) = world.request(0);
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && failed(&actions),
        "a newcomer meets the new terms: {actions:?}"
    );
}

#[test]
fn tightens_open_requests_where_settings_come_by_consensus() {
    let stricter = |to: Idempotency| {
        let mut world = world_of_alike_servers(with_load_reports());
        let (id, _) = world.request(0);
        change_settings(&mut world, |settings| {
            settings.tighten_open_requests = true;
            settings.classes[0].idempotency = to;
        });
        let actions = world.end(id, 0, Outcome::Reset, None);
        sent_to(&actions).len()
    };
    assert_eq!(stricter(Idempotency::Idempotent), 1);
    assert_eq!(stricter(Idempotency::NonIdempotent), 0, "it may have run");
    // No box was told to drop its repeats.
    assert_eq!(
        stricter(Idempotency::Keyed {
            scope: Scope::All,
            window: ms(900)
        }),
        0
    );
}

#[test]
fn binds_open_requests_to_fewer_attempts_and_not_to_more() {
    let mut world = world_of_alike_servers(with_load_reports());
    let (id, _) = world.request(0);
    change_settings(&mut world, |settings| settings.limits.max_attempts = 1);
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && rejected(&actions),
        "{actions:?}"
    );
    let (id, _) = world.request(0);
    change_settings(&mut world, |settings| settings.limits.max_attempts = 3);
    let actions = world.end(id, 0, Outcome::Reset, None);
    assert!(
        sent_to(&actions).is_empty() && rejected(&actions),
        "it came when one was allowed: {actions:?}"
    );
    let (id, _) = world.request(0);
    assert_eq!(
        sent_to(&world.end(id, 0, Outcome::Reset, None)).len(),
        1,
        "a newcomer has three"
    );
}

#[test]
fn serves_new_classes_and_tenants_and_keeps_what_was_learnt() {
    let mut world = world_of_alike_servers(with_load_reports());
    for _ in 0..8 {
        world.pass(ms(50));
        serve(&mut world, 0.0);
    }
    play(&mut world, 40, |server| {
        if server == 0 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    });
    let before = world.balancer.endpoint_counts().ejected;
    change_settings(&mut world, |settings| {
        settings.classes.push(class(Idempotency::Idempotent));
        settings.tenants.push(Tenant {
            quota_per_s: 10.0,
            share: 1.0,
        });
    });
    assert_eq!(
        (before, world.balancer.endpoint_counts().ejected),
        (1, 1),
        "who is ejected stays so"
    );
    let (_, actions) = world.request(5);
    assert_eq!(sent_to(&actions).len(), 1, "{actions:?}");
}

#[test]
fn acts_sensibly_under_extreme_settings() {
    let one_node = Settings {
        nodes: 1,
        ..with_health_checks()
    };
    let free_probes = Settings {
        penalties: Penalties::default(),
        ..with_health_checks()
    };
    let mut blind = with_health_checks();
    blind.limits.health_checks = false;
    let silent = settings();
    let mut never_cold = with_load_reports();
    never_cold.safety = SafetyRules {
        slow_start_capacity: 1.0,
        slow_start_window: ms(0),
        ..never_cold.safety
    };
    for settings in [one_node, free_probes, blind, silent, never_cold] {
        let mut world = World::new(settings);
        let started = Some(world.now);
        world.list(
            EndpointUpdate::Full,
            (0..4)
                .map(|n| Endpoint {
                    started_at: started,
                    ..entry(n)
                })
                .collect(),
        );
        let mut served = 0;
        for _ in 0..100 {
            world.request(1);
            world.pass(ms(15));
            world.answer_health_checks(&[0, 1, 2, 3]);
            world.pass(ms(15));
            for (id, attempt) in world.out() {
                world.end(id, attempt, Outcome::Served, None);
                served += 1;
            }
        }
        assert!(
            served >= 90,
            "{served} of 100 served with {:?}",
            world.settings
        );
    }
}
