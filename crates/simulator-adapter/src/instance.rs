//! Instances: the balancers of simulated nodes.

use crate::wire::{RawReport, named_report};
use sillward_balancer::settings::{self, ReportField, SettingsError};
use sillward_balancer::{Action, Balancer, Event};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;
use thiserror::Error;

/// The message of a panic in an instance's balancer, whose state is unusable afterwards.
#[derive(Debug, Error, PartialEq)]
#[error("{0}")]
pub(crate) struct BalancerPanic(String);

/// The balancer of a running simulated node.
pub(crate) struct Instance {
    balancer: Balancer,
    /// The fields of its load reports, in the order of the values on the wire.
    report_fields: Vec<ReportField>,
}

impl Instance {
    /// Starts an instance with its settings (JSON) and random seed.
    pub(crate) fn start(settings: &[u8], seed: u64) -> Result<Self, SettingsError> {
        let platform = settings::parse(settings)?;
        Ok(Instance {
            balancer: Balancer::new(platform.settings, seed),
            report_fields: platform.report_fields,
        })
    }

    /// Handles an event, with the load report that came with it.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        mut event: Event,
        raw_report: Option<RawReport>,
    ) -> Result<Vec<Action>, BalancerPanic> {
        let report = raw_report.map(|raw| named_report(raw, &self.report_fields));
        match &mut event {
            Event::AttemptEnded(end) => end.report = report,
            Event::HealthChecked(end) => end.report = report,
            _ => {}
        }
        let mut actions = Vec::new();
        catch_panic(|| self.balancer.handle(now, event, &mut actions))?;
        Ok(actions)
    }
}

fn catch_panic(handle: impl FnOnce()) -> Result<(), BalancerPanic> {
    catch_unwind(AssertUnwindSafe(handle)).map_err(|panic| {
        let formatted = panic.downcast_ref::<String>().map(String::as_str);
        let literal = panic.downcast_ref::<&str>().copied();
        let message = formatted.or(literal).unwrap_or("the decisions panicked");
        BalancerPanic(message.to_owned())
    })
}

#[cfg(test)]
mod tests;
