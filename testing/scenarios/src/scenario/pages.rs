//! Runs the commands of the pages for people, as they stand but for their ports: a page whose commands no longer work
//! is found before a reader finds it.

use super::{figure, last_line};
use crate::pages::{Block, LONGEST_S, Use, blocks, ported};
use crate::peers::{self, until};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

pub struct Options {
    /// These pages alone, by their paths from the repository's root; all if there are none.
    pub pages: Vec<String>,
    /// Plant: the page's first command is misspelt.
    pub stale: bool,
}

/// The pages whose blocks are run: the README and all for operators.
fn all(root: &Path) -> Vec<String> {
    let folder = fs::read_dir(root.join("docs")).expect("docs");
    let names = folder.map(|entry| {
        entry
            .expect("an entry")
            .file_name()
            .to_string_lossy()
            .into_owned()
    });
    let mut pages: Vec<String> = names
        .filter(|name| name.ends_with(".md"))
        .map(|name| format!("docs/{name}"))
        .collect();
    pages.push("README.md".to_owned());
    pages.sort();
    pages
}

/// Runs it, prints its figures, and returns the exit code.
pub fn run(options: &Options) -> u8 {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the repository");
    let pages = if options.pages.is_empty() {
        all(&root)
    } else {
        options.pages.clone()
    };
    let (mut ran, mut breaches) = (0, Vec::new());
    for page in &pages {
        let text = fs::read_to_string(root.join(page)).unwrap_or_else(|e| panic!("{page}: {e}"));
        match blocks(&text) {
            Ok(blocks) => {
                eprintln!("{page}");
                ran += Scratch::new(&root, page).page(page, blocks, options.stale, &mut breaches);
            }
            Err(faults) => {
                breaches.extend(faults.into_iter().map(|fault| format!("{page}:{fault}")))
            }
        }
    }
    figure("pages", pages.len());
    figure("blocks_run", ran);
    if ran == 0 {
        breaches.push("no block was run".to_owned());
    }
    last_line(
        "pages",
        0,
        &breaches,
        &format!("pages={} blocks={ran}", pages.len()),
    )
}

/// Where a page's commands are run: a folder with a copy of `deploy/`, `sillward` on the path, and a `cargo` that
/// works in the repository from wherever it is called.
struct Scratch {
    folder: PathBuf,
    ports: BTreeMap<u16, u16>,
}

impl Scratch {
    fn new(root: &Path, page: &str) -> Self {
        let name = page.replace(['/', '.'], "-");
        let folder = std::env::temp_dir()
            .join(format!("sillward-pages-{}", std::process::id()))
            .join(name);
        for sub in ["bin", "tmp", "target/release"] {
            fs::create_dir_all(folder.join(sub)).expect("a scratch folder");
        }
        let mut scratch = Scratch {
            folder,
            ports: BTreeMap::new(),
        };
        scratch.copied(&root.join("deploy"), &scratch.folder.join("deploy"));
        let program = peers::program();
        let _ = std::os::unix::fs::symlink(&program, scratch.folder.join("bin/sillward"));
        let _ =
            std::os::unix::fs::symlink(&program, scratch.folder.join("target/release/sillward"));
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
        let shim = format!(
            "#!/bin/sh\ncd '{}' && exec '{cargo}' \"$@\"\n",
            root.display()
        );
        let path = scratch.folder.join("bin/cargo");
        fs::write(&path, shim).expect("a command");
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("its mode");
        scratch
    }

    /// Copies a folder with all that is in it, its ports replaced.
    fn copied(&mut self, from: &Path, to: &Path) {
        fs::create_dir_all(to).expect("a scratch folder");
        for entry in fs::read_dir(from).expect("a folder") {
            let path = entry.expect("an entry").path();
            let to = to.join(path.file_name().expect("a name"));
            if path.is_dir() {
                self.copied(&path, &to);
            } else {
                let text = self.text(&fs::read_to_string(&path).expect("a file"));
                fs::write(to, text).expect("a copy");
            }
        }
    }

    /// Ports are the machine's to give: two pages, or a node that runs already, are not to meet.
    fn text(&mut self, text: &str) -> String {
        ported(text, |port| {
            *self.ports.entry(port).or_insert_with(|| {
                let free = TcpListener::bind("127.0.0.1:0").expect("a port");
                free.local_addr().expect("its address").port()
            })
        })
    }

    /// Runs a page's blocks in turn; returns how many.
    fn page(
        &mut self,
        page: &str,
        blocks: Vec<Block>,
        stale: bool,
        breaches: &mut Vec<String>,
    ) -> usize {
        let (mut background, mut ran, mut stale) = (Vec::new(), 0, stale);
        for Block { line, text, used } in blocks {
            let mut text = self.text(&text);
            let place = format!("{page}:{line}");
            let command = !matches!(used, Use::File { .. } | Use::Shown);
            // What the test command runs, this would only run again.
            if text.lines().all(|line| line.starts_with("cargo test ")) && command {
                continue;
            }
            if command && std::mem::take(&mut stale) {
                text = text
                    .replace("sillward", "sillwarb")
                    .replace("cargo", "cargp");
            }
            ran += usize::from(command);
            let fault = match used {
                Use::Shown => None,
                Use::File { name } => fs::write(self.folder.join(name), text)
                    .err()
                    .map(|e| e.to_string()),
                Use::Run { prints } => self.start(&text).ended(LONGEST_S, prints.as_deref()),
                Use::Fails { prints } => self.start(&text).fails(&prints),
                Use::Bounded { seconds } => self.start(&text).bounded(seconds),
                Use::Background { until } => {
                    let mut run = self.start(&text);
                    let fault = run.prints(&until);
                    background.push((place.clone(), run));
                    fault
                }
            };
            if let Some(fault) = fault {
                breaches.push(format!("{place}: {fault}"));
                break; // what follows builds on it
            }
        }
        for (place, mut run) in background {
            if let Ok(Some(status)) = run.child.try_wait() {
                breaches.push(format!("{place}: ended by itself with {status}"));
            }
        }
        ran
    }

    fn start(&self, text: &str) -> Run {
        let path = std::env::var("PATH").unwrap_or_default();
        // Whoever reads a page has a shell that goes on to the next line after a failure; this one does not.
        let mut command = Command::new("bash");
        command
            .args(["-euo", "pipefail", "-c", text])
            .current_dir(&self.folder);
        command.env(
            "PATH",
            format!("{}:{path}", self.folder.join("bin").display()),
        );
        command.env("TMPDIR", self.folder.join("tmp"));
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .process_group(0);
        let mut child = command.spawn().expect("a shell");
        let printed = Arc::new(Mutex::new(String::new()));
        read(child.stdout.take().expect("its output"), printed.clone());
        read(child.stderr.take().expect("its log"), printed.clone());
        Run { child, printed }
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn read(from: impl Read + Send + 'static, to: Arc<Mutex<String>>) {
    spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            let mut all = to.lock().expect("what it prints");
            all.push_str(&line);
            all.push('\n');
        }
    });
}

/// A block that runs, with all that it has started.
struct Run {
    child: Child,
    printed: Arc<Mutex<String>>,
}

impl Run {
    fn has(&self, text: &str) -> bool {
        self.printed.lock().expect("what it prints").contains(text)
    }

    fn last_words(&self) -> String {
        let all = self.printed.lock().expect("what it prints");
        let lines: Vec<&str> = all.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" / ")
    }

    /// Waits for its end, for so long at most.
    fn end(&mut self, seconds: u64) -> Option<ExitStatus> {
        let end = Instant::now() + Duration::from_secs(seconds);
        loop {
            match self.child.try_wait().expect("its state") {
                Some(status) => return Some(status),
                None if Instant::now() > end => return None,
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn ended(mut self, seconds: u64, prints: Option<&str>) -> Option<String> {
        match (self.end(seconds), prints) {
            (None, _) => Some(format!("did not end within {seconds} s")),
            (Some(status), _) if !status.success() => {
                Some(format!("{status}: {}", self.last_words()))
            }
            (Some(_), Some(text)) => self.lacks(text),
            (Some(_), None) => None,
        }
    }

    /// Ends in a failure that says so.
    fn fails(mut self, text: &str) -> Option<String> {
        match self.end(LONGEST_S) {
            None => Some(format!("did not end within {LONGEST_S} s")),
            Some(status) if status.success() => {
                Some(format!("did not fail: {}", self.last_words()))
            }
            Some(_) => self.lacks(text),
        }
    }

    /// What has ended has not printed that. Its last lines may still be on their way.
    fn lacks(&self, text: &str) -> Option<String> {
        let end = Instant::now() + Duration::from_secs(5);
        while !self.has(text) && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        (!self.has(text)).then(|| format!("no {text:?} in: {}", self.last_words()))
    }

    fn bounded(mut self, seconds: u64) -> Option<String> {
        let status = self.end(seconds).filter(|status| !status.success())?;
        Some(format!("{status}: {}", self.last_words()))
    }

    /// Waits until it prints that.
    fn prints(&mut self, text: &str) -> Option<String> {
        let end = Instant::now() + Duration::from_secs(LONGEST_S);
        while !self.has(text) {
            let over = self.child.try_wait().expect("its state").is_some();
            if over || Instant::now() > end {
                return Some(format!("printed no {text:?}: {}", self.last_words()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        // All that it has started is in its group.
        let group = format!("-{}", self.child.id());
        let _ = Command::new("kill")
            .args(["-TERM", "--", &group])
            .stderr(Stdio::null())
            .status();
        if self.end(2).is_none() {
            let _ = Command::new("kill")
                .args(["-KILL", "--", &group])
                .stderr(Stdio::null())
                .status();
            until(
                || self.child.try_wait().is_ok_and(|status| status.is_some()),
                "a block's end",
            );
        }
    }
}
