//! The nodes: the shipped program, put together by the package that the program uses, each in a world of its own.

use crate::ledger::Ledger;
use crate::net::{Host, Net};
use crate::plants::{Plant, Reloads, planted};
use crate::scoped::Scoped;
use crate::script::{COLD_SHARE, Script, WARM_MS, WINDOW_MS};
use sillward_app::{Controls, Insight, Wrap};
use sillward_node_config::Config;
use sillward_operator_config::Operator;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};

/// The time of day at which every run begins, in milliseconds since 1970.
pub const UNIX: Duration = Duration::from_millis(1_790_000_000_000);
/// After SIGTERM new connections go on coming for so long, and are owed what all others are.
const COME_ON: Duration = Duration::from_millis(400);
/// Descriptors of a node.
const DESCRIPTORS: usize = 224;
/// So few places short of its limit a node counts as full, and it does for so long.
const NEARLY: usize = 4;
const CROWDED: Duration = Duration::from_millis(2300);

/// A run of a node's process.
struct Run {
    reload: mpsc::Sender<()>,
    stop: watch::Sender<bool>,
    process: JoinHandle<()>,
    ended: watch::Receiver<bool>,
}

/// A node's place: its process may come and go.
struct Place {
    host: Host,
    run: RefCell<Option<Run>>,
    insight: RefCell<Option<Insight>>,
    starts: Cell<u64>,
    /// Faults that keep it down.
    kept_down: Cell<usize>,
    /// When its last run began, was killed, was told to end.
    began: Cell<Duration>,
    killed: Cell<Option<Duration>>,
    told: Cell<Option<Duration>>,
    excused_until: Cell<Duration>,
    crowded_until: Cell<Duration>,
    /// Clients that it has room for.
    room: Cell<usize>,
    /// Which of its two agents its configuration names.
    agent: Cell<usize>,
    reloads: Rc<Reloads>,
}

/// All nodes.
pub struct Nodes {
    net: Net,
    ledger: Rc<Ledger>,
    script: Rc<Script>,
    places: Vec<Place>,
    plant: Option<(Plant, bool)>,
    etcd: Option<SocketAddr>,
}

/// Where a node's agents listen.
pub fn agent_address(node: usize, agent: usize) -> SocketAddr {
    ([127, 1, node as u8, agent as u8 + 1], 8500).into()
}

impl Nodes {
    /// None of them runs.
    pub fn new(
        net: &Net,
        ledger: &Rc<Ledger>,
        script: &Rc<Script>,
        plant: Option<(Plant, bool)>,
        etcd: Option<SocketAddr>,
    ) -> Rc<Self> {
        let places = script.nodes.iter().map(|plan| Place {
            host: net.machine(&format!("n{}", plan.number), plan.zone, DESCRIPTORS),
            run: RefCell::default(),
            insight: RefCell::default(),
            starts: Cell::new(0),
            kept_down: Cell::new(0),
            began: Cell::default(),
            killed: Cell::default(),
            told: Cell::default(),
            excused_until: Cell::default(),
            crowded_until: Cell::default(),
            room: Cell::default(),
            agent: Cell::new(0),
            reloads: Rc::default(),
        });
        let places: Vec<Place> = places.collect();
        for place in &places {
            let key = b"the key of the nights' fleet, 32 bytes or more".to_vec();
            net.with(place.host, |machine| {
                machine.files.insert("fleet.key".into(), key)
            });
        }
        let (net, ledger, script) = (net.clone(), ledger.clone(), script.clone());
        Rc::new(Nodes {
            net,
            ledger,
            script,
            places,
            plant,
            etcd,
        })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.places.len()
    }

    /// A node's machine.
    pub fn host(&self, node: usize) -> Host {
        self.places[node].host
    }

    /// Where it takes clients.
    pub fn address(&self, node: usize) -> SocketAddr {
        ([127, 0, 10, node as u8 + 1], 8081).into()
    }

    /// Where it takes Thrift callers.
    pub fn thrift_address(&self, node: usize) -> SocketAddr {
        ([127, 0, 10, node as u8 + 1], 9090).into()
    }

    /// What a running node shows of itself.
    pub fn insight(&self, node: usize) -> Option<Insight> {
        let place = self.places.get(node)?;
        place.run.borrow().as_ref()?;
        place.insight.borrow().clone()
    }

    /// Whether a node ran, with all it needs, from then on: what it was asked then is its own to answer.
    pub fn was_there(&self, node: usize, from: Duration) -> bool {
        let place = &self.places[node];
        let told = place.told.get().is_some_and(|told| from > told + COME_ON);
        let killed = place.killed.get().is_some_and(|killed| killed >= from);
        place.began.get() <= from && !killed && !told && from >= place.excused_until.get()
    }

    /// Whether a node has just had as many clients as it has room for: then a call may wait, unread, until somebody
    /// leaves, or be the first on a connection that makes room. Such a call has failed and is not lost.
    pub fn is_crowded(&self, node: usize) -> bool {
        self.places[node].crowded_until.get() >= self.net.now()
    }

    /// Looks whether a node has as many clients as it has room for.
    pub fn look(&self, node: usize, clients: Host) {
        let place = &self.places[node];
        let there = self.net.dialled(clients, &BTreeSet::from([place.host]));
        if there + NEARLY >= place.room.get() {
            place.crowded_until.set(self.net.now() + CROWDED);
        }
    }

    /// What a node fails to do until then is excused: it has been taken what it needs.
    pub fn excuse(&self, node: usize, until: Duration) {
        self.places[node].excused_until.set(until);
    }

    /// Starts a node's process.
    pub fn start(self: &Rc<Self>, node: usize) {
        let place = &self.places[node];
        if place.run.borrow().is_some() || place.kept_down.get() > 0 {
            return;
        }
        self.net.with(place.host, |machine| machine.dying = false);
        place.starts.set(place.starts.get() + 1);
        place.began.set(self.net.now());
        place.told.set(None);
        self.ledger.node_starts(node);
        self.net.step(place.host, format_args!("starts"));
        let (reload, reloads) = mpsc::channel(1);
        let (stop, stopped) = watch::channel(false);
        let (end, ended) = watch::channel(false);
        let own = self.clone();
        let controls = Controls {
            reload: reloads,
            read: Box::new(move || own.config(node)),
            stop: stopped,
        };
        let started = self
            .config(node)
            .and_then(|config| Ok((self.operator(node, &config)?, config)));
        if let Ok((operator, config)) = &started {
            let thrift = if operator.thrift.is_some() {
                config.client_connections / 2
            } else {
                0
            };
            let fleet = sillward_app::fleet_connections(config, operator);
            place.room.set(config.client_connections - thrift - fleet);
        }
        let wrap = self
            .plant
            .and_then(|plant| planted(plant, &self.script, node, &self.net, &place.reloads));
        let (own, net) = (self.clone(), self.net.clone());
        let shown = move |insight| drop(own.places[node].insight.replace(Some(insight)));
        let program = async move {
            let (operator, config) = started?;
            sillward_app::run(config, operator, controls, wrap as Option<Wrap>, shown).await
        };
        let now: Rc<dyn Fn() -> Duration> = Rc::new(move || net.now());
        let program = Scoped::new(self.net.world(place.host, UNIX), program, now);
        let own = self.clone();
        let process = spawn_local(async move {
            let how = program.await;
            let place = &own.places[node];
            own.net.step(place.host, format_args!("exits: {how:?}"));
            if let Err(what) = how {
                let checker = if what.contains("stands still") {
                    "still"
                } else {
                    "crash"
                };
                own.ledger.breach(checker, None, format!("n{node} {what}"));
            } else if place.told.get().is_none() {
                own.ledger
                    .breach("crash", None, format!("n{node} ended by itself"));
            }
            let _ = end.send(true);
        });
        *place.run.borrow_mut() = Some(Run {
            reload,
            stop,
            process,
            ended,
        });
    }

    /// A fault keeps a node down until it says [`Nodes::release`]: two processes of a node never run side by side.
    pub fn keep_down(&self, node: usize) {
        let count = &self.places[node].kept_down;
        count.set(count.get() + 1);
    }

    /// A fault no longer keeps a node down: it starts, unless another one does.
    pub fn release(self: &Rc<Self>, node: usize) {
        let count = &self.places[node].kept_down;
        count.set(count.get() - 1);
        self.start(node);
    }

    /// Kills a node's process outright.
    pub async fn kill(&self, node: usize) {
        let place = &self.places[node];
        let Some(run) = place.run.borrow_mut().take() else {
            return;
        };
        self.net.step(place.host, format_args!("is killed"));
        place.killed.set(Some(self.net.now()));
        self.net.with(place.host, |machine| machine.dying = true);
        run.process.abort();
        let _ = run.process.await;
        place.insight.replace(None);
    }

    /// Tells a node to end in good order, and waits until it has; false if it has not after `patience`.
    pub async fn stop(&self, node: usize, patience: Duration) -> bool {
        let place = &self.places[node];
        let Some(mut run) = place.run.borrow_mut().take() else {
            return true;
        };
        self.net.step(place.host, format_args!("is told to end"));
        place.told.set(Some(self.net.now()));
        let _ = run.stop.send(true);
        let in_time = sillward_runtime::time::timeout(patience, run.ended.wait_for(|ended| *ended))
            .await
            .is_ok();
        if !in_time {
            place.killed.set(Some(self.net.now()));
            run.process.abort();
        }
        let _ = run.process.await;
        place.insight.replace(None);
        in_time
    }

    /// A node's configuration names its other agent from now on, and it is told so.
    pub fn reload(&self, node: usize) {
        let place = &self.places[node];
        let run = place.run.borrow();
        let Some(run) = run.as_ref() else { return };
        place.agent.set(1 - place.agent.get());
        place.reloads.told(self.net.now());
        self.net.step(
            place.host,
            format_args!("is told to read its configuration again"),
        );
        let _ = run.reload.try_send(()); // one that waits is one with this
    }

    fn config(&self, node: usize) -> Result<Config, String> {
        let place = &self.places[node];
        let script = &self.script;
        let seed = script.seed ^ (place.starts.get() << 56) ^ ((node as u64 + 1) << 48);
        let kind = if script.thrift { "t" } else { "m" };
        let text = format!(
            r#"{{"name":"n{node}","listen":"{}","discovery":"{}","seed":"{seed:x}",
            "limits":{{"sockets":{DESCRIPTORS},"memory_mb":{}}},
            "settings":{{"NInstances":{},"Ordinal":{node},"Zone":{},"Quantum":1,
            "Classes":[{{"Name":"read","Target":400,"GiveUp":1000,"Idempotency":"free","Credit":1}},
              {{"Name":"submit","Target":400,"GiveUp":1200,"Idempotency":"guarded","Group":"zone","Window":{WINDOW_MS},"Credit":10}},
              {{"Name":"correct","Target":500,"GiveUp":2000,"Idempotency":"single_shot","Credit":2}}],
            "Projects":[{{"Name":"semarang","AllowancePerS":100,"Share":0.6}},{{"Name":"pati","AllowancePerS":60,"Share":0.4}}],
            "Localities":["a","b"],"HostTypes":["{kind}"],
            "Rules":{{"DrainGrace":2000,"ColdFrom":{COLD_SHARE},"RampTime":{WARM_MS},"OverloadFactor":4,"TipAfter":1500}},
            "LoadReport":{{"Columns":["concurrent","depth"],"Via":"piggyback"}},
            "Permissions":{{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":200,"IdleClose":{},"RetryAfter":true,
              "MaxRetryAfter":1000,"Probes":true,"ParallelTries":true}}}}}}"#,
            self.address(node),
            agent_address(node, place.agent.get()),
            script.memory_kb as f64 / 1024.0,
            self.places.len(),
            script.nodes[node].zone,
            script.idle_close_ms,
        );
        Config::parse(&text).map_err(|error| error.to_string())
    }

    fn operator(&self, node: usize, config: &Config) -> Result<Operator, String> {
        use std::fmt::Write;
        let mut text = String::new();
        if self.script.thrift {
            let listen = self.thrift_address(node);
            // Writes into a string can't fail.
            let _ = writeln!(text, "[thrift]\nlisten = \"{listen}\"");
            for class in crate::script::CLASSES {
                let key = if class == "submit" {
                    "idempotency_key = \"1.2\"\n"
                } else {
                    ""
                };
                let _ = writeln!(
                    text,
                    "[[thrift.method]]\nservice = \"Tally\"\nname = \"{class}\"\nclass = \"{class}\"\n\
                     station_key = \"1.1\"\n{key}default_tenant = \"pati\"\nbudget_ms = \"1.4\""
                );
            }
            text.push_str(
                "[[thrift.backend]]\ntype = \"t\"\nencoding = \"binary\"\nturned_away = [\"field 2\"]\n\
                 load_report = \"99\"\nprobe = \"Tally:load\"\n",
            );
            for class in crate::script::CLASSES {
                let key = if class == "submit" { "key = 3\n" } else { "" };
                let _ = writeln!(
                    text,
                    "[[thrift.backend.http_call]]\nclass = \"{class}\"\nmethod = \"Tally:{class}\"\n\
                     target = 1\nbody = 2\n{key}"
                );
            }
        }
        if self.script.fleet.is_some() {
            let at = |node: usize| format!("127.0.10.{}:7946", node + 1);
            let _ = writeln!(
                text,
                "[fleet]\nname = \"night\"\nkey_file = \"fleet.key\"\nlisten = \"{}\"\n\
                 seeds = [\"{}\", \"{}\"]\nzone = \"{}\"\nfolder = \"fleet\"",
                at(node),
                at(0),
                at(1),
                self.script.nodes[node].zone
            );
        }
        if let Some(etcd) = self.etcd {
            let _ = writeln!(
                text,
                "[etcd]\nendpoints = [\"{etcd}\"]\nprefix = \"/tally/\"\nconnect_ms = 500\n\
                 keep_alive_ms = 900\nfirst_pause_ms = 20\nlongest_pause_ms = 400\nresync_ms = 5000"
            );
        }
        sillward_operator_config::parse("operator.toml", &text, Some(&config.platform)).map_err(
            |faults| {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                faults.join("; ")
            },
        )
    }
}
