//! Reports between two processes where one of them does not read.

use super::UPDATE_INTERVAL;
use super::connection::{NewerConnection, OlderConnection, Report};
use sillward_hot_restart::Resources;
use sillward_runtime::task::block_on;
use sillward_runtime::time::{Instant, timeout};
use sillward_runtime::unix_socket::UnixStream;
use std::time::Duration;

/// Only ends a test that has gone wrong.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The newer process stops reading until the connection takes nothing more: once it reads again it gets every report that
/// was begun, whole, and the last one after them.
#[test]
fn sends_a_blocked_report_whole_once_the_newer_process_reads_again() {
    let received = block_on(async {
        let (stream, reads) = UnixStream::pair().expect("two ends");
        let mut newer = NewerConnection::new(stream);
        let mut older = OlderConnection::new(reads);
        // What is dropped for want of room shows as sends that took their time and left nothing.
        let mut sent = 0;
        let mut slow = 0;
        while newer.is_idle() && slow < 50 {
            sent += 1;
            newer.queue(Resources {
                client_connections: sent,
                ..Resources::default()
            });
            let began = Instant::now();
            newer.send().await;
            slow += usize::from(began.elapsed() >= UPDATE_INTERVAL);
        }
        let mut received = Vec::new();
        while received.len() < sent {
            match timeout(TEST_TIMEOUT, older.next()).await {
                Ok(Report::Resources(resources)) => received.push(resources.client_connections),
                _ => panic!("nothing after {} reports of {sent}", received.len()),
            }
            // As the process does at its next look.
            newer.send().await;
        }
        (sent, received)
    });
    let (sent, received) = received.expect("a runtime");
    assert!(sent > 10, "the connection was never full");
    assert_eq!(received, (1..=sent).collect::<Vec<_>>());
}
