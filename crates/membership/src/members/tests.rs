use super::{Change, Members};
use crate::incarnation::Incarnation;
use crate::name::Name;
use crate::update::{MemberState, MemberUpdate};
use crate::values::Value;
use std::time::Duration;

fn name(number: u32) -> Name {
    Name::new(&format!("n{number}")).expect("a valid name")
}

fn update(number: u32, epoch: u32, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        name: name(number),
        address: "127.0.0.1:7946".parse().expect("a valid address"),
        incarnation: Incarnation { epoch, salt: 1 },
        refutation: 0,
        state,
        suspected_by: 0,
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn digest_depends_on_content_not_on_order() {
    let mut forwards = Members::new(8);
    let mut backwards = Members::new(8);
    for number in 0..4 {
        forwards.apply(&update(number, 1, MemberState::Alive), seconds(1));
        backwards.apply(&update(3 - number, 1, MemberState::Alive), seconds(2));
    }
    assert_eq!(forwards.digests(), backwards.digests());
    forwards.apply(&update(2, 1, MemberState::Dead), seconds(3));
    assert_ne!(forwards.digest(), backwards.digest());
    backwards.apply(&update(2, 1, MemberState::Left), seconds(3));
    assert_eq!(forwards.digest(), backwards.digest());
}

#[test]
fn full_table_evicts_the_oldest_inactive_member() {
    let mut members = Members::new(2);
    assert_eq!(
        members.apply(&update(1, 1, MemberState::Alive), seconds(1)),
        Change::Added
    );
    assert_eq!(
        members.apply(&update(2, 1, MemberState::Alive), seconds(1)),
        Change::Added
    );
    assert_eq!(
        members.apply(&update(3, 1, MemberState::Alive), seconds(2)),
        Change::Rejected
    );
    assert_eq!(
        members.apply(&update(1, 1, MemberState::Dead), seconds(3)),
        Change::Updated
    );
    assert_eq!(
        members.apply(&update(3, 1, MemberState::Alive), seconds(4)),
        Change::Added
    );
    assert!(members.get(&name(1)).is_none());
    assert_eq!(members.active().len(), 2);
}

#[test]
fn counts_each_independent_suspicion_once() {
    let mut members = Members::new(2);
    members.apply(&update(1, 1, MemberState::Alive), seconds(1));
    let suspicion = |suspected_by| MemberUpdate {
        suspected_by,
        ..update(1, 1, MemberState::Suspect)
    };
    assert_eq!(members.apply(&suspicion(7), seconds(2)), Change::Updated);
    assert_eq!(members.apply(&suspicion(7), seconds(3)), Change::Unchanged);
    assert_eq!(members.apply(&suspicion(8), seconds(3)), Change::Updated);
    let suspicion = members
        .get(&name(1))
        .and_then(|member| member.suspicion.clone());
    let suspicion = suspicion.expect("the member is suspected");
    assert_eq!(
        (suspicion.timeout_start, suspicion.suspecting),
        (seconds(2), vec![7, 8])
    );
}

#[test]
fn rejects_values_of_another_incarnation() {
    let mut members = Members::new(2);
    members.apply(&update(1, 2, MemberState::Alive), seconds(1));
    let value = Value {
        key: "load".into(),
        version: 1,
        bytes: b"1".as_slice().into(),
    };
    let old = Incarnation { epoch: 1, salt: 1 };
    let current = Incarnation { epoch: 2, salt: 1 };
    assert!(!members.store_value(&name(1), old, value.clone()));
    assert!(members.store_value(&name(1), current, value.clone()));
    assert!(!members.store_value(&name(2), current, value));
}

#[test]
fn removes_inactive_members_after_their_retention() {
    let mut members = Members::new(4);
    members.apply(&update(1, 1, MemberState::Alive), seconds(1));
    members.apply(&update(2, 1, MemberState::Dead), seconds(1));
    members.remove_inactive_before(seconds(1));
    assert!(members.get(&name(2)).is_some());
    members.remove_inactive_before(seconds(2));
    assert!(members.get(&name(2)).is_none());
    assert!(members.get(&name(1)).is_some());
}
