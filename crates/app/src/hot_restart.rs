//! Carries reports between two processes of one node while one replaces the other, and applies the limits that follow to
//! the parts that use resources. Decides nothing.

mod call_peer;
mod connection;
mod shared_calls;

pub(crate) use shared_calls::SharedCalls;

use connection::{NewerConnection, OlderConnection, Report};
use sillward_forwarding::{MemoryBudget, MemoryReservation};
use sillward_hot_restart::{Event, ResourceSplit, Resources};
use sillward_listener::ConnectionManager;
use sillward_logging::{log, log_peer};
use sillward_pool::ConnectionLimit;
use sillward_runtime::time::{sleep, timeout};
use sillward_runtime::unix_socket::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// How often use of resources is looked at while there are two processes, and how long a write may wait.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// An older process that runs reports within this; one that does not is taken to use half.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// The file under `$TMPDIR` by which a newer process finds the older one.
const SOCKET_NAME: &str = "sillward.sock";
/// What a second process needs for itself: descriptors for streams, listeners, runtime, discovery and operators' callers, and
/// memory for its code, tables and queues.
pub(crate) const PROCESS_OVERHEAD: Resources = Resources {
    client_connections: 0,
    backend_connections: 32,
    body_bytes: 8 << 20,
};

/// The parts that use resources.
pub(crate) struct ResourceUsers {
    /// Whether Thrift callers are served too. Their connections are not counted.
    pub(crate) has_thrift_callers: bool,
    pub(crate) client_connections: Rc<ConnectionManager>,
    pub(crate) backend_connections: Rc<ConnectionLimit>,
    pub(crate) body_bytes: MemoryBudget,
}

impl ResourceUsers {
    /// What this process uses; `other_process` is memory reserved for the other one.
    fn in_use(&self, other_process: &MemoryReservation) -> Resources {
        let reserved = self.body_bytes.reserved();
        Resources {
            client_connections: self.client_connections.connection_count(),
            backend_connections: self.backend_connections.open(),
            body_bytes: reserved.saturating_sub(other_process.bytes()),
        }
    }
}

/// A process of a node whose platform replaces processes.
pub(crate) struct HotRestart {
    split: ResourceSplit,
    users: ResourceUsers,
    /// Memory that belongs to the other process.
    other_process: MemoryReservation,
    alone: Resources,
    older: Option<OlderConnection>,
    newer: Option<NewerConnection>,
    listener: Option<UnixListener>,
}

/// What wakes [`HotRestart::run`].
enum Wake {
    Shutdown,
    Report(Report),
    NewerExited,
    NewerConnected(std::io::Result<UnixStream>),
    Tick,
}

impl HotRestart {
    /// Finds the process that ran before, takes its report, and takes its place for the next. `None` if no memory can be set
    /// apart.
    pub(crate) async fn start(
        folder: Option<&Path>,
        alone: Resources,
        users: ResourceUsers,
    ) -> Option<Self> {
        let other_process = users.body_bytes.try_reserve(0)?;
        let mut split = ResourceSplit::new(alone, PROCESS_OVERHEAD);
        if users.has_thrift_callers {
            split = split.with_uncounted_clients();
        }
        let mut this = HotRestart {
            split,
            users,
            other_process,
            alone,
            older: None,
            newer: None,
            listener: None,
        };
        match folder {
            Some(folder) => {
                let path = folder.join(SOCKET_NAME);
                this.find_older(&path).await;
                this.listen(&path);
            }
            None => {
                log(
                    "no TMPDIR: whether another process of this node runs is unknown, and it is taken to use half",
                );
                this.split.handle(Event::OlderFound);
                this.assume_half();
            }
        }
        this.apply_limits();
        Some(this)
    }

    async fn find_older(&mut self, path: &Path) {
        let Ok(stream) = UnixStream::connect(path).await else {
            return;
        };
        self.split.handle(Event::OlderFound);
        let mut older = OlderConnection::new(stream);
        match timeout(FIRST_REPORT_TIMEOUT, older.next()).await {
            Ok(Report::Exited) => return self.split.handle(Event::OlderExited),
            Ok(Report::Resources(resources)) => {
                log(format_args!(
                    "an older process of this node uses {resources}"
                ));
                self.split.handle(Event::OlderReported(resources));
            }
            Ok(Report::Unreadable) => self.on_unreadable_report(),
            Err(_) => {
                log("an older process of this node reports nothing: it is taken to use half");
                self.assume_half();
            }
        }
        self.older = Some(older);
    }

    fn listen(&mut self, path: &Path) {
        match UnixListener::replace(path) {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => log(format_args!(
                "the next process will not find this one at {}: {error}",
                path.display()
            )),
        }
    }

    fn assume_half(&mut self) {
        self.split.handle(Event::OlderReported(self.alone.half()));
    }

    /// Another build, perhaps: the older process runs, and no more is known.
    fn on_unreadable_report(&mut self) {
        log_peer(
            "an older process of this node sends an unreadable report: it is taken to use half",
        );
        self.assume_half();
    }

    fn in_use(&self) -> Resources {
        self.users.in_use(&self.other_process)
    }

    fn apply_limits(&mut self) {
        let limits = self.split.limits(self.in_use());
        let users = &self.users;
        users
            .client_connections
            .set_max_connections(limits.client_connections);
        users
            .backend_connections
            .set_max(limits.backend_connections);
        let other_process = self.alone.body_bytes.saturating_sub(limits.body_bytes);
        self.other_process.resize_up_to(other_process);
    }

    /// Keeps the split up to date for as long as the process runs. `shutdown` completes when it is told to end.
    pub(crate) async fn run(mut self, shutdown: impl Future<Output = ()>) {
        let mut shutdown = std::pin::pin!(shutdown);
        let mut shutting_down = false;
        loop {
            let wake = self.wait(shutdown.as_mut(), shutting_down).await;
            shutting_down |= matches!(wake, Wake::Shutdown);
            self.on_wake(wake).await;
            self.apply_limits();
            self.send_report().await;
        }
    }

    /// Waits for what comes first. What is dropped meanwhile has lost nothing: a report that is not whole stays buffered.
    async fn wait(
        &mut self,
        shutdown: std::pin::Pin<&mut impl Future<Output = ()>>,
        shutting_down: bool,
    ) -> Wake {
        let (older, newer) = (&mut self.older, &mut self.newer);
        let paired = older.is_some() || newer.is_some();
        let report = async {
            match older {
                Some(older) => older.next().await,
                None => std::future::pending().await,
            }
        };
        let newer_exited = async {
            match newer {
                Some(newer) => newer.exited().await,
                None => std::future::pending().await,
            }
        };
        let newer_connected = async {
            match &self.listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = shutdown, if !shutting_down => Wake::Shutdown,
            report = report => Wake::Report(report),
            () = newer_exited => Wake::NewerExited,
            stream = newer_connected => Wake::NewerConnected(stream),
            () = sleep(UPDATE_INTERVAL), if paired => Wake::Tick,
        }
    }

    async fn on_wake(&mut self, wake: Wake) {
        match wake {
            Wake::Shutdown => self.split.handle(Event::Shutdown),
            Wake::Report(Report::Resources(resources)) => {
                self.split.handle(Event::OlderReported(resources));
            }
            Wake::Report(Report::Unreadable) => self.on_unreadable_report(),
            Wake::Report(Report::Exited) => {
                log("the older process of this node is gone");
                self.older = None;
                self.split.handle(Event::OlderExited);
            }
            Wake::NewerExited => {
                log("the newer process of this node is gone");
                self.newer = None;
                self.split.handle(Event::NewerExited);
            }
            Wake::NewerConnected(Ok(stream)) => {
                self.newer = Some(NewerConnection::new(stream));
                self.split.handle(Event::NewerConnected);
            }
            Wake::NewerConnected(Err(_)) => sleep(UPDATE_INTERVAL).await,
            Wake::Tick => {}
        }
    }

    /// Reports to the newer process, if there is one and the report has changed.
    async fn send_report(&mut self) {
        let in_use = self.in_use();
        let Some(newer) = &mut self.newer else {
            return;
        };
        if newer.is_idle() {
            newer.queue(self.split.report(in_use));
        }
        newer.send().await;
    }
}

#[cfg(test)]
mod tests;
