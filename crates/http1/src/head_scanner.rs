//! Detects request heads that frame their body in more than one way. The raw bytes are scanned, since hyper hides a
//! `Content-Length` beside a `Transfer-Encoding`, and merges equal `Content-Length` headers.

use crate::hyper_io::StreamObserver;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

const CONTENT_LENGTH: &[u8] = b"content-length:";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";

/// The number of bytes at the start of a line that are compared with header names.
const LINE_START_BYTES: usize = TRANSFER_ENCODING.len();

/// Counts framing headers between empty lines. It does not parse bodies: a body that contains two such lines counts as a head,
/// and the next request is not accepted.
#[derive(Default)]
struct LineScanner {
    /// The first bytes of the current line.
    line_start: [u8; LINE_START_BYTES],
    line_length: usize,
    framing_headers: u32,
}

impl LineScanner {
    /// Scans the next bytes. Returns whether they end a head with more than one framing header.
    fn scan(&mut self, bytes: &[u8]) -> bool {
        let mut rest = bytes;
        let mut ambiguous = false;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.extend_line(&rest[..end]);
            rest = &rest[end + 1..];
            ambiguous |= self.end_line();
        }
        self.extend_line(rest);
        ambiguous
    }

    fn extend_line(&mut self, part: &[u8]) {
        let missing = LINE_START_BYTES.saturating_sub(self.line_length);
        let count = missing.min(part.len());
        if count > 0 {
            self.line_start[self.line_length..][..count].copy_from_slice(&part[..count]);
        }
        self.line_length += part.len();
    }

    /// Ends the current line. Returns whether it ends a head with more than one framing header.
    fn end_line(&mut self) -> bool {
        let line_start = &self.line_start[..self.line_length.min(LINE_START_BYTES)];
        if is_header(line_start, CONTENT_LENGTH) || is_header(line_start, TRANSFER_ENCODING) {
            self.framing_headers += 1;
        }
        let ends_head = line_start.is_empty() || line_start == b"\r";
        self.line_length = 0;
        if !ends_head {
            return false;
        }
        let ambiguous = self.framing_headers > 1;
        self.framing_headers = 0;
        ambiguous
    }
}

fn is_header(line_start: &[u8], name: &[u8]) -> bool {
    line_start
        .get(..name.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(name))
}

/// Scans the request heads of a connection.
#[derive(Default)]
pub(crate) struct HeadScanner {
    lines: RefCell<LineScanner>,
    ambiguous: Cell<bool>,
}

impl HeadScanner {
    /// Whether a head was received that frames its body in more than one way.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.ambiguous.get()
    }
}

impl StreamObserver for Rc<HeadScanner> {
    fn bytes_read(&self, bytes: &[u8]) {
        if self.lines.borrow_mut().scan(bytes) {
            self.ambiguous.set(true);
        }
    }
}

#[cfg(test)]
mod tests;
