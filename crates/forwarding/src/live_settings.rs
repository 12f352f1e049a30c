//! The current settings, shared by all code that reads requests and endpoint lists.

use sillward_balancer::RequestPolicy;
use sillward_balancer::settings::PlatformSettings;
use std::cell::RefCell;
use std::rc::Rc;

/// The settings of one request, taken once, when its head is read.
///
/// Everything that is read for the request comes from the same snapshot: the checks of its head, and the policy under which
/// the decision module handles it.
#[derive(Clone)]
pub struct SettingsSnapshot {
    /// How requests are read and checked.
    pub platform: Rc<PlatformSettings>,
    /// What the decision module applies. Differs from `platform` only where the fleet agrees on settings.
    decision: Rc<PlatformSettings>,
}

impl SettingsSnapshot {
    /// Settings of which the decision module applies `decision`.
    pub fn new(platform: Rc<PlatformSettings>, decision: Rc<PlatformSettings>) -> Self {
        SettingsSnapshot { platform, decision }
    }

    /// The policy of a request of the class at this position.
    pub fn request_policy(&self, class: usize) -> RequestPolicy {
        self.decision.settings.request_policy(class)
    }
}

impl From<PlatformSettings> for SettingsSnapshot {
    fn from(settings: PlatformSettings) -> Self {
        let settings = Rc::new(settings);
        SettingsSnapshot::new(settings.clone(), settings)
    }
}

/// The current settings. A reader keeps the value from [`LiveSettings::snapshot`] for a whole request, so that the settings
/// never change within a request.
pub struct LiveSettings(RefCell<SettingsSnapshot>);

impl LiveSettings {
    /// Starts with the given settings.
    pub fn new(settings: PlatformSettings) -> Rc<Self> {
        Rc::new(LiveSettings(RefCell::new(settings.into())))
    }

    /// The current settings, for what is no request.
    pub fn get(&self) -> Rc<PlatformSettings> {
        self.0.borrow().platform.clone()
    }

    /// The current settings, for a request whose head has just been read.
    pub fn snapshot(&self) -> SettingsSnapshot {
        self.0.borrow().clone()
    }

    /// Replaces the settings. They must have been sent to the node before, so that a request of a new class is queued
    /// behind them.
    pub fn set(&self, settings: SettingsSnapshot) {
        self.0.replace(settings);
    }
}
