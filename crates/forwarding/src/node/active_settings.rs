//! Which settings the node acts on, where a lease limits how long it may.

use crate::SettingsLease;
use sillward_balancer::settings::PlatformSettings;
use std::rc::Rc;
use std::time::Duration;

/// Which settings the node acts on.
pub(super) enum ActiveSettings {
    /// The last ones received; there is no lease.
    Latest,
    /// Those of this generation, while the lease is valid.
    Leased {
        lease: Rc<SettingsLease>,
        generation: u64,
    },
    /// The fallback settings, until others are received under a valid lease.
    Fallback { lease: Rc<SettingsLease> },
}

impl ActiveSettings {
    pub(super) fn without_lease() -> Self {
        ActiveSettings::Latest
    }

    /// Begins with the fallback settings, if there is a lease.
    pub(super) fn new(lease: Option<Rc<SettingsLease>>) -> Self {
        match lease {
            Some(lease) => ActiveSettings::Fallback { lease },
            None => ActiveSettings::Latest,
        }
    }

    /// Accepts settings that were received; false if they are of an earlier generation or too late, and nothing
    /// changes: the next ones are on their way.
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

    /// Changes to the fallback settings when the lease has expired, and returns them at that moment.
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
