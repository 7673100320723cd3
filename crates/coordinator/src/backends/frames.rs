//! The platform's frames: length, letter, rest.

use crate::connections::connection::{self, Command, ConnectionHandle};
use crate::contract::{Head, Part};
use crate::http;
use crate::messages::{Attempt, ConnectionEvent, ContractsInForce, OutboundAttempt, Value};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::schema::Direction;
use cairnroad_types::{Outcome, Time};
use serde_json::{json, Value as Json};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;
use winnow::binary::be_u32;
use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode};
use winnow::token::{literal, take_till};
use winnow::Parser;

/// The longest line of an answer, and the longest frame. A value is passed on in a body, which has a limit.
const MOST_LINE: usize = 1024;
const MOST_FRAME: u32 = (http::MOST_BODY + MOST_LINE) as u32;
/// How long a frame may take to come in whole once it has begun. Servers write theirs in one go; one that stands
/// still for longer has a length that doesn't fit, and the part that it was for would wait for its time-out.
const HALF_FRAME: Duration = Duration::from_millis(150);
/// Cancelled parts of a connection that may still be answered. Far more than a connection carries at a time.
const MOST_CANCELLED: usize = 512;

/// Commands that may wait for the frames before them.
const MOST_PENDING: usize = 64;

/// A frame from a server.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    Answer {
        id: &'a str,
        end: &'a str,
        score: &'a str,
        report: &'a [u8],
        value: &'a [u8],
    },
    Ping,
    Load(&'a [u8]),
    Complaint(String),
}

type Res<T> = Result<T, ErrMode<ContextError>>;

/// The frame at the front of `input` and its length on the wire; `None`: not whole yet.
pub fn parse(input: &[u8]) -> Result<Option<(Frame<'_>, usize)>, &'static str> {
    let mut rest = input;
    if rest.len() < 4 {
        return Ok(None);
    }
    let length = be_u32::<_, ErrMode<ContextError>>
        .parse_next(&mut rest)
        .map_err(|_| "no length")?;
    if length == 0 || length > MOST_FRAME {
        return Err("a frame's length is out of bounds");
    }
    // What shows at its beginning that it can't be read isn't waited for.
    match rest {
        [b'A', line @ ..] if line.len() > MOST_LINE && !line[..MOST_LINE].contains(&b'\n') => {
            return Err("an answer's line doesn't end")
        }
        [b'A' | b'P' | b'L' | b'E', ..] | [] => {}
        _ => return Err("a frame's letter is unknown"),
    }
    let Some(frame) = rest.get(..length as usize) else {
        return Ok(None);
    };
    let used = 4 + frame.len();
    let (letter, mut body) = (frame[0], &frame[1..]);
    let frame = match letter {
        b'A' => answer(&mut body).map_err(|_| "an answer frame is malformed")?,
        b'P' => Frame::Ping,
        b'L' => Frame::Load(body),
        _ => Frame::Complaint(String::from_utf8_lossy(body).into_owned()),
    };
    Ok(Some((frame, used)))
}

fn word<'a>(input: &mut &'a [u8]) -> Res<&'a str> {
    take_till(1.., |b: u8| b <= b' ')
        .try_map(std::str::from_utf8)
        .parse_next(input)
}

fn answer<'a>(input: &mut &'a [u8]) -> Res<Frame<'a>> {
    let id = terminated(word, literal(" ")).parse_next(input)?;
    let end = terminated(word, literal(" ")).parse_next(input)?;
    let score = terminated(word, literal(" ")).parse_next(input)?;
    // A report that can't be read is lost; the value isn't.
    let report = terminated(take_till(0.., b'\n'), literal("\n")).parse_next(input)?;
    Ok(Frame::Answer {
        id,
        end,
        score,
        report,
        value: input,
    })
}

/// A load report's values in the order of `names`; empty where there is none or one is missing.
pub fn report(text: &str, names: &[String]) -> Vec<f64> {
    let find = |name: &String| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| key == name)
            .and_then(|(_, value)| value.parse().ok())
    };
    names
        .iter()
        .map(find)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

/// The `Q` frame of a call.
pub fn call(jobs: &[OutboundAttempt], now: Time) -> Vec<u8> {
    let mut body = vec![b'Q'];
    for job in jobs {
        let text = job.text.as_str();
        let line = format!(
            "{} {} d={} {}\n",
            id(job),
            job.shard,
            wait(job, now),
            text.len()
        );
        body.extend_from_slice(line.as_bytes());
        body.extend_from_slice(text.as_bytes());
    }
    framed(&body)
}

/// How many milliseconds are left for a part.
fn wait(job: &OutboundAttempt, now: Time) -> i64 {
    (((job.deadline - now) * 1000.0) as i64).max(1)
}

/// Tells of a message as the description of frames has it: by its letter, its line's fields and what stands behind.
/// Whether it may be used.
fn told(
    end: &ConnectionHandle,
    judge: &ContractsInForce,
    word: &'static str,
    direction: Direction,
    payload: &[u8],
    line: impl FnOnce() -> String,
    head: Head,
) -> bool {
    let part = Part {
        channel: "frames",
        word,
        direction,
        payload,
    };
    end.contracts
        .frame(judge, Interface::Servers, &end.server, part, line, head)
}

/// The fields of a call's part, of an answer, and of a frame without a line.
fn call_head(line: &str) -> Json {
    let words: Vec<&str> = line.split(' ').collect();
    let number = |at: usize| words.get(at).and_then(|word| word.parse::<i64>().ok());
    json!({"id": words.first(), "shard": number(1), "d": number(2), "length": number(3)})
}

fn answer_head(line: &str) -> Json {
    let words: Vec<&str> = line.splitn(4, ' ').collect();
    let report = words.get(3).copied().unwrap_or("-");
    json!({"id": words.first(), "end": words.get(1), "score": words.get(2), "report": members(report)})
}

fn no_head(_: &str) -> Json {
    json!({})
}

/// A load report as an object: numbers where they are some, else text; no members where there is none.
fn members(report: &str) -> serde_json::Map<String, Json> {
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = value
            .parse::<f64>()
            .ok()
            .and_then(serde_json::Number::from_f64);
        (
            name.to_string(),
            number.map_or_else(|| json!(value), Json::Number),
        )
    };
    if report == "-" {
        return serde_json::Map::new();
    }
    report.split(',').map(pair).collect()
}

fn id(job: &OutboundAttempt) -> String {
    format!("{}.{}", job.name, job.shard)
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

/// What an answer's end word means, if it is one.
fn outcome(end: &str) -> Option<Outcome> {
    match end {
        "ok" => Some(Outcome::Ok),
        "busy" => Some(Outcome::Rejected),
        "err" => Some(Outcome::Error),
        _ => None,
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
    writing: Vec<OutboundAttempt>,
    /// Parts whose frame is written whole, by their ids on this wire.
    out: BTreeMap<String, (Attempt, ContractsInForce)>,
    names: BTreeMap<Attempt, String>,
    /// Ids of parts that were cancelled, the latest last: a late answer to one is no fault of the server.
    cancelled: VecDeque<String>,
    /// The id that was answered last: a second copy of that answer is told from one to a part never sent.
    answered: String,
    probes: u32,
    /// Bytes came that belong to nothing: what comes next can't be trusted, so nothing new is written.
    spent: bool,
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

    /// Whether a call may not be written any more, as an outcome that says it never ran: its server drains or is
    /// gone, or the connection is spent or stands in the middle of a frame, which may never end.
    fn bar(&self, end: &ConnectionHandle, unread: bool) -> Option<Outcome> {
        if end.barred() {
            return Some(Outcome::ConnectFailed);
        }
        (self.spent || unread).then_some(Outcome::NotSent)
    }

    /// The next frame, once the one before it is written. Parts that may not be written any more are returned.
    fn load(&mut self, end: &ConnectionHandle, unread: bool) -> Vec<(OutboundAttempt, Outcome)> {
        let mut barred = Vec::new();
        while self.frame.is_empty() {
            match self.pending.pop_front() {
                None => break,
                Some(Command::Call(jobs)) if self.bar(end, unread).is_some() => {
                    let outcome = self.bar(end, unread).unwrap_or(Outcome::NotSent);
                    barred.extend(jobs.into_iter().map(|job| (job, outcome)));
                }
                Some(Command::Call(jobs)) => {
                    let now = end.clock.now();
                    let (jobs, late): (Vec<OutboundAttempt>, Vec<OutboundAttempt>) =
                        jobs.into_iter().partition(|job| job.may_be_sent(now));
                    barred.extend(late.into_iter().map(|job| (job, Outcome::NotSent)));
                    if !jobs.is_empty() {
                        self.frame = call(&jobs, now);
                        for job in jobs.iter().filter(|job| job.contracts.is_some()) {
                            let text = job.text.as_str();
                            let line = || {
                                format!(
                                    "{} {} {} {}",
                                    id(job),
                                    job.shard,
                                    wait(job, now),
                                    text.len()
                                )
                            };
                            told(
                                end,
                                &job.contracts,
                                "Q",
                                Direction::Request,
                                text.as_bytes(),
                                line,
                                call_head,
                            );
                        }
                        self.writing = jobs;
                    }
                }
                Some(Command::Cancel(attempt)) => {
                    if let Some(name) = self.names.remove(&attempt) {
                        self.out.remove(&name);
                        if self.cancelled.len() == MOST_CANCELLED {
                            self.cancelled.pop_front();
                        }
                        self.cancelled.push_back(name.clone());
                        told(
                            end,
                            &end.contracts.current(),
                            "X",
                            Direction::Request,
                            b"",
                            || name.clone(),
                            |id| json!({"id": id}),
                        );
                        self.frame = framed(format!("X{name}").as_bytes());
                    }
                }
                Some(Command::Probe) => {
                    self.probes += 1;
                    told(
                        end,
                        &end.contracts.current(),
                        "L?",
                        Direction::Request,
                        b"",
                        String::new,
                        no_head,
                    );
                    self.frame = framed(b"L");
                }
            }
        }
        barred
    }

    /// An answer that no part out waits for: late, a second copy, or spoilt. In the last case one of the parts that
    /// are out was meant, and would wait for its time-out.
    fn answer_to_nobody(&mut self, id: &str) -> Result<(), &'static str> {
        if let Some(at) = self.cancelled.iter().position(|name| name == id) {
            self.cancelled.remove(at);
        } else if self.answered == id {
            self.spent = true;
        } else {
            return Err("an answer's id is unknown");
        }
        Ok(())
    }

    /// So many more bytes of the frame are written. From its last byte on its parts may run.
    fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written == self.frame.len() {
            self.frame.clear();
            self.written = 0;
            for job in self.writing.drain(..) {
                self.names.insert(job.attempt, id(&job));
                self.out.insert(id(&job), (job.attempt, job.contracts));
            }
        }
    }
}

/// A connection's life.
pub async fn run(mut end: ConnectionHandle) {
    let Some(stream) = end.dial().await else {
        return end.close(Vec::new(), Outcome::ConnectFailed).await;
    };
    let (mut reader, mut writer) = stream.into_split();
    let mut wire = Wire::default();
    let mut buffer = Vec::new();
    let shared = end.shared.clone();
    let mut half: Option<Instant> = None;
    let mut spoilt = false;
    loop {
        while wire.has_room() {
            let Ok(command) = end.commands.try_recv() else {
                break;
            };
            wire.queue(command);
        }
        for (job, outcome) in wire.load(&end, !buffer.is_empty()) {
            end.ended(job.attempt, outcome, None).await;
        }
        tokio::select! {
            // What came is read before anything is written: it may show that the connection is spent.
            biased;
            () = shared.done() => break,
            read = reader.read_buf(&mut buffer) => match read {
                Ok(0) | Err(_) => break,
                Ok(_) => match take(&end, &mut wire, &mut buffer).await {
                    Ok(used) => {
                        half = half.filter(|_| used == 0).or_else(|| Some(Instant::now() + HALF_FRAME));
                        half = half.filter(|_| !buffer.is_empty());
                        end.set_spent(wire.spent || half.is_some());
                    }
                    Err(text) => {
                        tracing::warn!(server = %end.address, cause = text, "connection closed");
                        spoilt = true;
                        break;
                    }
                }
            },
            () = tokio::time::sleep_until(half.unwrap_or_else(Instant::now)), if half.is_some() => {
                tracing::warn!(server = %end.address, cause = "half a frame and no more", "connection closed");
                spoilt = true;
                break;
            }
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
    end.spend();
    if !spoilt {
        // A write may fail before the answers are read that came before the break.
        connection::look(reader.as_ref(), &mut buffer);
    }
    // What was read before the end still counts; the rest may have run. A connection that is closed for what came
    // on it was not broken by the server, and a query whose answers came spoilt is not what breaks it.
    if !spoilt {
        let _ = take(&end, &mut wire, &mut buffer).await;
    }
    let (cut, unsent_as) = match spoilt {
        true => (Outcome::Error, Outcome::NotSent),
        false => (Outcome::Reset, Outcome::ConnectFailed),
    };
    for (_, (attempt, _)) in std::mem::take(&mut wire.out) {
        end.ended(attempt, cut, None).await;
    }
    for _ in 0..wire.probes {
        end.tell(ConnectionEvent::HealthCheckEnded {
            outcome: Outcome::Reset,
            report: Vec::new(),
        })
        .await;
    }
    let mut unsent = wire.writing;
    for command in wire.pending {
        match command {
            Command::Call(jobs) => unsent.extend(jobs),
            Command::Probe => {
                end.tell(ConnectionEvent::HealthCheckEnded {
                    outcome: Outcome::ConnectFailed,
                    report: Vec::new(),
                })
                .await
            }
            Command::Cancel(_) => {}
        }
    }
    end.close(unsent, unsent_as).await;
}

/// Takes all whole frames off the buffer and tells what they mean; how many bytes that took. An error: what came
/// can't be used, nor can what comes behind it.
async fn take(
    end: &ConnectionHandle,
    wire: &mut Wire,
    buffer: &mut Vec<u8>,
) -> Result<usize, String> {
    let mut used = 0;
    while let Some((frame, length)) = parse(&buffer[used..])? {
        used += length;
        match frame {
            Frame::Answer {
                id,
                end: word,
                score,
                report,
                value,
            } => {
                let Some((attempt, judge)) = wire.out.remove(id) else {
                    wire.answer_to_nobody(id)?;
                    if wire.spent {
                        end.spend();
                    }
                    end.tell(ConnectionEvent::CancelledAttemptAnswered).await;
                    continue;
                };
                wire.names.remove(&attempt);
                wire.answered.replace_range(.., id);
                let outcome = outcome(word);
                if outcome.is_none() || wire.out.is_empty() && buffer.len() > used {
                    end.spend();
                }
                let line = || format!("{id} {word} {score} {}", String::from_utf8_lossy(report));
                let usable = told(
                    end,
                    &judge,
                    "A",
                    Direction::Response,
                    value,
                    line,
                    answer_head,
                );
                let outcome = if usable {
                    outcome
                } else {
                    outcome.and(Some(Outcome::Error))
                };
                let value = (outcome == Some(Outcome::Ok)).then(|| Value::Plain(value.into()));
                end.ended(attempt, outcome.unwrap_or(Outcome::Error), value)
                    .await;
                if outcome.is_none() {
                    return Err(format!(
                        "an answer's end is unknown: {}",
                        word.escape_default()
                    ));
                }
            }
            Frame::Load(text) if wire.probes > 0 => {
                wire.probes -= 1;
                told(
                    end,
                    &end.contracts.current(),
                    "L",
                    Direction::Response,
                    text,
                    String::new,
                    no_head,
                );
                let outcome = if text == b"err" {
                    Outcome::Error
                } else {
                    Outcome::Ok
                };
                let report = report(&String::from_utf8_lossy(text), &end.report_names);
                end.tell(ConnectionEvent::HealthCheckEnded { outcome, report })
                    .await;
            }
            Frame::Ping | Frame::Load(_) => {
                return Err("a probe's answer that nobody asked for".into())
            }
            Frame::Complaint(text) => {
                told(
                    end,
                    &end.contracts.current(),
                    "E",
                    Direction::Response,
                    text.as_bytes(),
                    String::new,
                    no_head,
                );
                return Err(format!("it could not use a frame: {text}"));
            }
        }
    }
    buffer.drain(..used);
    if wire.spent && wire.out.is_empty() {
        return Err("an answer came twice".into());
    }
    Ok(used)
}
