//! Stand-ins for the parties around a coordinator, written from the protocol pages: data nodes, the discovery agent,
//! clients, and the platform that starts the program with the command of the deploy file. Standard library only; all
//! addresses are on 127.0.0.1.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Notes events with their time for `record.txt`.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::new(Vec::new()) })
    }

    /// Seconds since the start of the test.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: String) {
        self.note_at(self.now(), text);
    }

    pub fn note_at(&self, at: f64, text: String) {
        self.lines.lock().unwrap().push((at, text));
    }

    pub fn write(&self, path: &Path, summary: &str) {
        let mut lines = self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::from(summary);
        text.push('\n');
        for (at, line) in lines.iter() {
            text.push_str(&format!("{at:9.3} {line}\n"));
        }
        std::fs::write(path, text).expect("record.txt can be written");
    }
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// A fixed sequence of numbers, so that each run sends the same requests.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Draw {
        Draw(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// From 0 to below 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

// ---- data nodes ------------------------------------------------------------------------------------------------

/// A part as a data node received it.
#[derive(Clone, Debug)]
pub struct PartIn {
    /// Arrival of the call's first byte and of its last.
    pub first_byte: f64,
    pub at: f64,
    pub id: String,
    pub shard: u32,
    /// The list of the part's line, such as `d=240,k=...`.
    pub list: String,
}

impl PartIn {
    /// The value of a key of the list.
    pub fn entry(&self, key: &str) -> Option<&str> {
        self.list.split(',').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    }

    /// The request's id: the part's id without the shard.
    pub fn request(&self) -> &str {
        self.id.rsplit_once('.').map_or(&self.id, |(request, _)| request)
    }
}

type Hook = Box<dyn Fn(&Node, &PartIn) + Send + Sync>;

/// A data node: takes frames, works on each part for a fixed time, answers `ok` with a value of its own.
pub struct Node {
    pub id: String,
    pub cell: u32,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub record: Arc<Record>,
    work: f64,
    /// The work's factor in hundredths: 100 as usual.
    factor: AtomicU64,
    /// Called when a part arrives, and when its work is done.
    on_arrival: Hook,
    on_done: Hook,
    report: &'static str,
    /// By how many bytes the length of the answer to a part is too short; 0 for a sound answer.
    pub spoil: Mutex<Box<dyn Fn(&PartIn) -> usize + Send>>,
}

/// The writing half of a connection, and whether a spoilt answer has made it useless.
struct Writer {
    stream: TcpStream,
    useless: bool,
}

impl Writer {
    fn send(&mut self, frame: &[u8]) {
        if !self.useless {
            let _ = self.stream.write_all(frame);
        }
    }
}

impl Node {
    pub fn start(
        record: &Arc<Record>,
        number: usize,
        cell: u32,
        zone: &'static str,
        work: f64,
        report: &'static str,
        on_arrival: Hook,
        on_done: Hook,
    ) -> Arc<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let node = Arc::new(Node {
            id: format!("s-{number:08x}"),
            cell,
            zone,
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            work,
            factor: AtomicU64::new(100),
            on_arrival,
            on_done,
            report,
            spoil: Mutex::new(Box::new(|_| 0)),
        });
        let served = node.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = served.clone();
                std::thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    /// From now on, work takes so many times as long.
    pub fn set_factor(&self, factor: f64) {
        self.factor.store((factor * 100.0) as u64, Ordering::SeqCst);
    }

    fn serve(self: Arc<Node>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream_out = stream.try_clone().expect("a descriptor");
        let writer = Arc::new(Mutex::new(Writer { stream: stream_out, useless: false }));
        let cancelled: Arc<Mutex<HashSet<String>>> = Arc::default();
        let mut length = [0; 4];
        loop {
            if stream.read_exact(&mut length[..1]).is_err() {
                return;
            }
            let first_byte = self.record.now();
            if stream.read_exact(&mut length[1..]).is_err() {
                return;
            }
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            if stream.read_exact(&mut frame).is_err() {
                return;
            }
            let at = self.record.now();
            match frame.first() {
                Some(b'Q') => {
                    for part in parse_call(&frame[1..], first_byte, at) {
                        let node = self.clone();
                        let writer = writer.clone();
                        let cancelled = cancelled.clone();
                        (self.on_arrival)(&self, &part);
                        std::thread::spawn(move || node.work_on(part, &writer, &cancelled));
                    }
                }
                Some(b'X') => {
                    let id = String::from_utf8_lossy(&frame[1..]).into_owned();
                    self.record.note_at(at, format!("{} given up {id}", self.id));
                    cancelled.lock().unwrap().insert(id);
                }
                Some(b'L') => {
                    writer.lock().unwrap().send(&frame_of(format!("L{}", self.report)));
                }
                Some(b'P') => {
                    writer.lock().unwrap().send(&frame_of("Pok".into()));
                }
                _ => return,
            }
        }
    }

    /// Running work goes on when it is given up, but is not answered then.
    fn work_on(&self, part: PartIn, writer: &Mutex<Writer>, cancelled: &Mutex<HashSet<String>>) {
        sleep(self.work * self.factor.load(Ordering::SeqCst) as f64 / 100.0);
        (self.on_done)(self, &part);
        if cancelled.lock().unwrap().contains(&part.id) {
            return;
        }
        let mut frame = frame_of(format!("A{} ok 1 {}\n{}", part.id, self.report, value_of(&part.id)));
        let short = (self.spoil.lock().unwrap())(&part);
        if short > 0 {
            let length = (frame.len() - 4 - short) as u32;
            frame[..4].copy_from_slice(&length.to_be_bytes());
            self.record.note(format!("{} answers {} spoilt: the length is {short} bytes too short", self.id, part.id));
        }
        let mut writer = writer.lock().unwrap();
        writer.send(&frame);
        writer.useless |= short > 0;
    }

    fn member(&self, phase: &str) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"std-2core\",\"cell\":{},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}",
            self.id, self.address, self.zone, self.cell
        )
    }
}

/// The value of a part: 16 hexadecimal digits that follow from its id.
pub fn value_of(id: &str) -> String {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    format!("{hash:016x}")
}

fn frame_of(body: String) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body.as_bytes());
    frame
}

fn parse_call(mut rest: &[u8], first_byte: f64, at: f64) -> Vec<PartIn> {
    let mut parts = Vec::new();
    while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else { break };
        let (Ok(shard), Ok(length)) = (shard.parse(), length.parse::<usize>()) else { break };
        parts.push(PartIn { first_byte, at, id: id.into(), shard, list: list.into() });
        rest = rest.get(end + 1 + length..).unwrap_or_default();
    }
    parts
}

// ---- discovery -------------------------------------------------------------------------------------------------

struct ListState {
    revision: u64,
    phases: BTreeMap<String, &'static str>,
    /// Revisions and the ids that changed with them.
    changes: Vec<(u64, String)>,
}

/// The discovery agent on the coordinator's machine.
pub struct Agent {
    pub address: SocketAddr,
    nodes: Vec<Arc<Node>>,
    record: Arc<Record>,
    state: Mutex<ListState>,
    /// While discovery is down, calls stay open and are not answered.
    down: AtomicBool,
    /// Number of calls that the coordinator gave up while discovery was down.
    given_up: AtomicU64,
}

impl Agent {
    pub fn start(record: &Arc<Record>, nodes: &[Arc<Node>]) -> Arc<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let agent = Arc::new(Agent {
            address: listener.local_addr().unwrap(),
            nodes: nodes.to_vec(),
            record: record.clone(),
            state: Mutex::new(ListState { revision: 41, phases: BTreeMap::new(), changes: Vec::new() }),
            down: AtomicBool::new(false),
            given_up: AtomicU64::new(0),
        });
        let served = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = served.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    /// Takes a change of a data node in. While discovery is up, it counts as told from here on.
    pub fn change(&self, node: &Node, phase: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.phases.insert(node.id.clone(), phase);
        state.changes.push((revision, node.id.clone()));
        self.record.note(format!("discovery: {} is {phase}, revision {revision}", node.id));
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.record.note(format!("discovery: {}", if down { "down, the agent is silent" } else { "back" }));
    }

    pub fn given_up(&self) -> u64 {
        self.given_up.load(Ordering::SeqCst)
    }

    /// The whole list, also for `known`.
    pub fn whole_list(&self) -> String {
        let state = self.state.lock().unwrap();
        let members: Vec<String> = self.nodes.iter().map(|node| self.member(node, &state)).collect();
        format!("{{\"revision\":{},\"complete\":true,\"members\":[{}]}}", state.revision, members.join(","))
    }

    fn member(&self, node: &Node, state: &ListState) -> String {
        node.member(state.phases.get(&node.id).copied().unwrap_or("active"))
    }

    fn changes_since(&self, from: u64) -> String {
        let state = self.state.lock().unwrap();
        let changed: HashSet<&String> = state.changes.iter().filter(|(revision, _)| *revision > from).map(|(_, id)| id).collect();
        let members: Vec<String> =
            self.nodes.iter().filter(|node| changed.contains(&node.id)).map(|node| self.member(node, &state)).collect();
        format!("{{\"revision\":{},\"complete\":false,\"members\":[{}]}}", state.revision, members.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let Some(end) = find(&buffer, b"\r\n\r\n") else {
                let mut chunk = [0; 4096];
                match stream.read(&mut chunk) {
                    Ok(bytes) if bytes > 0 => buffer.extend_from_slice(&chunk[..bytes]),
                    _ => return,
                }
                continue;
            };
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let target = head.split(' ').nth(1).unwrap_or("").to_string();
            let number = |key: &str| -> Option<u64> {
                target.split(['?', '&']).find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
            };
            let from = number("from");
            let hold = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0));
            let _ = stream.set_nonblocking(true);
            loop {
                let down = self.down.load(Ordering::SeqCst);
                let revision = self.state.lock().unwrap().revision;
                let waits = from.is_some_and(|from| revision <= from) && Instant::now() < hold;
                if !down && !waits {
                    break;
                }
                if matches!(stream.peek(&mut [0]), Ok(0)) {
                    self.given_up.fetch_add(u64::from(down), Ordering::SeqCst);
                    return;
                }
                sleep(0.002);
            }
            let _ = stream.set_nonblocking(false);
            let body = from.map_or_else(|| self.whole_list(), |from| self.changes_since(from));
            self.record.note(format!("discovery: answers {target}"));
            let reply = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

// ---- the platform ----------------------------------------------------------------------------------------------

/// The coordinator as a process of its own, started with `run` of the deploy file. It is killed when dropped.
pub struct Coordinator {
    pub address: SocketAddr,
    pub folder: PathBuf,
    child: Mutex<Child>,
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

impl Coordinator {
    /// Starts the program and waits until it is ready. An error means that the case couldn't run.
    pub fn start(root: &Path, agent: &Agent, memory_mb: u64, sockets: u64, settings: &str) -> Result<Arc<Coordinator>, String> {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|error| error.to_string())?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next())
            .ok_or("no 'run' in the deploy file")?;
        let folder = std::env::temp_dir().join(format!("cairnroad-review-{}", std::process::id()));
        let private = folder.join("tmp");
        std::fs::create_dir_all(&private).map_err(|error| error.to_string())?;
        let address = free_address();
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"known\":{},\"settings\":{settings}}}",
            agent.address,
            agent.whole_list()
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(folder.join("log")).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", agent.address.to_string())
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        let coordinator = Arc::new(Coordinator { address, folder, child: Mutex::new(child) });
        for _ in 0..300 {
            let status = get_health(address);
            if status == Some(200) {
                return Ok(coordinator);
            }
            sleep(0.1);
        }
        Err("the coordinator is not ready after 30 s".into())
    }

    /// The resident memory in megabytes; `None` once the process has ended.
    pub fn memory_mb(&self) -> Option<f64> {
        let id = self.child.lock().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kilobytes| kilobytes / 1024.0)
    }

    pub fn kill(&self) {
        let _ = self.child.lock().unwrap().kill();
    }

    /// How the process ended; `None` while it runs.
    pub fn ended(&self) -> Option<String> {
        let status = self.child.lock().unwrap().try_wait().ok().flatten()?;
        Some(match status.signal() {
            Some(signal) => format!("by signal {signal}"),
            None => format!("with exit code {:?}", status.code()),
        })
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn get_health(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n").ok()?;
    read_response(&mut stream).ok().map(|(status, _, _)| status)
}

// ---- clients ---------------------------------------------------------------------------------------------------

/// A request of a usual client.
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub shards: Vec<u32>,
    pub deadline: f64,
    pub key: Option<String>,
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Ended {
    pub id: String,
    pub class: &'static str,
    /// When the request's last byte was written.
    pub sent: f64,
    pub deadline: f64,
    /// When the answer's last byte was read, and its status; or why there is none.
    pub at: f64,
    pub answer: Result<(u16, String), String>,
}

/// Usual clients: one request at a time on a connection; connections are kept, and more are opened when all are busy.
pub struct Clients {
    address: SocketAddr,
    record: Arc<Record>,
    idle: Mutex<Vec<TcpStream>>,
    pub ended: Mutex<Vec<Ended>>,
}

/// How much longer than its deadline a client of this test waits, so that late answers are seen.
const WAITS_ON: f64 = 3.0;

impl Clients {
    pub fn new(record: &Arc<Record>, address: SocketAddr) -> Arc<Clients> {
        Arc::new(Clients { address, record: record.clone(), idle: Mutex::default(), ended: Mutex::default() })
    }

    /// Sends a request from a thread of its own.
    pub fn ask(self: &Arc<Clients>, request: Request) -> std::thread::JoinHandle<()> {
        let clients = self.clone();
        std::thread::spawn(move || {
            let kept = clients.idle.lock().unwrap().pop();
            let mut ended = clients.exchange(&request, kept);
            // A kept connection that the coordinator closed before it read the request: once more on a new one.
            if ended.as_ref().is_err_and(|(was_kept, _)| *was_kept) {
                ended = clients.exchange(&request, None);
            }
            let ended = ended.unwrap_or_else(|(_, ended)| ended);
            let told = match &ended.answer {
                Ok((status, _)) => format!("{status}"),
                Err(cause) => format!("no answer: {cause}"),
            };
            clients.record.note_at(
                ended.at,
                format!("client: {} {} deadline {:.3}: {told} after {:.3} s", ended.id, ended.class, ended.deadline, ended.at - ended.sent),
            );
            clients.ended.lock().unwrap().push(ended);
        })
    }

    /// An error names whether the connection was a kept one that was closed with nothing answered.
    fn exchange(&self, request: &Request, kept: Option<TcpStream>) -> Result<Ended, (bool, Ended)> {
        let was_kept = kept.is_some();
        let mut ended = Ended {
            id: request.id.clone(),
            class: request.class,
            sent: self.record.now(),
            deadline: request.deadline,
            at: 0.0,
            answer: Err("not connected".into()),
        };
        let connected = kept.map_or_else(|| TcpStream::connect_timeout(&self.address, Duration::from_secs(3)), Ok);
        let mut stream = match connected {
            Ok(stream) => stream,
            Err(error) => {
                ended.at = self.record.now();
                ended.answer = Err(error.to_string());
                return Err((false, ended));
            }
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(request.deadline + WAITS_ON)));
        let weight = 1.0 / request.shards.len() as f64;
        let shards: Vec<String> =
            request.shards.iter().map(|shard| format!("{{\"shard\":{shard},\"weight\":{weight:.6}}}")).collect();
        let body = format!("{{\"shards\":[{}],\"q\":\"c41e77d0\"}}", shards.join(","));
        let key = request.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let message = format!(
            "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Deadline: {:.3}\r\n{key}Content-Length: {}\r\n\r\n{body}",
            request.id,
            request.class,
            request.deadline,
            body.len()
        );
        let written = stream.write_all(message.as_bytes());
        ended.sent = self.record.now();
        self.record.note_at(ended.sent, format!("client: sends {} {} for shards {:?}", request.id, request.class, request.shards));
        let read = written.map_err(|error| error.to_string()).and_then(|()| read_response(&mut stream));
        ended.at = self.record.now();
        match read {
            Ok((status, close, body)) => {
                ended.answer = Ok((status, body));
                if !close {
                    self.idle.lock().unwrap().push(stream);
                }
                Ok(ended)
            }
            Err(cause) => {
                let closed = cause != "time-out";
                ended.answer = Err(cause);
                Err((was_kept && closed, ended))
            }
        }
    }
}

/// Reads a response with a length: its status, whether the connection ends, and its body.
pub fn read_response(stream: &mut TcpStream) -> Result<(u16, bool, String), String> {
    let mut buffer = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = find(&buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
            let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or("no status")?;
            let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
            let length: usize = field("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                return Ok((status, field("connection:") == Some("close"), body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err("closed".into()),
            Ok(bytes) => buffer.extend_from_slice(&chunk[..bytes]),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                return Err("time-out".into())
            }
            Err(error) => return Err(error.to_string()),
        }
    }
}

// ---- a case ----------------------------------------------------------------------------------------------------

/// The verdict of a run.
pub struct Verdict {
    /// Whether the rule was broken.
    pub broken: bool,
    pub summary: String,
}

/// Runs a case: `root` and the case's folder are the arguments; `TROUBLE=0` leaves the disruption out. Exits with 1 if
/// the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn main_of(play: impl Fn(&Arc<Record>, &Path, bool) -> Result<Verdict, String>) {
    let arguments: Vec<String> = std::env::args().collect();
    let (root, folder) = (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    // A panic of the test drops, and so ends, what was started; the case couldn't run then.
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&record, &root, trouble)));
    let (code, summary) = match played.unwrap_or_else(|_| Err("the test panicked".into())) {
        Ok(verdict) => (i32::from(verdict.broken), verdict.summary),
        Err(cause) => (2, format!("the case couldn't run: {cause}")),
    };
    record.write(&folder.join("record.txt"), &format!("TROUBLE={} exit {code}\n{summary}", u8::from(trouble)));
    println!("{summary}");
    std::process::exit(code);
}
