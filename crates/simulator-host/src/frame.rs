//! The binary frames: batches in, replies out.

use cairnroad_routing::{
    Action, ClassId, Event, ListNews, Listed, Outcome, RequestId, ServerId, ServerState, Time,
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
    Provision { instance: u16, seed: u64, setup: Vec<u8> },
    Retire { instance: u16 },
    Page { buffer: u8, rows: Vec<Listed> },
    Sync { instance: u16, form: u8, buffer: u8 },
    Event { instance: u16, event: Event },
    Ignored { instance: u16 },
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
    let read = input.take(length).read_to_end(&mut body).map_err(|e| format!("standard input: {e}"))?;
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
            return Err(format!("truncated: {n} bytes wanted, {} left", self.0.len()));
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
                parse_record(code, Fields(fields.take(length)?)).map_err(|e| format!("code {code}: {e}"))
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
            return Ok(Record::Provision { instance, seed, setup: f.take(length)?.to_vec() });
        }
        2 => {
            let form = f.u8()?;
            let _stamp = f.u64()?;
            return Ok(Record::Sync { instance, form, buffer: f.u8()? });
        }
        3 => parse_request(&mut f)?,
        4 | 9 => return Ok(Record::Ignored { instance }),
        5 => {
            let id = RequestId(f.u64()?);
            let outcome = outcome(f.u8()?)?;
            let _final = f.u8()?;
            let _server = f.u32()?;
            let _duration = f.f64()?;
            Event::Done { id, attempt: f.u8()?, outcome }
        }
        8 => {
            let server = ServerId(f.u32()?);
            let _duration = f.f64()?;
            let outcome = outcome(f.u8()?)?;
            let report = (0..f.u8()?).map(|_| f.f32()).collect::<Result<_, _>>()?;
            Event::Probed { server, outcome, report }
        }
        6 => Event::Withdrawn(RequestId(f.u64()?)),
        7 => Event::Wake,
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
        Event::Query { id, class, number, due, work, repeat: flags & REPEAT != 0 }
    } else {
        Event::Part { id, number, shard: shard as u32, weight }
    })
}

fn parse_row(f: &mut Fields) -> Result<Listed, String> {
    let server = ServerId(f.u32()?);
    let zone = u32::from(f.u8()?) + 1;
    let _kind = f.u16()?;
    let cell = u32::from(f.u16()?);
    let state = match f.u8()? {
        1 => ServerState::Ready,
        2 => ServerState::Gone,
        3 => ServerState::Draining,
        other => return Err(format!("unknown condition {other}")),
    };
    let size = f.f32()?;
    let ready_at = f.f64()?;
    let ready_at = (ready_at != 0.0).then(|| Time::from_secs(ready_at));
    Ok(Listed { server, cell, zone, state, size, weight: 1.0, generation: 0, ready_at })
}

fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::Moot,
        other => return Err(format!("unknown outcome {other}")),
    })
}

/// The list news of a sync, from its form and the page that it names.
pub fn list_news(form: u8, rows: Option<Vec<Listed>>) -> Option<ListNews> {
    Some(match form {
        0 => ListNews::Full(rows?),
        1 => ListNews::Failed,
        2 => ListNews::Cached(rows?),
        3 => ListNews::Delta(rows?),
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
            Action::Send { part, server, until } => {
                put(&part.0.to_le_bytes());
                put(&server.0.to_le_bytes());
                put(&until.secs().to_le_bytes());
                1
            }
            Action::Refuse { query, retry_after } => {
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
            Action::Wake(at) => {
                put(&at.secs().to_le_bytes());
                put(&0u64.to_le_bytes());
                5
            }
            Action::Probe(server) => {
                put(&server.0.to_le_bytes());
                6
            }
            Action::Subscribe => {
                put(&[1]);
                11
            }
            Action::Answer { query, whole } => {
                put(&query.0.to_le_bytes());
                put(&[u8::from(*whole)]);
                13
            }
        };
        self.records.push(code);
        self.records.extend_from_slice(&(fields.len() as u32).to_le_bytes());
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
mod tests {
    use super::*;

    fn bytes(hex: &str) -> Vec<u8> {
        let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
        digits.chunks(2).map(|c| u8::from_str_radix(std::str::from_utf8(c).unwrap(), 16).unwrap()).collect()
    }

    /// A hand-worked batch: clock 1.5 s; a part of shard 2 for instance 3, its outcome, a wake.
    const BATCH: &str = "03000000 70000000 000000000000f83f
        03 35000000 0300 0500000000000000 0100 00 00000040 0000000000000440 0000000000000000
           0000000000000000 0000003f 00000000 00000041
        05 1a000000 0300 0500000000000000 02 01 07000000 000000000000e03f 01 00
        07 0a000000 0300 0000000000000000";

    #[test]
    fn a_hand_worked_batch_is_read_whole() {
        let whole = bytes(BATCH);
        let body = read(&mut &whole[..]).unwrap().unwrap();
        let batch = Batch::parse(&body).unwrap();
        assert_eq!(batch.now, 1.5);
        let events: Vec<String> = batch
            .records
            .iter()
            .map(|record| match record {
                Record::Event { instance: 3, event } => format!("{event:?}"),
                _ => panic!("an event of instance 3 was expected"),
            })
            .collect();
        assert_eq!(events[0], "Part { id: RequestId(5), number: 8, shard: 2, weight: 0.5 }");
        assert_eq!(events[1], "Done { id: RequestId(5), attempt: 1, outcome: Full }");
        assert_eq!(events[2], "Wake");
    }

    #[test]
    fn input_that_ends_early_or_holds_unknown_codes_is_named() {
        let whole = bytes(BATCH);
        assert!(read(&mut &whole[..0]).unwrap().is_none());
        for cut in 1..whole.len() {
            assert!(read(&mut &whole[..cut]).unwrap_err().contains("truncated"), "cut at {cut}");
        }
        let mut body = read(&mut &whole[..]).unwrap().unwrap();
        body[12] = 99;
        assert_eq!(Batch::parse(&body).err().unwrap(), "record 0, code 99: unknown event");
        body[12] = 3;
        body.truncate(40);
        assert!(Batch::parse(&body).err().unwrap().starts_with("record 0, truncated"));
    }

    #[test]
    fn actions_have_the_bytes_of_the_page() {
        let mut reply = Reply::default();
        let until = Time::from_secs(1.5);
        reply.push(3, &Action::Send { part: RequestId(5), server: ServerId(7), until });
        reply.push(3, &Action::Answer { query: RequestId(4), whole: true });
        reply.push(3, &Action::Refuse { query: RequestId(4), retry_after: Some(0.5) });
        let wanted = "46000000 03000000
            01 16000000 0300 0500000000000000 07000000 000000000000f83f
            0d 0b000000 0300 0400000000000000 01
            02 12000000 0300 0400000000000000 000000000000e03f";
        assert_eq!(reply.finish(), bytes(wanted));
    }

    #[test]
    fn a_list_row_is_read_and_absent_times_are_none() {
        let page = bytes("02 01000000 0900000001000004000300008 03f0000000000000000");
        let Record::Page { buffer: 2, rows } = parse_record(11, Fields(&page)).unwrap() else { panic!() };
        assert_eq!(rows[0].server, ServerId(9));
        assert_eq!((rows[0].cell, rows[0].state, rows[0].ready_at), (4, ServerState::Draining, None));
        assert!(list_news(3, None).is_none() && list_news(9, Some(rows)).is_none());
    }

    #[test]
    fn probes_are_asked_for_and_their_reports_read() {
        let mut reply = Reply::default();
        reply.push(3, &Action::Probe(ServerId(7)));
        assert_eq!(reply.finish(), bytes("0f000000 01000000 06 06000000 0300 07000000"));
        let health = bytes("0300 07000000 000000000000e03f 01 02 0000e040 0000003f");
        let Record::Event { instance: 3, event } = parse_record(8, Fields(&health)).unwrap() else {
            panic!()
        };
        let Event::Probed { server, outcome, report } = event else { panic!("{event:?}") };
        assert_eq!((server, outcome, report), (ServerId(7), Outcome::Ok, vec![7.0, 0.5]));
    }
}
