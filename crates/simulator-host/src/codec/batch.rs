//! Decodes a batch: its clock and its records.

use super::error::{BatchError, FieldError, RecordError};
use super::fields::Fields;
use cairnroad_types::{
    ClassId, Endpoint, EndpointUpdate, Event, Outcome, RequestId, Seconds, ServerId, ServerState,
    Time,
};

/// Codes of the records of a batch, under their names in the operators' protocol description.
mod code {
    pub const PROVISION: u8 = 1;
    pub const SYNC: u8 = 2;
    pub const INCOMING: u8 = 3;
    /// The answer of a streamed class has started. Ignored, because no class here is streamed.
    pub const FIRST: u8 = 4;
    pub const RESOLVED: u8 = 5;
    pub const WITHDRAWN: u8 = 6;
    pub const WAKE: u8 = 7;
    pub const HEALTH: u8 = 8;
    /// A message from another instance. Ignored, because the routing decisions don't use it.
    pub const WHISPER: u8 = 9;
    pub const RETIRE: u8 = 10;
    pub const PAGE: u8 = 11;
}

/// Flag of a request that states its expected work.
const FLAG_WORK_STATED: u8 = 1;
/// Flag of a request that is a client retry.
const FLAG_CLIENT_RETRY: u8 = 2;

/// All records of one instant of the simulation.
pub struct Batch {
    /// The time on the simulator's clock, in seconds.
    pub now: Seconds,
    /// The records, in order of arrival.
    pub records: Vec<Record>,
}

/// One record of a batch.
pub enum Record {
    /// Starts a new instance.
    Provision {
        /// Number of the new instance.
        instance: u16,
        /// Seed of the instance's random number generator.
        seed: u64,
        /// The deployment's settings, as JSON text.
        settings: Vec<u8>,
    },
    /// Ends an instance.
    Retire {
        /// Number of the instance.
        instance: u16,
    },
    /// Stores an endpoint list for the `Sync` records that name its buffer.
    Page {
        /// Number of the buffer that holds the list.
        buffer: u8,
        /// The endpoints, in the order of the list.
        endpoints: Vec<Endpoint>,
    },
    /// Notifies an instance of an endpoint list.
    Sync {
        /// Number of the instance.
        instance: u16,
        /// Code of the kind of update; see [`endpoint_update`].
        form: u8,
        /// Number of the buffer that holds the list.
        buffer: u8,
    },
    /// Delivers any other event to an instance.
    Event {
        /// Number of the instance.
        instance: u16,
        /// The event, as the router takes it.
        event: Event,
    },
    /// A record that the routing decisions don't use. Its instance is still run, because its timers may be due.
    Ignored {
        /// Number of the instance.
        instance: u16,
    },
}

impl Batch {
    /// Decodes a frame that [`read_frame`](super::read_frame) returned.
    ///
    /// # Errors
    ///
    /// Returns the first malformed record with its index, or an error if the frame has too few or too many bytes.
    pub fn parse(frame: &[u8]) -> Result<Batch, BatchError> {
        let mut fields = Fields(frame);
        let count = fields.u32().map_err(BatchError::RecordCount)?;
        let now = fields.f64().map_err(BatchError::Clock)?;
        if !now.is_finite() {
            return Err(BatchError::ClockNotFinite);
        }
        let mut records = Vec::new();
        for index in 0..count {
            let record = next_record(&mut fields);
            records.push(record.map_err(|source| BatchError::Record { index, source })?);
        }
        if !fields.0.is_empty() {
            return Err(BatchError::TrailingBytes(fields.0.len()));
        }
        Ok(Batch { now, records })
    }
}

fn next_record(batch: &mut Fields) -> Result<Record, RecordError> {
    let code = batch.u8()?;
    let length = batch.u32()? as usize;
    let fields = Fields(batch.take(length)?);
    parse_record(code, fields).map_err(|source| RecordError::Fields { code, source })
}

/// Decodes the fields of a record. Fields that follow the known ones are ignored.
pub(super) fn parse_record(code: u8, mut fields: Fields) -> Result<Record, FieldError> {
    if code == code::PAGE {
        return parse_page(&mut fields);
    }
    let instance = fields.u16()?;
    let event = match code {
        code::PROVISION => return parse_provision(instance, &mut fields),
        code::SYNC => return parse_sync(instance, &mut fields),
        code::RETIRE => return Ok(Record::Retire { instance }),
        code::FIRST | code::WHISPER => return Ok(Record::Ignored { instance }),
        code::INCOMING => parse_request(&mut fields)?,
        code::RESOLVED => parse_attempt_ended(&mut fields)?,
        code::HEALTH => parse_health_check_ended(&mut fields)?,
        code::WITHDRAWN => Event::ClientGone(RequestId(fields.u64()?)),
        code::WAKE => Event::TimerFired,
        _ => return Err(FieldError::UnknownEvent),
    };
    Ok(Record::Event { instance, event })
}

fn parse_page(fields: &mut Fields) -> Result<Record, FieldError> {
    let buffer = fields.u8()?;
    let count = fields.u32()?;
    let mut endpoints = Vec::new();
    for index in 0..count {
        let endpoint = parse_endpoint(fields).map_err(|error| FieldError::Row {
            index,
            source: Box::new(error),
        })?;
        endpoints.push(endpoint);
    }
    Ok(Record::Page { buffer, endpoints })
}

fn parse_provision(instance: u16, fields: &mut Fields) -> Result<Record, FieldError> {
    let seed = fields.u64()?;
    let length = fields.u32()? as usize;
    Ok(Record::Provision {
        instance,
        seed,
        settings: fields.take(length)?.to_vec(),
    })
}

fn parse_sync(instance: u16, fields: &mut Fields) -> Result<Record, FieldError> {
    let form = fields.u8()?;
    let _stamp = fields.u64()?;
    let buffer = fields.u8()?;
    Ok(Record::Sync {
        instance,
        form,
        buffer,
    })
}

fn parse_request(fields: &mut Fields) -> Result<Event, FieldError> {
    let id = RequestId(fields.u64()?);
    let class = ClassId(fields.u16()?);
    let flags = fields.u8()?;
    let shard = fields.f32()?;
    let deadline = Time::from_secs(fields.f64()?);
    let _key = fields.u64()?;
    let expected_work = fields.f64()?;
    let weight = fields.f32()?;
    let _tenant = fields.u32()?;
    let number = fields.f32()? as u64;
    // A negative shard marks a query; only parts have a shard.
    if shard < 0.0 {
        return Ok(Event::Query {
            id,
            class,
            number,
            deadline,
            expected_work: (flags & FLAG_WORK_STATED != 0).then_some(expected_work),
            is_client_retry: flags & FLAG_CLIENT_RETRY != 0,
        });
    }
    Ok(Event::Part {
        id,
        query_number: number,
        shard: shard as u32,
        weight,
    })
}

fn parse_attempt_ended(fields: &mut Fields) -> Result<Event, FieldError> {
    let part = RequestId(fields.u64()?);
    let outcome = parse_outcome(fields.u8()?)?;
    let _is_final = fields.u8()?;
    let _server = fields.u32()?;
    let _duration = fields.f64()?;
    let attempt = fields.u8()?;
    Ok(Event::AttemptEnded {
        part,
        attempt,
        outcome,
    })
}

fn parse_health_check_ended(fields: &mut Fields) -> Result<Event, FieldError> {
    let server = ServerId(fields.u32()?);
    let _duration = fields.f64()?;
    let outcome = parse_outcome(fields.u8()?)?;
    let values = fields.u8()?;
    let report = (0..values)
        .map(|_| fields.f32())
        .collect::<Result<_, _>>()?;
    Ok(Event::HealthCheckEnded {
        server,
        outcome,
        report,
    })
}

fn parse_endpoint(fields: &mut Fields) -> Result<Endpoint, FieldError> {
    let server = ServerId(fields.u32()?);
    // The routing crate counts zones from 1; 0 means unknown.
    let zone = u32::from(fields.u8()?) + 1;
    let _kind = fields.u16()?;
    let cell = u32::from(fields.u16()?);
    let state = match fields.u8()? {
        1 => ServerState::Ready,
        2 => ServerState::Removed,
        3 => ServerState::Draining,
        other => return Err(FieldError::UnknownServerState(other)),
    };
    let relative_capacity = fields.f32()?;
    let ready_at = fields.f64()?;
    Ok(Endpoint {
        server,
        cell,
        zone,
        state,
        relative_capacity,
        weight: 1.0,
        generation: 0,
        ready_at: (ready_at != 0.0).then(|| Time::from_secs(ready_at)),
    })
}

fn parse_outcome(code: u8) -> Result<Outcome, FieldError> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(FieldError::UnknownOutcome(other)),
    })
}

/// Returns the endpoint update that a `Sync` record describes, given its form and the list in its buffer.
///
/// Returns `None` if the form is unknown, or if it needs a list and the buffer holds none.
pub fn endpoint_update(form: u8, endpoints: Option<Vec<Endpoint>>) -> Option<EndpointUpdate> {
    Some(match form {
        0 => EndpointUpdate::Snapshot(endpoints?),
        1 => EndpointUpdate::Failed,
        2 => EndpointUpdate::Cached(endpoints?),
        3 => EndpointUpdate::Delta(endpoints?),
        _ => return None,
    })
}
