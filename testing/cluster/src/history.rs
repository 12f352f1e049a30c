//! What happened, in one true time: microseconds since the start, by the ground's own clock.

use serde_json::{Value, json};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A line of it.
#[derive(Clone, Debug)]
pub struct Line {
    /// Microseconds since the start.
    pub t_us: u64,
    /// Who it is about, if it is about one node.
    pub node: Option<usize>,
    /// What.
    pub what: &'static str,
    /// The fields of it.
    pub fields: Value,
}

struct Inner {
    lines: Vec<Line>,
    file: Option<BufWriter<File>>,
}

/// The history; cheap to copy.
#[derive(Clone)]
pub struct History {
    start: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl History {
    /// An empty one, written to a file too if one is named.
    ///
    /// # Errors
    /// The file can't be made.
    pub fn new(path: Option<&Path>) -> std::io::Result<Self> {
        let file = path.map(File::create).transpose()?.map(BufWriter::new);
        let inner = Inner {
            lines: Vec::new(),
            file,
        };
        Ok(History {
            start: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
        })
    }

    /// The time now.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Notes what happens now.
    pub fn note(&self, node: Option<usize>, what: &'static str, fields: Value) {
        self.note_at(self.now_us(), node, what, fields);
    }

    /// Notes what happened then.
    pub fn note_at(&self, t_us: u64, node: Option<usize>, what: &'static str, fields: Value) {
        let mut inner = self.inner.lock().expect("the history");
        if let Some(file) = &mut inner.file {
            let mut line = json!({ "t_us": t_us, "what": what });
            if let Some(node) = node {
                line["node"] = format!("n{node}").into();
            }
            if let (Some(line), Some(fields)) = (line.as_object_mut(), fields.as_object()) {
                line.extend(fields.clone());
            }
            let _ = writeln!(file, "{line}"); // a full disk must not end the run
        }
        inner.lines.push(Line {
            t_us,
            node,
            what,
            fields,
        });
    }

    /// All lines, in the order of their times.
    pub fn lines(&self) -> Vec<Line> {
        let mut inner = self.inner.lock().expect("the history");
        if let Some(file) = &mut inner.file {
            let _ = file.flush();
        }
        let mut lines = inner.lines.clone();
        lines.sort_by_key(|line| line.t_us);
        lines
    }
}
