//! A fleet of processes on the ground: started, looked at, and hit by faults.

use crate::history::History;
use crate::process::{Process, Start};
use crate::relays::Relays;
use crate::script::{Fault, Folder, Places, What};
use serde_json::{Value, json};
use sillward_membership::wire::{Frame, Update};
use sillward_membership::{Incarnation, Name};
use sillward_peer_transport::envelope::{Envelope, EnvelopeCodec, Keys};
use sillward_test_servers::peers::{
    Backend, Client, Discovery, Reply, config, entry_in, list, ok, settings,
};
use sillward_test_servers::random::Random;
use std::net::{IpAddr, Ipv4Addr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

const FLEET: &str = "ground";
const SECRET: &str = "the key of a fleet on the ground, which nobody else has";
/// The plant that makes newer builds such that no other can read them.
const UNREADABLE: &str = "unreadable";

/// The most bytes of a frame.
const FRAME: usize = 256;
/// Calls to here run at a box, and lose their answer: who sends one again holds its class to be safe.
pub const DROPPED: &str = "/read/d0";
/// Between two looks at what a node says of the others.
const LOOK: Duration = Duration::from_millis(200);
/// Tally boxes a fleet.
const BOXES: usize = 6;

/// What a fleet is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Nodes and zones.
    pub places: Places,
    /// Of all that is drawn.
    pub seed: u64,
    /// The shipped program.
    pub program: PathBuf,
    /// The program with faults within; for plants, clocks and newer builds.
    pub faulty: Option<PathBuf>,
    /// How long each disk takes, in milliseconds, if not as it does.
    pub disk_ms: Option<u64>,
    /// A plant, in every process.
    pub plant: Option<String>,
    /// Clocks that run wrong: a node and its rate.
    pub clocks: Vec<(usize, f64)>,
    /// Clocks that jump ahead: a node, how far and when after its start, in milliseconds.
    pub jumps: Vec<(usize, u64, u64)>,
    /// Calls a second at each node.
    pub rate: u32,
    /// Further lines of the operator file's `[fleet]`.
    pub more: String,
    /// What they agree on.
    pub agreed: Option<Agreed>,
    /// Where the history goes.
    pub history: Option<PathBuf>,
}

/// Files and what they hold.
type Files = Vec<(PathBuf, Vec<u8>)>;

/// The settings on which a fleet agrees.
#[derive(Clone, Copy, Debug)]
pub struct Agreed {
    /// The first so many nodes vote.
    pub voters: usize,
    /// W, in milliseconds.
    pub bound_ms: u64,
}

impl Options {
    /// A fleet of the program that ships, with nothing wrong in it, called five times a second at each node.
    pub fn of(places: Places, seed: u64, program: PathBuf) -> Self {
        Options {
            places,
            seed,
            program,
            faulty: None,
            disk_ms: None,
            plant: None,
            clocks: Vec::new(),
            jumps: Vec::new(),
            rate: 5,
            more: String::new(),
            agreed: None,
            history: None,
        }
    }
}

/// A node's place; its process comes and goes.
pub struct Place {
    /// The process, while there is one.
    pub process: Mutex<Option<Process>>,
    folder: PathBuf,
    start: Start,
    run: AtomicU64,
    paused: AtomicBool,
    /// The folder as it was before the last start.
    before: Mutex<Files>,
}

/// What a client was told.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// When it asked.
    pub t_us: u64,
    /// How long it took.
    pub took_us: u64,
    /// The status; 0 for no answer.
    pub status: u16,
}

/// The fleet.
pub struct Fleet {
    /// See [`Options`].
    pub options: Options,
    /// What happens.
    pub history: History,
    /// The ways between the processes.
    pub relays: Arc<Relays>,
    /// The nodes.
    pub places: Vec<Place>,
    /// What clients were told, by node.
    pub asked: Vec<Mutex<Vec<Asked>>>,
    over: AtomicBool,
    workers: Mutex<Vec<JoinHandle<()>>>,
    folder: PathBuf,
    _boxes: Mutex<Vec<Backend>>,
}

fn folder_of(own: u32) -> PathBuf {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("sillward-ground-{own}-{number}"))
}

impl Fleet {
    /// Makes a fleet, of which nobody runs yet.
    ///
    /// # Errors
    /// Files, folders or ports are not to be had.
    pub fn new(options: Options) -> Result<Arc<Self>, String> {
        let wrong = |e: std::io::Error| format!("the ground can't be laid: {e}");
        let nodes = options.places.nodes;
        let history = History::new(options.history.as_deref()).map_err(wrong)?;
        let id = std::process::id();
        // Loopback addresses of this ground's own, so that several can stand side by side.
        let own: Vec<IpAddr> = (0..nodes)
            .map(|node| {
                Ipv4Addr::new(127, 64 + (id >> 8 & 63) as u8, id as u8, node as u8 + 1).into()
            })
            .collect();
        let envelopes = EnvelopeCodec::new(Keys::derive(SECRET.as_bytes()), FLEET, FRAME);
        let relays =
            Relays::start(own.clone(), options.seed, envelopes, history.clone()).map_err(wrong)?;
        let folder = folder_of(id);
        std::fs::create_dir_all(&folder).map_err(wrong)?;
        let key = folder.join("key");
        std::fs::write(&key, SECRET).map_err(wrong)?;
        {
            use std::os::unix::fs::PermissionsExt;
            std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))
                .map_err(wrong)?;
        }
        let boxes: Vec<Backend> = (0..BOXES)
            .map(|at| {
                let seen = history.clone();
                Backend::start(move |message| {
                    if !message.start.contains(DROPPED) {
                        return ok("counted");
                    }
                    let call = message.header("x-call-id").unwrap_or_default();
                    seen.note(None, "box-sees", json!({ "box": at, "call": call }));
                    Reply::Break(Vec::new())
                })
            })
            .collect();
        let lines: Vec<String> = boxes
            .iter()
            .enumerate()
            .map(|(i, backend)| {
                entry_in(
                    ["a", "b"][i % 2],
                    "m",
                    &format!("b-{i}"),
                    backend.address,
                    "in_service",
                )
            })
            .collect();
        let seeds: Vec<String> = relays
            .addresses
            .iter()
            .take(options.places.zones.min(3))
            .map(|at| format!("\"{at}\""))
            .collect();
        let mut places = Vec::new();
        for (node, ip) in own.iter().enumerate() {
            let discovery = Discovery::start();
            let text = config(discovery.address, &settings(1_500, ""), 512);
            let text = text.replace("\"name\":\"n0\"", &format!("\"name\":\"n{node}\""));
            let lines = lines.clone();
            // A list for each run of the process; watches stay open with the thread's own hands.
            let address = discovery.address;
            spawn(move || agent(&discovery, &lines));
            debug_assert!(text.contains(&address.to_string()));
            let own = folder.join(format!("n{node}"));
            std::fs::create_dir_all(&own).map_err(wrong)?;
            let (config, operator) = (
                folder.join(format!("n{node}.json")),
                folder.join(format!("n{node}.toml")),
            );
            std::fs::write(&config, text).map_err(wrong)?;
            let text = format!(
                "[fleet]\nname = \"{FLEET}\"\nkey_file = \"{}\"\nlisten = \"{ip}:0\"\nadvertise = \"{}\"\n\
                 seeds = [{}]\nzone = \"z{}\"\nregion = \"r{}\"\nfolder = \"{}\"\nframe_bytes = {FRAME}\n{}\n\
                 [admin]\nlisten = \"127.0.0.1:0\"\n",
                key.display(),
                relays.addresses[node],
                seeds.join(", "),
                options.places.zone(node),
                options.places.region(node),
                own.display(),
                options.more,
            );
            let agreement = options
                .agreed
                .map(|agreed| agreement(agreed, &own))
                .unwrap_or_default();
            std::fs::write(&operator, text + &agreement).map_err(wrong)?;
            if options.agreed.is_some_and(|agreed| node < agreed.voters) {
                let mut found = std::process::Command::new(&options.program);
                found
                    .arg("found")
                    .arg("--operator")
                    .arg(&operator)
                    .env("PROXY_CONFIG", &config);
                let done = found.output().map_err(wrong)?;
                if !done.status.success() {
                    return Err(String::from_utf8_lossy(&done.stderr).into_owned());
                }
            }
            let rate = options
                .clocks
                .iter()
                .find(|(which, _)| *which == node)
                .map(|(_, rate)| *rate);
            let mut environment = Vec::new();
            environment.extend(
                rate.map(|rate| ("SILLWARD_FAULT_CLOCK_RATE".to_owned(), rate.to_string())),
            );
            let jump = options.jumps.iter().find(|(which, ..)| *which == node);
            let jump = jump.map(|(_, far, at)| {
                (
                    "SILLWARD_FAULT_CLOCK_JUMP".to_owned(),
                    format!("{far}@{at}"),
                )
            });
            environment.extend(jump);
            environment.extend(
                options
                    .disk_ms
                    .map(|ms| ("SILLWARD_FAULT_DISK_MS".to_owned(), ms.to_string())),
            );
            let plant = options.plant.clone().filter(|plant| plant != UNREADABLE);
            environment.extend(plant.map(|plant| ("SILLWARD_FAULT_PLANT".to_owned(), plant)));
            let program = match (&options.faulty, environment.is_empty()) {
                (_, true) => options.program.clone(),
                (Some(faulty), false) => faulty.clone(),
                (None, false) => {
                    return Err("plants and clocks need the program with faults".to_owned());
                }
            };
            places.push(Place {
                process: Mutex::default(),
                folder: own,
                start: Start {
                    program,
                    config,
                    operator,
                    environment,
                },
                run: AtomicU64::new(0),
                paused: AtomicBool::new(false),
                before: Mutex::default(),
            });
        }
        Ok(Arc::new(Fleet {
            asked: (0..nodes).map(|_| Mutex::default()).collect(),
            options,
            history,
            relays,
            places,
            over: AtomicBool::new(false),
            workers: Mutex::default(),
            folder,
            _boxes: Mutex::new(boxes),
        }))
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Starts all processes at one moment, and who looks at them and calls them.
    ///
    /// # Errors
    /// One did not start.
    pub fn start(self: &Arc<Self>) -> Result<(), String> {
        let starting: Vec<_> = (0..self.places.len())
            .map(|node| {
                let own = self.clone();
                spawn(move || own.start_one(node, false))
            })
            .collect();
        for starting in starting {
            starting
                .join()
                .map_err(|_| "a start panicked".to_owned())??;
        }
        let mut workers = self.workers.lock().expect("the workers");
        for node in 0..self.places.len() {
            let own = self.clone();
            workers.push(spawn(move || own.look(node)));
            if self.options.rate > 0 {
                let own = self.clone();
                workers.push(spawn(move || own.call(node)));
            }
        }
        Ok(())
    }

    /// Starts a process; a newer build of it if that is wanted and there is one.
    ///
    /// # Errors
    /// It did not start.
    pub fn start_one(&self, node: usize, newer: bool) -> Result<(), String> {
        let place = &self.places[node];
        let mut slot = place.process.lock().expect("a process");
        if slot.is_some() {
            return Ok(());
        }
        let files = std::fs::read_dir(&place.folder)
            .into_iter()
            .flatten()
            .flatten();
        let files = files.filter_map(|file| Some((file.path(), std::fs::read(file.path()).ok()?)));
        *place.before.lock().expect("the folder") = files.collect();
        let mut start = place.start.clone();
        if let (true, Some(faulty)) = (newer, &self.options.faulty) {
            start.program = faulty.clone();
            let unreadable = self.options.plant.as_deref() == Some(UNREADABLE);
            let build = if unreadable { UNREADABLE } else { "newer" };
            start
                .environment
                .push(("SILLWARD_FAULT_BUILD".to_owned(), build.to_owned()));
        }
        let run = place.run.fetch_add(1, Ordering::SeqCst) + 1;
        // Both before it can have sent anything.
        self.relays.run(node, run);
        self.history
            .note(Some(node), "started", json!({ "run": run, "newer": newer }));
        let process = Process::start(&start).map_err(|e| format!("n{node}: {e}"))?;
        self.relays.target(node, Some(process.fleet));
        *slot = Some(process);
        Ok(())
    }

    fn down(&self, node: usize, kill: bool) {
        let mut slot = self.places[node].process.lock().expect("a process");
        let Some(mut process) = slot.take() else {
            return;
        };
        if kill {
            self.history.note(Some(node), "killed", json!({}));
            process.kill();
        } else {
            self.history.note(Some(node), "told-to-end", json!({}));
            let status = process.end(Duration::from_secs(6));
            let good = status.is_some_and(|status| status.success());
            self.history
                .note(Some(node), "ended", json!({ "good": good }));
        }
        self.places[node].paused.store(false, Ordering::SeqCst);
        self.relays.target(node, None);
    }

    /// A node's own folder.
    pub fn folder(&self, node: usize) -> &Path {
        &self.places[node].folder
    }

    fn spoil(&self, node: usize, folder: Folder) {
        let place = &self.places[node];
        let files = || {
            std::fs::read_dir(&place.folder)
                .into_iter()
                .flatten()
                .flatten()
                .map(|file| file.path())
        };
        match folder {
            Folder::Kept => {}
            Folder::Lost => files().for_each(|file| drop(std::fs::remove_file(file))),
            Folder::Old => {
                files().for_each(|file| drop(std::fs::remove_file(file)));
                for (path, bytes) in place.before.lock().expect("the folder").iter() {
                    let _ = std::fs::write(path, bytes);
                }
            }
            Folder::Torn(at) => files().for_each(|file| {
                let bytes = std::fs::read(&file).unwrap_or_default();
                let _ = std::fs::write(&file, &bytes[..at.min(bytes.len())]);
            }),
        }
    }

    /// Pauses a process, or lets it go on.
    fn pause(&self, node: usize, pause: bool) {
        let slot = self.places[node].process.lock().expect("a process");
        let Some(process) = &*slot else { return };
        // The history has a pause from before it begins until after it ends.
        if pause {
            self.history.note(Some(node), "paused", json!({}));
            self.places[node].paused.store(true, Ordering::SeqCst);
            process.pause();
        } else if self.places[node].paused.load(Ordering::SeqCst) {
            process.go_on();
            self.places[node].paused.store(false, Ordering::SeqCst);
            self.history.note(Some(node), "goes-on", json!({}));
        }
    }

    /// Plays a script to its end, all faults mended: those that overlap on one process take turns.
    ///
    /// # Errors
    /// A process did not start again.
    pub fn play(self: &Arc<Self>, faults: &[Fault]) -> Result<(), String> {
        let begun = Instant::now();
        let busy: Arc<Vec<Mutex<()>>> =
            Arc::new(self.places.iter().map(|_| Mutex::new(())).collect());
        let striking: Vec<_> = faults
            .iter()
            .cloned()
            .map(|fault| {
                let (own, busy) = (self.clone(), busy.clone());
                spawn(move || {
                    sleep(
                        (begun + Duration::from_millis(fault.at_ms))
                            .saturating_duration_since(Instant::now()),
                    );
                    own.strike(&fault.what, &busy)
                })
            })
            .collect();
        for striking in striking {
            striking
                .join()
                .map_err(|_| "a fault panicked".to_owned())??;
        }
        self.history.note(None, "faults-over", json!({}));
        Ok(())
    }

    fn strike(&self, what: &What, busy: &[Mutex<()>]) -> Result<(), String> {
        let wait = |ms: u64| sleep(Duration::from_millis(ms));
        let told = serde_json::to_value(what).unwrap_or(Value::Null);
        match what {
            What::Kill {
                node,
                for_ms,
                folder,
            } => {
                let _busy = busy[*node].lock().expect("a process");
                self.history
                    .note(Some(*node), "fault", json!({ "fault": told }));
                self.down(*node, true);
                self.spoil(*node, *folder);
                wait(*for_ms);
                self.start_one(*node, false)?;
            }
            What::End {
                node,
                for_ms,
                newer,
            } => {
                let _busy = busy[*node].lock().expect("a process");
                self.history
                    .note(Some(*node), "fault", json!({ "fault": told }));
                self.down(*node, false);
                wait(*for_ms);
                self.start_one(*node, *newer)?;
            }
            What::Pause { node, for_ms } => {
                let _busy = busy[*node].lock().expect("a process");
                self.history
                    .note(Some(*node), "fault", json!({ "fault": told }));
                self.pause(*node, true);
                wait(*for_ms);
                self.pause(*node, false);
            }
            What::Cut {
                from,
                to,
                both,
                for_ms,
            } => {
                let mut ways = self.options.places.ways(from, to);
                if *both {
                    ways.extend(ways.clone().into_iter().map(|(a, b)| (b, a)));
                }
                self.history.note(None, "fault", json!({ "fault": told }));
                ways.iter().for_each(|(a, b)| self.relays.cut(*a, *b, true));
                wait(*for_ms);
                ways.iter()
                    .for_each(|(a, b)| self.relays.cut(*a, *b, false));
                self.history.note(None, "mended", json!({ "fault": told }));
            }
            What::Ways {
                from,
                to,
                way,
                for_ms,
            } => {
                let ways = self.options.places.ways(from, to);
                self.history.note(None, "fault", json!({ "fault": told }));
                ways.iter().for_each(|(a, b)| self.relays.way(*a, *b, *way));
                wait(*for_ms);
                ways.iter()
                    .for_each(|(a, b)| self.relays.way(*a, *b, Default::default()));
                self.history.note(None, "mended", json!({ "fault": told }));
            }
            What::Flood {
                node,
                a_second,
                keyed,
                for_ms,
            } => {
                self.history
                    .note(Some(*node), "fault", json!({ "fault": told }));
                self.flood(*node, *a_second, *keyed, Duration::from_millis(*for_ms));
                self.history
                    .note(Some(*node), "mended", json!({ "fault": told }));
            }
        }
        Ok(())
    }

    /// Sends a node what nobody of the fleet would: noise and frames without the key; or a member's lies.
    fn flood(&self, node: usize, a_second: u32, keyed: bool, time: Duration) {
        let at = self.places[node]
            .process
            .lock()
            .expect("a process")
            .as_ref()
            .map(|process| process.fleet);
        let (Some(at), Ok(socket)) = (at, UdpSocket::bind("127.0.0.1:0")) else {
            return;
        };
        let mut random = Random::new(self.options.seed ^ node as u64);
        let begun = Instant::now();
        let mut sent = 0u64;
        let envelopes = EnvelopeCodec::new(Keys::derive(SECRET.as_bytes()), FLEET, FRAME);
        while begun.elapsed() < time && !self.is_over() {
            let due = (begun.elapsed().as_secs_f64() * f64::from(a_second)) as u64;
            while sent < due {
                let bytes = if keyed {
                    lie(&envelopes, &mut random)
                } else {
                    noise(&mut random, sent)
                };
                let _ = socket.send_to(&bytes, at);
                sent += 1;
            }
            sleep(Duration::from_millis(2));
        }
    }

    /// Where a node listens for operators and clients, if it runs and is not paused.
    pub(crate) fn at(&self, node: usize) -> Option<(std::net::SocketAddr, std::net::SocketAddr)> {
        let place = &self.places[node];
        if place.paused.load(Ordering::SeqCst) {
            return None;
        }
        let process = place.process.lock().expect("a process");
        process
            .as_ref()
            .map(|process| (process.admin, process.clients))
    }

    /// Whether all is over.
    pub(crate) fn ended(&self) -> bool {
        self.is_over()
    }

    /// Keeps a worker until the end.
    pub(crate) fn work(&self, worker: JoinHandle<()>) {
        self.workers.lock().expect("the workers").push(worker);
    }

    fn page(&self, node: usize) -> Option<Value> {
        let place = &self.places[node];
        if place.paused.load(Ordering::SeqCst) {
            return None;
        }
        let admin = place.process.lock().expect("a process").as_ref()?.admin;
        let text = get(admin, "/admin/fleet")?;
        serde_json::from_str(&text).ok()
    }

    /// Notes what a node says of itself and the others, whenever it is something else than before.
    fn look(&self, node: usize) {
        let mut before = Value::Null;
        while !self.is_over() {
            sleep(LOOK);
            let Some(page) = self.page(node) else {
                continue;
            };
            let empty = Vec::new();
            let members = page["members"].as_array().unwrap_or(&empty);
            let members: serde_json::Map<String, Value> = members
                .iter()
                .map(|member| {
                    let name = member["name"].as_str().unwrap_or_default().to_owned();
                    let said = json!([
                        member["state"],
                        member["life"],
                        member["zone"],
                        member["build"]
                    ]);
                    (name, said)
                })
                .collect();
            let says =
                json!({ "standing": page["standing"], "life": page["life"], "members": members });
            if says != before {
                self.history.note(Some(node), "says", says.clone());
                before = says;
            }
        }
    }

    /// Calls a node steadily, each call due at its time.
    fn call(&self, node: usize) {
        let pause = Duration::from_secs(1) / self.options.rate;
        let mut due = Instant::now();
        let mut client: Option<(u64, Client)> = None;
        while !self.is_over() {
            sleep(due.saturating_duration_since(Instant::now()));
            due = (due + pause).max(Instant::now());
            let place = &self.places[node];
            let run = place.run.load(Ordering::SeqCst);
            let at = place
                .process
                .lock()
                .expect("a process")
                .as_ref()
                .map(|process| process.clients);
            let Some(at) = at.filter(|_| !place.paused.load(Ordering::SeqCst)) else {
                continue;
            };
            if client.as_ref().is_none_or(|(of, _)| *of != run) {
                client =
                    Client::try_connect(at, Duration::from_secs(3)).map(|client| (run, client));
            }
            let Some((_, open)) = &mut client else {
                continue;
            };
            let (t_us, begun) = (self.history.now_us(), Instant::now());
            let sent = open.try_send("GET /read/1f", &sillward_test_servers::peers::common(1_500));
            let status = sent
                .then(|| open.answer())
                .flatten()
                .map_or(0, |answer| answer.status());
            if status == 0 {
                client = None;
            }
            let took_us = begun.elapsed().as_micros() as u64;
            if status != 200 {
                let fields = json!({ "status": status, "took_us": took_us });
                self.history.note_at(t_us, Some(node), "not-served", fields);
            }
            self.asked[node].lock().expect("calls").push(Asked {
                t_us,
                took_us,
                status,
            });
        }
    }

    /// Ends all of it; what each process had used: memory in kB and processor time in seconds.
    pub fn end(&self) -> Vec<(u64, f64)> {
        let used = self.places.iter().map(|place| {
            let slot = place.process.lock().expect("a process");
            slot.as_ref()
                .map_or((0, 0.0), |process| (process.memory_kb(), process.cpu_s()))
        });
        let used = used.collect();
        self.over.store(true, Ordering::SeqCst);
        for worker in std::mem::take(&mut *self.workers.lock().expect("the workers")) {
            let _ = worker.join();
        }
        for place in &self.places {
            drop(place.process.lock().expect("a process").take());
        }
        self.relays.end();
        let _ = std::fs::remove_dir_all(&self.folder);
        used
    }

    /// Calls at nodes that ran, and the share of them that was served: the fleet's troubles are not the callers'.
    pub(crate) fn served(
        &self,
        ran: impl Fn(usize, &Asked) -> bool,
        breaches: &mut Vec<String>,
    ) -> (usize, f64) {
        let (mut all, mut good) = (0, 0);
        for (node, asked) in self.asked.iter().enumerate() {
            for asked in asked
                .lock()
                .expect("calls")
                .iter()
                .filter(|asked| ran(node, asked))
            {
                all += 1;
                good += usize::from(asked.status == 200);
            }
        }
        let share = good as f64 / all.max(1) as f64;
        if all > 0 && share < 0.99 {
            breaches.push(format!(
                "{good} of {all} calls at nodes that ran were served"
            ));
        }
        (all, share)
    }

    /// What a node's log says last.
    pub fn log(&self, node: usize) -> Vec<String> {
        let slot = self.places[node].process.lock().expect("a process");
        slot.as_ref().map(Process::log).unwrap_or_default()
    }
}

/// The operator file's table.
fn agreement(agreed: Agreed, folder: &Path) -> String {
    let voters: Vec<String> = (0..agreed.voters)
        .map(|node| format!("\"n{node}\""))
        .collect();
    format!(
        "[agreement]\nlog = \"ground\"\nvoters = [{}]\nfolder = \"{}\"\nbound_ms = {}\n",
        voters.join(", "),
        folder.display(),
        agreed.bound_ms
    )
}

fn noise(random: &mut Random, number: u64) -> Vec<u8> {
    let mut bytes = vec![0u8; 20 + random.below(236)];
    bytes
        .iter_mut()
        .for_each(|byte| *byte = random.number() as u8);
    bytes[0] = (number % 3 > 0).into();
    bytes
}

/// A frame under the fleet's key of a member that is none, with a number that jumps, to a life that is nobody's, and with
/// words of members that there are not.
fn lie(envelopes: &EnvelopeCodec, random: &mut Random) -> Vec<u8> {
    let name = format!("liar{}", random.below(3));
    let update = Update {
        name: format!("x{}", random.below(100_000)),
        address: vec![127, 0, 0, 1, 0, 9],
        epoch: 1 + random.below(9) as u32,
        salt: 1 + random.below(1 << 30) as u32,
        ..Update::default()
    };
    let frame = Frame {
        kind: random.below(7) as i32,
        updates: vec![update],
        ..Frame::default()
    };
    envelopes.seal(&Envelope {
        name: Name::new(&name).expect("a name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        incarnation: Incarnation {
            epoch: 1 + random.below(3) as u32,
            salt: 1 + random.below(3) as u32,
        },
        sequence: random.number() >> random.below(60),
        to_salt: if random.percent(50) {
            0
        } else {
            random.number() as u32
        },
        frame,
        topic: 0,
        payload: Vec::new(),
    })
}

/// A page; `None` if there is none in time.
pub(crate) fn get(at: std::net::SocketAddr, path: &str) -> Option<String> {
    post(at, path, None)
}

/// What a call is answered, with a body or without; `None` if nothing comes in time.
pub(crate) fn post(at: std::net::SocketAddr, path: &str, body: Option<&str>) -> Option<String> {
    use std::io::{Read, Write};
    let patience = Duration::from_millis(800);
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body.unwrap_or_default();
    let mut stream = std::net::TcpStream::connect_timeout(&at, patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned())
}

fn agent(discovery: &Discovery, lines: &[String]) {
    // Watches stay open for as long as their node reads them.
    let mut watches = Vec::new();
    loop {
        let Some(mut watch) = discovery.try_call(Duration::from_secs(3600)) else {
            return;
        };
        if watch.answer_list(&list(8, true, lines)) {
            watches.push(watch);
        }
        if watches.len() > 8 {
            watches.remove(0);
        }
    }
}

/// The folder of a program that cargo built beside this one.
pub fn beside(name: &str) -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    own.ancestors()
        .map(|folder: &Path| folder.join(name))
        .find(|path| path.is_file())
}
