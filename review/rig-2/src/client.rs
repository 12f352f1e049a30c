//! Clients: a connection each, one request at a time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client sends.
pub struct Sent<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub budget_ms: u64,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
}

/// The head of a request.
pub fn head(sent: &Sent<'_>) -> String {
    let key = sent
        .key
        .map(|key| format!("Idempotency-Key: {key}\r\n"))
        .unwrap_or_default();
    let length = match sent.method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", sent.body.len()),
    };
    format!(
        "{} {} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {}\r\nX-Caller: semarang\r\nX-Budget-Ms: {}\r\n{key}{length}\r\n",
        sent.method, sent.target, sent.id, sent.budget_ms
    )
}

/// An answer, or as much of it as came.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// The length that the head tells.
    pub length: Option<usize>,
    pub chunked: bool,
    pub body: Vec<u8>,
    /// Whether all of it came.
    pub whole: bool,
    /// How the connection ended, if it did.
    pub end: Option<String>,
}

/// Reads an answer until it is whole, until the connection ends or until the deadline. `pace` is called after each read with
/// the number of bytes, and may wait; `most` is the most bytes of a read.
pub fn read_answer(
    stream: &mut TcpStream,
    until: Instant,
    most: usize,
    mut pace: impl FnMut(usize),
) -> Answer {
    let mut answer = Answer::default();
    let mut bytes = Vec::new();
    let mut head_end = None;
    let mut chunk = vec![0; most];
    loop {
        if head_end.is_none() {
            head_end = bytes
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
                .map(|at| at + 4);
            if let Some(end) = head_end {
                let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
                answer.status = head
                    .get(9..12)
                    .and_then(|code| code.parse().ok())
                    .unwrap_or(0);
                answer.chunked = head.contains("transfer-encoding: chunked");
                answer.length = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length:"))
                    .and_then(|length| length.trim().parse().ok());
            }
        }
        if let Some(end) = head_end {
            let so_far = bytes.len() - end;
            let whole = match (answer.length, answer.chunked) {
                (Some(length), _) => so_far >= length,
                (None, true) => bytes.ends_with(b"0\r\n\r\n"),
                (None, false) => false,
            };
            if whole {
                answer.whole = true;
                answer.body = bytes.split_off(end);
                return answer;
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let _ = stream.set_read_timeout(Some(left.min(Duration::from_millis(200))));
        match stream.read(&mut chunk) {
            Ok(0) => {
                answer.end = Some("closed".to_owned());
                break;
            }
            Ok(count) => {
                bytes.extend_from_slice(&chunk[..count]);
                pace(count);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => {
                answer.end = Some(error.to_string());
                break;
            }
        }
    }
    if let Some(end) = head_end {
        answer.body = bytes.split_off(end);
    }
    answer
}

/// Connects to the node.
pub fn connect(node: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(2))?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Sends a short request on a connection and reads its answer.
pub fn ask(stream: &mut TcpStream, sent: &Sent<'_>, wait: Duration) -> Answer {
    let bytes = [head(sent).as_bytes(), sent.body].concat();
    if let Err(error) = stream.write_all(&bytes) {
        return Answer {
            end: Some(error.to_string()),
            ..Answer::default()
        };
    }
    read_answer(stream, Instant::now() + wait, 16 * 1024, |_| {})
}
