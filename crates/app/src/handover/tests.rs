//! Words between two processes where one of them does not read.

use super::*;
use sillward_runtime::task::block_on;
use sillward_runtime::time::Instant;

/// Only ends a test that has gone wrong.
const PATIENCE: Duration = Duration::from_secs(10);

/// The newer process stops reading until the connection takes nothing more: what it hears once it reads again is every word
/// that was begun, whole, and the last one after them.
#[test]
fn a_word_that_found_no_room_is_said_whole_once_there_is_some() {
    let heard = block_on(async {
        let (stream, reads) = LocalStream::pair().expect("two ends");
        let mut newer = Listener {
            stream,
            unsent: Vec::new(),
            said: None,
        };
        let mut talk = Talk {
            stream: reads,
            unread: String::new(),
        };
        // What is dropped for want of room shows as sends that took their time and left nothing.
        let (mut said, mut slow) = (0, 0);
        while newer.unsent.is_empty() && slow < 50 {
            said += 1;
            newer.unsent = line(Holding {
                clients: said,
                ..Holding::default()
            })
            .into_bytes();
            let began = Instant::now();
            newer.send().await;
            slow += usize::from(began.elapsed() >= LOOK);
        }
        let mut heard = Vec::new();
        while heard.len() < said {
            match timeout(PATIENCE, talk.next()).await {
                Ok(Word::Holds(holding)) => heard.push(holding.clients),
                _ => panic!("nothing after {} words of {said}", heard.len()),
            }
            // As the process does at its next look.
            newer.send().await;
        }
        (said, heard)
    });
    let (said, heard) = heard.expect("a runtime");
    assert!(said > 10, "the connection was never full");
    assert_eq!(heard, (1..=said).collect::<Vec<_>>());
}
