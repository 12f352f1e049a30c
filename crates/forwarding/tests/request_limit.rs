//! Tests of the limit of open requests.

use sillward_forwarding::RequestLimit;

#[tokio::test]
async fn admits_as_many_as_allowed_and_the_next_when_one_has_ended() {
    let limit = RequestLimit::new(2);
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
