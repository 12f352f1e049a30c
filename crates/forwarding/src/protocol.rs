//! What a back-end protocol does for the node.

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
    /// The result is one that [`sillward_balancer::Outcome::never_ran`] is true of only if the request can't have run.
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult>;

    /// Checks a backend's health, and asks for its load, within [`crate::HEALTH_CHECK_TIMEOUT`].
    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckResponse>;

    /// Called when the endpoint list has changed, with the addresses and states of the backends.
    fn update_backends(&self, update: &BackendUpdate, now: Duration);

    /// Called when the settings have changed.
    fn apply_settings(&self, settings: &PlatformSettings);

    /// Closes the idle connections to a backend.
    fn close_idle(&self, server: ServerId);
}
