//! Decodes the bytes of a watch into lists, in however many lines their text comes, and heartbeats. No I/O.

use crate::list::List;
use bytes::{Buf, BytesMut};

/// The longest list that is accepted.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// An item of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchItem {
    /// An empty line: nothing has changed.
    Heartbeat,
    /// A text that no further line belongs to. Whether it is a list shows when it is read.
    List(BytesMut),
    /// So many bytes were dropped: another value began before they were complete.
    Truncated(usize),
}

/// How deep a JSON text is nested at some place.
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

    /// Whether more lines may belong to the value. No string contains the end of a line.
    fn is_open(self) -> bool {
        self.depth > 0 && !self.in_string
    }
}

/// The bytes of a watch that have not been decoded.
#[derive(Default)]
pub struct WatchDecoder {
    unread: BytesMut,
    /// The length of the complete lines of a value that is still open.
    open_bytes: usize,
    nesting: Nesting,
    /// Up to here there is no further end of a line.
    searched: usize,
}

impl WatchDecoder {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// Whether more bytes are here without a complete value than any list has.
    pub fn exceeds_limit(&self) -> bool {
        self.unread.len() > MAX_LIST_BYTES
    }

    /// The next complete item. A list may be broken into lines between any two tokens: lines are collected until they
    /// make one, or until one comes that is a value by itself.
    pub fn next_item(&mut self) -> Option<WatchItem> {
        loop {
            let end = self.next_line_end()?;
            let line = &self.unread[self.open_bytes..end];
            let is_blank = line.trim_ascii().is_empty();
            if self.open_bytes > 0 && (is_blank || is_list(line)) {
                let truncated = self.open_bytes;
                self.discard(truncated);
                return Some(WatchItem::Truncated(truncated));
            }
            if is_blank {
                self.discard(end);
                return Some(WatchItem::Heartbeat);
            }
            let nesting = self.nesting.after(line);
            if nesting.is_open() {
                self.open_bytes = end;
                self.searched = end;
                self.nesting = nesting;
                continue;
            }
            let text = self.unread.split_to(end);
            self.discard(0);
            return Some(WatchItem::List(text));
        }
    }

    /// The end of the next complete line, after its line feed.
    fn next_line_end(&mut self) -> Option<usize> {
        let unsearched = &self.unread[self.searched..];
        match unsearched.iter().position(|byte| *byte == b'\n') {
            Some(position) => Some(self.searched + position + 1),
            None => {
                self.searched = self.unread.len();
                None
            }
        }
    }

    /// Drops so many bytes, and begins with a new value.
    fn discard(&mut self, bytes: usize) {
        self.unread.advance(bytes);
        self.open_bytes = 0;
        self.searched = 0;
        self.nesting = Nesting::default();
    }
}

fn is_list(line: &[u8]) -> bool {
    line.first() == Some(&b'{') && serde_json::from_slice::<List>(line).is_ok()
}
