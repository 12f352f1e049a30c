//! What heads say of their bodies' framing, seen as the bytes come in: hyper keeps a `Content-Length` to itself where
//! `Transfer-Encoding` stands beside it, or where it stands twice alike.

use crate::socket::Watch;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

const LENGTH: &[u8] = b"content-length:";
const CODING: &[u8] = b"transfer-encoding:";

/// Lines without an empty one between them, and what stands at their beginnings. It knows no bodies: a text of two such
/// lines in a body counts like a head, and turns down what comes behind it.
#[derive(Default)]
struct Lines {
    /// How the line begins, and how long it is so far.
    begin: [u8; CODING.len()],
    length: usize,
    lengths: u32,
    codings: u32,
}

impl Lines {
    /// Takes bytes in; true if a head among them says in two ways, or twice, where its body ends.
    fn take(&mut self, bytes: &[u8]) -> bool {
        let (mut rest, mut ambiguous) = (bytes, false);
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.more(&rest[..end]);
            rest = &rest[end + 1..];
            ambiguous |= self.line();
        }
        self.more(rest);
        ambiguous
    }

    fn more(&mut self, part: &[u8]) {
        let room = self.begin.len().saturating_sub(self.length).min(part.len());
        if room > 0 {
            self.begin[self.length..][..room].copy_from_slice(&part[..room]);
        }
        self.length += part.len();
    }

    fn line(&mut self) -> bool {
        let begin = &self.begin[..self.length.min(self.begin.len())];
        let starts = |with: &[u8]| {
            begin
                .get(..with.len())
                .is_some_and(|b| b.eq_ignore_ascii_case(with))
        };
        if starts(LENGTH) {
            self.lengths += 1;
        } else if starts(CODING) {
            self.codings += 1;
        }
        let empty = begin.is_empty() || begin == b"\r";
        self.length = 0;
        if !empty {
            return false;
        }
        let ambiguous = self.lengths + self.codings > 1;
        (self.lengths, self.codings) = (0, 0);
        ambiguous
    }
}

/// What was seen on a connection.
#[derive(Default)]
pub struct Heads {
    lines: RefCell<Lines>,
    ambiguous: Cell<bool>,
}

impl Heads {
    /// Whether a head has come whose body might end in two places.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous.get()
    }
}

impl Watch for Rc<Heads> {
    fn came(&self, bytes: &[u8]) {
        if self.lines.borrow_mut().take(bytes) {
            self.ambiguous.set(true);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// In pieces of every size the same is seen.
    fn seen(text: &str) -> bool {
        let whole = Lines::default().take(text.as_bytes());
        for size in 1..text.len() {
            let mut lines = Lines::default();
            let pieces = text.as_bytes().chunks(size).map(|piece| lines.take(piece));
            assert_eq!(
                pieces.fold(false, |a, b| a | b),
                whole,
                "{text:?} in pieces of {size}"
            );
        }
        whole
    }

    #[test]
    fn a_head_with_two_framings_is_seen_in_any_order_and_case() {
        for head in [
            "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\nX: y\r\nCONTENT-LENGTH: 5\r\n\r\n",
            "POST /a HTTP/1.1\nContent-Length: 5\nTransfer-Encoding: chunked\n\n",
            "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        ] {
            assert!(seen(head), "{head:?}");
        }
    }

    #[test]
    fn one_framing_a_head_is_not() {
        for head in [
            "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhelloPOST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            "POST /a HTTP/1.1\r\nX-Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        ] {
            assert!(!seen(head), "{head:?}");
        }
    }
}
