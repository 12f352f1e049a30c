//! The record of a run: what was sent, answered and run, a line each, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a run, shared by all threads.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Starts `record.txt` in the folder that `CASE_DIR` names.
    pub fn start() -> Self {
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let path = std::path::Path::new(&folder).join("record.txt");
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("the case couldn't run: {}: {error}", path.display());
            std::process::exit(2);
        });
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// The time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line, also to standard output.
    pub fn line(&self, text: impl std::fmt::Display) {
        let at = self.elapsed().as_secs_f64();
        let line = format!("{at:9.3} {text}\n");
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Writes the verdict, ends what was started, and ends the process: with 1 if a rule was broken, with 0 if it held.
    pub fn finish(&self, broken: &[String]) -> ! {
        crate::node::kill_all();
        for what in broken {
            self.line(format_args!("BROKEN {what}"));
        }
        self.line(if broken.is_empty() {
            "the rule held"
        } else {
            "the rule was broken"
        });
        std::process::exit(i32::from(!broken.is_empty()));
    }

    /// The case couldn't run.
    pub fn cannot_run(&self, why: impl std::fmt::Display) -> ! {
        crate::node::kill_all();
        self.line(format_args!("the case couldn't run: {why}"));
        std::process::exit(2);
    }
}
