use super::{AntiEntropy, MIN_DIFFERENCE_TIME, exchange};
use crate::event::{Action, ReceivedSync};
use crate::incarnation::Incarnation;
use crate::local_node::LocalNode;
use crate::metadata::NodeMetadata;
use crate::name::Name;
use crate::node::Node;
use crate::settings::MembershipSettings;
use crate::update::{MemberState, MemberUpdate};
use crate::wire::SyncMessage;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn name(number: u32) -> Name {
    Name::new(&format!("n{number}")).expect("a valid name")
}

fn update(number: u32) -> MemberUpdate {
    MemberUpdate {
        name: name(number),
        address: "127.0.0.1:7946".parse().expect("a valid address"),
        incarnation: Incarnation { epoch: 1, salt: 1 },
        refutation: 0,
        state: MemberState::Alive,
        suspected_by: 0,
    }
}

fn node(number: u32, knows: impl Iterator<Item = u32>) -> Node {
    let local = LocalNode {
        name: name(number),
        address: "127.0.0.1:7946".parse().expect("a valid address"),
        metadata: NodeMetadata::default(),
        seeds: Vec::new(),
    };
    let mut node = Node::new(MembershipSettings::default(), local, 1, SECOND);
    node.local.incarnation = Incarnation { epoch: 1, salt: 1 };
    for other in knows {
        node.members.apply(&update(other), SECOND);
    }
    node
}

fn apply(node: &mut Node, message: &SyncMessage) {
    let (updates, invalid) = super::valid_updates(message);
    assert_eq!(invalid, 0);
    for update in updates.iter().filter(|u| !node.local.is_named(&u.name)) {
        node.members.apply(update, SECOND);
    }
}

#[test]
fn exchange_makes_both_digests_equal() {
    let mut a = node(0, 1..40);
    let mut b = node(1, (0..20).filter(|n| *n != 1).chain(60..70));
    assert_ne!(a.digest(), b.digest());
    let mut message = exchange::open(&a.members, &a.local);
    let mut steps = 0;
    loop {
        steps += 1;
        let receiver = if steps % 2 == 1 { &mut b } else { &mut a };
        apply(receiver, &message);
        let Some(response) = exchange::respond(&receiver.members, &receiver.local, &message) else {
            break;
        };
        message = response;
    }
    assert_eq!(steps, SyncMessage::STEP_DELIVER);
    assert_eq!(a.digest(), b.digest());
}

#[test]
fn equal_digests_get_no_response() {
    let a = node(0, 1..40);
    let b = node(1, (0..40).filter(|n| *n != 1));
    let message = exchange::open(&a.members, &a.local);
    assert_eq!(exchange::respond(&b.members, &b.local, &message), None);
}

#[test]
fn begins_an_exchange_only_after_digests_differed_for_some_time() {
    let mut node = node(0, 1..4);
    let mut anti_entropy = AntiEntropy::new(SECOND);
    anti_entropy.compare_digest(&mut node, SECOND, &update(1), 1);
    assert!(node.actions.is_empty());
    let equal = node.digest();
    anti_entropy.compare_digest(&mut node, SECOND * 2, &update(1), equal);
    anti_entropy.compare_digest(&mut node, SECOND * 3, &update(1), 1);
    assert!(node.actions.is_empty());
    anti_entropy.compare_digest(&mut node, SECOND * 3 + MIN_DIFFERENCE_TIME, &update(1), 1);
    assert!(matches!(node.actions[..], [Action::Sync { .. }]));
}

#[test]
fn rejects_requests_after_a_large_exchange() {
    let mut node = node(0, 1..200);
    let mut anti_entropy = AntiEntropy::new(SECOND);
    let message = SyncMessage {
        step: SyncMessage::STEP_BUCKET_DIGESTS,
        digests: vec![0; 64],
        ..SyncMessage::default()
    };
    assert!(anti_entropy.accepts(&message, SECOND));
    let received = ReceivedSync {
        sender: name(1),
        incarnation: Incarnation { epoch: 1, salt: 1 },
        message: message.clone(),
    };
    anti_entropy.respond(&mut node, SECOND, &received);
    assert!(!anti_entropy.accepts(&message, SECOND));
    assert!(anti_entropy.accepts(&message, SECOND * 3));
    let response = SyncMessage {
        step: SyncMessage::STEP_MEMBER_DIGESTS,
        ..SyncMessage::default()
    };
    assert!(anti_entropy.accepts(&response, SECOND));
}
