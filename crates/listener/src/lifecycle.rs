//! The lifecycle shared by all connection managers and protocols of a process.

use sillward_lifecycle::{Event, EventOutcome, Lifecycle, LifecycleSettings, ShutdownSchedule};
use sillward_runtime::Clock;
use sillward_runtime::time::{Instant, sleep, sleep_until};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long new connections are accepted after SIGTERM, or after the node reports that it is out of service. The platform
/// may send new connections for up to 0.4 s more. During a hot restart, the newer process accepts them.
pub(crate) const ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// How long the connections accepted last then have to send a request before idle connections are closed.
pub(crate) const LAST_REQUEST_PERIOD: Duration = Duration::from_millis(100);
/// The interval at which a process that cannot serve yet checks whether it can.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The lifecycle of this process, with its clock.
pub struct SharedLifecycle {
    clock: Clock,
    lifecycle: RefCell<Lifecycle>,
    /// Set by discovery.
    endpoints_known: Rc<Cell<bool>>,
    /// The schedule of the shutdown, once it has started.
    schedule: watch::Sender<Option<ShutdownSchedule>>,
}

impl SharedLifecycle {
    /// Creates the lifecycle of a process that has just started. Discovery sets `endpoints_known` once the process knows
    /// enough endpoints to serve.
    pub fn new(clock: Clock, endpoints_known: Rc<Cell<bool>>) -> Rc<Self> {
        let settings = LifecycleSettings {
            deregistration_delay: ACCEPT_PERIOD + LAST_REQUEST_PERIOD,
        };
        Rc::new(SharedLifecycle {
            clock,
            lifecycle: Lifecycle::new(settings).into(),
            endpoints_known,
            schedule: watch::Sender::new(None),
        })
    }

    /// Applies an event that happens now.
    pub fn handle(&self, event: Event) -> EventOutcome {
        let now = self.clock.now();
        self.lifecycle.borrow_mut().handle(now, event)
    }

    /// Starts the shutdown, in which no request is meant to take longer than `max_request_duration`. Returns its schedule,
    /// which a second call does not change.
    pub fn shut_down(&self, max_request_duration: Duration) -> ShutdownSchedule {
        self.handle(Event::ShutDown);
        let started = *self.schedule.borrow();
        started.unwrap_or_else(|| {
            let delay = ACCEPT_PERIOD + LAST_REQUEST_PERIOD;
            let schedule = ShutdownSchedule::new(self.clock.now(), delay, max_request_duration);
            self.schedule.send_replace(Some(schedule));
            schedule
        })
    }

    /// Waits for the start of the shutdown and returns its schedule.
    pub async fn shutdown_started(&self) -> ShutdownSchedule {
        let mut schedule = self.schedule.subscribe();
        match schedule.wait_for(Option::is_some).await.as_deref() {
            Ok(Some(schedule)) => *schedule,
            _ => std::future::pending().await, // the sender lives as long as `self`
        }
    }

    /// Whether a request is accepted now that wants its response within `wanted_within`.
    pub fn accepts_request(&self, wanted_within: Duration) -> bool {
        let schedule = *self.schedule.borrow();
        schedule.is_none_or(|schedule| self.clock.now() < schedule.accepts_until(wanted_within))
    }

    /// Waits until no request is accepted any more that wants its response within `wanted_within`.
    pub async fn acceptance_ended(&self, wanted_within: Duration) {
        let schedule = self.shutdown_started().await;
        let until = schedule.accepts_until(wanted_within);
        sleep_until(self.instant(until)).await;
    }

    /// The instant of a time of a shutdown's schedule.
    pub fn instant(&self, at: Duration) -> Instant {
        self.clock.instant(at)
    }

    /// Whether the node reports itself healthy to the load balancer in front of it.
    pub fn is_healthy(&self) -> bool {
        self.check_endpoints();
        self.lifecycle.borrow().is_healthy()
    }

    /// Whether the process can serve, as reported to operators.
    pub fn can_serve(&self) -> bool {
        self.check_endpoints();
        self.lifecycle.borrow().can_serve()
    }

    /// Whether the node is out of service or shutting down.
    pub fn is_draining(&self) -> bool {
        self.lifecycle.borrow().is_draining()
    }

    /// Whether idle connections may be closed.
    pub(crate) fn may_close_idle(&self) -> bool {
        self.lifecycle.borrow().may_close_idle(self.clock.now())
    }

    /// Waits until the process can serve or is draining.
    pub async fn wait_until_serving_or_draining(&self) {
        while !self.can_serve() && !self.is_draining() {
            sleep(READINESS_CHECK_INTERVAL).await;
        }
    }

    fn check_endpoints(&self) {
        if self.endpoints_known.get() {
            self.handle(Event::EndpointsKnown);
        }
    }
}
