//! Clients that send corrections, one after the other.

use crate::client::{self, Sent};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(20);

/// Clients that send corrections until they are told to end.
pub struct Traffic {
    ended: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    clients: Vec<std::thread::JoinHandle<()>>,
}

impl Traffic {
    pub fn start(listen: SocketAddr, record: &Record) -> Self {
        let mut traffic = Traffic {
            ended: Arc::default(),
            served: Arc::default(),
            refused: Arc::default(),
            failed: Arc::default(),
            clients: Vec::new(),
        };
        for number in 0..CLIENTS {
            let (ended, served) = (traffic.ended.clone(), traffic.served.clone());
            let (refused, failed) = (traffic.refused.clone(), traffic.failed.clone());
            let record = record.clone();
            traffic.clients.push(std::thread::spawn(move || {
                let mut stream = client::connect(listen).expect("a connection");
                for call in 0.. {
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("correct-{number}-{call}-{}", crate::unix_ms());
                    let sent = Sent {
                        method: "POST",
                        target: "/tally-correct/station-1",
                        id: &id,
                        budget_ms: 2500,
                        key: None,
                        body: b"one more",
                    };
                    let answer = client::ask(&mut stream, &sent, Duration::from_millis(3100));
                    let counter = match answer.status {
                        200 => &served,
                        429 | 503 => &refused,
                        status => {
                            record.line(format_args!("{id} failed: {status}"));
                            &failed
                        }
                    };
                    counter.fetch_add(1, Ordering::SeqCst);
                    if !answer.whole {
                        match client::connect(listen) {
                            Ok(new) => stream = new,
                            Err(_) => return,
                        }
                    }
                    std::thread::sleep(PAUSE);
                }
            }));
        }
        traffic
    }

    /// Ends the clients, and writes what they were told to the record.
    pub fn end(self, record: &Record) {
        self.ended.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("a client");
        }
        record.line(format_args!(
            "{} corrections were served, {} refused, {} failed",
            self.served.load(Ordering::SeqCst),
            self.refused.load(Ordering::SeqCst),
            self.failed.load(Ordering::SeqCst)
        ));
    }
}
