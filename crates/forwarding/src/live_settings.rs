//! The current settings, shared by all code that reads requests and endpoint lists.

use sillward_balancer::settings::PlatformSettings;
use std::cell::RefCell;
use std::rc::Rc;

/// The current settings. A reader keeps the value from [`LiveSettings::get`] for a whole request, so that the settings
/// never change within a request.
pub struct LiveSettings(RefCell<Rc<PlatformSettings>>);

impl LiveSettings {
    /// Starts with the given settings.
    pub fn new(settings: PlatformSettings) -> Rc<Self> {
        Rc::new(LiveSettings(RefCell::new(Rc::new(settings))))
    }

    /// The current settings.
    pub fn get(&self) -> Rc<PlatformSettings> {
        self.0.borrow().clone()
    }

    /// Replaces the settings. They must have been sent to the node before, so that a request of a new class is queued
    /// behind them.
    pub fn set(&self, settings: Rc<PlatformSettings>) {
        self.0.replace(settings);
    }
}
