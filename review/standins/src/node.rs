//! The node: a process started with the `run` of the deploy file.

use crate::Record;
use crate::http::{Answer, Client};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Node {
    child: Child,
    log: PathBuf,
    pub label: String,
    record: Record,
}

/// What to start.
pub struct Start<'a> {
    pub label: &'a str,
    pub config: &'a Path,
    /// Further words of the command line.
    pub arguments: &'a str,
    pub temp_dir: &'a Path,
    /// A listening socket that the process inherits as descriptor 3.
    pub listener: Option<OwnedFd>,
    pub children: &'a Arc<Mutex<Vec<u32>>>,
}

/// A new empty folder for a run.
pub fn temp_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("a command to run");
    line.split('"').nth(1).expect("a text").to_owned()
}

pub fn signal(pid: u32, name: &str) {
    let words = format!("kill -s {name} {pid}");
    let _ = Command::new("/bin/sh").arg("-c").arg(words).status();
}

impl Node {
    pub fn start(start: Start<'_>, record: &Record) -> Self {
        let log = start.temp_dir.join(format!("{}.log", start.label));
        let output = File::create(&log).expect("a log");
        let mut words = format!("{} {}", run_command(), start.arguments);
        let mut command = Command::new("/bin/sh");
        command
            .env("PROXY_CONFIG", start.config)
            .env("TMPDIR", start.temp_dir)
            .stdout(output.try_clone().expect("a log"))
            .stderr(output);
        match start.listener {
            Some(listener) => {
                words = format!("exec 3<&0 0</dev/null; {words}");
                command
                    .env("PROXY_LISTEN_FD", "3")
                    .stdin(Stdio::from(listener));
            }
            None => {
                command.stdin(Stdio::null());
            }
        }
        record.line(format!("platform: starts {}: {words}", start.label));
        let child = command
            .arg("-c")
            .arg(&words)
            .spawn()
            .expect("the node starts");
        start.children.lock().unwrap().push(child.id());
        Node {
            child,
            log,
            label: start.label.to_owned(),
            record: record.clone(),
        }
    }

    pub fn signal(&self, name: &str) {
        self.record
            .line(format!("platform: SIG{name} to {}", self.label));
        signal(self.child.id(), name);
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Waits until an address answers a path with 200; false if it does not within a time.
    pub fn wait_ready(&mut self, at: SocketAddr, path: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until && self.ended().is_none() {
            let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            if let Answer::Whole(200, _) = Client::new(at).send(request.as_bytes()) {
                self.record
                    .line(format!("platform: {} says yes at {path}", self.label));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Ends the process, and copies its log into the record.
    pub fn end(&mut self) {
        if self.ended().is_none() {
            let _ = self.child.kill();
        }
        let status = self.child.wait().map(|s| s.to_string()).unwrap_or_default();
        self.record
            .line(format!("platform: {} has ended: {status}", self.label));
        for line in fs::read_to_string(&self.log)
            .unwrap_or_default()
            .lines()
            .take(60)
        {
            self.record.line(format!("log of {}: {line}", self.label));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
