use super::queue::{Topic, UpdateQueue};
use super::{Dissemination, FAN_OUT, FRAME_BURST};
use crate::incarnation::Incarnation;
use crate::local_node::{LocalNode, LocalState};
use crate::members::Members;
use crate::metadata::NodeMetadata;
use crate::name::Name;
use crate::update::{MemberState, MemberUpdate};
use crate::wire::Frame;
use prost::Message;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(100);

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

fn local() -> LocalState {
    let node = LocalNode {
        name: name(0),
        address: "127.0.0.1:7946".parse().expect("a valid address"),
        metadata: NodeMetadata::default(),
        seeds: Vec::new(),
    };
    LocalState::new(node, Incarnation { epoch: 1, salt: 7 })
}

#[test]
fn queue_orders_by_transmissions_then_newest_first() {
    let mut queue = UpdateQueue::new(8);
    for number in 1..=3 {
        queue.add(Topic::Member(name(number)));
    }
    queue.mark_sent(&Topic::Member(name(3)), 4);
    let order: Vec<Topic> = [2, 1, 3].map(|n| Topic::Member(name(n))).into();
    assert_eq!(queue.first(8), order);
}

#[test]
fn queue_drops_topics_after_their_limit_and_beyond_its_bound() {
    let mut queue = UpdateQueue::new(2);
    queue.add(Topic::Member(name(1)));
    queue.mark_sent(&Topic::Member(name(1)), 2);
    assert_eq!(queue.len(), 1);
    queue.mark_sent(&Topic::Member(name(1)), 2);
    assert!(queue.is_empty());
    for number in 1..=3 {
        queue.add(Topic::Member(name(number)));
    }
    assert_eq!(queue.len(), 2);
}

#[test]
fn piggybacked_gossip_never_exceeds_the_frame() {
    let mut members = Members::new(32);
    let mut dissemination = Dissemination::new(32, Duration::ZERO);
    for number in 1..20 {
        members.apply(&update(number), Duration::ZERO);
        dissemination.queue_member(name(number));
    }
    let mut frame = Frame::default();
    dissemination.piggyback(&mut frame, &local(), &members, 160);
    assert!(frame.updates.len() > 1);
    assert!(frame.encoded_len() <= 160, "{} bytes", frame.encoded_len());
}

#[test]
fn removed_members_are_dropped_from_the_queue() {
    let mut dissemination = Dissemination::new(32, Duration::ZERO);
    dissemination.queue_member(name(5));
    dissemination.queue_member(name(0));
    let mut frame = Frame::default();
    dissemination.piggyback(&mut frame, &local(), &Members::new(32), 160);
    assert_eq!(frame.updates.len(), 1);
    assert_eq!(dissemination.queued(), 1);
}

#[test]
fn gossip_rounds_are_rate_limited() {
    let mut dissemination = Dissemination::new(32, Duration::ZERO);
    dissemination.queue_member(name(1));
    assert_eq!(
        dissemination.begin_round(Duration::ZERO, INTERVAL),
        Some(FAN_OUT)
    );
    assert_eq!(dissemination.begin_round(Duration::ZERO, INTERVAL), None);
    let frames: usize = (1..=100)
        .filter_map(|round| dissemination.begin_round(INTERVAL * round, INTERVAL))
        .sum();
    assert!(
        frames <= FRAME_BURST as usize + 9 * 10,
        "{frames} frames in 10 s"
    );
}
