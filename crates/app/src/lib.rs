//! What puts a node together out of its parts: a function a subsystem. The program starts it, and so does the
//! simulation; what is theirs alone, signals and files or a script, comes in by [`Controls`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agreement;
mod control;
mod fleet;
mod fronts;
mod hot_restart;
mod outcomes;
mod pages;
mod sources;

use sillward_balancer::settings::PlatformSettings;
use sillward_consensus_io::ConsensusService;
use sillward_forwarding::{
    BackendProtocol, LiveSettings, LoadReportParser, MemoryBudget, Message, Node, NodeGauges,
    ProtocolDispatcher, RequestLimit, SettingsLease, SettingsSnapshot,
};
use sillward_listener::{ConnectionManager, SharedLifecycle};
use sillward_logging::log;
use sillward_metrics::{Counters, ReloadOutcome};
use sillward_node_config::Config;
use sillward_operator_config::Operator;
use sillward_pool::{ConnectionLimit, Pool, PoolTimeouts};
use sillward_runtime::Clock;
use sillward_runtime::task::spawn_local;
use sillward_thrift::BackendConfig;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc, watch};

/// Messages to the node about other things than requests that may wait.
const MESSAGES: usize = 256;
/// HTTP requests that may be open. A connection has one at a time; another one of its may still have an attempt in flight.
const MIN_OPEN_REQUESTS: usize = 4096;
const OPEN_REQUESTS_PER_CONNECTION: usize = 2;

/// What a node is told from outside while it runs.
pub struct Controls {
    /// Each time: read the configuration again.
    pub reload: mpsc::Receiver<()>,
    /// Reads it.
    pub read: Box<dyn Fn() -> Result<Config, String>>,
    /// True once the node is to end in good order.
    pub stop: watch::Receiver<bool>,
}

/// What a node shows of itself to whoever started it.
#[derive(Clone)]
pub struct Insight {
    /// The request table.
    pub gauges: Rc<NodeGauges>,
    /// Room for bodies that is left.
    pub budget: MemoryBudget,
    /// Connections to backends.
    pub sockets: Rc<ConnectionLimit>,
    /// The fleet, where the node is a member of one.
    pub fleet: Option<Rc<sillward_peer_transport::PeerTransport>>,
    /// The agreement, where the node takes part in one.
    pub council: Option<Rc<sillward_consensus_io::ConsensusService>>,
}

/// Stands between the node and its backends' protocols. The program has none; the simulation plants faults so.
pub type Wrap = Box<dyn FnOnce(Rc<dyn BackendProtocol>) -> Rc<dyn BackendProtocol>>;

/// How many of the node's client connections are Thrift callers'.
///
/// # Errors
/// More than the node's limits allow: the operator file's key and both numbers.
pub fn thrift_connections(config: &Config, operator: &Operator) -> Result<usize, String> {
    let Some(terms) = &operator.thrift else {
        return Ok(0);
    };
    let most = config.client_connections;
    match terms.max_connections.unwrap_or(most / 2) {
        part if part < most => Ok(part),
        part => Err(format!(
            "thrift.connections: {part}, but the limits allow {most} clients in all"
        )),
    }
}

/// How many of the node's client connections the fleet takes.
pub fn fleet_connections(config: &Config, operator: &Operator) -> usize {
    operator
        .fleet
        .as_ref()
        .map_or(0, |_| fleet::sockets(config))
}

/// Whether operator file and configuration go together.
///
/// # Errors
/// All that does not, a line each, with the operator file's keys.
pub fn fit(config: &Config, operator: &Operator) -> Result<(), String> {
    let fleet = operator
        .fleet
        .as_ref()
        .map(|terms| fleet::terms(config, terms));
    let clients = thrift_connections(config, operator).and_then(|thrift| {
        let (most, fleet) = (config.client_connections, fleet_connections(config, operator));
        let room = most > thrift + fleet;
        room.then_some(()).ok_or_else(|| {
            format!("fleet: takes {fleet} connections and Thrift {thrift}, but the limits allow {most} clients in all")
        })
    });
    // A process that takes another's place would find the fleet's port taken by it.
    let replaced = operator.fleet.is_some() && config.listen_fd.is_some();
    let replaced = replaced
        .then(|| "fleet: not where processes replace each other (PROXY_LISTEN_FD)".to_owned());
    let agreement = operator
        .agreement
        .as_ref()
        .map(|terms| agreement::terms(config, terms));
    let agreement = agreement.and_then(Result::err);
    let faults = [
        clients.err(),
        fleet.and_then(Result::err),
        agreement,
        replaced,
    ];
    let faults: Vec<String> = faults.into_iter().flatten().collect();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults.join("\n"))
    }
}

/// Founds this voter's folder, once and on purpose: see [`sillward_consensus_io::initialise`].
///
/// # Errors
/// There is no `[agreement]`, this node is no voter, or its folder is founded already.
pub fn found(config: &Config, operator: &Operator) -> Result<String, String> {
    let terms = operator
        .agreement
        .as_ref()
        .ok_or("the operator file has no [agreement]")?;
    let name = sillward_membership::Name::new(&config.name)
        .ok_or("this node's name can't be a member's")?;
    sillward_consensus_io::initialise(&agreement::terms(config, terms)?, &name)
        .map_err(|e| e.to_string())
}

/// Runs a node until it is told to stop and has ended in good order. `shown` is called once, when its parts stand.
///
/// # Errors
/// It can't listen, or a part that must never end has ended.
pub async fn run(
    config: Config,
    operator: Operator,
    controls: Controls,
    wrap: Option<Wrap>,
    shown: impl FnOnce(Insight),
) -> Result<(), String> {
    let config = Rc::new(config);
    fit(&config, &operator)?;
    let thrift_connections = thrift_connections(&config, &operator)?;
    let listener = match config.listen_fd {
        Some(descriptor) => fronts::adopt(descriptor, config.listen)?,
        None => fronts::bind(config.listen).await?,
    };
    let clock = Clock::start();
    let (messages, inbox) = mpsc::channel(MESSAGES);
    let (orders, discovery_orders) = mpsc::channel(16);
    let (moves, moved) = watch::channel(config.discovery);
    // Bodies keep half of their memory whatever else is on.
    let fleet_bytes = operator
        .fleet
        .as_ref()
        .map_or(0, |terms| fleet::bytes(&config, terms))
        + operator.agreement.as_ref().map_or(0, |_| agreement::BYTES)
        + operator.outcomes.as_ref().map_or(0, |_| outcomes::BYTES);
    let fleet_connections = fleet_connections(&config, &operator);
    let request_budget = MemoryBudget::new(config.request_bytes);
    let budget = MemoryBudget::new(config.body_bytes - fleet_bytes.min(config.body_bytes / 2));
    let sockets = ConnectionLimit::new(config.backend_connections);
    let (counters, live) = (Counters::new(), LiveSettings::new(config.platform.clone()));
    counters.register_classes(&config.platform.class_names);
    let mut protocols = backends(
        clock,
        &config,
        operator.thrift_backends,
        &budget,
        &sockets,
        &counters,
        &live,
    );
    if let Some(wrap) = wrap {
        protocols = wrap(protocols);
    }
    let fleet = match &operator.fleet {
        None => None,
        Some(terms) => {
            Some(fleet::start(clock, &config, terms, stopped(controls.stop.clone())).await?)
        }
    };
    let told = match (&operator.outcomes, &fleet) {
        (Some(terms), Some(fleet)) => Some(outcomes::start(
            clock,
            terms,
            fleet,
            &live,
            stopped(controls.stop.clone()),
        )?),
        _ => None,
    };
    let changed = Rc::new(Notify::new());
    let lapse = Rc::new(SettingsLease::default());
    let council = match (&operator.agreement, &fleet) {
        (Some(terms), Some(fleet)) => {
            let stop = stopped(controls.stop.clone());
            Some(agreement::start(
                clock,
                &config,
                terms,
                fleet,
                (changed.clone(), lapse.clone()),
                stop,
            )?)
        }
        _ => None,
    };
    if let Some(council) = &council {
        // Nothing is acted on that was not asked for: the careful reading holds from the first call on.
        let readings = council.effective_values(&agreement::keys(&config.platform));
        let called = Rc::new(agreement::called(&config.platform, &readings));
        let decided = Rc::new(agreement::laid_over(&config.platform, &readings));
        live.set(SettingsSnapshot::new(called, decided.clone()));
        lapse.set_fallback(decided);
    }
    let sources = sources::start(clock, &config, operator.etcd, &messages, &live);
    let node = Node::new(
        clock,
        lapse
            .fallback()
            .unwrap_or_else(|| live.get())
            .settings
            .clone(),
        config.seed,
        protocols,
        messages.clone(),
        orders,
        counters.clone(),
    )
    .with_settings_lease(council.is_some().then(|| lapse.clone()))
    .with_observer(
        told.clone()
            .map(|told| told as Rc<dyn sillward_forwarding::NodeObserver>),
    );
    let (gauges, budgeted, open) = (node.gauges(), budget.clone(), sockets.clone());
    shown(Insight {
        gauges,
        budget: budgeted,
        sockets: open,
        fleet: fleet.clone(),
        council: council.clone(),
    });
    let intake = node.handle();
    let mut node = spawn_local(node.run(inbox));
    let lifecycle = SharedLifecycle::new(clock, sources.discovery.ready());
    let mut discovery = spawn_local(sources.discovery.run(discovery_orders, moved));
    let reloading = Reloading {
        running: config.clone(),
        file: Rc::new(config.platform.clone()),
        council: council.clone(),
        changed,
        lapse,
        live: live.clone(),
        counters: counters.clone(),
        node: messages.clone(),
        moves,
    };
    spawn_local(reloading.run(controls.reload, controls.read));
    let said = listener
        .local_addr()
        .map_err(|e| format!("cannot listen: {e}"))?;
    log(format_args!("{} listens on {said}", config.name));

    spawn_local(tell_node_of_shutdown(lifecycle.clone(), messages.clone()));
    let clients = config.client_connections - thrift_connections - fleet_connections;
    let client_connections =
        ConnectionManager::new(lifecycle.clone(), clients, fronts::longest(&live));
    let doors = fronts::Fronts {
        client_connections,
        sockets,
        clock,
        config: config.clone(),
        intake,
        messages,
        lifecycle,
        counters,
        live,
        limit: RequestLimit::new(
            MIN_OPEN_REQUESTS.max(clients * OPEN_REQUESTS_PER_CONNECTION),
            request_budget.clone(),
        ),
        request_budget,
        budget,
        stop: controls.stop.clone(),
        thrift_connections,
    };
    let fronts = async {
        let call_ids = doors.share().await;
        let http = doors.http(listener, call_ids);
        let thrift = doors.thrift(operator.thrift);
        doors
            .admin(
                config.admin,
                operator.admin,
                sources.membership,
                fleet,
                council,
                told,
            )
            .await?;
        tokio::try_join!(http, thrift)?;
        doors.finish_open_requests().await;
        Ok(())
    };
    tokio::select! {
        biased;
        ended = fronts => ended,
        ended = &mut node => Err(format!("the node ended: {ended:?}")),
        ended = &mut discovery => Err(format!("discovery ended: {ended:?}")),
    }
}

/// Tells the node, once the shutdown has started, by when every request must have its final response.
async fn tell_node_of_shutdown(lifecycle: Rc<SharedLifecycle>, messages: mpsc::Sender<Message>) {
    let responses_by = lifecycle.shutdown_started().await.responses_by();
    let _ = messages.send(Message::ShutDown { responses_by }).await; // fails only if the node has ended
}

/// Until the node is told to end.
async fn stopped(mut stop: watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await; // its teller's end tells so too
}

/// The backend protocols: HTTP/1.1, and beside it whatever the operator file names for a machine type. All share
/// the descriptors that backends may take.
fn backends(
    clock: Clock,
    config: &Config,
    thrift: Vec<BackendConfig>,
    budget: &MemoryBudget,
    sockets: &Rc<ConnectionLimit>,
    counters: &Rc<Counters>,
    live: &Rc<LiveSettings>,
) -> Rc<dyn BackendProtocol> {
    let terms = PoolTimeouts::from_settings(&config.platform);
    let reports = LoadReportParser::new(live.clone());
    let pool = Pool::start(clock, sillward_http1::Http1, terms, sockets.clone());
    let http =
        sillward_http1::BackendClient::new(pool, budget.clone(), reports.clone(), counters.clone());
    if thrift.is_empty() {
        return http;
    }
    let others = thrift.into_iter().map(|kind| {
        let protocol = sillward_thrift::Thrift {
            send_buffer_bytes: kind.send_buffer_bytes,
        };
        let pool = Pool::start(clock, protocol, terms, sockets.clone());
        let (place, budget) = (kind.machine_type, budget.clone());
        let backends: Rc<dyn BackendProtocol> = sillward_thrift::BackendClient::new(
            pool,
            kind,
            budget,
            reports.clone(),
            counters.clone(),
        );
        (place, backends)
    });
    Rc::new(ProtocolDispatcher::new(http, others.collect()))
}

/// Reads the configuration again, and lays what is agreed on over its settings. Settings and discovery's address can change in a
/// node that runs; a file that can't be used changes nothing.
struct Reloading {
    /// The last that was taken.
    running: Rc<Config>,
    /// Its settings, in this process's numbers, without what is agreed on.
    file: Rc<PlatformSettings>,
    council: Option<Rc<ConsensusService>>,
    /// What is agreed on has changed, or the right to act on it.
    changed: Rc<Notify>,
    lapse: Rc<SettingsLease>,
    live: Rc<LiveSettings>,
    counters: Rc<Counters>,
    node: mpsc::Sender<Message>,
    moves: watch::Sender<SocketAddr>,
}

impl Reloading {
    /// Each time that it is told to.
    async fn run(
        mut self,
        mut told: mpsc::Receiver<()>,
        read: Box<dyn Fn() -> Result<Config, String>>,
    ) {
        loop {
            let again = tokio::select! {
                biased;
                () = self.changed.notified() => false,
                told = told.recv() => match told {
                    Some(()) => true,
                    None => return,
                },
            };
            if !again {
                if let Err(what) = self.lay_over().await {
                    log(format_args!("{what}; the settings stay as they were"));
                }
                continue;
            }
            let taken = match read() {
                Ok(new) => self.take(new).await,
                Err(what) => Err(what),
            };
            self.counters.config_reloaded(match taken {
                Ok(_) => ReloadOutcome::Applied,
                Err(_) => ReloadOutcome::Rejected,
            });
            if let Err(what) = taken {
                log(format_args!("{what}; the configuration stays as it was"));
            }
        }
    }

    /// The one path by which settings reach the node; whether they were others than before.
    async fn lay_over(&self) -> Result<bool, String> {
        // The number before the reading: what changes in between makes it another's.
        let generation = self.lapse.next_generation();
        let (site, called) = match &self.council {
            None => (self.file.clone(), self.file.clone()),
            Some(council) => {
                let keys = agreement::keys(&self.file);
                let readings = council.effective_values(&keys);
                self.lapse.set_fallback(Rc::new(agreement::laid_over(
                    &self.file,
                    &council.conservative_values(&keys),
                )));
                (
                    Rc::new(agreement::laid_over(&self.file, &readings)),
                    Rc::new(agreement::called(&self.file, &readings)),
                )
            }
        };
        let changed = *called != *self.live.get();
        if changed || self.council.is_some() {
            self.counters.register_classes(&site.class_names);
            // The node first: what a front reads by the new settings is behind this news.
            let told = self
                .node
                .send(Message::Settings {
                    settings: site.clone(),
                    generation,
                })
                .await;
            told.map_err(|_| "the node has ended".to_owned())?;
            self.live.set(SettingsSnapshot::new(called, site));
        }
        Ok(changed)
    }

    /// Takes all of it or nothing.
    async fn take(&mut self, new: Config) -> Result<(), String> {
        let old = self.file.clone();
        self.file = Rc::new(
            self.running
                .reloaded_settings(&new, &old)
                .map_err(|error| error.to_string())?,
        );
        let fixed = self.running.restart_only_differences(&new).join(", ");
        if !fixed.is_empty() {
            log(format_args!(
                "changed in the configuration, but only a restart takes it in: {fixed}"
            ));
        }
        let changed = self.lay_over().await?;
        let address = new.discovery;
        let moved = self
            .moves
            .send_if_modified(|at| std::mem::replace(at, address) != address);
        let (settings, what) = (
            if changed { "changed" } else { "as before" },
            if moved { "moved to" } else { "stays at" },
        );
        log(format_args!(
            "configuration read again: settings {settings}, discovery {what} {address}"
        ));
        self.running = Rc::new(new);
        Ok(())
    }
}
