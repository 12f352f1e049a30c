//! Tests of the limit of open requests.

use sillward_forwarding::{MemoryBudget, RequestLimit};

#[tokio::test]
async fn admits_as_many_as_allowed_and_the_next_when_one_has_ended() {
    let limit = RequestLimit::new(2, MemoryBudget::new(1 << 20));
    let first = limit.try_admit().expect("a permit");
    let second = limit.admit().await;
    assert!(limit.try_admit().is_none());
    let mut waiting = Box::pin(limit.admit());
    tokio::select! {
        biased;
        _ = &mut waiting => panic!("admitted a third request"),
        () = tokio::task::yield_now() => {}
    }
    drop(first);
    let third = waiting.await;
    assert!(limit.try_admit().is_none(), "the one that waited has it");
    drop((second, third));
    assert!(limit.try_admit().is_some());
}

/// Guards against open requests whose memory nobody counts.
#[test]
fn a_request_is_admitted_only_with_memory_which_it_holds_until_its_end() {
    let budget = MemoryBudget::new(10_000);
    let limit = RequestLimit::new(100, budget.clone());
    let mut permits = Vec::new();
    while let Some(permit) = limit.try_admit() {
        permits.push(permit);
    }
    assert_eq!(permits.len(), 2);
    assert!(budget.reserved() <= 10_000);
    permits.clear();
    assert_eq!(budget.reserved(), 0);
    assert!(limit.try_admit().is_some());
}
