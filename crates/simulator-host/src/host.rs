//! The instances of this process: each batch is delivered to them, and their actions make the reply.

use crate::codec::{self, Batch, BatchError, FrameError, Record, Reply};
use cairnroad_routing::RequestRouter;
use cairnroad_settings::SettingsError;
use cairnroad_types::{Action, Endpoint, Event, Time};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

/// Why the host ended before its input did.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A batch can't be read or carried out.
    #[error("batch {number}: {source}")]
    Batch {
        /// Number of the batch, from 0.
        number: u64,
        /// What is wrong with it.
        source: TurnError,
    },
    /// The reply can't be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
}

/// Why one batch can't be read or carried out.
#[derive(Debug, thiserror::Error)]
pub enum TurnError {
    /// The pipe failed or ended within the batch.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The bytes are not a batch.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// A new instance's settings are rejected.
    #[error("record {record}, provision: {source}")]
    Settings {
        /// Index of the record.
        record: usize,
        /// What is wrong with the settings.
        source: SettingsError,
    },
    /// A sync record names an unknown form, or a buffer without a list.
    #[error("record {record}, sync: form {form} or page {buffer} is unknown")]
    UnknownList {
        /// Index of the record.
        record: usize,
        /// The form.
        form: u8,
        /// The buffer.
        buffer: u8,
    },
    /// An event is for an instance that does not exist.
    #[error("event for instance {0}, which was never provisioned")]
    UnknownInstance(u16),
}

/// The instances, and the endpoint lists that they may be notified of.
///
/// All maps are ordered: equal events have to give equal actions in an equal order.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, RequestRouter>,
    lists: BTreeMap<u8, Vec<Endpoint>>,
}

/// The events of one batch for each instance that has to be run.
type Inbox = BTreeMap<u16, Vec<Event>>;

impl Host {
    /// Carries out one batch and returns the reply's bytes.
    fn turn(&mut self, batch: Batch) -> Result<Vec<u8>, TurnError> {
        let now = Time::from_secs(batch.now);
        let mut inbox = Inbox::new();
        for (index, record) in batch.records.into_iter().enumerate() {
            self.accept(index, record, &mut inbox)?;
        }
        self.run_instances(now, inbox)
    }

    fn accept(&mut self, index: usize, record: Record, inbox: &mut Inbox) -> Result<(), TurnError> {
        match record {
            Record::Provision {
                instance,
                seed,
                settings,
            } => {
                let deployment =
                    cairnroad_settings::parse(&settings).map_err(|source| TurnError::Settings {
                        record: index,
                        source,
                    })?;
                let router = RequestRouter::new(deployment.policy, seed);
                self.instances.insert(instance, router);
                inbox.insert(instance, Vec::new());
            }
            Record::Retire { instance } => {
                self.instances.remove(&instance);
                inbox.remove(&instance);
            }
            Record::Page { buffer, endpoints } => {
                self.lists.insert(buffer, endpoints);
            }
            Record::Sync {
                instance,
                form,
                buffer,
            } => {
                let endpoints = self.lists.get(&buffer).cloned();
                let update =
                    codec::endpoint_update(form, endpoints).ok_or(TurnError::UnknownList {
                        record: index,
                        form,
                        buffer,
                    })?;
                let events = inbox.entry(instance).or_default();
                events.push(Event::Endpoints(update));
            }
            Record::Event { instance, event } => inbox.entry(instance).or_default().push(event),
            Record::Ignored { instance } => {
                inbox.entry(instance).or_default();
            }
        }
        Ok(())
    }

    fn run_instances(&mut self, now: Time, inbox: Inbox) -> Result<Vec<u8>, TurnError> {
        let mut reply = Reply::default();
        let mut actions: Vec<Action> = Vec::new();
        for (instance, events) in inbox {
            let router = self.instances.get_mut(&instance);
            let router = router.ok_or(TurnError::UnknownInstance(instance))?;
            actions.clear();
            router.handle(now, &events, &mut actions);
            for action in &actions {
                reply.push(instance, action);
            }
        }
        Ok(reply.finish())
    }

    /// Reads the next batch and returns its reply; `None` at the end of the input.
    fn next_reply(&mut self, input: &mut impl Read) -> Result<Option<Vec<u8>>, TurnError> {
        let Some(frame) = codec::read_frame(input)? else {
            return Ok(None);
        };
        let batch = Batch::parse(&frame)?;
        self.turn(batch).map(Some)
    }
}

/// Replies to batches until the input ends.
///
/// # Errors
///
/// The first batch that can't be read or carried out, or a reply that can't be written.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut number = 0;
    loop {
        let reply = host.next_reply(&mut input);
        let Some(reply) = reply.map_err(|source| HostError::Batch { number, source })? else {
            return Ok(());
        };
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(HostError::Output)?;
        number += 1;
    }
}
