//! Holds the router instances of this process, delivers each batch of events to them and replies with their actions.

use crate::codec::{self, Batch, BatchError, FrameError, Record, Reply};
use cairnroad_routing::RequestRouter;
use cairnroad_settings::SettingsError;
use cairnroad_types::{Action, Endpoint, Event, Time};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

/// The error that ends the host before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A batch could not be read or processed.
    #[error("batch {number}: {source}")]
    Batch {
        /// Number of the batch, counted from 0.
        number: u64,
        /// Why the batch could not be processed.
        source: BatchFailure,
    },
    /// A reply could not be written.
    #[error("cannot write the reply to standard output: {0}")]
    Output(#[source] io::Error),
}

/// The reason why one batch could not be read or processed.
#[derive(Debug, thiserror::Error)]
pub enum BatchFailure {
    /// Reading from standard input failed, or the input ended within the batch.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The bytes of the frame don't form a valid batch.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// The settings of a new instance are invalid.
    #[error("record {record}, provision: invalid settings: {source}")]
    Settings {
        /// Index of the record in the batch, counted from 0.
        record: usize,
        /// Why the settings were rejected.
        source: SettingsError,
    },
    /// A sync record states an unknown form, or names a buffer that holds no endpoint list.
    #[error(
        "record {record}, sync: form {form} is unknown, or buffer {buffer} holds no endpoint list"
    )]
    UnknownList {
        /// Index of the record in the batch, counted from 0.
        record: usize,
        /// The code of the kind of update.
        form: u8,
        /// The number of the buffer.
        buffer: u8,
    },
    /// An event is addressed to an instance that was not provisioned, or that has been retired.
    #[error("event for instance {0}, which is not provisioned")]
    UnknownInstance(u16),
}

/// The router instances, and the endpoint lists that sync records refer to.
///
/// All maps are ordered, because equal events must give equal actions in an equal order.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, RequestRouter>,
    /// Endpoint lists by the number of the buffer that holds them.
    endpoint_lists: BTreeMap<u8, Vec<Endpoint>>,
}

/// The events of one batch, by instance. An instance without events is run as well, since its timers may be due.
type EventsByInstance = BTreeMap<u16, Vec<Event>>;

impl Host {
    /// Processes one batch and returns the encoded reply.
    fn process_batch(&mut self, batch: Batch) -> Result<Vec<u8>, BatchFailure> {
        let now = Time::from_secs(batch.now);
        let mut events_by_instance = EventsByInstance::new();
        for (index, record) in batch.records.into_iter().enumerate() {
            self.apply_record(index, record, &mut events_by_instance)?;
        }
        self.run_instances(now, events_by_instance)
    }

    fn apply_record(
        &mut self,
        index: usize,
        record: Record,
        events_by_instance: &mut EventsByInstance,
    ) -> Result<(), BatchFailure> {
        match record {
            Record::Provision {
                instance,
                seed,
                settings,
            } => {
                let deployment = cairnroad_settings::parse(&settings).map_err(|source| {
                    BatchFailure::Settings {
                        record: index,
                        source,
                    }
                })?;
                let router = RequestRouter::new(deployment.policy, seed);
                self.instances.insert(instance, router);
                events_by_instance.insert(instance, Vec::new());
            }
            Record::Retire { instance } => {
                self.instances.remove(&instance);
                events_by_instance.remove(&instance);
            }
            Record::Page { buffer, endpoints } => {
                self.endpoint_lists.insert(buffer, endpoints);
            }
            Record::Sync {
                instance,
                form,
                buffer,
            } => {
                let endpoints = self.endpoint_lists.get(&buffer).cloned();
                let update =
                    codec::endpoint_update(form, endpoints).ok_or(BatchFailure::UnknownList {
                        record: index,
                        form,
                        buffer,
                    })?;
                let events = events_by_instance.entry(instance).or_default();
                events.push(Event::Endpoints(update));
            }
            Record::Event { instance, event } => {
                events_by_instance.entry(instance).or_default().push(event)
            }
            Record::Ignored { instance } => {
                events_by_instance.entry(instance).or_default();
            }
        }
        Ok(())
    }

    fn run_instances(
        &mut self,
        now: Time,
        events_by_instance: EventsByInstance,
    ) -> Result<Vec<u8>, BatchFailure> {
        let mut reply = Reply::default();
        let mut actions: Vec<Action> = Vec::new();
        for (instance, events) in events_by_instance {
            let router = self.instances.get_mut(&instance);
            let router = router.ok_or(BatchFailure::UnknownInstance(instance))?;
            actions.clear();
            router.handle(now, &events, &mut actions);
            for action in &actions {
                reply.push(instance, action);
            }
        }
        Ok(reply.finish())
    }

    /// Reads and processes the next batch and returns the encoded reply, or `None` at the end of the input.
    fn next_reply(&mut self, input: &mut impl Read) -> Result<Option<Vec<u8>>, BatchFailure> {
        let Some(frame) = codec::read_frame(input)? else {
            return Ok(None);
        };
        let batch = Batch::parse(&frame)?;
        self.process_batch(batch).map(Some)
    }
}

/// Processes batches and writes their replies until the input ends.
///
/// # Errors
///
/// Returns the first failure to read or process a batch or to write a reply.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut batch_number = 0;
    loop {
        let reply = host.next_reply(&mut input);
        let Some(reply) = reply.map_err(|source| HostError::Batch {
            number: batch_number,
            source,
        })?
        else {
            return Ok(());
        };
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(HostError::Output)?;
        batch_number += 1;
    }
}
