//! The binary frames: batches in, replies out.

use cairnroad_types::{
    Action, ClassId, Endpoint, EndpointUpdate, Event, Outcome, RequestId, ServerId, ServerState,
    Time,
};
use std::io::{ErrorKind, Read};

/// Flag bits of an incoming request.
const HINT: u8 = 1;
const REPEAT: u8 = 2;

/// One batch of records.
pub struct Batch {
    /// The clock, in seconds.
    pub now: f64,
    /// What came.
    pub records: Vec<Record>,
}

/// One record of a batch.
pub enum Record {
    Provision {
        instance: u16,
        seed: u64,
        setup: Vec<u8>,
    },
    Retire {
        instance: u16,
    },
    Page {
        buffer: u8,
        rows: Vec<Endpoint>,
    },
    Sync {
        instance: u16,
        form: u8,
        buffer: u8,
    },
    Event {
        instance: u16,
        event: Event,
    },
    Ignored {
        instance: u16,
    },
}

/// Reads one frame's header and body; `None` at a clean end of input.
pub fn read(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut head = [0u8; 8];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(format!("truncated header: {got} of 8 bytes")),
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("standard input: {e}")),
        }
    }
    let length = u64::from(u32::from_le_bytes([head[4], head[5], head[6], head[7]]));
    let mut body = head[..4].to_vec();
    let read = input
        .take(length)
        .read_to_end(&mut body)
        .map_err(|e| format!("standard input: {e}"))?;
    if (read as u64) < length {
        return Err(format!("truncated frame: {read} of {length} bytes"));
    }
    Ok(Some(body))
}

/// Takes little-endian fields off the front of a record.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        if self.0.len() < n {
            return Err(format!(
                "truncated: {n} bytes wanted, {} left",
                self.0.len()
            ));
        }
        let (head, rest) = self.0.split_at(n);
        self.0 = rest;
        Ok(head)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, String> {
        self.array().map(u16::from_le_bytes)
    }
    fn u32(&mut self) -> Result<u32, String> {
        self.array().map(u32::from_le_bytes)
    }
    fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_le_bytes)
    }
    fn f32(&mut self) -> Result<f64, String> {
        self.array().map(f32::from_le_bytes).map(f64::from)
    }
    fn f64(&mut self) -> Result<f64, String> {
        self.array().map(f64::from_le_bytes)
    }
}

impl Batch {
    /// Parses a body as [`read`] returns it: the record count, the clock, the records.
    pub fn parse(body: &[u8]) -> Result<Batch, String> {
        let mut fields = Fields(body);
        let count = fields.u32()?;
        let now = fields.f64().map_err(|e| format!("clock: {e}"))?;
        if !now.is_finite() {
            return Err("clock: not a number".into());
        }
        let mut records = Vec::new();
        for at in 0..count {
            let record = (|| {
                let code = fields.u8()?;
                let length = fields.u32()? as usize;
                parse_record(code, Fields(fields.take(length)?))
                    .map_err(|e| format!("code {code}: {e}"))
            })();
            records.push(record.map_err(|e| format!("record {at}, {e}"))?);
        }
        if !fields.0.is_empty() {
            return Err(format!("{} bytes after the last record", fields.0.len()));
        }
        Ok(Batch { now, records })
    }
}

fn parse_record(code: u8, mut f: Fields) -> Result<Record, String> {
    if code == 11 {
        let buffer = f.u8()?;
        let count = f.u32()?;
        let rows = (0..count)
            .map(|at| parse_row(&mut f).map_err(|e| format!("row {at}: {e}")))
            .collect::<Result<_, _>>()?;
        return Ok(Record::Page { buffer, rows });
    }
    let instance = f.u16()?;
    let event = match code {
        1 => {
            let seed = f.u64()?;
            let length = f.u32()? as usize;
            return Ok(Record::Provision {
                instance,
                seed,
                setup: f.take(length)?.to_vec(),
            });
        }
        2 => {
            let form = f.u8()?;
            let _stamp = f.u64()?;
            return Ok(Record::Sync {
                instance,
                form,
                buffer: f.u8()?,
            });
        }
        3 => parse_request(&mut f)?,
        4 | 9 => return Ok(Record::Ignored { instance }),
        5 => {
            let id = RequestId(f.u64()?);
            let outcome = outcome(f.u8()?)?;
            let _final = f.u8()?;
            let _server = f.u32()?;
            let _duration = f.f64()?;
            Event::AttemptEnded {
                id,
                attempt: f.u8()?,
                outcome,
            }
        }
        8 => {
            let server = ServerId(f.u32()?);
            let _duration = f.f64()?;
            let outcome = outcome(f.u8()?)?;
            let report = (0..f.u8()?).map(|_| f.f32()).collect::<Result<_, _>>()?;
            Event::HealthCheckEnded {
                server,
                outcome,
                report,
            }
        }
        6 => Event::ClientGone(RequestId(f.u64()?)),
        7 => Event::TimerFired,
        10 => return Ok(Record::Retire { instance }),
        _ => return Err("unknown event".into()),
    };
    Ok(Record::Event { instance, event })
}

fn parse_request(f: &mut Fields) -> Result<Event, String> {
    let id = RequestId(f.u64()?);
    let class = ClassId(f.u16()?);
    let flags = f.u8()?;
    let shard = f.f32()?;
    let due = Time::from_secs(f.f64()?);
    let _key = f.u64()?;
    let work = Some(f.f64()?).filter(|_| flags & HINT != 0);
    let weight = f.f32()?;
    let _tenant = f.u32()?;
    let number = f.f32()? as u64;
    Ok(if shard < 0.0 {
        Event::Query {
            id,
            class,
            number,
            due,
            work,
            client_retry: flags & REPEAT != 0,
        }
    } else {
        Event::Part {
            id,
            number,
            shard: shard as u32,
            weight,
        }
    })
}

fn parse_row(f: &mut Fields) -> Result<Endpoint, String> {
    let server = ServerId(f.u32()?);
    let zone = u32::from(f.u8()?) + 1;
    let _kind = f.u16()?;
    let cell = u32::from(f.u16()?);
    let state = match f.u8()? {
        1 => ServerState::Ready,
        2 => ServerState::Removed,
        3 => ServerState::Draining,
        other => return Err(format!("unknown condition {other}")),
    };
    let size = f.f32()?;
    let ready_at = f.f64()?;
    let ready_at = (ready_at != 0.0).then(|| Time::from_secs(ready_at));
    Ok(Endpoint {
        server,
        cell,
        zone,
        state,
        size,
        weight: 1.0,
        generation: 0,
        ready_at,
    })
}

fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

/// The list news of a sync, from its form and the page that it names.
pub fn list_news(form: u8, rows: Option<Vec<Endpoint>>) -> Option<EndpointUpdate> {
    Some(match form {
        0 => EndpointUpdate::Snapshot(rows?),
        1 => EndpointUpdate::Failed,
        2 => EndpointUpdate::Cached(rows?),
        3 => EndpointUpdate::Delta(rows?),
        _ => return None,
    })
}

/// A reply in the making.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
}

impl Reply {
    /// Adds one action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let mut fields = instance.to_le_bytes().to_vec();
        let mut put = |bytes: &[u8]| fields.extend_from_slice(bytes);
        let code = match action {
            Action::Send {
                part,
                server,
                until,
            } => {
                put(&part.0.to_le_bytes());
                put(&server.0.to_le_bytes());
                put(&until.secs().to_le_bytes());
                1
            }
            Action::Reject { query, retry_after } => {
                put(&query.0.to_le_bytes());
                put(&retry_after.unwrap_or(0.0).to_le_bytes());
                2
            }
            Action::Fail { query } => {
                put(&query.0.to_le_bytes());
                3
            }
            Action::Cancel { part, attempt } => {
                put(&part.0.to_le_bytes());
                put(&[*attempt]);
                4
            }
            Action::SetTimer(at) => {
                put(&at.secs().to_le_bytes());
                put(&0u64.to_le_bytes());
                5
            }
            Action::HealthCheck(server) => {
                put(&server.0.to_le_bytes());
                6
            }
            Action::SubscribeEndpoints => {
                put(&[1]);
                11
            }
            Action::Answer { query, complete } => {
                put(&query.0.to_le_bytes());
                put(&[u8::from(*complete)]);
                13
            }
        };
        self.records.push(code);
        self.records
            .extend_from_slice(&(fields.len() as u32).to_le_bytes());
        self.records.extend_from_slice(&fields);
        self.count += 1;
    }

    /// The finished frame.
    pub fn finish(self) -> Vec<u8> {
        let mut frame = (self.records.len() as u32 + 4).to_le_bytes().to_vec();
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame
    }
}

#[cfg(test)]
mod tests;
