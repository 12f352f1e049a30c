//! Plays the part of many nodes on the simulator's wire: one [`Balancer`] for each instance. Frames
//! come on standard input, replies go to standard output. Knows nothing of how decisions are made.
#![forbid(unsafe_code)]

mod wire;

use sillward_balancer::settings::{self, ReportField};
use sillward_balancer::{Balancer, Event};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;
use wire::{Batch, Input, RawReport, Reply, named_report, read_batch};

/// A running instance.
struct Instance {
    balancer: Balancer,
    columns: Vec<ReportField>,
}

impl Instance {
    fn start(settings: &[u8], seed: u64) -> Result<Self, String> {
        let site = settings::parse(settings)?;
        Ok(Instance {
            balancer: Balancer::new(site.settings, seed),
            columns: site.report_fields,
        })
    }

    /// Lets the module decide. An error is the message of its panic.
    fn handle(
        &mut self,
        now: Duration,
        mut event: Event,
        raw: Option<RawReport>,
    ) -> Result<Vec<sillward_balancer::Action>, String> {
        let report = raw.map(|raw| named_report(raw, &self.columns));
        match &mut event {
            Event::AttemptEnded(end) => end.report = report,
            Event::HealthChecked(end) => end.report = report,
            _ => {}
        }
        let mut actions = Vec::new();
        guarded(|| self.balancer.handle(now, event, &mut actions)).map(|()| actions)
    }
}

/// Runs decisions; an error is the message of their panic.
fn guarded(decide: impl FnOnce()) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(decide)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        text.or(panic.downcast_ref::<&str>().copied())
            .unwrap_or("the decisions panicked")
            .to_string()
    })
}

fn answer(batch: &Batch, instances: &mut BTreeMap<u16, Instance>) -> Result<Vec<u8>, String> {
    let mut reply = Reply::default();
    for (i, record) in batch.records().enumerate() {
        let (who, input) = record?;
        match input {
            Input::Start { seed, settings } => {
                let instance = Instance::start(&settings, seed)
                    .map_err(|what| format!("batch {}: record {i}: {what}", batch.number))?;
                instances.insert(who, instance);
            }
            Input::Stop => drop(instances.remove(&who)),
            Input::Event(event, report) => {
                // An event for an instance that has stopped is late, and has no effect.
                let Some(instance) = instances.get_mut(&who) else {
                    continue;
                };
                match instance.handle(batch.clock, event, report) {
                    Ok(actions) => actions.iter().for_each(|action| reply.push(who, action)),
                    Err(text) => {
                        reply.push_fault(who, &text);
                        instances.remove(&who);
                    }
                }
            }
        }
    }
    Ok(reply.frame(batch.number))
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut instances = BTreeMap::new();
    while let Some(batch) = read_batch(input)? {
        let frame = answer(&batch, &mut instances)?;
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(
        &mut BufReader::with_capacity(1 << 16, io::stdin().lock()),
        &mut io::stdout().lock(),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("sillward-simulator-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::guarded;

    #[test]
    fn a_panic_in_the_decisions_becomes_its_message() {
        assert_eq!(guarded(|| ()), Ok(()));
        assert_eq!(guarded(|| panic!("plain")), Err("plain".into()));
        assert_eq!(guarded(|| panic!("number {}", 7)), Err("number 7".into()));
    }
}
