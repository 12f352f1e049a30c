//! What a watch says, cut into what can be taken in: whole lists, however their text is broken into lines, and the empty
//! lines that show that it lives. No I/O.

use crate::entries::List;
use bytes::{Buf, BytesMut};

/// The longest list that is taken in.
pub const LIST_LIMIT: usize = 4 << 20;

/// What came next on a watch.
#[derive(Debug, PartialEq)]
pub enum Item {
    /// An empty line: nothing has changed.
    Empty,
    /// A text that goes no further. Whether it is a list shows when it is read.
    Text(BytesMut),
    /// So many bytes that something else came behind before they were a whole value.
    Broken(usize),
}

/// How deep a JSON text stands, as far as it has been seen.
#[derive(Clone, Copy, Default)]
struct Depth {
    open: i32,
    string: bool,
    escaped: bool,
}

impl Depth {
    fn after(mut self, text: &[u8]) -> Self {
        for byte in text {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = self.string,
                b'"' => self.string = !self.string,
                _ if self.string => {}
                b'{' | b'[' => self.open += 1,
                b'}' | b']' => self.open -= 1,
                _ => {}
            }
        }
        self
    }

    /// Whether more lines may belong to it. No string goes over the end of a line.
    fn goes_on(self) -> bool {
        self.open > 0 && !self.string
    }
}

/// The bytes of a watch that have not been taken in.
#[derive(Default)]
pub struct Lines {
    unread: BytesMut,
    /// Whole lines of a value that goes on.
    kept: usize,
    depth: Depth,
    /// Up to here there is no end of a line.
    searched: usize,
}

impl Lines {
    pub fn push(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// More bytes without a whole value among them than any list has.
    pub fn is_endless(&self) -> bool {
        self.unread.len() > LIST_LIMIT
    }

    /// The next thing that is here to its end. A list may be broken into lines anywhere between its words: lines are
    /// kept until they make one, or until one comes that stands for itself.
    pub fn next_item(&mut self) -> Option<Item> {
        loop {
            let Some(end) = self.unread[self.searched..]
                .iter()
                .position(|byte| *byte == b'\n')
            else {
                self.searched = self.unread.len();
                return None;
            };
            let end = self.searched + end + 1;
            let line = &self.unread[self.kept..end];
            let (empty, first) = (line.trim_ascii().is_empty(), self.kept == 0);
            let anew = !first
                && (empty || line[0] == b'{' && serde_json::from_slice::<List>(line).is_ok());
            if anew {
                let broken = self.kept;
                self.drop_until(broken);
                return Some(Item::Broken(broken));
            }
            if empty {
                self.drop_until(end);
                return Some(Item::Empty);
            }
            let depth = self.depth.after(line);
            if depth.goes_on() {
                (self.kept, self.searched, self.depth) = (end, end, depth);
                continue;
            }
            let text = self.unread.split_to(end);
            self.drop_until(0);
            return Some(Item::Text(text));
        }
    }

    fn drop_until(&mut self, end: usize) {
        self.unread.advance(end);
        (self.kept, self.searched, self.depth) = (0, 0, Depth::default());
    }
}
