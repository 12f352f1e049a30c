//! Starts the node with the deploy file's `run`, and sends signals to it.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The processes that were started, so that none is left behind.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that was started and not waited for.
pub fn kill_all() {
    let started = STARTED.lock().map(|mut all| std::mem::take(&mut *all));
    for id in started.unwrap_or_default() {
        signal(id, "KILL");
    }
}

/// Sends a signal to a process that this program started.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {id}")])
        .stderr(Stdio::null())
        .status();
}

/// The root of the repository.
pub fn root() -> PathBuf {
    let from_env = std::env::var("REPO_ROOT").map(PathBuf::from);
    from_env.unwrap_or_else(|_| PathBuf::from("."))
}

/// The deploy file's `run`.
fn run_command() -> Option<String> {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).ok()?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))?;
    line.split('"').nth(1).map(str::to_owned)
}

/// An address of the loopback network with a port that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// A folder for temporary files, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("review-{}-{}", std::process::id(), crate::unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Default for Folder {
    fn default() -> Self {
        Self::new()
    }
}

/// A node that runs.
pub struct Node {
    pub child: Child,
    pub listen: SocketAddr,
    log: PathBuf,
}

impl Node {
    /// Starts a node. `config` is the platform's file; `operator` is an operator file, where the case has one.
    pub fn start(folder: &Path, listen: SocketAddr, config: &str, operator: Option<&str>) -> Node {
        let config_path = folder.join("config.json");
        fs::write(&config_path, config).expect("the configuration is written");
        let mut command =
            run_command().unwrap_or_else(|| "exec target/release/sillward".to_owned());
        if let Some(text) = operator {
            let path = folder.join("operator.toml");
            fs::write(&path, text).expect("the operator file is written");
            command.push_str(&format!(" --operator '{}'", path.display()));
        }
        let temporary = folder.join("tmp");
        fs::create_dir_all(&temporary).expect("a folder for the node");
        let log = folder.join("node.log");
        let output = fs::File::create(&log).expect("the node's log");
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root())
            .env("PROXY_CONFIG", &config_path)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .expect("the node is started");
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
        }
        Node { child, listen, log }
    }

    /// Waits until the node says that it is ready. False if it doesn't within 30 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if is_ready(self.listen) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// The exit code, if the node has ended; `Some(None)` if a signal ended it.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.try_wait().ok()??;
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|id| *id != self.child.id());
        }
        Some(status.code())
    }

    /// The beginning of the node's log, on one line.
    pub fn log_line(&self) -> String {
        self.log().replace('\n', " | ").chars().take(1000).collect()
    }

    /// The node's log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Whether the node says that it is ready, as the front asks.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request =
        "GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && head.ends_with(b"200")
}

/// The platform's file of a small deployment like `jateng-tally-later`: one node, its limits those of the scored days.
pub fn config(listen: SocketAddr, discovery: SocketAddr) -> String {
    let classes = [
        r#"{"Name":"tally-submit","Target":400,"GiveUp":1000,"Idempotency":"guarded","Group":"zone","Window":600,"Credit":10,"LateWorth":0}"#,
        r#"{"Name":"tally-correct","Target":500,"GiveUp":2500,"Idempotency":"single_shot","Credit":2,"LateWorth":0}"#,
        r#"{"Name":"tally-read","Target":400,"GiveUp":1000,"Idempotency":"free","Credit":1,"LateWorth":0}"#,
    ]
    .join(",");
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "settings":{{"Classes":[{classes}],"CountedBy":"request","Family":"proxy",
  "Goal":{{"Whole":0.6,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.1}},
  "HostTypes":["std-4","lite-4"],"LoadReport":{{"Columns":["concurrent","depth"],"Via":"piggyback"}},
  "Localities":["tembalang","srondol","ungaran"],"NInstances":1,"Ordinal":0,"OverShareWorth":0.2,
  "Permissions":{{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":200,"IdleClose":60000,"MaxRetryAfter":2000,"ParallelTries":true,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":100}},
  "Prices":{{"Connection":0.05,"CrossZone":0.01,"Handshake":0.05,"LateFail":0.03,"Probe":0.05,"Waste":0.04}},
  "Projects":[{{"AllowancePerS":61,"Name":"semarang","Share":0.26}},{{"AllowancePerS":45,"Name":"banyumas","Share":0.19}}],
  "Quantum":5,"RegistryMode":"push",
  "Rules":{{"AnswerSlack":20,"ColdFrom":0.32,"DrainGrace":2000,"MustAskIn":10000,"OverloadFactor":4,"RampTime":7800,"TipAfter":1500}},
  "Weights":"silent","Zone":0}}}}"#
    )
}
