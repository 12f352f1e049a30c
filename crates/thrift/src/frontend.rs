//! The frontend: serves the connections of Thrift clients, and limits the calls that they have open.

mod session;

use crate::calls::{self, ReplyContext};
use crate::config::FrontendConfig;
use session::Session;
use sillward_forwarding::{
    FinalResponse, LiveSettings, MemoryBudget, MemoryReservation, NodeHandle, RequestLimit,
};
use sillward_listener::{ClientConnection, ConnectionHandler, ConnectionManager, SharedLifecycle};
use sillward_logging::log_peer;
use sillward_metrics::Counters;
use sillward_runtime::Stream;
use sillward_runtime::random::Random;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Serves clients that speak Thrift.
pub struct Frontend {
    node: NodeHandle,
    settings: Rc<LiveSettings>,
    config: FrontendConfig,
    connections: Rc<ConnectionManager>,
    lifecycle: Rc<SharedLifecycle>,
    counters: Rc<Counters>,
    /// The memory for frames.
    budget: MemoryBudget,
    /// The calls with a reply that may be open, over all connections.
    limit: RequestLimit,
    /// The oneway calls that may be open, over all connections, also of clients that have disconnected.
    oneway_limit: RequestLimit,
    random: RefCell<Random>,
    oneway_calls: Cell<u64>,
}

/// What a frontend uses of the node.
pub struct NodeServices {
    /// Takes requests.
    pub node: NodeHandle,
    /// The settings by which calls are read.
    pub settings: Rc<LiveSettings>,
    /// The connections that the frontend serves.
    pub connections: Rc<ConnectionManager>,
    /// The memory for frames.
    pub budget: MemoryBudget,
    /// The memory for open calls beside their frames.
    pub request_budget: MemoryBudget,
    /// Whether calls are still accepted.
    pub lifecycle: Rc<SharedLifecycle>,
    /// The node's counters.
    pub counters: Rc<Counters>,
}

impl Frontend {
    /// A frontend for the connections of the node's listener for Thrift. `seed` initialises the generator of call IDs.
    pub fn new(services: NodeServices, config: FrontendConfig, seed: u64) -> Rc<Self> {
        let NodeServices {
            node,
            settings,
            connections,
            budget,
            request_budget,
            lifecycle,
            counters,
        } = services;
        Rc::new(Frontend {
            node,
            settings,
            limit: RequestLimit::new(config.max_open_calls, request_budget.clone()),
            oneway_limit: RequestLimit::new(config.max_oneway_calls, request_budget),
            config,
            connections,
            lifecycle,
            counters,
            budget,
            random: RefCell::new(Random::seeded(seed.rotate_left(32))),
            oneway_calls: Cell::new(0),
        })
    }

    /// The number of oneway calls accepted so far.
    pub fn oneway_calls(&self) -> u64 {
        self.oneway_calls.get()
    }

    /// The frame of a reply, and the memory for it.
    fn reply(
        &self,
        context: &ReplyContext,
        response: FinalResponse,
    ) -> (Vec<u8>, Option<MemoryReservation>) {
        let frame = calls::encode_response(&self.config, context, response);
        if let Some(reservation) = self.budget.try_reserve(frame.capacity()) {
            return (frame, Some(reservation));
        }
        log_peer("dropped a reply: no memory for its frame");
        let failed = calls::encode_response(&self.config, context, FinalResponse::Failed);
        (failed, None)
    }

    /// A random id for a call, unlikely to collide with that of another node's call.
    fn new_call_id(&self) -> u128 {
        let mut random = self.random.borrow_mut();
        (0..4).fold(0, |id, _| id << 32 | u128::from(random.next_u32()))
    }
}

impl ConnectionHandler for Frontend {
    async fn serve(self: Rc<Self>, stream: Stream, connection: Rc<ClientConnection>) {
        let Some(reservation) = self.budget.try_reserve(0) else {
            return;
        };
        Session::new(self, stream, connection, reservation)
            .run()
            .await;
    }
}
