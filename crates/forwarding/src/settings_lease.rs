//! The lease that limits how long settings agreed on by the fleet may be used.

use sillward_balancer::settings::PlatformSettings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// A lease on the settings that the fleet has agreed on.
///
/// The node checks it immediately before each decision, so that no pause or queueing delay lies between the check and
/// the decision. Once the lease has expired, the node uses the fallback settings.
#[derive(Default)]
pub struct SettingsLease {
    /// Settings of any other generation are not used.
    generation: Cell<u64>,
    expiry: Cell<Duration>,
    fallback: RefCell<Option<Rc<PlatformSettings>>>,
}

impl SettingsLease {
    /// Starts a new generation and returns its number. Settings of earlier generations are no longer used.
    pub fn next_generation(&self) -> u64 {
        self.generation.set(self.generation.get() + 1);
        self.generation.get()
    }

    /// Sets when the lease expires, by the clock of this process.
    pub fn set_expiry(&self, expiry: Duration) {
        self.expiry.set(expiry);
    }

    /// Sets the settings to use without a valid lease.
    pub fn set_fallback(&self, settings: Rc<PlatformSettings>) {
        self.fallback.replace(Some(settings));
    }

    /// The settings to use without a valid lease.
    pub fn fallback(&self) -> Option<Rc<PlatformSettings>> {
        self.fallback.borrow().clone()
    }

    /// Whether settings of the given generation may be used at `now`.
    pub(crate) fn is_valid(&self, generation: u64, now: Duration) -> bool {
        generation == self.generation.get() && now < self.expiry.get()
    }
}
