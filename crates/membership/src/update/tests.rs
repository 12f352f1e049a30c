use super::{MemberState, MemberUpdate};
use crate::incarnation::Incarnation;
use crate::name::Name;

fn update(epoch: u32, refutation: u32, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        name: Name::new("n1").expect("a valid name"),
        address: "127.0.0.1:7946".parse().expect("a valid address"),
        incarnation: Incarnation { epoch, salt: 1 },
        refutation,
        state,
        suspected_by: 0,
    }
}

fn supersedes(new: (u32, u32, MemberState), known: (u32, u32, MemberState)) -> bool {
    let known_incarnation = Incarnation {
        epoch: known.0,
        salt: 1,
    };
    update(new.0, new.1, new.2).supersedes(known_incarnation, known.1, known.2)
}

#[test]
fn newer_incarnation_supersedes_any_state() {
    assert!(supersedes(
        (2, 0, MemberState::Alive),
        (1, 9, MemberState::Dead)
    ));
    assert!(!supersedes(
        (1, 9, MemberState::Dead),
        (2, 0, MemberState::Alive)
    ));
}

#[test]
fn refutation_supersedes_suspicion_but_not_death() {
    assert!(supersedes(
        (1, 1, MemberState::Alive),
        (1, 0, MemberState::Suspect)
    ));
    assert!(!supersedes(
        (1, 0, MemberState::Alive),
        (1, 0, MemberState::Suspect)
    ));
    assert!(!supersedes(
        (1, 9, MemberState::Alive),
        (1, 0, MemberState::Dead)
    ));
}

#[test]
fn end_of_an_incarnation_supersedes_any_refutation() {
    assert!(supersedes(
        (1, 0, MemberState::Dead),
        (1, 9, MemberState::Alive)
    ));
    assert!(supersedes(
        (1, 0, MemberState::Left),
        (1, 9, MemberState::Suspect)
    ));
    assert!(!supersedes(
        (1, 0, MemberState::Dead),
        (1, 0, MemberState::Left)
    ));
}
