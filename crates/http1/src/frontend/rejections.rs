//! Requests that the node turns down before any backend has their last byte. The client may retry them.

use super::{Frontend, Handled};
use crate::discard::discard_in_background;
use crate::request_body::RequestBody;
use sillward_forwarding::{FinalResponse, SettingsSnapshot};
use sillward_logging::log_peer;
use sillward_metrics::RequestOutcome;

impl Frontend {
    /// Rejects a request for which there is no memory.
    pub(super) fn reject_out_of_memory(
        &self,
        class: usize,
        body: RequestBody,
        settings: &SettingsSnapshot,
    ) -> Handled {
        log_peer("rejected a request: the memory budget for bodies is exhausted");
        self.counters.out_of_memory();
        self.reject_unsent(class, body, settings)
    }

    /// Rejects a request that is not admitted.
    pub(super) fn reject_over_limit(
        &self,
        class: usize,
        body: RequestBody,
        settings: &SettingsSnapshot,
    ) -> Handled {
        log_peer("rejected a request: too many are open");
        self.counters.over_request_limit();
        self.reject_unsent(class, body, settings)
    }

    /// Rejects a request that is whole too late for a response before the process exits, or whose body would be.
    pub(super) fn reject_shutting_down(
        &self,
        class: usize,
        body: RequestBody,
        settings: &SettingsSnapshot,
    ) -> Handled {
        log_peer("rejected a request: it is too late for a response before the process exits");
        self.counters.rejected_by_shutdown();
        self.reject_unsent(class, body, settings)
    }

    /// Rejects a request of which no backend has received the last byte.
    fn reject_unsent(
        &self,
        class: usize,
        body: RequestBody,
        settings: &SettingsSnapshot,
    ) -> Handled {
        self.counters.request_ended(class, RequestOutcome::Rejected);
        let rejected = FinalResponse::Rejected {
            retry_after: settings.platform.settings.limits.max_retry_after,
            never_ran: true,
        };
        if body.is_ended() {
            return Handled::Complete(rejected);
        }
        discard_in_background(body.into_unread());
        Handled::BodyUnread(rejected)
    }
}
