//! The task that follows etcd: performs the actions of the session and passes keys to the publisher.

use crate::config::EtcdConfig;
use crate::error::{EtcdError, code};
use crate::grpc::{GrpcConnection, GrpcStream};
use crate::proto::{
    AuthenticateRequest, AuthenticateResponse, RangeRequest, RangeResponse, WatchCreateRequest,
    WatchProgressRequest, WatchRequest, WatchRequestUnion, WatchResponse, range_end,
};
use crate::publisher::Publisher;
use crate::session::{Action, Session};
use bytes::Bytes;
use sillward_endpoint_updates::SourceEvent;
use sillward_forwarding::LiveSettings;
use sillward_logging::log;
use sillward_runtime::time::{Instant, sleep, timeout};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

const AUTHENTICATE_PATH: &str = "/etcdserverpb.Auth/Authenticate";
const RANGE_PATH: &str = "/etcdserverpb.KV/Range";
const WATCH_PATH: &str = "/etcdserverpb.Watch/Watch";
/// The maximum number of keys in a page of the list.
const PAGE_KEYS: i64 = 500;
/// The number of parts into which the keep-alive timeout of a watch is divided. After each part but the last, the
/// source requests progress.
const KEEP_ALIVE_PARTS: u32 = 3;

/// An endpoint source that follows the keys of an etcd cluster.
pub struct EtcdSource {
    config: EtcdConfig,
    session: Session,
    publisher: Publisher,
}

impl EtcdSource {
    /// Creates a source that sends its events to `events`. Values are parsed according to the settings in `live`.
    /// `seed` randomizes the backoff and the choice of the first etcd endpoint, to spread the load of many nodes.
    pub fn new(
        config: EtcdConfig,
        live: Rc<LiveSettings>,
        seed: u64,
        events: mpsc::Sender<SourceEvent>,
    ) -> Self {
        // Rotated, so that the sequence differs from those of the node's other generators with the same seed.
        let session_seed = seed.rotate_left(17);
        EtcdSource {
            session: Session::new(config.endpoints.len(), config.timeouts, session_seed),
            publisher: Publisher::new(live, events),
            config,
        }
    }

    /// Follows etcd until the future is dropped. Endpoints stay listed while the connection is broken.
    pub async fn run(mut self) {
        loop {
            let endpoint = self.config.endpoints[self.session.endpoint()];
            let Err(error) = self.follow(endpoint).await;
            log(format_args!(
                "etcd at {endpoint}: {error} (gRPC {})",
                error.code()
            ));
            self.publisher.disconnected().await;
            sleep(self.session.on_disconnected()).await;
        }
    }

    /// Follows etcd through one of its endpoints until an error occurs.
    async fn follow(&mut self, endpoint: SocketAddr) -> Result<Infallible, EtcdError> {
        let timeouts = self.config.timeouts;
        let mut connection =
            with_timeout(timeouts.connect, GrpcConnection::connect(endpoint)).await?;
        self.authenticate(&mut connection).await?;
        let mut actions: VecDeque<Action> = self.session.on_connected().into();
        let mut watch = None;
        let mut resync_at = Instant::now() + timeouts.resync_interval;
        loop {
            while let Some(action) = actions.pop_front() {
                let next = self.perform(action, &mut connection, &mut watch).await?;
                actions.extend(next);
            }
            self.publisher.flush().await;
            let watch = watch.as_mut().ok_or(EtcdError::Timeout)?;
            let response = self.next_response(watch).await?;
            actions.extend(self.session.on_watch_response(response));
            if self.session.is_watching() {
                self.publisher.connected().await;
            }
            let is_idle = actions.is_empty() && self.session.is_watching();
            if is_idle && Instant::now() >= resync_at {
                resync_at = Instant::now() + timeouts.resync_interval;
                actions.extend(self.session.resync());
            }
        }
    }

    async fn authenticate(&self, connection: &mut GrpcConnection) -> Result<(), EtcdError> {
        let Some(credentials) = &self.config.credentials else {
            return Ok(());
        };
        let request = AuthenticateRequest {
            name: credentials.user.clone(),
            password: credentials.password.clone(),
        };
        let call = connection.unary(AUTHENTICATE_PATH, &request);
        let response: AuthenticateResponse =
            with_timeout(self.config.timeouts.connect, call).await?;
        connection.set_token(&response.token);
        Ok(())
    }

    /// Performs an action and returns the actions that result from it.
    async fn perform(
        &mut self,
        action: Action,
        connection: &mut GrpcConnection,
        watch: &mut Option<GrpcStream>,
    ) -> Result<Vec<Action>, EtcdError> {
        match action {
            Action::ReadPage { after, revision } => {
                return self.read_page(connection, &after, revision).await;
            }
            Action::OpenWatch { start_revision } => {
                *watch = Some(self.open_watch(connection, start_revision).await?);
            }
            Action::BeginList => self.publisher.begin_list().await,
            Action::Put { key, value } => self.publisher.put(key, &value).await,
            Action::Delete { key } => self.publisher.delete(&key).await,
            Action::EndList => self.publisher.end_list().await,
            Action::Disconnect(error) => return Err(error.into()),
        }
        Ok(Vec::new())
    }

    async fn read_page(
        &mut self,
        connection: &mut GrpcConnection,
        after: &[u8],
        revision: i64,
    ) -> Result<Vec<Action>, EtcdError> {
        let request = RangeRequest {
            key: self.first_key(after),
            range_end: range_end(self.config.prefix.as_bytes()),
            limit: PAGE_KEYS,
            revision,
        };
        let call = connection.unary(RANGE_PATH, &request);
        let page: Result<RangeResponse, EtcdError> =
            with_timeout(self.config.timeouts.keep_alive, call).await;
        match page {
            Ok(page) => Ok(self.session.on_page(page)),
            Err(error) if error.code() == code::OUT_OF_RANGE => {
                Ok(self.session.on_page_compacted())
            }
            Err(error) => Err(error),
        }
    }

    /// The first key of a page: the prefix itself, or the smallest key greater than the last one of the previous page.
    fn first_key(&self, after: &[u8]) -> Bytes {
        if after.is_empty() {
            self.config.prefix.clone().into()
        } else {
            [after, &[0]].concat().into()
        }
    }

    async fn open_watch(
        &self,
        connection: &mut GrpcConnection,
        start_revision: i64,
    ) -> Result<GrpcStream, EtcdError> {
        let create = WatchCreateRequest {
            key: self.config.prefix.clone().into(),
            range_end: range_end(self.config.prefix.as_bytes()),
            start_revision,
            progress_notify: true,
            fragment: true,
        };
        let request = WatchRequest {
            request_union: Some(WatchRequestUnion::Create(create)),
        };
        let opened = connection.stream(WATCH_PATH, &request);
        with_timeout(self.config.timeouts.keep_alive, opened).await
    }

    /// Waits for the next response of the watch, requesting progress while none arrives.
    async fn next_response(&self, watch: &mut GrpcStream) -> Result<WatchResponse, EtcdError> {
        let part = self.config.timeouts.keep_alive / KEEP_ALIVE_PARTS;
        for _ in 1..KEEP_ALIVE_PARTS {
            match with_timeout(part, watch.next()).await {
                Err(EtcdError::Timeout) => watch.send(&progress_request())?,
                response => return response,
            }
        }
        with_timeout(part, watch.next()).await
    }
}

fn progress_request() -> WatchRequest {
    WatchRequest {
        request_union: Some(WatchRequestUnion::Progress(WatchProgressRequest {})),
    }
}

/// Awaits the call, or drops it and returns [`EtcdError::Timeout`] after `limit`.
async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, EtcdError>>,
) -> Result<T, EtcdError> {
    timeout(limit, call).await.map_err(|_| EtcdError::Timeout)?
}
