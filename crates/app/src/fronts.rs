//! The listeners: clients' over HTTP, callers' over Thrift, operators'.

use crate::hot_restart::{HotRestart, ResourceUsers, SharedCalls};
use crate::{agreement, control, outcomes, pages};
use hyper::Method;
use sillward_admin::{AdminServer, PostRoute, Reply, Route};
use sillward_consensus_io::ConsensusService;
use sillward_endpoints::MergedEndpoints;
use sillward_forwarding::{LiveSettings, MemoryBudget, Message, NodeHandle, RequestLimit};
use sillward_hot_restart::Resources;
use sillward_http1::{CallIdExchange, FrontendServices, NoOtherProcess};
use sillward_listener::{ConnectionManager, ListenerOwnership, SharedLifecycle};
use sillward_logging::log;
use sillward_metrics::Counters;
use sillward_node_config::Config;
use sillward_peer_transport::PeerTransport;
use sillward_pool::ConnectionLimit;
use sillward_runtime::Clock;
use sillward_runtime::net::TcpListener;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{sleep, timeout_at};
use sillward_thrift::FrontendConfig;
use std::cell::RefCell;
use std::fmt::Display;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The interval at which a process that exits checks whether requests are still open.
const OPEN_REQUESTS_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How often a process tries to listen on an address that the process it replaces still has.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What all fronts need.
pub struct Fronts {
    pub clock: Clock,
    pub config: Rc<Config>,
    pub intake: NodeHandle,
    pub messages: mpsc::Sender<Message>,
    pub lifecycle: Rc<SharedLifecycle>,
    pub counters: Rc<Counters>,
    pub live: Rc<LiveSettings>,
    /// HTTP clients' connections, and those to backends.
    pub client_connections: Rc<ConnectionManager>,
    pub sockets: Rc<ConnectionLimit>,
    pub budget: MemoryBudget,
    /// The memory for open requests beside their bodies.
    pub request_budget: MemoryBudget,
    /// HTTP requests that may be open.
    pub limit: RequestLimit,
    pub stop: watch::Receiver<bool>,
    /// How many of the client connections are Thrift callers'.
    pub thrift_connections: usize,
}

impl Fronts {
    /// Where the platform replaces processes: finds the one that was here before, keeps to this one's share, and exchanges
    /// with it which calls are open.
    pub async fn share(&self) -> Rc<dyn CallIdExchange> {
        if self.config.listen_fd.is_none() {
            return Rc::new(NoOtherProcess);
        }
        let alone = Resources {
            client_connections: self.config.client_connections - self.thrift_connections,
            backend_connections: self.config.backend_connections,
            body_bytes: self.config.body_bytes,
        };
        let users = ResourceUsers {
            has_thrift_callers: self.thrift_connections > 0,
            client_connections: self.client_connections.clone(),
            backend_connections: self.sockets.clone(),
            body_bytes: self.budget.clone(),
        };
        let folder = self.config.temp_dir.as_deref();
        if let Some(hot_restart) = HotRestart::start(folder, alone, users).await {
            spawn_local(hot_restart.run(self.told_to_stop()));
        }
        match folder {
            Some(folder) => SharedCalls::start(folder, self.clock).await,
            None => Rc::new(NoOtherProcess),
        }
    }

    /// Waits until the node is told to stop; its teller's end tells so too.
    fn told_to_stop(&self) -> impl Future<Output = ()> + use<> {
        let mut stop = self.stop.clone();
        async move {
            let _ = stop.wait_for(|stopped| *stopped).await;
        }
    }

    /// Listens on an address of the operator file, and says so in the log. A process that replaces another waits until that
    /// one has let the address go; it gets `None` if it is told to stop before.
    fn listen_for(
        &self,
        whom: &'static str,
        address: SocketAddr,
    ) -> impl Future<Output = Result<Option<TcpListener>, String>> + use<> {
        let may_wait = self.config.listen_fd.is_some();
        let name = self.config.name.clone();
        let told_to_stop = self.told_to_stop();
        async move {
            let listener = if may_wait {
                tokio::select! {
                    biased;
                    () = told_to_stop => return Ok(None),
                    listener = bind_when_free(address) => listener?,
                }
            } else {
                bind(address).await?
            };
            log_listener(&name, whom, &listener)?;
            Ok(Some(listener))
        }
    }

    /// Serves operators at the address of the operator file.
    async fn serve_operators(
        &self,
        server: Rc<AdminServer>,
        address: SocketAddr,
    ) -> Result<(), String> {
        let listening = self.listen_for("operators", address);
        if self.config.listen_fd.is_none() {
            if let Some(listener) = listening.await? {
                spawn_local(server.run(listener));
            }
            return Ok(());
        }
        spawn_local(async move {
            match listening.await {
                Ok(Some(listener)) => server.run(listener).await,
                Ok(None) => {}
                Err(error) => log(error),
            }
        });
        Ok(())
    }

    pub async fn http(
        &self,
        listener: TcpListener,
        call_ids: Rc<dyn CallIdExchange>,
    ) -> Result<(), String> {
        let connections = self.client_connections.clone();
        let frontend = sillward_http1::Frontend::new(FrontendServices {
            node: self.intake.clone(),
            settings: self.live.clone(),
            connections: connections.clone(),
            budget: self.budget.clone(),
            limit: self.limit.clone(),
            lifecycle: self.lifecycle.clone(),
            counters: self.counters.clone(),
            call_ids,
        });
        let shared = self.config.listen_fd.is_some();
        if shared {
            // Another process takes from the same queue, and can serve what this one would keep waiting.
            tokio::select! {
                biased;
                () = self.told_to_stop() => {}
                () = self.lifecycle.wait_until_serving_or_draining() => {}
            }
        }
        let ownership = if shared {
            ListenerOwnership::Shared
        } else {
            ListenerOwnership::Exclusive
        };
        connections
            .run(frontend, listener, ownership, self.told_to_stop())
            .await;
        Ok(())
    }

    pub async fn thrift(&self, terms: Option<FrontendConfig>) -> Result<(), String> {
        let Some(terms) = terms else { return Ok(()) };
        let Some(listener) = self.listen_for("Thrift", terms.listen).await? else {
            return Ok(());
        };
        let connections = ConnectionManager::new(
            self.lifecycle.clone(),
            self.thrift_connections,
            longest(&self.live),
        );
        let services = sillward_thrift::NodeServices {
            node: self.intake.clone(),
            settings: self.live.clone(),
            connections: connections.clone(),
            budget: self.budget.clone(),
            request_budget: self.request_budget.clone(),
            lifecycle: self.lifecycle.clone(),
            counters: self.counters.clone(),
        };
        let front = sillward_thrift::Frontend::new(services, terms, self.config.seed);
        connections
            .run(
                front.clone(),
                listener,
                ListenerOwnership::Exclusive,
                self.told_to_stop(),
            )
            .await;
        log(format_args!(
            "{} oneway calls were taken",
            front.oneway_calls()
        ));
        Ok(())
    }

    /// Waits until no request is open any more, or until the process must exit. Oneway calls have no connection that would
    /// wait for them.
    pub async fn finish_open_requests(&self) {
        let schedule = self.lifecycle.shutdown_started().await;
        let all_ended = async {
            while self.counters.in_progress() > 0 {
                sleep(OPEN_REQUESTS_CHECK_INTERVAL).await;
            }
        };
        let exits_by = self.lifecycle.instant(schedule.exits_by());
        if timeout_at(exits_by, all_ended).await.is_err() {
            let open = self.counters.in_progress();
            log(format_args!(
                "{open} requests were still open at the end of the graceful shutdown"
            ));
        }
    }

    /// Operators' calls: at the platform's address all of them, at the operator file's the pages of what it turns on.
    /// They are answered until every client has been let go.
    pub async fn admin(
        &self,
        platform: Option<SocketAddr>,
        operator: Option<SocketAddr>,
        sources: Option<Rc<RefCell<MergedEndpoints>>>,
        fleet: Option<Rc<PeerTransport>>,
        council: Option<Rc<ConsensusService>>,
        told: Option<Rc<outcomes::Outcomes>>,
    ) -> Result<(), String> {
        let clock = self.clock;
        let page = |path, text: fn(Clock, &Rc<RefCell<MergedEndpoints>>) -> String| {
            let sources = sources.clone();
            let text = move || {
                sources
                    .as_ref()
                    .map_or_else(|| "{}".to_owned(), |m| text(clock, m))
            };
            Route::new(Method::GET, path, move || Reply::json(text()))
        };
        let pages = || {
            let mut all = vec![
                page("/admin/membership", pages::membership),
                page("/admin/membership/sources", pages::sources),
            ];
            all.extend(fleet.clone().map(|fleet| {
                let page =
                    move || Reply::json(sillward_peer_transport::status_page::render(&fleet));
                Route::new(Method::GET, "/admin/fleet", page)
            }));
            all.extend(
                council
                    .iter()
                    .map(|council| agreement::page(council, &self.live)),
            );
            all.extend(told.iter().map(outcomes::page));
            all
        };
        let posts = || -> Vec<PostRoute> {
            council
                .iter()
                .map(|council| agreement::proposals(council, &self.live))
                .collect()
        };
        if let Some(address) = platform {
            let listener = bind(address).await?;
            log_listener(&self.config.name, "operators", &listener)?;
            let mut routes = control::routes(&self.lifecycle, &self.counters, &self.messages);
            routes.extend(
                (sources.is_some() || fleet.is_some())
                    .then(pages)
                    .into_iter()
                    .flatten(),
            );
            spawn_local(AdminServer::new(routes, posts()).run(listener));
        }
        if let Some(address) = operator.filter(|address| platform != Some(*address)) {
            let server = AdminServer::new(pages(), posts());
            self.serve_operators(server, address).await?;
        }
        Ok(())
    }
}

/// The longest deadline of any class there is or has been, as it is when it is asked for.
pub fn longest(live: &Rc<LiveSettings>) -> impl Fn() -> Duration + use<> {
    let live = live.clone();
    move || {
        let site = live.get();
        site.settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default()
    }
}

/// Adopts the listener that the process was started with, or says in words why not.
pub fn adopt(descriptor: i32, address: SocketAddr) -> Result<TcpListener, String> {
    let wrong = |what: &dyn Display| {
        format!("PROXY_LISTEN_FD {descriptor} is no listener at {address}: {what}")
    };
    let listener = TcpListener::from_inherited_fd(descriptor).map_err(|e| wrong(&e))?;
    match listener.local_addr() {
        Ok(at) if at == address || address.port() == 0 => Ok(listener),
        Ok(at) => Err(wrong(&format_args!("it listens at {at}"))),
        Err(e) => Err(wrong(&e)),
    }
}

/// Listens, or says in words why not.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address)
        .await
        .map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// As [`bind`], but waits for as long as another process has the address.
async fn bind_when_free(address: SocketAddr) -> Result<TcpListener, String> {
    let mut is_logged = false;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            bound => return bound.map_err(|e| format!("cannot listen on {address}: {e}")),
        }
        if !std::mem::replace(&mut is_logged, true) {
            log(format_args!(
                "waits for {address}, where another process listens"
            ));
        }
        sleep(LISTEN_RETRY_INTERVAL).await;
    }
}

fn log_listener(node: &str, whom: &str, listener: &TcpListener) -> Result<(), String> {
    let address = listener
        .local_addr()
        .map_err(|e| format!("cannot listen: {e}"))?;
    log(format_args!("{node} listens for {whom} on {address}"));
    Ok(())
}
