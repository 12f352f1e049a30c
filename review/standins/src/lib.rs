//! What the cases have in common: the record, free ports, the node's process, discovery, HTTP messages and a client.
//! Standard library only; all addresses are loopback addresses.

pub mod discovery;
pub mod http;
pub mod node;
pub mod thrift;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The file `record.txt` of a case. Each line begins with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.1}  {}", self.now(), text.as_ref());
    }

    /// A line of the record that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A loopback address with a port that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Ends this process after a time, with the code for a case that could not run.
pub fn watchdog(seconds: u64, children: Arc<Mutex<Vec<u32>>>) {
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        for pid in children.lock().unwrap().iter() {
            node::signal(*pid, "KILL");
        }
        println!("the case took longer than {seconds} s");
        std::process::exit(2);
    });
}
