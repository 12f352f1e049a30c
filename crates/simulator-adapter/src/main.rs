//! Runs one [`sillward_balancer::Balancer`] per simulated node (instance) for the simulator. Reads batches of events from
//! standard input and writes replies with actions to standard output. Invalid input ends the process with one line on
//! standard error and exit code 1.
#![forbid(unsafe_code)]

mod instance;
mod wire;

use instance::Instance;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;
use wire::{AdapterError, Batch, Input, InstanceId, RecordError, Reply, read_batch};

/// Bytes read from standard input at a time.
const INPUT_BUFFER: usize = 1 << 16;

/// Handles a batch and returns the frame of its reply.
fn handle_batch(
    batch: &Batch,
    instances: &mut BTreeMap<InstanceId, Instance>,
) -> Result<Vec<u8>, AdapterError> {
    let mut reply = Reply::default();
    for (position, record) in batch.records().enumerate() {
        let (id, input) = record?;
        match input {
            Input::Start { seed, settings } => {
                let instance = Instance::start(&settings, seed)
                    .map_err(|error| batch.record_error(position, RecordError::from(error)))?;
                instances.insert(id, instance);
            }
            Input::Stop => {
                instances.remove(&id);
            }
            Input::Event(event, report) => {
                // Events may arrive after their instance has stopped; they are ignored.
                let Some(instance) = instances.get_mut(&id) else {
                    continue;
                };
                match instance.handle(batch.clock, event, report) {
                    Ok(actions) => actions.iter().for_each(|action| reply.push(id, action)),
                    Err(panic) => {
                        reply.push_panic(id, &panic.to_string());
                        instances.remove(&id);
                    }
                }
            }
        }
    }
    Ok(reply.frame(batch.number))
}

/// Handles batches until the end of the input.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances = BTreeMap::new();
    while let Some(batch) = read_batch(input)? {
        let frame = handle_batch(&batch, &mut instances)?;
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(INPUT_BUFFER, io::stdin().lock());
    match run(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sillward-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
