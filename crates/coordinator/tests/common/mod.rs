//! Loopback stand-ins, written from the public pages of each wire: discovery, servers of both forms, clients of
//! both forms; and the program itself, started as a user would.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]

pub mod script;

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

pub const SHARDS: u32 = 8;
/// Cells, and servers in each.
pub const CELLS: u32 = 2;
pub const REPLICAS: usize = 2;

/// What a stand-in server does with a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Serve,
    /// Serves after so many milliseconds.
    Late(u64),
    Busy,
    Fail,
    /// Runs it, begins to answer and breaks the connection.
    Cut,
    /// Runs it, begins to answer as if all were well, and ends in an error (a frame `err` on frames).
    MidStreamError,
    /// Runs it and says nothing.
    Silent,
    /// Runs it and sends what can't be taken for its answer.
    Spoilt(Spoil),
    /// Serves, with more behind its answer than belongs to it, or a report that can't be read.
    More(More),
    /// Runs it and answers with this status, media type and body; on frames with the body as the value.
    Say(&'static str, &'static str, &'static str),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spoil {
    Id,
    End,
    Letter,
    Line,
    /// A line that doesn't end though the frame goes on.
    Endless,
    /// A length of 3 GB, and a value that keeps coming.
    Huge,
    /// A length that is too long for what comes.
    Half,
}

pub const SPOILT: [Spoil; 7] = [
    Spoil::Id,
    Spoil::End,
    Spoil::Letter,
    Spoil::Line,
    Spoil::Endless,
    Spoil::Huge,
    Spoil::Half,
];

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum More {
    Twice,
    Noise,
    Report,
}

impl Act {
    /// Whether the part runs. A busy server never begins it.
    fn runs(self) -> bool {
        self != Act::Busy
    }
}

/// One part as it reached a server.
#[derive(Clone, Debug)]
pub struct Seen {
    pub server: usize,
    pub text: String,
    pub shard: u32,
    pub act: Act,
    pub cancelled: Arc<AtomicBool>,
    pub at: std::time::Instant,
}

/// What all servers share: the plan, and what they saw.
pub struct Stage {
    /// By the query's marker, the shard, and how many attempts of that part came before.
    pub plan: Box<dyn Fn(u64, u32, usize) -> Act + Send + Sync>,
    /// What single servers do instead.
    pub switched: Mutex<BTreeMap<usize, Act>>,
    pub seen: Mutex<Vec<Seen>>,
    /// The text of every frame or request head that came, for the descriptions' tests.
    pub wire: Mutex<Vec<String>>,
}

impl Stage {
    pub fn new(plan: impl Fn(u64, u32, usize) -> Act + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Stage {
            plan: Box::new(plan),
            switched: Mutex::default(),
            seen: Mutex::default(),
            wire: Mutex::default(),
        })
    }

    fn arrive(&self, server: usize, text: &str, shard: u32) -> Seen {
        let mut seen = self.seen.lock().unwrap();
        let marker = marker(text);
        let before = seen
            .iter()
            .filter(|s| self::marker(&s.text) == marker && s.shard == shard)
            .count();
        let switched = self.switched.lock().unwrap().get(&server).copied();
        let act = switched.unwrap_or_else(|| (self.plan)(marker, shard, before));
        seen.push(Seen {
            server,
            text: text.into(),
            shard,
            act,
            cancelled: Arc::default(),
            at: std::time::Instant::now(),
        });
        seen.last().unwrap().clone()
    }

    /// How often each part of each query ran.
    pub fn runs(&self) -> BTreeMap<(u64, u32), usize> {
        let mut runs = BTreeMap::new();
        for seen in self
            .seen
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| seen.act.runs())
        {
            *runs.entry((marker(&seen.text), seen.shard)).or_default() += 1;
        }
        runs
    }
}

/// The number that a query's text carries between two tildes, whatever is around it.
pub fn marker(text: &str) -> u64 {
    text.split('~')
        .nth(1)
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

/// The value that a server gives for a part, frames or not.
pub fn value(text_marker: u64, shard: u32) -> String {
    format!("value {text_marker}/{shard} \"quoted\" \u{96ea}")
}

pub fn read_exact(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).ok()?;
    Some(bytes)
}

pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest);
    frame
}

/// Starts a server that speaks frames.
pub fn frame_server(number: usize, stage: Arc<Stage>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let stage = stage.clone();
            thread::spawn(move || frame_connection(stream, number, &stage));
        }
    });
    address
}

fn frame_connection(mut stream: TcpStream, number: usize, stage: &Arc<Stage>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut out: BTreeMap<String, Arc<AtomicBool>> = BTreeMap::new();
    loop {
        let length = u32::from_be_bytes(read_exact(&mut stream, 4)?.try_into().ok()?) as usize;
        let body = read_exact(&mut stream, length)?;
        let text = String::from_utf8(body[1..].to_vec()).unwrap();
        stage
            .wire
            .lock()
            .unwrap()
            .push(format!("{}{text}", body[0] as char));
        match body[0] {
            b'X' => {
                if let Some(cancelled) = out.get(&text) {
                    cancelled.store(true, Ordering::Relaxed);
                }
            }
            b'Q' => {
                let mut rest = text.as_str();
                while !rest.is_empty() {
                    let (line, after) = rest.split_once('\n').unwrap();
                    let words: Vec<&str> = line.split(' ').collect();
                    let length: usize = words[3].parse().unwrap();
                    let (query, more) = after.split_at(length);
                    rest = more;
                    let (id, shard) = (words[0].to_string(), words[1].parse().unwrap());
                    let seen = stage.arrive(number, query, shard);
                    out.insert(id.clone(), seen.cancelled.clone());
                    let writer = writer.clone();
                    thread::spawn(move || answer_frame(&writer, &id, &seen));
                }
            }
            _ => {
                writer
                    .lock()
                    .unwrap()
                    .write_all(&frame(body[0], b"-"))
                    .ok()?;
            }
        }
    }
}

fn answer_frame(writer: &Mutex<TcpStream>, id: &str, seen: &Seen) {
    let end = match seen.act {
        Act::Silent => return,
        Act::Late(millis) => {
            thread::sleep(Duration::from_millis(millis));
            "ok"
        }
        Act::Serve | Act::More(_) | Act::Spoilt(_) | Act::Say(..) => "ok",
        Act::Busy => "busy",
        Act::Fail | Act::MidStreamError => "err",
        Act::Cut => {
            let stream = writer.lock().unwrap();
            let _ = (&*stream).write_all(&[0, 0, 0, 90, b'A']);
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
    };
    let value = if let Act::Say(_, _, body) = seen.act {
        body.to_string()
    } else if end == "ok" {
        value(marker(&seen.text), seen.shard)
    } else {
        String::new()
    };
    let line = match seen.act {
        Act::Spoilt(Spoil::Id) => "other.1 ok 1 -\n".into(),
        Act::Spoilt(Spoil::End) => format!("{id} fine 1 -\n"),
        Act::Spoilt(Spoil::Line) => "\u{1}\n".into(),
        Act::Spoilt(Spoil::Endless) => "x".repeat(4000),
        _ => format!("{id} {end} 1 queue=1,latency_ms=9.5\n"),
    };
    let mut bytes = frame(b'A', format!("{line}{value}").as_bytes());
    match seen.act {
        Act::Spoilt(Spoil::Letter) => bytes[4] = b'Z',
        Act::Spoilt(Spoil::Huge) => bytes[..4].copy_from_slice(&3_000_000_000_u32.to_be_bytes()),
        // Nothing more comes, so only the length and the time tell.
        Act::Spoilt(Spoil::Endless) => bytes[2] += 1,
        Act::Spoilt(Spoil::Half) => bytes[3] += 1,
        Act::More(More::Twice) => bytes.extend_from_within(..),
        Act::More(More::Noise) => bytes.extend_from_slice(b"\0\0\0"),
        Act::More(More::Report) => {
            bytes = frame(b'A', &[line_with_noise(id), value.into_bytes()].concat())
        }
        _ => {}
    }
    let _ = writer.lock().unwrap().write_all(&bytes);
}

fn line_with_noise(id: &str) -> Vec<u8> {
    [id.as_bytes(), b" ok 1 \xff=\xfe ,,\n"].concat()
}

/// An HTTP message as a stand-in reads it: its first line, its fields, its body.
pub struct Message {
    pub line: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let mut fields = BTreeMap::new();
    loop {
        let mut field = String::new();
        reader.read_line(&mut field).ok().filter(|&n| n > 0)?;
        let Some((name, value)) = field.trim_end().split_once(':') else {
            break;
        };
        fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = fields
        .get("content-length")
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message {
        line: line.trim_end().to_string(),
        fields,
        body,
    })
}

/// Starts a server of the query API.
pub fn search_server(number: usize, stage: Arc<Stage>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let stage = stage.clone();
            thread::spawn(move || search_connection(stream, number, &stage));
        }
    });
    address
}

fn search_connection(stream: TcpStream, number: usize, stage: &Arc<Stage>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let message = read_message(&mut reader)?;
        stage.wire.lock().unwrap().push(message.line.clone());
        let shard = message
            .line
            .split("_shards:")
            .nth(1)?
            .split('&')
            .next()?
            .parse()
            .ok()?;
        let text = String::from_utf8(message.body).unwrap();
        let seen = stage.arrive(number, &text, shard);
        let source = json!({"doc": value(marker(&text), shard)});
        let hits = json!({"total": {"value": 1, "relation": "eq"}, "max_score": 1.5, "hits": [
            {"_index": "stock", "_id": shard.to_string(), "_score": 1.0 + f64::from(shard), "_source": source}]});
        let shards = json!({"total": 1, "successful": 1, "skipped": 0, "failed": 0});
        let whole =
            json!({"took": 3, "timed_out": false, "_shards": shards, "hits": hits}).to_string();
        let reply = |status: &str, body: &str| {
            let head =
                format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: ");
            format!("{head}{}\r\n\r\n{body}", body.len())
        };
        let chunked =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = |body: &str| format!("{:x}\r\n{body}\r\n", body.len());
        let text = match seen.act {
            Act::Say(status, kind, body) => {
                let head = format!("HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: ");
                format!("{head}{}\r\n\r\n{body}", body.len())
            }
            Act::Serve | Act::More(More::Report) => reply("200 OK", &whole),
            Act::More(More::Twice) => reply("200 OK", &whole).repeat(2),
            Act::More(More::Noise) => reply("200 OK", &whole) + "HTT",
            Act::Spoilt(Spoil::Id) => reply("200 OK", "{\"hits\":{\"hits\":3}}"),
            Act::Spoilt(Spoil::End) => reply("299 Fine", &whole),
            Act::Spoilt(Spoil::Letter) => reply("OK", &whole),
            Act::Spoilt(Spoil::Line) => "\u{1}\r\n\r\n".into(),
            Act::Spoilt(Spoil::Endless) => format!("HTTP/1.1 200 {}", "x".repeat(20_000)),
            Act::Spoilt(Spoil::Huge) => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{whole}")
            }
            Act::Spoilt(Spoil::Half) => {
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}",
                    whole.len() + 1
                )
            }
            Act::Late(millis) => {
                thread::sleep(Duration::from_millis(millis));
                let (a, b) = whole.split_at(whole.len() / 2);
                format!("{chunked}{}{}0\r\n\r\n", chunk(a), chunk(b))
            }
            Act::Busy => reply(
                "429 Too Many Requests",
                r#"{"error":{"type":"x"},"status":429}"#,
            ),
            Act::Fail => reply(
                "500 Internal Server Error",
                r#"{"error":{"type":"x"},"status":500}"#,
            ),
            // The head said 200 and hits had begun when the shard failed.
            Act::MidStreamError => {
                let end = r#""error":{"type":"search_phase_execution_exception"},"status":500}"#;
                let begun = format!("{{\"took\":3,\"timed_out\":false,\"hits\":{hits},");
                format!("{chunked}{}{}0\r\n\r\n", chunk(&begun), chunk(end))
            }
            Act::Cut => {
                stream
                    .write_all(format!("{chunked}{}", chunk(&whole[..9])).as_bytes())
                    .ok()?;
                return None;
            }
            Act::Silent => {
                // A client that closes its connection cancels its search.
                let mut byte = [0];
                let _ = reader.read(&mut byte);
                seen.cancelled.store(true, Ordering::Relaxed);
                return None;
            }
        };
        stream.write_all(text.as_bytes()).ok()?;
    }
}

/// The list and its version, and word of its changes.
type List = (Mutex<(u64, Vec<Value>)>, Condvar);

/// The agent of discovery: a list that can be changed, and watches that wait for it.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<List>,
    pub calls: Arc<Mutex<Vec<String>>>,
    /// Connections numbered below this are never answered any more; and how many there were.
    silent: Arc<(AtomicU64, AtomicU64)>,
}

impl Discovery {
    pub fn new(members: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new((1, members)), Condvar::new()));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let silent = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
        let (shared, heard, hushed) = (state.clone(), calls.clone(), silent.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = hushed.1.fetch_add(1, Ordering::SeqCst);
                let (shared, heard, hushed) = (shared.clone(), heard.clone(), hushed.clone());
                let sound = move || number >= hushed.0.load(Ordering::SeqCst);
                thread::spawn(move || Self::connection(stream, &shared, &heard, sound));
            }
        });
        Discovery {
            address,
            state,
            calls,
            silent,
        }
    }

    /// The lines of its list.
    pub fn members(&self) -> Vec<Value> {
        self.state.0.lock().unwrap().1.clone()
    }

    /// From now on no connection there is is answered, nor are so many further ones. All stay open.
    pub fn hush(&self, further: u64) {
        let made = self.silent.1.load(Ordering::SeqCst);
        self.silent.0.store(made + further, Ordering::SeqCst);
    }

    fn connection(
        mut stream: TcpStream,
        state: &List,
        calls: &Mutex<Vec<String>>,
        sound: impl Fn() -> bool,
    ) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let message = read_message(&mut reader)?;
            calls.lock().unwrap().push(message.line.clone());
            let number = |key: &str| -> Option<u64> {
                message
                    .line
                    .split(key)
                    .nth(1)?
                    .split(['&', ' '])
                    .next()?
                    .parse()
                    .ok()
            };
            let (lock, changed) = state;
            let mut list = lock.lock().unwrap();
            if let (Some(from), Some(hold)) = (number("from="), number("hold_ms=")) {
                let hold = Duration::from_millis(hold);
                list = changed
                    .wait_timeout_while(list, hold, |list| list.0 <= from)
                    .unwrap()
                    .0;
            }
            // Indented, as lists may come.
            let body = json!({"revision": list.0, "complete": true, "members": list.1});
            let body = serde_json::to_string_pretty(&body).unwrap();
            drop(list);
            if !sound() {
                // It stays open and says nothing, whatever else comes on it.
                while read_message(&mut reader).is_some() {}
                return None;
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        }
    }

    /// Replaces its list.
    pub fn set_members(&self, members: Vec<Value>) {
        let mut list = self.state.0.lock().unwrap();
        *list = (list.0 + 1, members);
        self.state.1.notify_all();
    }

    pub fn set_phase(&self, server: usize, phase: &str) {
        let mut list = self.state.0.lock().unwrap();
        list.0 += 1;
        list.1[server]["phase"] = json!(phase);
        self.state.1.notify_all();
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wire {
    Platform,
    OpenSearch,
}

/// Starts all servers; the list's lines for them.
pub fn members(servers: Wire, stage: &Arc<Stage>) -> Vec<Value> {
    let member = |number: usize| {
        let address = match servers {
            Wire::Platform => frame_server(number, stage.clone()),
            Wire::OpenSearch => search_server(number, stage.clone()),
        };
        json!({"id": format!("s-{number}"), "host_port": address.to_string(), "locality": "a",
            "flavor": "m", "cell": number as u32 % CELLS, "phase": "active", "size": 1.0, "up_since_ms": 0})
    };
    (0..CELLS as usize * REPLICAS).map(member).collect()
}

/// The program, running, with all that is around it.
pub struct Rig {
    pub child: Child,
    pub platform: SocketAddr,
    pub opensearch: SocketAddr,
    /// Where operators' calls are taken, with a door.
    pub admin: Option<SocketAddr>,
    pub discovery: Discovery,
    pub stage: Arc<Stage>,
    pub folder: std::path::PathBuf,
    /// What the program wrote to its log after its start.
    pub log: Mutex<Receiver<String>>,
}

/// What the platform gives beside the configuration.
#[derive(Clone, Copy, Default)]
pub struct Given<'a> {
    /// A door for operators, and a folder that all processes share.
    pub door: bool,
    /// The clients' listening socket, inherited as descriptor 5.
    pub socket: Option<&'a TcpListener>,
    /// How many descriptors the process may hold.
    pub descriptors: Option<usize>,
}

/// A program that has begun to listen.
pub struct Started {
    pub child: Child,
    platform: SocketAddr,
    opensearch: SocketAddr,
    admin: Option<SocketAddr>,
    log: Receiver<String>,
}

static RIGS: AtomicU64 = AtomicU64::new(0);

impl Rig {
    /// Starts the program before servers that speak `servers` and follow the stage's plan.
    pub fn start(servers: Wire, stage: Arc<Stage>, open_cap: usize) -> Rig {
        let members = members(servers, &stage);
        Self::start_with(servers, stage, open_cap, 1024, members)
    }

    pub fn start_with(
        servers: Wire,
        stage: Arc<Stage>,
        open_cap: usize,
        sockets: usize,
        members: Vec<Value>,
    ) -> Rig {
        Self::start_own(servers, stage, (open_cap, sockets), members, "", &[])
    }

    /// With what the platform gives on the days of operation.
    pub fn operated(stage: Arc<Stage>, given: Given) -> Rig {
        let members = members(Wire::Platform, &stage);
        Self::start_given(
            Wire::Platform,
            stage,
            (1000, 1024),
            members,
            "",
            &[],
            given,
            |_| (),
        )
    }

    /// With another configuration than the usual one, as another customer's.
    pub fn tuned(stage: Arc<Stage>, members: Vec<Value>, tune: impl FnOnce(&mut Value)) -> Rig {
        Self::start_given(
            Wire::Platform,
            stage,
            (1000, 1024),
            members,
            "",
            &[],
            Given::default(),
            tune,
        )
    }

    /// The same, within so many descriptors.
    pub fn confined(stage: Arc<Stage>, members: Vec<Value>, descriptors: usize) -> Rig {
        let given = Given {
            descriptors: Some(descriptors),
            ..Given::default()
        };
        Self::start_given(
            Wire::Platform,
            stage,
            (1000, descriptors),
            members,
            "",
            &[],
            given,
            |_| (),
        )
    }

    /// With more in the project's own file, and further files beside it.
    pub fn start_own(
        servers: Wire,
        stage: Arc<Stage>,
        (open_cap, sockets): (usize, usize),
        members: Vec<Value>,
        more: &str,
        files: &[(&str, &str)],
    ) -> Rig {
        let given = Given::default();
        Self::start_given(
            servers,
            stage,
            (open_cap, sockets),
            members,
            more,
            files,
            given,
            |_| (),
        )
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "all that a test may say of its surroundings"
    )]
    fn start_given(
        servers: Wire,
        stage: Arc<Stage>,
        (open_cap, sockets): (usize, usize),
        members: Vec<Value>,
        more: &str,
        files: &[(&str, &str)],
        given: Given,
        tune: impl FnOnce(&mut Value),
    ) -> Rig {
        let discovery = Discovery::new(members);
        let number = RIGS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("cairnroad-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let class = |name: &str, deadline: f64, effect: &str, value: f64| {
            json!({"name": name, "aimS": 1.0, "deadlineS": deadline, "effect": effect, "value": value,
                "lateShare": 0.3})
        };
        let settings = json!({
            "classes": [class("stock-search", 2.0, "idempotent", 3.0),
                class("pick-confirm", 2.5, "at_most_once", 1.0)],
            "groupSize": 1, "registryMode": "pushed", "tickS": 0.005,
            "report": {"how": "piggyback", "names": ["queue", "latency_ms"]},
            "extra": {"positions": CELLS, "span": 1, "shards": SHARDS, "partsACall": 8,
                "needByClass": [1.0, 1.0], "minShare": [0.8, 1.0], "partialEarns": [0.9, 0.9], "fetchParts": [0, 0]},
            "caps": {"attemptsCap": 3, "cancel": true, "secondCopies": true, "probes": true, "retryAfter": false,
                "maxRetryAfterS": 2.0, "openCap": open_cap, "dialTimeoutS": 0.25, "keepaliveS": 15.0,
                "streamsPerConn": 32},
            "safety": {"coldFrom": 0.23, "warmUpS": 16.0, "stopSendingWithinS": 0.25, "fallMultiple": 2.5,
                "fallS": 1.0}});
        let mut config = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings});
        tune(&mut config);
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let kind = if servers == Wire::Platform {
            "frames"
        } else {
            "opensearch"
        };
        let own = format!(
            "[opensearch]\nenabled = true\nlisten = \"127.0.0.1:0\"\n[backend]\nkind = \"{kind}\"\n{more}"
        );
        for (name, text) in files {
            std::fs::create_dir_all(folder.join(name).parent().unwrap()).unwrap();
            std::fs::write(folder.join(name), text).unwrap();
        }
        std::fs::write(folder.join("own.toml"), own).unwrap();
        let Started {
            child,
            platform,
            opensearch,
            admin,
            log,
        } = Self::launch(&folder, given);
        let log = Mutex::new(log);
        let rig = Rig {
            child,
            platform,
            opensearch,
            admin,
            discovery,
            stage,
            folder,
            log,
        };
        rig.wait_until_ready();
        rig
    }

    /// Starts the program and waits until it listens.
    fn launch(folder: &std::path::Path, given: Given) -> Started {
        let program = env!("CARGO_BIN_EXE_cairnroad");
        let mut command = Command::new(program);
        if let Some(socket) = given.socket {
            // A shell moves the socket from descriptor 0 to 5.
            command = Command::new("sh");
            command
                .args(["-c", "exec 5<&0 </dev/null; exec \"$0\"", program])
                .env("NODE_INHERITED_FD", "5");
            command.stdin(Stdio::from(std::os::fd::OwnedFd::from(
                socket.try_clone().unwrap(),
            )));
        }
        if let Some(most) = given.descriptors {
            command = Command::new("sh");
            command.args(["-c", &format!("ulimit -n {most}; exec \"$0\""), program]);
        }
        if given.door {
            command
                .env("NODE_ADMIN", "127.0.0.1:0")
                .env("TMPDIR", folder);
        }
        let mut child = command
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("CAIRNROAD_FILE", folder.join("own.toml"))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (lines, log) = channel();
        let errors = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                let _ = lines.send(line);
            }
        });
        // The program says where it listens; with port 0 nobody else knows.
        let mut bound = BTreeMap::new();
        while bound.len() < 2 + usize::from(given.door) {
            let line = log.recv().expect("the program ended at its start");
            let field = |name: &str| {
                let word = line.split(' ').find_map(|word| word.strip_prefix(name));
                word.map(|word| word.trim_matches('"').to_string())
            };
            if let Some(address) = field("address=")
                .filter(|_| line.contains("listening") || line.contains("admin API"))
            {
                bound.insert(
                    field("front=").unwrap_or("admin".into()),
                    address.parse().unwrap(),
                );
            }
        }
        let admin = bound.get("admin").copied();
        Started {
            child,
            platform: bound["platform"],
            opensearch: bound["opensearch"],
            admin,
            log,
        }
    }

    pub fn wait_until_ready(&self) {
        while self.call(self.platform, "GET /_health", &[], "").status != 200 {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts the program again, after its end.
    pub fn restart(&mut self) {
        self.child = self.beside(Given::default());
        self.wait_until_ready();
    }

    /// Starts the program again beside the running one, and turns to the newcomer.
    pub fn replace(&mut self, given: Given) -> Child {
        let newcomer = self.beside(given);
        std::mem::replace(&mut self.child, newcomer)
    }

    fn beside(&mut self, given: Given) -> Child {
        let Started {
            child,
            platform,
            opensearch,
            admin,
            log,
        } = Self::launch(&self.folder, given);
        (self.platform, self.opensearch, self.admin, self.log) =
            (platform, opensearch, admin, Mutex::new(log));
        child
    }

    /// An operator's call; its status.
    pub fn operate(&self, line: &str) -> u16 {
        self.call(self.admin.unwrap(), line, &[], "").status
    }

    /// One request on a connection of its own.
    pub fn call(
        &self,
        to: SocketAddr,
        line: &str,
        fields: &[(&str, &str)],
        body: &str,
    ) -> Response {
        call(to, line, fields, body)
    }

    pub fn api(&self, id: &str, class: &str, deadline: &str, shards: &[u32], q: &str) -> Response {
        let weight = 1.0 / shards.len() as f64;
        let shards: Vec<Value> = shards
            .iter()
            .map(|s| json!({"shard": s, "weight": weight}))
            .collect();
        let body = json!({"shards": shards, "q": q}).to_string();
        let fields = [
            ("X-Request-Id", id),
            ("X-Class", class),
            ("X-Deadline", deadline),
        ];
        self.call(self.platform, "POST /api", &fields, &body)
    }

    pub fn search(&self, target: &str, body: Value) -> Response {
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        self.call(self.opensearch, &format!("POST {target}"), &[], &body)
    }

    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Replaces the configuration's file and has the program reread it.
    pub fn reconfigure(&self, change: impl FnOnce(&mut Value)) {
        let path = self.folder.join("config.json");
        let mut config = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        change(&mut config);
        std::fs::write(&path, config.to_string()).unwrap();
        self.signal("HUP");
    }

    /// Waits for a line of the log that holds these words.
    pub fn wait_for_line(&self, words: &str) {
        let log = self.log.lock().unwrap();
        let end = std::time::Instant::now() + Duration::from_secs(20);
        // Other lines that keep coming must not put the end off.
        let left = || end.saturating_duration_since(std::time::Instant::now());
        while !log.recv_timeout(left()).expect(words).contains(words) {}
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits for something that has to come, for as long as any machine may need.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !done() {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "{what} did not come"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// A request of one part at shard 1, as its bytes.
pub fn one_part(id: &str, class: &str, deadline: f64, q: &str) -> String {
    let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": q}).to_string();
    let head =
        format!("POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: {deadline}\r\n");
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status();
    assert!(sent.unwrap().success());
}

pub struct Response {
    pub status: u16,
    pub fields: BTreeMap<String, String>,
    pub json: Value,
}

/// One request on a connection of its own. A connection that ends without an answer has status 0.
pub fn call(to: SocketAddr, line: &str, fields: &[(&str, &str)], body: &str) -> Response {
    let mut stream = TcpStream::connect(to).unwrap();
    let mut text = format!(
        "{line} HTTP/1.1\r\nHost: test\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("\r\n{body}"));
    stream.write_all(text.as_bytes()).unwrap();
    response(&mut BufReader::new(stream))
}

pub fn response(reader: &mut impl BufRead) -> Response {
    let Some(message) = read_message(reader) else {
        return Response {
            status: 0,
            fields: BTreeMap::new(),
            json: Value::Null,
        };
    };
    let status = message.line.split(' ').nth(1).unwrap().parse().unwrap();
    let json = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
    Response {
        status,
        fields: message.fields,
        json,
    }
}
