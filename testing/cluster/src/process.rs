//! A process of the program. Dropped, it is ended by its id.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Lines of the log that are kept.
const LINES: usize = 400;

/// What is started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program.
    pub program: PathBuf,
    /// The platform's configuration, and the operator file.
    pub config: PathBuf,
    /// See there.
    pub operator: PathBuf,
    /// Variables of its environment.
    pub environment: Vec<(String, String)>,
}

/// A process that runs, or did.
pub struct Process {
    child: Child,
    /// Where it takes clients.
    pub clients: SocketAddr,
    /// Where it listens for the fleet.
    pub fleet: SocketAddr,
    /// Where it listens for operators.
    pub admin: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts one and waits until it listens.
    ///
    /// # Errors
    /// It does not: its last lines.
    pub fn start(start: &Start) -> Result<Self, String> {
        let mut command = Command::new(&start.program);
        command
            .arg("--operator")
            .arg(&start.operator)
            .env("PROXY_CONFIG", &start.config);
        command.envs(start.environment.iter().map(|(name, value)| (name, value)));
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .map_err(|e| format!("cannot start {}: {e}", start.program.display()))?;
        let Some(stderr) = child.stderr.take() else {
            return Err("no log".to_owned());
        };
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let (mut clients, mut fleet, mut admin, mut seen) = (None, None, None, Vec::new());
        while clients.is_none() || fleet.is_none() || admin.is_none() {
            let Some(line) = lines.next() else {
                let _ = child.kill();
                let _ = child.wait();
                return Err(seen.join("; "));
            };
            let after = |what: &str| line.split_once(what).and_then(|(_, at)| at.parse().ok());
            clients = clients.or_else(|| after(" listens on "));
            fleet = fleet.or_else(|| after(" listens for its fleet on "));
            admin = admin.or_else(|| after(" listens for operators on "));
            seen.push(line);
        }
        let log = Arc::new(Mutex::new(seen));
        let kept = log.clone();
        spawn(move || {
            for line in lines {
                let mut kept = kept.lock().expect("the log");
                if kept.len() >= LINES {
                    kept.remove(0);
                }
                kept.push(line);
            }
        });
        let address = |at: Option<SocketAddr>| at.ok_or("no address".to_owned());
        Ok(Process {
            child,
            clients: address(clients)?,
            fleet: address(fleet)?,
            admin: address(admin)?,
            log,
        })
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(id, signal); // it may have ended by itself
        }
    }

    /// Stops it where it is.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills it outright, and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells it to end in good order, and waits; kills it after `patience`.
    pub fn end(&mut self, patience: Duration) -> Option<ExitStatus> {
        self.signal(Signal::TERM);
        let begun = Instant::now();
        while begun.elapsed() < patience {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        None
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Its last lines.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("the log").clone()
    }

    /// What it has in memory, in kB; 0 once it has ended.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim_end_matches("kB").trim().parse().ok())
            .unwrap_or_default()
    }

    /// The processor time it has used, in seconds.
    pub fn cpu_s(&self) -> f64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
        let ticks = |n: usize| {
            fields
                .split(' ')
                .nth(n)
                .and_then(|t| t.parse::<f64>().ok())
                .unwrap_or_default()
        };
        // utime and stime, in the hundredths of a second that Linux counts them in.
        (ticks(11) + ticks(12)) / 100.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.go_on(); // a stopped one is killed all the same, and this ends what it holds up
        self.kill();
    }
}
