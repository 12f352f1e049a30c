//! The settings that hold now, for all who read requests and lists by them.

use sillward_balancer::settings::PlatformSettings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The settings as they are now. What reads a request keeps what it got, so that one request meets one set of terms.
pub struct LiveSettings(RefCell<Rc<PlatformSettings>>);

impl LiveSettings {
    /// Those of the start.
    pub fn new(site: PlatformSettings) -> Rc<Self> {
        Rc::new(LiveSettings(RefCell::new(Rc::new(site))))
    }

    /// Those of now.
    pub fn get(&self) -> Rc<PlatformSettings> {
        self.0.borrow().clone()
    }

    /// Others from now on. Whoever calls has told the node before: a request of a new class is behind that news.
    pub fn set(&self, site: Rc<PlatformSettings>) {
        self.0.replace(site);
    }
}

/// Until when settings may be acted on, where that is agreed on with others. It is looked at before each decision, so that
/// neither a pause nor a queue lies between the look and what is decided.
#[derive(Default)]
pub struct SettingsLease {
    /// Settings of another generation are acted on no more.
    generation: Cell<u64>,
    until: Cell<Duration>,
    careful: RefCell<Option<Rc<PlatformSettings>>>,
}

impl SettingsLease {
    /// What was told before is acted on no more; what is told under the number that this returns is, once it is there.
    pub fn next_generation(&self) -> u64 {
        self.generation.set(self.generation.get() + 1);
        self.generation.get()
    }

    /// They may be acted on until then, by this process's clock.
    pub fn set_expiry(&self, until: Duration) {
        self.until.set(until);
    }

    /// What is acted on when nothing else may be.
    pub fn set_fallback(&self, site: Rc<PlatformSettings>) {
        self.careful.replace(Some(site));
    }

    /// Whether settings of that generation may be acted on.
    pub(crate) fn is_valid(&self, generation: u64, now: Duration) -> bool {
        generation == self.generation.get() && now < self.until.get()
    }

    /// See [`SettingsLease::set_fallback`].
    pub fn fallback(&self) -> Option<Rc<PlatformSettings>> {
        self.careful.borrow().clone()
    }
}
