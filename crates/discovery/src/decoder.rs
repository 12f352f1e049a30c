//! Decodes the byte stream of a watch into endpoint lists and heartbeats, without I/O. A list is a JSON value that may
//! span several lines.

use crate::list::List;
use bytes::{Buf, BytesMut};

/// The maximum length of a list.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// A decoded item of the watch's byte stream.
#[derive(Debug, PartialEq)]
pub enum WatchItem {
    /// An empty line, sent when nothing has changed.
    Heartbeat,
    /// A complete text; the caller parses it and finds out whether it is a valid list.
    List(BytesMut),
    /// An incomplete value of this many bytes was dropped, because a blank line or a complete list followed it.
    Truncated(usize),
}

/// The lexical state of a JSON text: its nesting depth, and whether it is inside a string.
#[derive(Clone, Copy, Default)]
struct Nesting {
    depth: i32,
    in_string: bool,
    is_escaped: bool,
}

impl Nesting {
    fn after(mut self, text: &[u8]) -> Self {
        for byte in text {
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' => self.is_escaped = self.in_string,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                _ => {}
            }
        }
        self
    }

    /// Whether the value may continue on the next line. A JSON string can't contain a line feed, so a line that ends
    /// inside a string is truncated.
    fn is_open(self) -> bool {
        self.depth > 0 && !self.in_string
    }
}

/// An incremental decoder for the byte stream of a watch.
#[derive(Default)]
pub struct WatchDecoder {
    buffer: BytesMut,
    /// The length of the lines collected so far of an incomplete value.
    incomplete_bytes: usize,
    nesting: Nesting,
    /// The offset up to which the buffer has been searched for the next line feed.
    searched_bytes: usize,
}

impl WatchDecoder {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether more than [`MAX_LIST_BYTES`] are buffered without a complete value.
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_LIST_BYTES
    }

    /// Returns the next complete item. A list may be split into lines between any two tokens: lines are collected until
    /// the value is complete, or until a blank line or a complete list shows that it was truncated.
    pub fn next_item(&mut self) -> Option<WatchItem> {
        loop {
            let end = self.next_line_end()?;
            let line = &self.buffer[self.incomplete_bytes..end];
            let is_blank = line.trim_ascii().is_empty();
            if self.incomplete_bytes > 0 && (is_blank || is_list(line)) {
                let truncated_bytes = self.incomplete_bytes;
                self.discard(truncated_bytes);
                return Some(WatchItem::Truncated(truncated_bytes));
            }
            if is_blank {
                self.discard(end);
                return Some(WatchItem::Heartbeat);
            }
            let nesting = self.nesting.after(line);
            if nesting.is_open() {
                self.incomplete_bytes = end;
                self.searched_bytes = end;
                self.nesting = nesting;
                continue;
            }
            let text = self.buffer.split_to(end);
            self.discard(0);
            return Some(WatchItem::List(text));
        }
    }

    /// The offset just after the next line feed.
    fn next_line_end(&mut self) -> Option<usize> {
        let unsearched = &self.buffer[self.searched_bytes..];
        match unsearched.iter().position(|byte| *byte == b'\n') {
            Some(position) => Some(self.searched_bytes + position + 1),
            None => {
                self.searched_bytes = self.buffer.len();
                None
            }
        }
    }

    /// Drops this many bytes and resets the state to the start of a value.
    fn discard(&mut self, bytes: usize) {
        self.buffer.advance(bytes);
        self.incomplete_bytes = 0;
        self.searched_bytes = 0;
        self.nesting = Nesting::default();
    }
}

fn is_list(line: &[u8]) -> bool {
    line.first() == Some(&b'{') && serde_json::from_slice::<List>(line).is_ok()
}
