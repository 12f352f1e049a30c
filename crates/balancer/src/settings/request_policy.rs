//! The settings that decide on one request, read once.

use super::model::{Class, Settings};

/// A snapshot of the settings that decide on one request.
///
/// A request is decided under the snapshot of its head until its final response, whatever settings are loaded meanwhile: its
/// head was checked, and its idempotency key required or not, under these settings and no others.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPolicy {
    /// The settings of its class.
    pub class: Class,
    /// The most attempts, including the first. Later settings may allow fewer.
    pub max_attempts: u32,
    /// Whether it may have two attempts in flight. Later settings may forbid it.
    pub hedging: bool,
}

impl Settings {
    /// The policy of a request of the class at this position; of the last class if there is none.
    pub fn request_policy(&self, class: usize) -> RequestPolicy {
        let class = class.min(self.classes.len() - 1);
        RequestPolicy {
            class: self.classes[class].clone(),
            max_attempts: self.limits.max_attempts,
            hedging: self.limits.hedging,
        }
    }
}
