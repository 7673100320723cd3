//! The platform's frames: length, letter, rest.

use crate::log;
use crate::pool::{Command, LinkEnd, What};
use crate::stages::{Attempt, Job, Value};
use cairnroad::{Outcome, Time};
use std::collections::{BTreeMap, VecDeque};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use winnow::binary::be_u32;
use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode};
use winnow::token::{literal, take_till};
use winnow::Parser;

/// The longest frame that is read.
const MOST_FRAME: u32 = 1024 * 1024;

/// Commands that may wait for the frames before them.
const MOST_PENDING: usize = 64;

/// A frame from a server.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    Answer { id: &'a str, end: &'a str, report: &'a str, value: &'a [u8] },
    Ping,
    Load(&'a str),
    Complaint(String),
}

type Res<T> = Result<T, ErrMode<ContextError>>;

/// The frame at the front of `input` and its length on the wire; `None`: not whole yet.
pub fn parse(input: &[u8]) -> Result<Option<(Frame<'_>, usize)>, &'static str> {
    let mut rest = input;
    if rest.len() < 4 {
        return Ok(None);
    }
    let length = be_u32::<_, ErrMode<ContextError>>.parse_next(&mut rest).map_err(|_| "no length")?;
    if length == 0 || length > MOST_FRAME {
        return Err("a frame's length is out of bounds");
    }
    let Some(frame) = rest.get(..length as usize) else { return Ok(None) };
    let used = 4 + frame.len();
    let (letter, mut body) = (frame[0], &frame[1..]);
    let frame = match letter {
        b'A' => answer(&mut body).map_err(|_| "an answer frame is malformed")?,
        b'P' => Frame::Ping,
        b'L' => Frame::Load(std::str::from_utf8(body).map_err(|_| "a load report is malformed")?),
        b'E' => Frame::Complaint(String::from_utf8_lossy(body).into_owned()),
        _ => return Err("a frame's letter is unknown"),
    };
    Ok(Some((frame, used)))
}

fn word<'a>(input: &mut &'a [u8]) -> Res<&'a str> {
    take_till(1.., |b: u8| b <= b' ').try_map(std::str::from_utf8).parse_next(input)
}

fn answer<'a>(input: &mut &'a [u8]) -> Res<Frame<'a>> {
    let id = terminated(word, literal(" ")).parse_next(input)?;
    let end = terminated(word, literal(" ")).parse_next(input)?;
    let _score = terminated(word, literal(" ")).parse_next(input)?;
    let report = terminated(word, literal("\n")).parse_next(input)?;
    Ok(Frame::Answer { id, end, report, value: input })
}

/// A load report's values in the order of `names`; empty where there is none or one is missing.
pub fn report(text: &str, names: &[String]) -> Vec<f64> {
    let find = |name: &String| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| key == name).and_then(|(_, value)| value.parse().ok())
    };
    names.iter().map(find).collect::<Option<_>>().unwrap_or_default()
}

/// The `Q` frame of a call.
pub fn call(jobs: &[Job], now: Time) -> Vec<u8> {
    let mut body = vec![b'Q'];
    for job in jobs {
        let wait = (((job.until - now) * 1000.0) as i64).max(1);
        let text = job.text.as_str();
        body.extend_from_slice(format!("{} {} d={wait} {}\n", id(job), job.shard, text.len()).as_bytes());
        body.extend_from_slice(text.as_bytes());
    }
    framed(&body)
}

fn id(job: &Job) -> String {
    format!("{}.{}", job.name, job.shard)
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

/// What an answer's end word means.
fn outcome(end: &str) -> Outcome {
    match end {
        "ok" => Outcome::Ok,
        "busy" => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// A connection's own state.
#[derive(Default)]
struct Wire {
    /// What waits for the frames before it.
    pending: VecDeque<Command>,
    /// The frame being written, how much of it is, and its parts.
    frame: Vec<u8>,
    written: usize,
    writing: Vec<Job>,
    /// Parts whose frame is written whole, by their ids on this wire.
    out: BTreeMap<String, Attempt>,
    names: BTreeMap<Attempt, String>,
    probes: u32,
}

impl Wire {
    /// Whether more may wait here. With a server that reads nothing, commands pile up in their bounded queue
    /// instead, and the pool ends the connection.
    fn has_room(&self) -> bool {
        self.pending.len() < MOST_PENDING
    }

    /// A cancel takes back a part that waits here; otherwise it takes its turn.
    fn queue(&mut self, command: Command) {
        if let Command::Cancel(attempt) = command {
            for waiting in &mut self.pending {
                if let Command::Call(jobs) = waiting {
                    let before = jobs.len();
                    jobs.retain(|job| job.attempt != attempt);
                    if jobs.len() < before {
                        return;
                    }
                }
            }
        }
        self.pending.push_back(command);
    }

    /// The next frame, once the one before it is written. Parts that may not be written any more are returned.
    fn load(&mut self, end: &LinkEnd) -> Vec<Job> {
        let mut barred = Vec::new();
        while self.frame.is_empty() {
            match self.pending.pop_front() {
                None => break,
                Some(Command::Call(jobs)) if end.barred() => barred.extend(jobs),
                Some(Command::Call(jobs)) => {
                    if !jobs.is_empty() {
                        self.frame = call(&jobs, end.clock.now());
                        self.writing = jobs;
                    }
                }
                Some(Command::Cancel(attempt)) => {
                    if let Some(name) = self.names.remove(&attempt) {
                        self.out.remove(&name);
                        self.frame = framed(format!("X{name}").as_bytes());
                    }
                }
                Some(Command::Probe) => {
                    self.probes += 1;
                    self.frame = framed(b"L");
                }
            }
        }
        barred
    }

    /// So many more bytes of the frame are written. From its last byte on its parts may run.
    fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written == self.frame.len() {
            self.frame.clear();
            self.written = 0;
            for job in self.writing.drain(..) {
                self.out.insert(id(&job), job.attempt);
                self.names.insert(job.attempt, id(&job));
            }
        }
    }
}

/// A connection's life.
pub async fn run(mut end: LinkEnd) {
    let Some(stream) = end.dial().await else { return end.close(Vec::new()).await };
    let (mut reader, mut writer) = stream.into_split();
    let mut wire = Wire::default();
    let mut buffer = Vec::new();
    let shared = end.shared.clone();
    loop {
        while wire.has_room() {
            let Ok(command) = end.commands.try_recv() else { break };
            wire.queue(command);
        }
        for job in wire.load(&end) {
            end.ended(job.attempt, Outcome::ConnectFailed, None).await;
        }
        tokio::select! {
            () = shared.done() => break,
            read = reader.read_buf(&mut buffer) => match read {
                Ok(0) | Err(_) => break,
                Ok(_) => {
                    if let Err(text) = take(&end, &mut wire, &mut buffer).await {
                        log!("server {}: {text}", end.address);
                        break;
                    }
                }
            },
            wrote = writer.write(&wire.frame[wire.written..]), if !wire.frame.is_empty() => match wrote {
                Ok(bytes) if bytes > 0 => wire.wrote(bytes),
                _ => break,
            },
            command = end.commands.recv(), if wire.has_room() => match command {
                Some(command) => wire.queue(command),
                None => break,
            },
        }
    }
    // What was read before the end still counts; the rest may have run.
    let _ = take(&end, &mut wire, &mut buffer).await;
    for (_, attempt) in std::mem::take(&mut wire.out) {
        end.ended(attempt, Outcome::Reset, None).await;
    }
    for _ in 0..wire.probes {
        end.tell(What::Probed { outcome: Outcome::Reset, report: Vec::new() }).await;
    }
    let mut unsent = wire.writing;
    for command in wire.pending {
        match command {
            Command::Call(jobs) => unsent.extend(jobs),
            Command::Probe => {
                end.tell(What::Probed { outcome: Outcome::ConnectFailed, report: Vec::new() }).await
            }
            Command::Cancel(_) => {}
        }
    }
    end.close(unsent).await;
}

/// Takes all whole frames off the buffer and tells what they mean.
async fn take(end: &LinkEnd, wire: &mut Wire, buffer: &mut Vec<u8>) -> Result<(), String> {
    let mut used = 0;
    while let Some((frame, length)) = parse(&buffer[used..])? {
        used += length;
        match frame {
            Frame::Answer { id, end: word, value, .. } => {
                // An answer to a cancelled part is nobody's.
                let Some(attempt) = wire.out.remove(id) else { continue };
                wire.names.remove(&attempt);
                let outcome = outcome(word);
                let value = (outcome == Outcome::Ok).then(|| Value::Plain(value.into()));
                end.ended(attempt, outcome, value).await;
            }
            Frame::Ping => {}
            Frame::Load(text) => {
                wire.probes = wire.probes.saturating_sub(1);
                let outcome = if text == "err" { Outcome::Error } else { Outcome::Ok };
                let report = report(text, &end.report_names);
                end.tell(What::Probed { outcome, report }).await;
            }
            Frame::Complaint(text) => return Err(format!("it could not use a frame: {text}")),
        }
    }
    buffer.drain(..used);
    Ok(())
}
