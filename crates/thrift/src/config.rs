//! Configuration of the Thrift frontend and of Thrift backends.

use crate::wire::{Encoding, FieldPath, MessageLimits};
use std::net::SocketAddr;
use std::time::Duration;

/// Configuration of the frontend.
#[derive(Clone, Debug)]
pub struct FrontendConfig {
    /// The address of the listener.
    pub listen: SocketAddr,
    /// The maximum number of client connections; `None` for half of the node's limit.
    pub max_connections: Option<usize>,
    /// The maximum number of calls in flight on a connection, oneway calls among them; at least 1.
    pub max_calls_in_flight: usize,
    /// The maximum number of calls with a reply that are open, over all connections.
    pub max_open_calls: usize,
    /// The maximum number of oneway calls that are open, over all connections, also of clients that have disconnected.
    pub max_oneway_calls: usize,
    /// The order of the replies on a connection.
    pub reply_order: ReplyOrder,
    /// Limits for messages.
    pub limits: MessageLimits,
    /// The methods that are served. Calls of any other method get an `UnknownMethod` exception.
    pub methods: Vec<Method>,
}

/// The order of the replies on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOrder {
    /// Each reply is sent as soon as it is available. A call with the same sequence number as a call in flight
    /// waits until that one has its reply, so a client that does not number its calls gets replies in call order.
    Completion,
    /// Replies are sent in call order: a call is processed after the reply to the previous one was written.
    Arrival,
}

/// A method that is served, and the fields of its arguments that the node reads.
#[derive(Clone, Debug)]
pub struct Method {
    /// The service, which precedes the colon in a multiplexed name; `None` for a name without a service.
    pub service: Option<String>,
    /// The name without the service.
    pub name: String,
    /// The class of its calls, as an index into the platform's settings.
    pub class: usize,
    /// The field with the station key, which identifies what a call concerns.
    pub station_key: Option<FieldPath>,
    /// The station key of calls without that field.
    pub default_station_key: String,
    /// The field with the key by which backends recognize a repeated call.
    pub idempotency_key: Option<FieldPath>,
    /// Whether calls without that field are keyed by their content, so that equal calls count as repeats. Otherwise
    /// calls of a keyed class without the field are rejected.
    pub key_from_content: bool,
    /// The field with the tenant's name.
    pub tenant: Option<FieldPath>,
    /// The tenant of calls without that field, as an index into the platform's settings.
    pub default_tenant: Option<usize>,
    /// The field with the time budget, in milliseconds.
    pub time_budget: Option<FieldPath>,
    /// The time budget of calls without that field.
    pub default_time_budget: Duration,
}

/// Configuration of the Thrift backends of one machine type.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// The machine type, as an index into the platform's settings.
    pub machine_type: u8,
    /// The encoding of calls to these backends.
    pub encoding: Encoding,
    /// The replies by which a backend rejects a call without running it.
    pub rejected_replies: Vec<RejectedReply>,
    /// The field of a reply's struct with the load report, as text like `inflight=7,queue=2`.
    pub load_report: Option<FieldPath>,
    /// The method that a health check calls, without arguments, and whose reply may hold a load report. Without it,
    /// a health check only opens a connection.
    pub health_check_method: Option<String>,
    /// How HTTP requests are mapped to calls, by class.
    pub http_calls: Vec<HttpCallMapping>,
    /// The size of the socket's send buffer, which bounds how many bytes the kernel takes before the backend reads
    /// them; `None` for the system's default.
    pub send_buffer_bytes: Option<usize>,
    /// Limits for messages.
    pub limits: MessageLimits,
}

/// A reply by which a backend rejects a call without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedReply {
    /// A `TApplicationException` of this type.
    Exception(i32),
    /// A declared exception in this field of the result.
    Field(i16),
}

/// How HTTP requests of one class are mapped to calls of a Thrift method.
#[derive(Clone, Debug)]
pub struct HttpCallMapping {
    /// The class, as an index into the platform's settings.
    pub class: usize,
    /// The method's name, with its service where services are multiplexed.
    pub method: String,
    /// The field id of the argument for the path and query, as text.
    pub target: i16,
    /// The field id of the argument for the body, as bytes.
    pub body: i16,
    /// The field id of the argument for the idempotency key, as text. Without it, keyed requests are not sent to
    /// these backends.
    pub key: Option<i16>,
}
