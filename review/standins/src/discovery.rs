//! Discovery: the agent on the node's own machine, which pushes the list of backends.

use crate::Record;
use crate::http::{read_head, response};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A line of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub status: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":1,"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.zone, self.kind, self.status
        )
    }
}

#[derive(Default)]
struct State {
    index: u64,
    entries: BTreeMap<String, Entry>,
    changes: Vec<(u64, Entry)>,
    silent: bool,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery listens");
        let state = State {
            index: 1,
            entries: entries.into_iter().map(|e| (e.name.clone(), e)).collect(),
            ..State::default()
        };
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        discovery
    }

    /// The whole list, in discovery's form.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let lines: Vec<String> = state.entries.values().map(Entry::json).collect();
        format!(
            r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#,
            state.index,
            lines.join(",")
        )
    }

    /// Changes an entry; open watches are told at once.
    pub fn set_status(&self, name: &str, status: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        let entry = state.entries.get_mut(name).expect("a listed backend");
        entry.status = status;
        let entry = entry.clone();
        state.changes.push((index, entry));
    }

    /// While discovery is down the agent is silent: open watches stay open, and calls are not answered.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    fn is_silent(&self) -> bool {
        self.state.lock().unwrap().silent
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(Some(head)) = read_head(&mut stream) else {
            return;
        };
        while self.is_silent() {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.record.line(format!("discovery: {}", head.first_line));
        if !head.path().contains("stream=1") {
            let _ = stream.write_all(&response(200, "", &self.list()));
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut known = self.state.lock().unwrap().index;
        if write_line(&mut stream, &self.list()).is_err() {
            return;
        }
        let mut last_line_at = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(2));
            if self.is_silent() {
                continue;
            }
            let news: Vec<(u64, Entry)> = {
                let state = self.state.lock().unwrap();
                state
                    .changes
                    .iter()
                    .filter(|(i, _)| *i > known)
                    .cloned()
                    .collect()
            };
            let line = match news.last() {
                Some((index, _)) => {
                    known = *index;
                    let lines: Vec<String> = news.iter().map(|(_, e)| e.json()).collect();
                    let line = format!(
                        r#"{{"index":{index},"snapshot":false,"endpoints":[{}]}}"#,
                        lines.join(",")
                    );
                    self.record.line(format!("discovery tells: {line}"));
                    line
                }
                None if last_line_at.elapsed() >= Duration::from_secs(2) => String::new(),
                None => continue,
            };
            if write_line(&mut stream, &line).is_err() {
                return;
            }
            last_line_at = Instant::now();
        }
    }
}

fn write_line(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}
