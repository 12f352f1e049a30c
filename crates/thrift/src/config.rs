//! What an installation says of its Thrift callers and backends.

use crate::wire::{Encoding, FieldPath, MessageLimits};
use std::net::SocketAddr;
use std::time::Duration;

/// The front's settings.
#[derive(Clone, Debug)]
pub struct FrontendConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The most connections of callers; `None` for half of the node's.
    pub max_connections: Option<usize>,
    /// The most calls that are open on a connection at once; at least 1.
    pub max_calls_in_flight: usize,
    /// In which order calls of a connection are answered.
    pub reply_order: ReplyOrder,
    /// What bounds a message.
    pub limits: MessageLimits,
    /// The methods that are served. All others are unknown.
    pub methods: Vec<Method>,
}

/// In which order calls of a connection are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOrder {
    /// Each when it has its answer. A call with the sequence number of one that is open waits, unread, until that
    /// is answered: a client that does not count its calls is answered in their order.
    Completion,
    /// In the order of the calls: the next is read when the last is answered.
    Arrival,
}

/// A method that is served, and where its arguments hold what the node needs to know.
#[derive(Clone, Debug)]
pub struct Method {
    /// The service's name before the colon of a multiplexed name; `None` for a name without one.
    pub service: Option<String>,
    /// The method's name.
    pub name: String,
    /// Its class, by its position in the platform's settings.
    pub class: usize,
    /// What a call concerns.
    pub station_key: Option<FieldPath>,
    /// And if the field is not there.
    pub default_station_key: String,
    /// By what backends know a repeat.
    pub idempotency_key: Option<FieldPath>,
    /// Without that field, the call's own content is its key: equal calls are repeats. Otherwise it is turned down.
    pub key_from_content: bool,
    /// Who calls, by the tenant's name.
    pub tenant: Option<FieldPath>,
    /// And if the field is not there: the tenant's position in the platform's settings.
    pub default_tenant: Option<usize>,
    /// How long the caller waits, in milliseconds.
    pub time_budget: Option<FieldPath>,
    /// And if the field is not there.
    pub default_time_budget: Duration,
}

/// The backends of a machine type that speak Thrift.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// The machine type, by its position in the platform's settings.
    pub machine_type: u8,
    /// What they read and write.
    pub encoding: Encoding,
    /// The replies that say that the call was turned away and never ran.
    pub rejected_replies: Vec<RejectedReply>,
    /// Where in a reply's struct a load report stands, as text like `inflight=7,queue=2`.
    pub load_report: Option<FieldPath>,
    /// The method that is called, without arguments, to ask for the load; without it a probe is a connection.
    pub health_check_method: Option<String>,
    /// How calls that came over HTTP are worded, by class.
    pub http_calls: Vec<HttpCallMapping>,
    /// The bytes that the kernel may take before the backend does; `None` for what the system is set to.
    pub send_buffer_bytes: Option<usize>,
    /// What bounds a message.
    pub limits: MessageLimits,
}

/// A reply that says that the call was turned away and never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedReply {
    /// A `TApplicationException` of this type.
    Exception(i32),
    /// A declared exception in this field of the result.
    Field(i16),
}

/// How a call that came over HTTP is worded for backends that speak Thrift.
#[derive(Clone, Debug)]
pub struct HttpCallMapping {
    /// The class, by its position in the platform's settings.
    pub class: usize,
    /// The method's full name.
    pub method: String,
    /// The argument that takes the path and query, as text.
    pub target: i16,
    /// The argument that takes the body, as bytes.
    pub body: i16,
    /// The argument that takes the idempotency key, as text. Without it a keyed call does not go there.
    pub key: Option<i16>,
}
