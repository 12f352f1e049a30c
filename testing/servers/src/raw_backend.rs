//! Backends whose connections a test plays by hand, and messages of HTTP/1.1 in any framing, byte by byte.

use crate::peers::{Discovery, Node, Watch, entry, list, serving_operators, until};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::spawn;

/// Bytes that tell where they belong.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i / 7 % 251) as u8).collect()
}

/// A backend whose connections are played by hand.
pub struct RawBackend {
    /// Where it listens.
    pub address: SocketAddr,
    /// How many connections it has accepted.
    pub connections: Arc<AtomicUsize>,
}

impl RawBackend {
    /// `play` gets each connection with its number.
    pub fn start(play: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let connections = Arc::new(AtomicUsize::new(0));
        let (count, play) = (connections.clone(), Arc::new(play));
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (number, play) = (count.fetch_add(1, Ordering::SeqCst), play.clone());
                spawn(move || play(number, stream));
            }
        });
        RawBackend {
            address,
            connections,
        }
    }

    /// Answers each request with these bytes.
    pub fn answering(bytes: Vec<u8>) -> Self {
        RawBackend::start(move |_, mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
            while request(&mut reader).is_some() && stream.write_all(&bytes).is_ok() {}
        })
    }
}

/// Reads a request of any framing: its head and its body.
pub fn request(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let head = head(reader)?;
    let low = head.to_lowercase();
    let mut body = Vec::new();
    if low.contains("transfer-encoding: chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(at) = low.find("content-length: ") {
        body.resize(low[at + 16..].lines().next()?.trim().parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some((head, body))
}

/// Reads a head, up to and with its empty line.
pub fn head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|n| *n > 0)?;
    }
    Some(head)
}

/// A node with operators' calls whose list holds these backends.
pub fn serving_raw(settings: &str, backends: &[&RawBackend]) -> (Node, Watch, Discovery) {
    let (node, mut watch, discovery) = serving_operators(settings, &[]);
    let entries = backends
        .iter()
        .enumerate()
        .map(|(i, b)| entry(&format!("r-{i}"), b.address, "in_service"));
    watch.line(&list(9, true, &entries.collect::<Vec<_>>()));
    until(
        || node.figure("node.known_backends") == backends.len() as u64,
        "the list",
    );
    (node, watch, discovery)
}

/// Status and body of an answer of any framing; the body is an error if the client can tell that it is not whole.
pub fn answer(stream: &TcpStream) -> (u16, Result<Vec<u8>, String>) {
    let mut reader = BufReader::new(stream);
    let head = loop {
        let head = head(&mut reader).expect("a head");
        if !head.starts_with("HTTP/1.1 1") {
            break head;
        }
    };
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status");
    let rest = head.split_once("\r\n").map_or("", |(_, rest)| rest);
    let text = format!("POST / HTTP/1.1\r\n{rest}");
    let body = request(&mut BufReader::new(
        std::io::Cursor::new(text.into_bytes()).chain(reader),
    ));
    (
        status,
        body.map(|(_, body)| body)
            .ok_or_else(|| "not whole".to_owned()),
    )
}

/// A response of known length.
pub fn with_length(body: &[u8]) -> Vec<u8> {
    [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(),
        body,
    ]
    .concat()
}
