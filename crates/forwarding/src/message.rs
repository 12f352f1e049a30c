//! Messages to the node's event loop.

use crate::{AcceptedRequest, AttemptResult, BackendUpdate, HealthCheckResult, ResponseStarted};
use sillward_balancer::RequestId;
use sillward_balancer::settings::PlatformSettings;
use sillward_metrics::EndpointGauges;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A message to the node.
pub enum Message {
    /// A front end has accepted a request.
    Request(Box<AcceptedRequest>),
    /// A client has left before its final response.
    ClientDisconnected(RequestId),
    /// The last byte of a streamed request body was received at that time.
    BodyReceived(RequestId, Duration),
    /// The first bytes of a streamed response are available.
    ResponseStarted(ResponseStarted),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
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
    /// Asks how many backends are listed, and how many of them are avoided.
    EndpointGauges(oneshot::Sender<EndpointGauges>),
}
