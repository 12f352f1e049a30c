//! HTTP/1.1 messages with a Content-Length, as the protocol page has them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message's head.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    /// When its first byte was read.
    pub first_byte_at: Instant,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }

    /// The method and the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut first_byte_at = Instant::now();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            if bytes.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if bytes.is_empty() {
            first_byte_at = Instant::now();
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    Ok(Some(Head {
        first_line,
        headers,
        first_byte_at,
    }))
}

pub fn read_body(stream: &mut TcpStream, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// A response as bytes.
pub fn response(status: u16, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{more}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A client's connection, which is kept between requests and opened anew when it has ended.
pub struct Client {
    to: SocketAddr,
    stream: Option<TcpStream>,
}

/// What a client was told.
#[derive(Debug)]
pub enum Answer {
    /// A whole answer: status and body.
    Whole(u16, String),
    /// No connection could be opened.
    NotConnected,
    /// The connection ended, or nothing came for 10 s, before a whole answer.
    None(String),
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Client { to, stream: None }
    }

    /// Sends a request. One that crosses the end of a resting connection is sent once more on a new one.
    pub fn send(&mut self, request: &[u8]) -> Answer {
        for _ in 0..2 {
            let resting = self.stream.take();
            let was_resting = resting.is_some();
            let mut stream = match resting.map_or_else(|| TcpStream::connect(self.to), Ok) {
                Ok(stream) => stream,
                Err(_) => return Answer::NotConnected,
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
            let answered = exchange(&mut stream, request);
            match answered {
                Ok(Some((head, body))) => {
                    let close = head
                        .header("connection")
                        .is_some_and(|v| v.eq_ignore_ascii_case("close"));
                    if !close {
                        self.stream = Some(stream);
                    }
                    return Answer::Whole(
                        head.status(),
                        String::from_utf8_lossy(&body).into_owned(),
                    );
                }
                Ok(None) if was_resting => continue,
                Ok(None) => return Answer::None("closed with no answer".to_owned()),
                Err(error) if was_resting && error.kind() != io::ErrorKind::WouldBlock => continue,
                Err(error) => return Answer::None(error.to_string()),
            }
        }
        Answer::None("closed twice with no answer".to_owned())
    }
}

fn exchange(stream: &mut TcpStream, request: &[u8]) -> io::Result<Option<(Head, Vec<u8>)>> {
    stream.write_all(request)?;
    let Some(head) = read_head(stream)? else {
        return Ok(None);
    };
    let body = read_body(stream, head.content_length())?;
    Ok(Some((head, body)))
}
