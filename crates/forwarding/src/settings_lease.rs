//! How long settings that nodes have agreed on may be acted on.

use sillward_balancer::settings::PlatformSettings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// A lease on the settings that nodes have agreed on.
///
/// The node checks it before each decision, so that neither a pause nor a queue lies between the check and the
/// decision. Once it has expired, the node acts on the fallback settings.
#[derive(Default)]
pub struct SettingsLease {
    /// Settings of another generation are not acted on.
    generation: Cell<u64>,
    expiry: Cell<Duration>,
    fallback: RefCell<Option<Rc<PlatformSettings>>>,
}

impl SettingsLease {
    /// Begins a new generation and returns its number. Settings of earlier generations are not acted on any more.
    pub fn next_generation(&self) -> u64 {
        self.generation.set(self.generation.get() + 1);
        self.generation.get()
    }

    /// Sets when the lease expires, by this process's clock.
    pub fn set_expiry(&self, expiry: Duration) {
        self.expiry.set(expiry);
    }

    /// Sets what is acted on without a valid lease.
    pub fn set_fallback(&self, settings: Rc<PlatformSettings>) {
        self.fallback.replace(Some(settings));
    }

    /// What is acted on without a valid lease.
    pub fn fallback(&self) -> Option<Rc<PlatformSettings>> {
        self.fallback.borrow().clone()
    }

    /// Whether settings of that generation may be acted on.
    pub(crate) fn is_valid(&self, generation: u64, now: Duration) -> bool {
        generation == self.generation.get() && now < self.expiry.get()
    }
}
