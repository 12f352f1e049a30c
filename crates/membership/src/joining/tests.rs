use super::{Joining, MAX_RESPONSES_PER_SECOND};
use crate::counters::Counters;
use crate::event::Action;
use crate::local_node::LocalNode;
use crate::metadata::NodeMetadata;
use crate::name::Name;
use crate::node::Node;
use crate::settings::MembershipSettings;
use std::net::SocketAddr;
use std::time::Duration;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn node(seeds: Vec<SocketAddr>) -> Node {
    let local = LocalNode {
        name: Name::new("n0").expect("a valid name"),
        address: address(1),
        metadata: NodeMetadata::default(),
        seeds,
    };
    Node::new(MembershipSettings::default(), local, 1, Duration::ZERO)
}

fn targets(node: &mut Node) -> Vec<SocketAddr> {
    let actions = std::mem::take(&mut node.actions);
    let targets = actions.iter().filter_map(|action| match action {
        Action::Send { to, .. } => Some(*to),
        Action::Sync { .. } | Action::StoreIncarnation(_) | Action::Log(_) => None,
    });
    targets.collect()
}

#[test]
fn never_sends_joins_to_its_own_address() {
    let mut node = node(vec![address(1)]);
    let mut joining = Joining::new(Duration::ZERO);
    for second in 0..10 {
        joining.tick(&mut node, Duration::from_secs(second));
    }
    assert!(targets(&mut node).is_empty());
}

#[test]
fn retries_with_backoff_until_joined() {
    let mut node = node(vec![address(2)]);
    let mut joining = Joining::new(Duration::ZERO);
    let mut join_times = Vec::new();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(20) {
        joining.send_due_joins(&mut node, now);
        if !targets(&mut node).is_empty() {
            join_times.push(now);
        }
        now += Duration::from_millis(1);
    }
    assert!((8..=20).contains(&join_times.len()), "{join_times:?}");
    joining.mark_joined();
    joining.send_due_joins(&mut node, now + Duration::from_secs(60));
    assert!(targets(&mut node).is_empty());
    joining.restart(now);
    joining.send_due_joins(&mut node, now);
    assert_eq!(targets(&mut node), [address(2)]);
}

#[test]
fn limits_responses_per_second() {
    let mut counters = Counters::default();
    let mut joining = Joining::new(Duration::ZERO);
    let allowed = (0..1_000)
        .filter(|_| joining.responses.allow(Duration::ZERO, &mut counters))
        .count();
    assert_eq!(allowed, MAX_RESPONSES_PER_SECOND as usize);
    assert_eq!(
        counters.rate_limited_responses,
        1_000 - u64::from(MAX_RESPONSES_PER_SECOND)
    );
    assert!(
        joining
            .responses
            .allow(Duration::from_secs(1), &mut counters)
    );
}
