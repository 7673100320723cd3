//! What the cases share: the record, the settings of a small deployment, stand-ins for data nodes, discovery and
//! clients, and the coordinator as a process. Only the standard library is used, and only loopback addresses.

use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// The record of a run. Times are seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(self.now(), text);
    }

    pub fn line_at(&self, at: f64, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
    }
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// A folder for the files of a run, removed at its end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> std::io::Result<TempFolder> {
        let path = std::env::temp_dir().join(format!("cairnroad-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Settings

pub const CELLS: u32 = 6;
pub const SHARDS: u32 = 24;
pub const NODES: usize = 12;
/// Time after a drain is told within which new work may still be sent, in seconds.
pub const DRAIN_GRACE: f64 = 0.25;
/// What every time limit is longer by on sockets, in seconds.
pub const SOCKET_SLACK: f64 = 0.05;

/// The settings of the deployment: two classes, 24 shards in six cells.
pub fn settings() -> String {
    let classes = r#"[
      {"name":"stock-search","aimS":1.0,"deadlineS":2.0,"effect":"idempotent","group":"all","dedupWindowS":5.0,"lateShare":0.3,"stream":false,"value":3.0},
      {"name":"pick-confirm","aimS":1.0,"deadlineS":2.5,"effect":"at_most_once","group":"all","dedupWindowS":5.0,"lateShare":0.3,"stream":false,"value":1.0}]"#;
    format!(
        r#"{{"accounts":[],"classes":{classes},"clients":{{"marksRetry":true}},"domainType":"fanout",
      "caps":{{"attemptsCap":3,"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutS":0.25,"keepaliveS":15.0,"maxRetryAfterS":2.0,"openCap":183,"peerMessages":false,"probes":true,"retryAfter":false,"secondCopies":true,"streamsPerConn":32}},
      "extra":{{"callCostS":0.038,"fetchParts":[0,0],"minShare":[0.8,1.0],"needByClass":[1.0,1.0],"partialEarns":[0.9,0.9],"partsACall":8,"positions":{CELLS},"shards":{SHARDS},"span":1,"warmKeys":false}},
      "groupSize":3,"kinds":["std-2core"],"locality":1,"rank":0,"registryMode":"pushed",
      "report":{{"how":"piggyback","names":["queue","latency_ms"]}},
      "safety":{{"answerSlackS":0.02,"coldFrom":0.23,"fallMultiple":2.5,"fallS":1.0,"mustAskInS":10.0,"stopSendingWithinS":{DRAIN_GRACE},"warmUpS":16.0}},
      "tickS":0.005,"tier":0,"tiers":["stock-nodes"],"weights":"silent","worthBy":"request","zones":["kita-room","higashi-room","minami-room"]}}"#
    )
}

// ---------------------------------------------------------------------------------------------------------------------
// Data nodes

/// What a data node does with a part.
#[derive(Clone, Copy, PartialEq)]
pub enum Mood {
    /// It works on it and answers.
    Well,
    /// It takes it and answers nothing.
    Silent,
}

/// A part as it arrived at a data node.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub shard: u32,
    pub wait_ms: u64,
}

struct Job {
    id: String,
    shard: u32,
    text: String,
    seconds: f64,
    connection: Arc<Mutex<TcpStream>>,
    cancelled: Arc<AtomicBool>,
}

/// A data node with two cores and a waiting room.
pub struct Node {
    pub index: usize,
    pub name: String,
    pub cell: u32,
    pub address: SocketAddr,
    pub mood: Mutex<Mood>,
    /// Whether it writes each answer in two pieces, with a pause between them.
    pub in_pieces: AtomicBool,
    /// Every so many answers state a length that is too short; 0 for none.
    pub short_every: AtomicU64,
    answers: AtomicU64,
    work_ms: f64,
    call_ms: f64,
    jobs: Mutex<VecDeque<Job>>,
    has_job: Condvar,
    record: Record,
    pub arrivals: Mutex<Vec<Arrival>>,
}

impl Node {
    /// Starts a data node. A part takes `work_ms`, a call `call_ms` more.
    pub fn start(record: &Record, index: usize, work_ms: f64, call_ms: f64) -> std::io::Result<Arc<Node>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let node = Arc::new(Node {
            index,
            name: format!("s-{index:02}"),
            cell: index as u32 % CELLS,
            address: listener.local_addr()?,
            mood: Mutex::new(Mood::Well),
            in_pieces: AtomicBool::new(false),
            short_every: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            work_ms,
            call_ms,
            jobs: Mutex::default(),
            has_job: Condvar::new(),
            record: record.clone(),
            arrivals: Mutex::default(),
        });
        for _core in 0..2 {
            let node = node.clone();
            std::thread::spawn(move || node.work());
        }
        let accepting = node.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = accepting.clone();
                std::thread::spawn(move || node.serve(stream));
            }
        });
        Ok(node)
    }

    /// Reads the frames of one connection.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let mut open: HashMap<String, Arc<AtomicBool>> = HashMap::new();
        loop {
            let mut length = [0; 4];
            if stream.read_exact(&mut length).is_err() {
                return;
            }
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            if frame.is_empty() || stream.read_exact(&mut frame).is_err() {
                return;
            }
            match frame[0] {
                b'Q' => self.take_call(&frame[1..], &writer, &mut open),
                b'X' => {
                    let id = String::from_utf8_lossy(&frame[1..]).into_owned();
                    self.record.line(&format!("node {} cancel {id}", self.name));
                    if let Some(cancelled) = open.remove(&id) {
                        cancelled.store(true, Ordering::SeqCst);
                    }
                }
                b'L' => {
                    if *self.mood.lock().unwrap() == Mood::Well {
                        let _ = write_frame(&writer, format!("L{}", self.report()).as_bytes());
                    }
                }
                b'P' => {
                    let _ = write_frame(&writer, b"Pok");
                }
                _ => {
                    let _ = write_frame(&writer, b"Eunknown letter");
                    return;
                }
            }
        }
    }

    fn take_call(&self, mut rest: &[u8], writer: &Arc<Mutex<TcpStream>>, open: &mut HashMap<String, Arc<AtomicBool>>) {
        let at = self.record.now();
        let mut is_first = true;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            let length: usize = words[3].parse().unwrap();
            let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).into_owned();
            rest = &rest[end + 1 + length..];
            let wait = words[2].split(',').find_map(|entry| entry.strip_prefix("d="));
            let arrival = Arrival {
                at,
                id: words[0].to_string(),
                shard: words[1].parse().unwrap(),
                wait_ms: wait.and_then(|ms| ms.parse().ok()).unwrap_or(0),
            };
            self.record.line_at(at, &format!("node {} got {} shard {} d={}", self.name, arrival.id, arrival.shard, arrival.wait_ms));
            self.arrivals.lock().unwrap().push(arrival.clone());
            if *self.mood.lock().unwrap() == Mood::Silent {
                continue;
            }
            let cancelled = Arc::new(AtomicBool::new(false));
            open.insert(arrival.id.clone(), cancelled.clone());
            let call_ms = if is_first { self.call_ms } else { 0.0 };
            is_first = false;
            let job = Job {
                id: arrival.id,
                shard: arrival.shard,
                text,
                seconds: (self.work_ms + call_ms) / 1000.0,
                connection: writer.clone(),
                cancelled,
            };
            self.jobs.lock().unwrap().push_back(job);
            self.has_job.notify_one();
        }
    }

    /// One core: takes waiting parts in order and answers them.
    fn work(&self) {
        loop {
            let mut jobs = self.jobs.lock().unwrap();
            let job = loop {
                match jobs.pop_front() {
                    Some(job) => break job,
                    None => jobs = self.has_job.wait(jobs).unwrap(),
                }
            };
            drop(jobs);
            if job.cancelled.load(Ordering::SeqCst) {
                continue;
            }
            sleep(job.seconds);
            if job.cancelled.load(Ordering::SeqCst) || *self.mood.lock().unwrap() == Mood::Silent {
                continue;
            }
            let value = value_of(job.shard, &job.text);
            let frame = format!("A{} ok 1 {}\n{value}", job.id, self.report());
            let every = self.short_every.load(Ordering::SeqCst);
            let is_short = every > 0 && self.answers.fetch_add(1, Ordering::SeqCst) % every == every - 1;
            let written = if self.in_pieces.load(Ordering::SeqCst) {
                write_in_pieces(&job.connection, frame.as_bytes(), is_short)
            } else {
                write_frame(&job.connection, frame.as_bytes())
            };
            if written.is_ok() {
                let how = if is_short { "with a length that is too short" } else { "ok" };
                self.record.line(&format!("node {} ran {}, answered {how}, value {value}", self.name, job.id));
            }
        }
    }

    fn report(&self) -> String {
        format!("queue={},latency_ms={}", self.jobs.lock().unwrap().len(), self.work_ms)
    }
}

fn write_frame(connection: &Mutex<TcpStream>, body: &[u8]) -> std::io::Result<()> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    connection.lock().unwrap().write_all(&frame)
}

/// Number of bytes of the second piece of an answer.
const SECOND_PIECE: usize = 8;

/// Writes a frame in two pieces. The length of a spoilt one covers the first piece only.
fn write_in_pieces(connection: &Mutex<TcpStream>, body: &[u8], is_short: bool) -> std::io::Result<()> {
    let first = body.len() - SECOND_PIECE;
    let length = if is_short { first } else { body.len() };
    let mut frame = (length as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&body[..first]);
    let mut connection = connection.lock().unwrap();
    connection.write_all(&frame)?;
    sleep(0.03);
    connection.write_all(&body[first..])
}

/// The value that every holder of a shard gives for a text.
pub fn value_of(shard: u32, text: &str) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325u64 ^ u64::from(shard);
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    format!("{hash:016x}")
}

pub fn start_nodes(record: &Record, count: usize, work_ms: f64, call_ms: f64) -> std::io::Result<Vec<Arc<Node>>> {
    (0..count).map(|index| Node::start(record, index, work_ms, call_ms)).collect()
}

// ---------------------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
struct Member {
    name: String,
    address: SocketAddr,
    cell: u32,
    phase: &'static str,
}

impl Member {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"kita-room","flavor":"std-2core","cell":{},"phase":"{}","size":1.0,"up_since_ms":0}}"#,
            self.name, self.address, self.cell, self.phase
        )
    }
}

#[derive(Default)]
struct Listing {
    revision: u64,
    members: Vec<Member>,
    /// Each change with its revision.
    changes: Vec<(u64, Member)>,
}

/// The agent of discovery.
pub struct Agent {
    pub address: SocketAddr,
    listing: Mutex<Listing>,
    changed: Condvar,
    /// How long each answer takes from the moment at which it is due, in milliseconds.
    pub delay_ms: AtomicU64,
    record: Record,
}

impl Agent {
    pub fn start(record: &Record, nodes: &[Arc<Node>]) -> std::io::Result<Arc<Agent>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let members = nodes.iter().map(|node| Member { name: node.name.clone(), address: node.address, cell: node.cell, phase: "active" });
        let agent = Arc::new(Agent {
            address: listener.local_addr()?,
            listing: Mutex::new(Listing { revision: 41, members: members.collect(), changes: Vec::new() }),
            changed: Condvar::new(),
            delay_ms: AtomicU64::new(0),
            record: record.clone(),
        });
        let accepting = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = accepting.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        Ok(agent)
    }

    /// The whole list as JSON.
    pub fn whole(&self) -> String {
        let listing = self.listing.lock().unwrap();
        let members: Vec<String> = listing.members.iter().map(Member::json).collect();
        format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, listing.revision, members.join(","))
    }

    /// Puts a node into another phase. Returns the time from which the agent has the change.
    pub fn set_phase(&self, node: &Node, phase: &'static str) -> f64 {
        let mut listing = self.listing.lock().unwrap();
        listing.revision += 1;
        let revision = listing.revision;
        let member = listing.members.iter_mut().find(|member| member.name == node.name).unwrap();
        member.phase = phase;
        let change = member.clone();
        listing.changes.push((revision, change));
        let at = self.record.now();
        self.record.line_at(at, &format!("agent has: {} is {phase}, revision {revision}", node.name));
        self.changed.notify_all();
        at
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        loop {
            let head = loop {
                if let Some(end) = find(&input, b"\r\n\r\n") {
                    let head = String::from_utf8_lossy(&input[..end]).into_owned();
                    input.drain(..end + 4);
                    break head;
                }
                let mut chunk = [0; 4096];
                match stream.read(&mut chunk) {
                    Ok(count) if count > 0 => input.extend_from_slice(&chunk[..count]),
                    _ => return,
                }
            };
            let target = head.split(' ').nth(1).unwrap_or("").to_string();
            self.record.line(&format!("agent asked {target}"));
            let body = self.answer(&target);
            sleep(self.delay_ms.load(Ordering::SeqCst) as f64 / 1000.0);
            let message = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let written = stream.write_all(message.as_bytes()).is_ok();
            let shown: String = body.chars().take(60).collect();
            self.record.line(&format!("agent answered {target}: {shown} ({})", if written { "written" } else { "connection gone" }));
            if !written {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> String {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok());
        let Some(from) = number("from") else { return self.whole() };
        let until = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0).min(60_000));
        let mut listing = self.listing.lock().unwrap();
        while listing.revision <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            listing = self.changed.wait_timeout(listing, left).unwrap().0;
        }
        let changes: Vec<String> = listing.changes.iter().filter(|(revision, _)| *revision > from).map(|(_, member)| member.json()).collect();
        format!(r#"{{"revision":{},"complete":false,"members":[{}]}}"#, listing.revision, changes.join(","))
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

// ---------------------------------------------------------------------------------------------------------------------
// The coordinator

/// A coordinator, started with the command `run` of the deploy file.
pub struct Coordinator {
    child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
    record: Record,
}

/// The process id of the coordinator that runs; 0 if none does.
static COORDINATOR: AtomicU32 = AtomicU32::new(0);

/// Ends the run, and the coordinator, if it takes longer than `seconds`.
pub fn limit_run(record: &Record, seconds: f64) {
    let record = record.clone();
    std::thread::spawn(move || {
        sleep(seconds);
        let id = COORDINATOR.load(Ordering::SeqCst);
        if id != 0 {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -9 {id}")).status();
        }
        record.line(&format!("could not run: not over within {seconds} s"));
        std::process::exit(2);
    });
}

/// What a coordinator is started with.
pub struct Setup<'a> {
    pub folder: &'a Path,
    /// Discovery's address, unless the list is in files.
    pub agent: Option<SocketAddr>,
    /// The list that it knows at its start, or an empty text.
    pub known: String,
    /// The project's own file.
    pub project_file: String,
    /// Descriptors that it is granted.
    pub sockets: usize,
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns the command under a key of the deploy file.
fn deploy_command(key: &str) -> std::io::Result<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    let quoted = line.and_then(|rest| rest.split('"').nth(1));
    quoted.map(str::to_string).ok_or_else(|| std::io::Error::other(format!("the deploy file has no {key}")))
}

impl Coordinator {
    pub fn start(record: &Record, setup: &Setup) -> std::io::Result<Coordinator> {
        let address = free_address()?;
        let config = setup.folder.join("config.json");
        let own = setup.folder.join("cairnroad.toml");
        let temporary = setup.folder.join("tmp");
        let log = setup.folder.join("log.txt");
        std::fs::create_dir_all(&temporary)?;
        let discovery = setup.agent.map_or(String::new(), |agent| format!(r#""discovery":"{agent}","#));
        let known = if setup.known.is_empty() { String::new() } else { format!(r#""known":{},"#, setup.known) };
        let text = format!(
            r#"{{"name":"n1","listen":"{address}",{discovery}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},{known}"settings":{}}}"#,
            setup.sockets,
            settings()
        );
        std::fs::write(&config, text)?;
        std::fs::write(&own, &setup.project_file)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_command("run")?)
            .env("NODE_CONFIG", &config)
            .env("CAIRNROAD_FILE", &own)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        COORDINATOR.store(child.id(), Ordering::SeqCst);
        let mut coordinator = Coordinator { child, address, log, record: record.clone() };
        record.line(&format!("coordinator started at {address}"));
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if coordinator.child.try_wait()?.is_some() {
                return Err(std::io::Error::other(format!("the coordinator ended: {}", coordinator.log_text())));
            }
            if coordinator.is_healthy() {
                record.line("coordinator ready");
                return Ok(coordinator);
            }
            sleep(0.05);
        }
        Err(std::io::Error::other(format!("the coordinator was not ready: {}", coordinator.log_text())))
    }

    fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.write_all(request.as_bytes()).is_ok() && stream.read_to_string(&mut answer).is_ok() && answer.starts_with("HTTP/1.1 200")
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        COORDINATOR.store(0, Ordering::SeqCst);
        for line in self.log_text().lines().take(60) {
            self.record.line(&format!("coordinator's log: {line}"));
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Clients

/// The bytes of a query.
pub fn query(id: &str, class: &str, deadline: f64, shards: &[u32], text: &str) -> Vec<u8> {
    let weight = 1.0 / shards.len() as f64;
    let parts: Vec<String> = shards.iter().map(|shard| format!(r#"{{"shard":{shard},"weight":{weight:.6}}}"#)).collect();
    let body = format!(r#"{{"shards":[{}],"q":"{text}"}}"#, parts.join(","));
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: {deadline:.3}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// An answer to a client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at: f64,
    pub status: u16,
    pub body: String,
}

/// How a client's wait for an answer ended.
#[derive(Clone, Debug)]
pub enum Wait {
    Answered(Answer),
    /// The coordinator ended the connection in order; all that was sent on it had been read.
    Closed,
    /// The connection was reset.
    Reset,
    /// Nothing came in time.
    Nothing,
}

/// A client's connection.
pub struct Connection {
    pub stream: TcpStream,
    input: Vec<u8>,
    record: Record,
}

impl Connection {
    pub fn open(record: &Record, address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, input: Vec::new(), record: record.clone() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the next answer until `until`, in seconds of the record.
    pub fn answer(&mut self, until: f64) -> Wait {
        loop {
            if let Some(answer) = self.take_answer() {
                return Wait::Answered(answer);
            }
            let left = until - self.record.now();
            if left <= 0.0 {
                return Wait::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(Duration::from_secs_f64(left.max(0.001))));
            let mut chunk = [0; 8192];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Wait::Closed,
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return Wait::Reset,
            }
        }
    }

    fn take_answer(&mut self) -> Option<Answer> {
        let end = find(&self.input, b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.trim().parse::<usize>().ok()).unwrap_or(0);
        if self.input.len() < end + 4 + length {
            return None;
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let body = String::from_utf8_lossy(&self.input[end + 4..end + 4 + length]).into_owned();
        self.input.drain(..end + 4 + length);
        Some(Answer { at: self.record.now(), status, body })
    }

    pub fn close(self) -> f64 {
        let at = self.record.now();
        drop(self.stream);
        at
    }

}

/// Asks one query on a connection of its own and returns how its wait ended.
pub fn ask(record: &Record, address: SocketAddr, id: &str, class: &str, deadline: f64, shards: &[u32]) -> Wait {
    let Ok(mut connection) = Connection::open(record, address) else { return Wait::Nothing };
    let sent = record.now();
    if connection.send(&query(id, class, deadline, shards, &format!("t{id}"))).is_err() {
        return Wait::Nothing;
    }
    let wait = connection.answer(sent + deadline + 1.0);
    match &wait {
        Wait::Answered(answer) => record.line(&format!("client {id} {class} answered {} after {:.3} s", answer.status, answer.at - sent)),
        other => record.line(&format!("client {id} {class} not answered: {other:?}")),
    }
    wait
}

/// A load of queries, one after the other at a rate, each on a connection of its own.
pub struct Load {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
    pub served: Arc<AtomicU64>,
}

impl Load {
    pub fn start(record: &Record, address: SocketAddr, rate: f64) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicU64::new(0));
        let (stopping, serves, record) = (stop.clone(), served.clone(), record.clone());
        let thread = std::thread::spawn(move || {
            let mut number = 0u64;
            let mut clients = Vec::new();
            while !stopping.load(Ordering::SeqCst) {
                number += 1;
                let first = (number * 7 % u64::from(SHARDS)) as u32;
                let (class, deadline, count) = if number % 2 == 0 { ("stock-search", 2.0, 4) } else { ("pick-confirm", 2.5, 1) };
                let shards: Vec<u32> = (0..count).map(|offset| (first + offset) % SHARDS).collect();
                let id = format!("10ad{number:012x}");
                let (record, serves) = (record.clone(), serves.clone());
                clients.push(std::thread::spawn(move || {
                    if let Wait::Answered(answer) = ask(&record, address, &id, class, deadline, &shards) {
                        serves.fetch_add(u64::from(answer.status == 200), Ordering::SeqCst);
                    }
                }));
                sleep(1.0 / rate);
            }
            for client in clients {
                let _ = client.join();
            }
        });
        Load { stop, thread: Some(thread), served }
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
