//! Messages to the node's event loop.

use crate::{AcceptedRequest, AttemptResult, BackendUpdate, HealthCheckResult, ResponseStarted};
use sillward_balancer::RequestId;
use sillward_balancer::settings::PlatformSettings;
use sillward_metrics::EndpointGauges;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A message about one request. There are only a few of each open request, so their queue has no limit of its own: see
/// [`crate::RequestLimit`].
pub enum RequestMessage {
    /// A front end has accepted a request.
    New(Box<AcceptedRequest>),
    /// A client has disconnected before its final response.
    ClientDisconnected(RequestId),
    /// The last byte of a streamed request body was received at the given time.
    BodyReceived(RequestId, Duration),
    /// The first bytes of a streamed response are available.
    ResponseStarted(ResponseStarted),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
}

/// A message about the node as a whole. Its queue is bounded and handled first, so that requests, however many, delay neither
/// settings nor endpoint lists.
pub enum Message {
    /// A health check has ended.
    HealthChecked(HealthCheckResult),
    /// The endpoint list has changed.
    EndpointList(BackendUpdate),
    /// The settings have changed.
    Settings {
        /// The new settings.
        settings: Rc<PlatformSettings>,
        /// Their generation, from [`crate::SettingsLease::next_generation`].
        generation: u64,
    },
    /// The process is shutting down: every request, open or still to come, has its final response by this time.
    ShutDown {
        /// The time on the node's clock.
        responses_by: Duration,
    },
    /// Requests the number of backends in the endpoint list, and of those that are ejected.
    EndpointGauges(oneshot::Sender<EndpointGauges>),
}
