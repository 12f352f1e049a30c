//! Fixtures, raw HTTP peers and nodes for the characterization tests.

use sillward_scenarios::peers::{Discovery, Node, PATIENCE, Watch, config, list, program, until};
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};

/// Latency objectives and budgets that no test lives to see the end of.
pub const LONG: u64 = 20_000;

/// What a test has seen, case by case.
#[derive(Default)]
pub struct Transcript(String);

impl Transcript {
    pub fn case(&mut self, title: &str, text: &str) {
        let _ = writeln!(self.0, "=== {title}\n{}", text.trim_end_matches('\n'));
    }

    /// Bytes, with a line break in the fixture behind each one that they hold.
    pub fn bytes(&mut self, title: &str, bytes: &[u8]) {
        let text = bytes.escape_ascii().to_string().replace("\\n", "\\n\n");
        self.case(title, &text);
    }

    pub fn compare(&self, name: &str) {
        let fixture = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(name);
        let expected = std::fs::read_to_string(&fixture).unwrap_or_default();
        if expected == self.0 {
            return;
        }
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden");
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join(name), &self.0).expect("a file");
        let pairs = expected.lines().zip(self.0.lines());
        let same = pairs.take_while(|(old, new)| old == new).count();
        panic!(
            "{name}, line {}:\nexpected {:?}\nseen     {:?}\nall of it is in {}",
            same + 1,
            expected.lines().nth(same).unwrap_or("no more lines"),
            self.0.lines().nth(same).unwrap_or("no more lines"),
            folder.join(name).display()
        );
    }
}

/// `#` in the place of each number, address, version and hexadecimal identifier.
pub fn without_numbers(text: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        let end = rest
            .find(|c: char| !c.is_ascii_alphanumeric())
            .unwrap_or(rest.len());
        if end == 0 {
            out.push(first);
            rest = &rest[first.len_utf8()..];
            continue;
        }
        let token = &rest[..end];
        let hexadecimal = token.bytes().all(|byte| byte.is_ascii_hexdigit());
        let has_digit = token.bytes().any(|byte| byte.is_ascii_digit());
        if hexadecimal && (has_digit || token.len() >= 8) {
            out.push('#');
        } else {
            push_without_digits(&mut out, token);
        }
        rest = &rest[end..];
    }
    for (from, to) in [("#.#", "#"), ("#-#", "#"), (":-#", ":#"), (" -#", " #")] {
        while out.contains(from) {
            out = out.replace(from, to);
        }
    }
    out
}

pub fn push_without_digits(out: &mut String, token: &str) {
    for c in token.chars() {
        match c {
            '0'..='9' if out.ends_with('#') => {}
            '0'..='9' => out.push('#'),
            other => out.push(other),
        }
    }
}

/// As [`without_numbers`], with the first line (a status or an exit code) as it is.
pub fn without_numbers_below(text: &str) -> String {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    format!("{first}\n{}", without_numbers(rest))
}

/// Header lines that differ from run to run.
pub fn without_changing_headers(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let mut in_head = true;
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let changing = ["date", "host", "x-budget-ms"];
        let is_changing = changing
            .iter()
            .any(|known| name.eq_ignore_ascii_case(known.as_bytes()));
        if in_head && is_changing {
            out.extend_from_slice(name);
            out.extend_from_slice(b": #\r\n");
        } else {
            out.extend_from_slice(line);
        }
        in_head &= line != b"\r\n";
    }
    out
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Reads one message with its body, byte for byte; what there is, if the connection ends first.
pub fn read_raw(stream: &mut TcpStream) -> Vec<u8> {
    let mut all = Vec::new();
    let mut piece = [0; 64 * 1024];
    loop {
        if is_whole(&all) {
            return all;
        }
        match stream.read(&mut piece) {
            Ok(0) => return all,
            Ok(count) => all.extend_from_slice(&piece[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return all,
        }
    }
}

pub fn is_whole(bytes: &[u8]) -> bool {
    let Some(end) = find(bytes, b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let body = &bytes[end + 4..];
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with(b"0\r\n\r\n");
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.parse().expect("a length"))
}

/// A backend that shows every byte it gets. It answers by the request's path; nothing where that is empty.
pub struct RawBackend {
    pub address: SocketAddr,
    pub seen: Receiver<Vec<u8>>,
}

impl RawBackend {
    pub fn start(script: fn(&str) -> Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (saw, seen) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let saw = saw.clone();
                std::thread::spawn(move || {
                    loop {
                        let request = read_raw(&mut stream);
                        if !is_whole(&request) {
                            return;
                        }
                        let text = String::from_utf8_lossy(&request);
                        let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
                        let _ = saw.send(request);
                        let _ = stream.write_all(&script(&path));
                    }
                });
            }
        });
        RawBackend { address, seen }
    }

    pub fn next(&self) -> Vec<u8> {
        let request = self.seen.recv_timeout(PATIENCE).expect("a request");
        without_changing_headers(&request)
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the node accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream
}

/// Writes a request, and reads the one answer.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(request).expect("the node reads");
    without_changing_headers(&read_raw(&mut stream))
}

pub fn request(start: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("{start} HTTP/1.1\r\nHost: service.internal\r\n{headers}\r\n{body}").into_bytes()
}

/// Headers that every request has, with that budget.
pub fn budgeted(ms: u64) -> String {
    format!("X-Call-Id: 00c0ffee\r\nX-Caller: acme\r\nX-Budget-Ms: {ms}\r\n")
}

/// A node with these in its list, and what keeps it there.
pub fn serving(settings: &str, entries: &[String]) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.address, settings, 1024), "");
    listed(node, discovery, entries)
}

pub fn listed(node: Node, discovery: Discovery, entries: &[String]) -> (Node, Watch, Discovery) {
    let mut watch = discovery.call();
    watch.open();
    watch.line(&list(8, true, entries));
    until(|| node.is_ready(), "readiness");
    (node, watch, discovery)
}

pub fn served(_: &str) -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nX-Load-Report: inflight=0,queue=0\r\nX-Other: 1\r\nContent-Length: 6\r\n\r\nfigure"
        .to_vec()
}

/// An operator's call, with its whole answer.
pub fn operate(node: &Node, start: &str, body: &str) -> String {
    let length = format!("Content-Length: {}\r\n", body.len());
    let answer = exchange(
        node.admin.expect("a listener"),
        &request(start, &length, body),
    );
    let answer = String::from_utf8_lossy(&answer).replace("\r\n", "\n");
    // Its length is that of numbers, too.
    let lines = answer
        .lines()
        .filter(|line| !line.starts_with("content-length: "));
    lines.collect::<Vec<_>>().join("\n")
}

/// A folder that goes with its test.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("sillward-golden-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Scratch(folder)
    }

    pub fn file(&self, name: &str, text: &str, mode: u32) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        std::fs::set_permissions(&path, PermissionsExt::from_mode(mode)).expect("its mode");
        path.display().to_string()
    }

    /// What a program wrote and how it ended, without this folder's name.
    pub fn shown(&self, output: &Output) -> String {
        let text = format!(
            "exit {}\n{}--- standard error\n{}",
            output.status.code().unwrap_or(-1),
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
        text.replace(&self.0.display().to_string(), "FOLDER")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn ctl(admin: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(program());
    command.args(["ctl", "--admin", admin]).args(arguments);
    command.output().expect("it runs")
}

/// Numbers aside, columns and units as well: both follow from numbers.
pub fn ctl_text(scratch: &Scratch, output: &Output) -> String {
    let text = without_numbers_below(&scratch.shown(output)).replace("# s", "# ms");
    let lines = text.lines().map(|line| {
        let line = line.split_whitespace().collect::<Vec<_>>().join(" ");
        // Which of the counts are not 0 is up to the run; the page holds all their names.
        match line.split_once(": ") {
            Some((word @ ("dropped" | "counted"), _)) => format!("{word}: #"),
            _ => line,
        }
    });
    lines.collect::<Vec<_>>().join("\n")
}
