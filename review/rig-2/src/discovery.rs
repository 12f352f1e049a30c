//! Discovery: the list, and watches of it, as the protocol page words them.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub machine_type: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name,
            self.address,
            self.zone,
            self.machine_type,
            self.group,
            self.status,
            self.since_ms
        )
    }
}

struct State {
    index: u64,
    entries: Vec<Entry>,
    /// The changes, each with the index that it led to.
    changes: Vec<(u64, Entry)>,
    /// It has moved: it takes no new connection, and ends the open ones.
    closed: bool,
}

/// Discovery. Clones are the same one.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// How many calls have come.
    pub calls: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery listens");
        let address = listener.local_addr().expect("its address");
        let state = State {
            index: 1,
            entries,
            changes: Vec::new(),
            closed: false,
        };
        let discovery = Discovery {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            calls: Arc::default(),
        };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_closed() {
                    return;
                }
                let served = served.clone();
                std::thread::spawn(move || {
                    let _ = served.serve(stream);
                });
            }
        });
        discovery
    }

    /// Changes the status of a backend and tells all watches.
    pub fn set_status(&self, name: &str, status: &'static str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the list");
        state.index += 1;
        let index = state.index;
        let entry = state.entries.iter_mut().find(|entry| entry.name == name);
        let Some(entry) = entry else { return };
        entry.status = status;
        let entry = entry.clone();
        state.changes.push((index, entry));
        state.entries.retain(|entry| entry.status != "terminated");
        changed.notify_all();
    }

    /// Ends its watches, and takes no new connection: one more may come up, and is closed.
    pub fn close(&self) {
        let (state, changed) = &*self.state;
        state.lock().expect("the list").closed = true;
        changed.notify_all();
        // Wakes the thread that accepts, which drops the listener.
        drop(TcpStream::connect(self.address));
    }

    fn is_closed(&self) -> bool {
        self.state.0.lock().expect("the list").closed
    }

    /// Replaces the entry of a backend, or adds one, and tells all watches.
    pub fn set(&self, entry: Entry) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the list");
        state.index += 1;
        let index = state.index;
        state.entries.retain(|known| known.name != entry.name);
        state.entries.push(entry.clone());
        state.changes.push((index, entry));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut first = String::new();
        reader.read_line(&mut first)?;
        self.calls.fetch_add(1, Ordering::SeqCst);
        let mut line = String::new();
        while reader.read_line(&mut line)? > 2 {
            line.clear();
        }
        if !first.contains("stream=1") {
            let body = self.whole_list().1;
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        let (mut told, list) = self.whole_list();
        write_chunk(&mut stream, &list)?;
        loop {
            let (state, changed) = &*self.state;
            let waiting = state.lock().expect("the list");
            let (now, _) = changed
                .wait_timeout_while(waiting, Duration::from_secs(2), |state| {
                    state.index <= told && !state.closed
                })
                .expect("the list");
            if now.closed {
                return Ok(());
            }
            let news: Vec<String> = now
                .changes
                .iter()
                .filter(|(index, _)| *index > told)
                .map(|(_, entry)| entry.json())
                .collect();
            told = now.index;
            drop(now);
            let text = if news.is_empty() {
                "\n".to_owned()
            } else {
                format!(
                    "{{\"index\":{told},\"snapshot\":false,\"endpoints\":[{}]}}\n",
                    news.join(",")
                )
            };
            write_chunk(&mut stream, &text)?;
        }
    }

    /// The whole list, as the page words it, with the index that it has.
    pub fn whole_list(&self) -> (u64, String) {
        let state = self.state.0.lock().expect("the list");
        let entries: Vec<String> = state.entries.iter().map(Entry::json).collect();
        let text = format!(
            "{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}\n",
            state.index,
            entries.join(",")
        );
        (state.index, text)
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
    stream.flush()
}
