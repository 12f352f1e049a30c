//! The interface between the node and back-end protocols.

use crate::{Attempt, AttemptResult, BackendUpdate, HealthCheckResponse, StopReason};
use sillward_balancer::ServerId;
use sillward_balancer::settings::PlatformSettings;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A boxed future that stays on its thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A protocol that backends speak.
pub trait BackendProtocol {
    /// Makes an attempt, until it ends or is stopped.
    ///
    /// [`sillward_balancer::Outcome::never_ran`] must be true of the outcome only if the request can't have run.
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult>;

    /// Checks a backend's health and requests its load report, within [`crate::HEALTH_CHECK_TIMEOUT`].
    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckResponse>;

    /// Applies an endpoint update, which has the addresses and states of the backends.
    fn update_backends(&self, update: &BackendUpdate, now: Duration);

    /// Applies changed settings.
    fn apply_settings(&self, settings: &PlatformSettings);

    /// Closes the idle connections to a backend.
    fn close_idle(&self, server: ServerId);
}
