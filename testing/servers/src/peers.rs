//! A node under test, run as its users run it, and scripted peers round it: backends, discovery, clients.
//! Everything waits for events; PATIENCE only ends a test that has gone wrong.

use crate::reserved_port::ReservedPort;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(30);

/// A message as a peer sees it.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its first line.
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("a status")
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads one message with a length; `None` if the connection ends first.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        stream
            .read_line(&mut line)
            .ok()
            .filter(|n| *n > 0)
            .map(|_| line.trim_end().to_owned())
    };
    let start = line()?;
    let mut headers = BTreeMap::new();
    loop {
        let header = line()?;
        let Some((name, value)) = header.split_once(": ") else {
            break;
        };
        headers.insert(name.to_lowercase(), value.to_owned());
    }
    let length = headers
        .get("content-length")
        .map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message {
        start,
        headers,
        body,
    })
}

// ---- Backends -----------------------------------------------------------------------------------

/// What a scripted backend does with a request.
pub enum Reply {
    /// A whole answer: status line after the version, headers, body.
    Answer(&'static str, &'static str, Vec<u8>),
    /// These bytes, and then the connection ends.
    Break(Vec<u8>),
    /// These bytes, and the connection stays.
    Raw(&'static [u8]),
    /// Nothing, for as long as the node waits.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Answer("200 OK", "", body.into())
}

pub enum Seen {
    Request { connection: usize, message: Message },
    Closed { connection: usize },
}

pub struct Backend {
    pub address: SocketAddr,
    seen: Receiver<Seen>,
    pub requests: Arc<AtomicUsize>,
}

impl Backend {
    pub fn start(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (saw, seen) = channel();
        let requests = Arc::new(AtomicUsize::new(0));
        let (script, count) = (Arc::new(script), requests.clone());
        spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, saw) = (stream.expect("a connection"), saw.clone());
                let (script, count) = (script.clone(), count.clone());
                spawn(move || serve(stream, connection, &saw, &count, &*script));
            }
        });
        Backend {
            address,
            seen,
            requests,
        }
    }

    pub fn next(&self) -> Seen {
        self.seen
            .recv_timeout(PATIENCE)
            .expect("something at the backend")
    }
    /// The next request, and the number of its connection.
    pub fn request(&self) -> (usize, Message) {
        loop {
            if let Seen::Request {
                connection,
                message,
            } = self.next()
            {
                return (connection, message);
            }
        }
    }
    /// The requests that have come and were not taken yet. Passes over connections that have ended.
    pub fn requests_so_far(&self) -> Vec<Message> {
        let requests = self.seen.try_iter().filter_map(|seen| match seen {
            Seen::Request { message, .. } => Some(message),
            Seen::Closed { .. } => None,
        });
        requests.collect()
    }
    /// The number of the connection that ends next.
    pub fn closed(&self) -> usize {
        loop {
            if let Seen::Closed { connection } = self.next() {
                return connection;
            }
        }
    }
    /// Whether a connection has ended; passes over what came before that.
    pub fn has_closed(&self) -> bool {
        self.seen
            .try_iter()
            .any(|seen| matches!(seen, Seen::Closed { .. }))
    }
    pub fn count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(
    stream: TcpStream,
    connection: usize,
    saw: &Sender<Seen>,
    count: &AtomicUsize,
    script: &impl Fn(&Message) -> Reply,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut writer = stream;
    while let Some(message) = read_message(&mut reader) {
        count.fetch_add(1, Ordering::SeqCst);
        let _ = saw.send(Seen::Request {
            connection,
            message: message.clone(),
        });
        match script(&message) {
            Reply::Answer(status, headers, body) => {
                let head = format!(
                    "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
                    body.len()
                );
                let _ = writer.write_all(&[head.as_bytes(), &body].concat());
            }
            Reply::Break(bytes) => {
                let _ = writer.write_all(&bytes);
                let _ = writer.shutdown(Shutdown::Both);
                break;
            }
            Reply::Raw(bytes) => drop(writer.write_all(bytes)),
            Reply::Silence => {}
        }
    }
    let _ = saw.send(Seen::Closed { connection });
}

// ---- Discovery ----------------------------------------------------------------------------------

pub struct Discovery {
    pub address: SocketAddr,
    calls: Receiver<Watch>,
}

/// A call of the node's to discovery, answered by the test.
pub struct Watch {
    pub start: String,
    /// Whoever writes to it; an empty line comes every second once it is open, as discovery's own would.
    stream: Arc<Mutex<TcpStream>>,
}

const EMPTY_LINES: Duration = Duration::from_secs(1);

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (called, calls) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                let Some(message) = read_message(&mut reader) else {
                    continue;
                };
                let stream = Arc::new(Mutex::new(stream));
                if called
                    .send(Watch {
                        start: message.start,
                        stream,
                    })
                    .is_err()
                {
                    return;
                }
            }
        });
        Discovery { address, calls }
    }
    pub fn call(&self) -> Watch {
        self.calls
            .recv_timeout(PATIENCE)
            .expect("a call to discovery")
    }

    /// The next call, if one comes in time.
    pub fn try_call(&self, patience: Duration) -> Option<Watch> {
        self.calls.recv_timeout(patience).ok()
    }
}

impl Watch {
    pub fn open(&mut self) {
        self.open_silent();
        let stream = Arc::downgrade(&self.stream);
        spawn(move || {
            loop {
                std::thread::sleep(EMPTY_LINES);
                let Some(stream) = stream.upgrade() else {
                    return;
                };
                if stream
                    .lock()
                    .expect("a stream")
                    .write_all(b"1\r\n\n\r\n")
                    .is_err()
                {
                    return;
                }
            }
        });
    }
    /// Opens it; what the test does not write is never said.
    pub fn open_silent(&mut self) {
        self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    /// Nothing more is said, and the connection stays.
    pub fn fall_silent(self) -> TcpStream {
        let stream = self
            .stream
            .lock()
            .expect("a stream")
            .try_clone()
            .expect("a handle");
        drop(self);
        stream
    }
    pub fn line(&mut self, line: &str) {
        self.write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }
    /// Opens it and tells a list; false if the node has gone.
    pub fn answer_list(&mut self, list: &str) -> bool {
        let text = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
            list.len() + 1
        );
        self.stream
            .lock()
            .expect("a stream")
            .write_all(text.as_bytes())
            .is_ok()
    }

    pub fn write(&mut self, text: &str) {
        let mut stream = self.stream.lock().expect("a stream");
        stream
            .write_all(text.as_bytes())
            .expect("the node listens to discovery");
    }
    /// Resets the connection.
    pub fn reset(self) {
        reset(self.fall_silent());
    }
}

/// Resets a connection: nothing of what was written need get there.
pub fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("its linger");
}

pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    entry_of("m", name, address, status)
}

/// A line of the list for a machine of that type.
pub fn entry_of(kind: &str, name: &str, address: SocketAddr, status: &str) -> String {
    entry_in("a", kind, name, address, status)
}

/// A line of the list for a machine of that type in that zone.
pub fn entry_in(zone: &str, kind: &str, name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

// ---- The node -----------------------------------------------------------------------------------

/// Classes `read` (safe), `submit` (keyed) and `correct` (unsafe), all with the same times.
pub fn settings(aim_ms: u64, permissions: &str) -> String {
    let class = |name: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Target":{aim_ms},"GiveUp":{aim_ms},"Idempotency":"{kind}","Group":"zone","Window":60000}}"#
        )
    };
    let classes = [
        class("read", "free"),
        class("submit", "guarded"),
        class("correct", "single_shot"),
    ]
    .join(",");
    format!(
        r#"{{"Classes":[{classes}],"Projects":[{{"Name":"acme","AllowancePerS":1000,"Share":1}}],
        "Localities":["a","b"],"HostTypes":["m","t","u"],"Quantum":5,"OverShareWorth":1,"Rules":{{"DrainGrace":2000}},
        "Goal":{{"Whole":1}},"LoadReport":{{"Columns":["concurrent","depth"],"Via":"piggyback"}},
        "Permissions":{{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":2000,"MaxRetryAfter":1500,
        "RetryAfter":true{permissions}}}}}"#
    )
}

pub struct Node {
    child: Child,
    path: PathBuf,
    pub address: SocketAddr,
    /// Where it listens for Thrift, if its operator file says so.
    pub thrift: Option<SocketAddr>,
    /// And for operators.
    pub admin: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    _unread: Option<UnixStream>,
}

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// The program `sillward` of the build that this one is part of.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("its own path");
    let built = own
        .ancestors()
        .find(|folder| folder.join("sillward").is_file());
    built
        .map(|folder| folder.join("sillward"))
        .expect("sillward is built: cargo build builds it")
}

/// A file of its own for some text.
pub fn file(name: &str, text: &str) -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("sillward-rig-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a place for files");
    let path = folder.join(format!("{number}-{name}"));
    std::fs::write(&path, text).expect("a file");
    path
}

/// The node's command, with its configuration in a file. `shell` goes before it.
pub fn command(config: &str, shell: &str) -> (Command, PathBuf) {
    command_of(&program(), config, shell)
}

/// As [`command`], of another build of the program.
pub fn command_of(program: &Path, config: &str, shell: &str) -> (Command, PathBuf) {
    let path = file("config.json", config);
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(format!("{shell}exec \"$0\" \"$@\""))
        .arg(program);
    command
        .env("PROXY_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    (command, path)
}

/// As [`command`], with the listener as descriptor 3.
pub fn inheriting(listener: &TcpListener, config: &str) -> (Command, PathBuf) {
    let (mut command, path) = command(config, "exec 3<&0 </dev/null; ");
    let held = OwnedFd::from(listener.try_clone().expect("its descriptor"));
    command.env("PROXY_LISTEN_FD", "3").stdin(Stdio::from(held));
    (command, path)
}

pub fn config(discovery: SocketAddr, settings: &str, sockets: usize) -> String {
    config_with(
        discovery,
        settings,
        &format!(r#""memory_mb":192,"sockets":{sockets}"#),
    )
}

pub fn config_with(discovery: SocketAddr, settings: &str, limits: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,{limits}}},
        "known":{{"index":7,"snapshot":true,"endpoints":[]}},"settings":{settings}}}"#
    )
}

impl Node {
    pub fn start(config: &str, shell: &str) -> Self {
        let (command, path) = command(config, shell);
        Node::run(command, path, "")
    }

    /// A node of another build of the program.
    pub fn start_of(program: &Path, config: &str) -> Self {
        let (command, path) = command_of(program, config, "");
        Node::run(command, path, "")
    }

    /// A process of a node whose listening socket the platform holds: it inherits it as descriptor 3. `more` are further
    /// variables of its environment.
    pub fn inheriting(listener: &TcpListener, config: &str, more: &[(&str, &str)]) -> Self {
        let (mut command, path) = inheriting(listener, config);
        command.envs(more.iter().copied());
        Node::run(command, path, "")
    }

    /// As [`Node::inheriting`], with an operator file whose listeners it may have to wait for.
    pub fn inheriting_operated(
        listener: &TcpListener,
        config: &str,
        operator: &str,
        more: &[(&str, &str)],
    ) -> Self {
        let (mut command, path) = inheriting(listener, config);
        command.envs(more.iter().copied());
        command
            .arg("--operator")
            .arg(file("operator.toml", operator));
        Node::run(command, path, "")
    }

    /// A node with an operator file that has a Thrift listener or not.
    pub fn start_with(config: &str, operator: &str) -> Self {
        let (mut command, path) = command(config, "");
        command
            .arg("--operator")
            .arg(file("operator.toml", operator));
        Node::run(command, path, operator)
    }

    fn run(mut command: Command, path: PathBuf, operator: &str) -> Self {
        let configured = std::fs::read_to_string(&path).expect("its configuration");
        let mut child = command.spawn().expect("the node starts");
        let mut lines = BufReader::new(child.stderr.take().expect("its log"))
            .lines()
            .map_while(Result::ok);
        let mut passed: Vec<String> = Vec::new();
        let mut address = |what: &str| {
            loop {
                let found = passed.iter().find_map(|line| line.split_once(what));
                if let Some((_, address)) = found {
                    return address
                        .parse()
                        .unwrap_or_else(|_| panic!("no address: {address}"));
                }
                // Other lines may come before it; an error in its place is the last.
                let line = lines
                    .next()
                    .unwrap_or_else(|| panic!("no line with {what:?}"));
                assert!(!line.contains("cannot"), "{line}");
                passed.push(line);
            }
        };
        let address_of_http = address("listens on ");
        let thrift = operator
            .contains("[thrift]\nlisten")
            .then(|| address("listens for Thrift on "));
        let operators = operator.contains("[admin]") || configured.contains("\"admin\":");
        let admin = operators.then(|| address("listens for operators on "));
        let address = address_of_http;
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        spawn(move || lines.for_each(|line| kept.lock().expect("the log").push(line)));
        Node {
            child,
            path,
            address,
            thrift,
            admin,
            log,
            _unread: None,
        }
    }

    /// A node whose log nobody reads, and nothing more of it can be written.
    pub fn start_unread(config: &str) -> Self {
        let (mut full, read) = UnixStream::pair().expect("a pair");
        full.set_nonblocking(true).expect("its mode");
        while full.write(&[b'.'; 4096]).is_ok() {}
        full.set_nonblocking(false).expect("its mode");
        // Nothing says where it listens, so that is chosen here.
        let reserved = ReservedPort::new();
        let free = reserved.address();
        let (mut command, path) = command(&config.replace("127.0.0.1:0", &free.to_string()), "");
        let child = command
            .stderr(OwnedFd::from(full))
            .spawn()
            .expect("the node starts");
        until(|| TcpStream::connect(free).is_ok(), "a node that listens");
        Node {
            child,
            path,
            address: free,
            thrift: None,
            admin: None,
            log: Arc::default(),
            _unread: Some(read),
        }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// An operator's call: the status and the text of its answer.
    pub fn operate(&self, call: &str) -> (u16, String) {
        let answer =
            Client::connect(self.admin.expect("a listener for operators")).ask(call, "", b"");
        (
            answer.status(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        )
    }

    /// A figure among the counters, by its whole name.
    pub fn figure(&self, name: &str) -> u64 {
        let (_, text) = self.operate("GET /control/counters");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or_else(|| panic!("no figure {name} in {text}"))
    }

    pub fn is_ready(&self) -> bool {
        self.client().ask("GET /health/ready", "", b"").status() == 200
    }

    /// Waits until the log holds such a line.
    pub fn logged(&self, text: &str) {
        until(
            || {
                self.log
                    .lock()
                    .expect("the log")
                    .iter()
                    .any(|line| line.contains(text))
            },
            text,
        );
    }

    /// How many lines of the log are such.
    pub fn count_logged(&self, text: &str) -> usize {
        self.log
            .lock()
            .expect("the log")
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// How many descriptors it has open; none once it has ended.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// What it has in memory.
    pub fn memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("its state");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .expect("its memory");
        line.trim_end_matches("kB")
            .trim()
            .parse()
            .expect("a number")
    }

    /// The processor time it has used.
    pub fn cpu_seconds(&self) -> f64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("its state");
        let (_, fields) = stat.rsplit_once(") ").expect("fields behind its name");
        let ticks = |n: usize| {
            fields
                .split(' ')
                .nth(n)
                .and_then(|t| t.parse::<f64>().ok())
                .expect("a number")
        };
        // utime and stime, in the hundredths of a second that Linux counts them in.
        (ticks(11) + ticks(12)) / 100.0
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .expect("kill runs")
                .success()
        );
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Puts another configuration in the place of the one it has, and says so.
    pub fn reload(&self, config: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, config)
            .and_then(|()| std::fs::rename(&new, &self.path))
            .expect("a new file");
        self.signal("-HUP");
    }

    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until(
            || {
                status = self.child.try_wait().expect("its state");
                status.is_some()
            },
            "the node's end",
        );
        status.expect("just seen")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// For what sends no event: looks again and again.
pub fn until(mut holds: impl FnMut() -> bool, what: &str) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A node whose list holds these backends, and the watch that told it.
pub fn serving(settings: &str, backends: &[&Backend]) -> (Node, Watch, Discovery) {
    serving_with(settings, backends, 1024, "")
}

pub fn serving_with(
    settings: &str,
    backends: &[&Backend],
    sockets: usize,
    shell: &str,
) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.address, settings, sockets), shell);
    told(node, discovery, backends)
}

/// As `serving`, with these limits.
pub fn serving_within(
    settings: &str,
    backends: &[&Backend],
    limits: &str,
) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let node = Node::start(&config_with(discovery.address, settings, limits), "");
    told(node, discovery, backends)
}

/// As `serving`, and nobody reads the log.
pub fn serving_unread(settings: &str, backends: &[&Backend]) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let node = Node::start_unread(&config(discovery.address, settings, 1024));
    told(node, discovery, backends)
}

/// As `serving`, with operators' calls.
pub fn serving_operators(settings: &str, backends: &[&Backend]) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let node = Node::start(&config_operated(discovery.address, settings), "");
    told(node, discovery, backends)
}

/// A configuration with an address for operators.
pub fn config_operated(discovery: SocketAddr, settings: &str) -> String {
    let plain = config(discovery, settings, 1024);
    plain.replacen("\"seed\"", "\"admin\":\"127.0.0.1:0\",\"seed\"", 1)
}

/// A node with an operator file, whose list holds these lines.
pub fn serving_operator(
    config: &str,
    discovery: Discovery,
    operator: &str,
    entries: &[String],
) -> (Node, Watch, Discovery) {
    let node = Node::start_with(config, operator);
    let mut watch = discovery.call();
    watch.open();
    watch.line(&list(8, true, entries));
    until(|| node.is_ready(), "readiness");
    (node, watch, discovery)
}

fn told(node: Node, discovery: Discovery, backends: &[&Backend]) -> (Node, Watch, Discovery) {
    let mut watch = discovery.call();
    watch.open();
    let entries = backends
        .iter()
        .enumerate()
        .map(|(i, b)| entry(&format!("s-{i}"), b.address, "in_service"));
    watch.line(&list(8, true, &entries.collect::<Vec<_>>()));
    until(|| node.is_ready(), "readiness");
    (node, watch, discovery)
}

// ---- Clients ------------------------------------------------------------------------------------

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the node accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Client(BufReader::new(stream))
    }
    /// A client of a node that may not be there.
    pub fn try_connect(address: SocketAddr, patience: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, patience).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        Some(Client(BufReader::new(stream)))
    }
    /// Sends a call without a body to a node that may have gone; false if it has.
    pub fn try_send(&mut self, start: &str, headers: &str) -> bool {
        let head = format!("{start} HTTP/1.1\r\nHost: service.internal\r\n{headers}\r\n");
        self.0.get_mut().write_all(head.as_bytes()).is_ok()
    }
    pub fn send(&mut self, start: &str, headers: &str, body: &[u8]) {
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let head = format!("{start} HTTP/1.1\r\nHost: service.internal\r\n{headers}{length}\r\n");
        self.0
            .get_mut()
            .write_all(&[head.as_bytes(), body].concat())
            .expect("the node reads");
    }
    /// The answer; `None` if the connection ends without one.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
    pub fn ask(&mut self, start: &str, headers: &str, body: &[u8]) -> Message {
        self.send(start, headers, body);
        self.answer().expect("an answer")
    }
    pub fn read(&mut self) -> Message {
        self.ask("GET /read/1f", &common(20_000), b"")
    }
    /// Whether an unsafe request could be written: the node may have closed the connection.
    pub fn try_correct(&mut self) -> bool {
        let head = format!(
            "POST /correct/1f HTTP/1.1\r\nHost: s\r\n{}Content-Length: 5\r\n\r\nsheet",
            common(20_000)
        );
        self.0.get_mut().write_all(head.as_bytes()).is_ok()
    }
    pub fn send_correct(&mut self) {
        self.send("POST /correct/1f", &common(20_000), b"sheet");
    }
    pub fn correct(&mut self) -> Message {
        self.send_correct();
        self.answer().expect("an answer")
    }
    pub fn write(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the node reads");
    }
    /// Whether the node ends this connection, with nothing more said.
    pub fn ended(&mut self) -> bool {
        match self.0.fill_buf() {
            Ok(more) => more.is_empty(),
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

pub fn common(budget_ms: u64) -> String {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    format!("X-Call-Id: {number:016x}\r\nX-Caller: acme\r\nX-Budget-Ms: {budget_ms}\r\n")
}
