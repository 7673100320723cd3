//! Hosts cairnroad aggregators on the simulator's wire: frames in on standard input, frames out on
//! standard output. Translation only; every decision is the library's.

mod frame;

use cairnroad_routing::RequestRouter;
use cairnroad_types::{Action, Event, Time};
use frame::{Batch, Record, Reply};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// The instances of this process and the list pages they may be told of.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, RequestRouter>,
    pages: BTreeMap<u8, Vec<cairnroad_types::Endpoint>>,
}

impl Host {
    /// Plays one batch and returns the reply.
    fn turn(&mut self, batch: Batch) -> Result<Vec<u8>, String> {
        let mut inbox: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
        for (at, record) in batch.records.into_iter().enumerate() {
            match record {
                Record::Provision {
                    instance,
                    seed,
                    setup,
                } => {
                    let settings = cairnroad_settings::parse(&setup)
                        .map_err(|e| format!("record {at}, provision: {e}"))?;
                    self.instances
                        .insert(instance, RequestRouter::new(settings.policy, seed));
                    inbox.insert(instance, Vec::new());
                }
                Record::Retire { instance } => {
                    self.instances.remove(&instance);
                    inbox.remove(&instance);
                }
                Record::Page { buffer, rows } => {
                    self.pages.insert(buffer, rows);
                }
                Record::Sync {
                    instance,
                    form,
                    buffer,
                } => {
                    let rows = self.pages.get(&buffer).cloned();
                    let news = frame::list_news(form, rows).ok_or_else(|| {
                        format!("record {at}, sync: form {form} or page {buffer} is unknown")
                    })?;
                    inbox
                        .entry(instance)
                        .or_default()
                        .push(Event::Endpoints(news));
                }
                Record::Event { instance, event } => inbox.entry(instance).or_default().push(event),
                Record::Ignored { instance } => {
                    inbox.entry(instance).or_default();
                }
            }
        }
        let mut reply = Reply::default();
        let mut actions: Vec<Action> = Vec::new();
        for (instance, events) in inbox {
            let Some(aggregator) = self.instances.get_mut(&instance) else {
                return Err(format!(
                    "event for instance {instance}, which was never provisioned"
                ));
            };
            actions.clear();
            aggregator.handle(Time::from_secs(batch.now), &events, &mut actions);
            for action in &actions {
                reply.push(instance, action);
            }
        }
        Ok(reply.finish())
    }
}

/// Reads batches until the input ends.
fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut number = 0u64;
    while let Some(body) = frame::read(&mut input).map_err(|e| format!("batch {number}: {e}"))? {
        let batch = Batch::parse(&body).map_err(|e| format!("batch {number}: {e}"))?;
        let reply = host
            .turn(batch)
            .map_err(|e| format!("batch {number}: {e}"))?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("standard output: {e}"))?;
        number += 1;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(
        BufReader::new(io::stdin().lock()),
        BufWriter::new(io::stdout().lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("cairnroad-simulator-host: {text}");
            ExitCode::FAILURE
        }
    }
}
