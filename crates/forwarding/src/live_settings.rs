//! The settings in force, shared by all that read requests and endpoint lists.

use sillward_balancer::settings::PlatformSettings;
use std::cell::RefCell;
use std::rc::Rc;

/// The settings in force. A reader keeps what [`LiveSettings::get`] returned for a whole request, so that a request
/// never sees two settings.
pub struct LiveSettings(RefCell<Rc<PlatformSettings>>);

impl LiveSettings {
    /// Begins with the settings of the start.
    pub fn new(settings: PlatformSettings) -> Rc<Self> {
        Rc::new(LiveSettings(RefCell::new(Rc::new(settings))))
    }

    /// The settings in force now.
    pub fn get(&self) -> Rc<PlatformSettings> {
        self.0.borrow().clone()
    }

    /// Replaces the settings. The node must have been sent them before: a request of a new class is then queued
    /// behind them.
    pub fn set(&self, settings: Rc<PlatformSettings>) {
        self.0.replace(settings);
    }
}
