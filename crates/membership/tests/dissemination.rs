//! Dissemination of updates and values, and its limits.

mod common;

use common::{Fleet, Packet, SECOND, address, name};
use sillward_membership::MemberState;
use sillward_membership::wire::{Frame, FrameKind, MemberValue, Update};

/// Guards against a delayed value of an earlier incarnation that is taken for a current one.
#[test]
fn rejects_values_of_an_earlier_incarnation() {
    let mut fleet = Fleet::new(5, 33);
    fleet.run_until_agreed(SECOND * 10);
    let old = fleet.membership(3).incarnation();
    fleet.kill(3);
    fleet.start(3);
    fleet.run_until_agreed(SECOND * 10);
    let value = MemberValue {
        name: "n3".to_owned(),
        epoch: old.epoch,
        salt: old.salt,
        key: "holds".to_owned(),
        version: 900,
        value: b"a lease".to_vec(),
    };
    let frame = Frame {
        values: vec![value],
        ..Frame::default()
    };
    let (incarnation, to) = (
        fleet.membership(0).incarnation(),
        fleet.membership(1).incarnation().salt,
    );
    fleet.deliver(
        1,
        Packet::Frame {
            name: name(0),
            from: address(0),
            incarnation,
            to,
            frame,
        },
    );
    let membership = fleet.membership(1);
    assert!(
        membership
            .member(&name(3))
            .expect("the member is known")
            .value("holds")
            .is_none()
    );
}

/// Guards against unbounded growth when a member keeps sending updates about invented members.
#[test]
fn invented_members_stay_within_table_and_queue_bounds() {
    let mut fleet = Fleet::new(4, 10);
    fleet.settings.max_members = 64;
    (0..4).for_each(|i| fleet.start(i));
    fleet.run_until_agreed(SECOND * 10);
    let incarnation = fleet.membership(0).incarnation();
    for round in 0..2_000u32 {
        let update = |k: u32| Update {
            name: format!("x{round}-{k}"),
            address: vec![127, 1, 1, 1, 1, 1],
            epoch: 1,
            salt: 1,
            ..Update::default()
        };
        let frame = Frame {
            kind: FrameKind::Gossip as i32,
            updates: (0..4).map(update).collect(),
            ..Frame::default()
        };
        let to = fleet.membership(1).incarnation().salt;
        let packet = Packet::Frame {
            name: name(0),
            from: address(0),
            incarnation,
            to,
            frame,
        };
        fleet.deliver(1, packet);
    }
    let membership = fleet.membership(1);
    assert!(membership.members().count() <= 64);
    assert!(membership.pending_updates() <= 128);
    assert!(membership.counters().capacity_rejections > 0);
    // The real members must not be declared dead.
    for i in 0..4 {
        assert_ne!(fleet.state_of(1, i), Some(MemberState::Dead));
    }
}

#[test]
fn values_reach_all_members_and_are_dropped_with_their_member() {
    let mut fleet = Fleet::new(10, 12);
    fleet.run_until_agreed(SECOND * 10);
    let now = fleet.now;
    for version in 0..5u8 {
        fleet
            .membership_mut(3)
            .publish("load", &[version], now)
            .expect("the value is within its limits");
    }
    fleet.run(SECOND * 2);
    let value = |fleet: &Fleet, by: usize| {
        let membership = fleet.membership(by);
        membership
            .member(&name(3))
            .and_then(|m| m.value("load"))
            .map(|value| value.bytes.to_vec())
    };
    assert!(
        (0..10)
            .filter(|by| *by != 3)
            .all(|by| value(&fleet, by) == Some(vec![4]))
    );
    fleet.kill(3);
    fleet.run(SECOND * 6);
    assert!(
        (0..10)
            .filter(|by| *by != 3)
            .all(|by| value(&fleet, by).is_none())
    );
    // Values that exceed a limit are rejected and change nothing.
    let membership = fleet.membership_mut(4);
    assert!(membership.publish("", b"x", now).is_err());
    assert!(membership.publish("long", &[0; 113], now).is_err());
    let accepted = (0..40)
        .filter(|i| membership.publish(&format!("k{i}"), b"x", now).is_ok())
        .count();
    assert_eq!(accepted, 23, "24 values, of which one is the metadata");
}
