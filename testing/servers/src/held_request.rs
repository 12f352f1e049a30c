//! A client that holds back a part of its request's body, so that a test decides what happens before the last byte.

use crate::peers::{Node, PATIENCE, common};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The interim response by which a node asks for the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request whose head the node has accepted and whose body is not whole.
pub struct HeldRequest {
    stream: TcpStream,
    unsent: usize,
}

impl HeldRequest {
    /// Sends the head of a POST to `/CLASS/1f` with these further headers, and the first `sent` bytes of a body of `length`.
    /// The node says `100 Continue` only once it has accepted the head and reads the body.
    pub fn send(
        node: &Node,
        class: &str,
        budget_ms: u64,
        headers: &str,
        (sent, length): (usize, usize),
    ) -> Self {
        let mut stream = TcpStream::connect(node.address).expect("the node accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let head = format!(
            "POST /{class}/1f HTTP/1.1\r\nHost: s\r\n{}{headers}Expect: 100-continue\r\n\
             Content-Length: {length}\r\n\r\n",
            common(budget_ms)
        );
        stream.write_all(head.as_bytes()).expect("the node reads");
        let mut told = [0; CONTINUE.len()];
        stream
            .read_exact(&mut told)
            .expect("the node asks for the body");
        assert_eq!(told, CONTINUE);
        stream.write_all(&vec![b'x'; sent]).expect("the node reads");
        HeldRequest {
            stream,
            unsent: length - sent,
        }
    }

    /// Sends the rest of the body.
    pub fn finish(mut self) -> Self {
        let rest = vec![b'x'; self.unsent];
        self.stream.write_all(&rest).expect("the node reads");
        self.unsent = 0;
        self
    }

    /// The status of the final response; `None` if the connection ends without one.
    pub fn status(self) -> Option<u16> {
        let mut line = String::new();
        BufReader::new(self.stream).read_line(&mut line).ok()?;
        line.get(9..12)?.parse().ok()
    }
}
