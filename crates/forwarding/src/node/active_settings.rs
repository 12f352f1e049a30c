//! Tracks which settings the node uses under a settings lease.

use crate::SettingsLease;
use sillward_balancer::settings::PlatformSettings;
use std::rc::Rc;
use std::time::Duration;

/// Which settings the node uses.
pub(super) enum ActiveSettings {
    /// The last settings received, as there is no lease.
    Latest,
    /// The settings of this generation, while the lease is valid.
    Leased {
        lease: Rc<SettingsLease>,
        generation: u64,
    },
    /// The fallback settings, until settings are received under a valid lease.
    Fallback { lease: Rc<SettingsLease> },
}

impl ActiveSettings {
    pub(super) fn without_lease() -> Self {
        ActiveSettings::Latest
    }

    /// Starts with the fallback settings if there is a lease.
    pub(super) fn new(lease: Option<Rc<SettingsLease>>) -> Self {
        match lease {
            Some(lease) => ActiveSettings::Fallback { lease },
            None => ActiveSettings::Latest,
        }
    }

    /// Accepts received settings. Returns false and changes nothing if they are of an earlier generation or the lease has
    /// expired; newer settings follow.
    pub(super) fn accept(&mut self, generation: u64, now: Duration) -> bool {
        let lease = match self {
            ActiveSettings::Latest => return true,
            ActiveSettings::Leased { lease, .. } | ActiveSettings::Fallback { lease } => lease,
        };
        if !lease.is_valid(generation, now) {
            return false;
        }
        let lease = lease.clone();
        *self = ActiveSettings::Leased { lease, generation };
        true
    }

    /// Switches to the fallback settings if the lease has expired. Returns them on the switch only.
    pub(super) fn expire(&mut self, now: Duration) -> Option<Rc<PlatformSettings>> {
        let ActiveSettings::Leased { lease, generation } = self else {
            return None;
        };
        if lease.is_valid(*generation, now) {
            return None;
        }
        let lease = lease.clone();
        let fallback = lease.fallback();
        *self = ActiveSettings::Fallback { lease };
        fallback
    }
}
