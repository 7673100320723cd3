//! Emulated stock nodes on loopback, speaking frames or the query API, and coordinators as real processes before them.

use crate::ledger::{marker, value, Arrival, Ledger};
use crate::load::{CLASSES, DEADLINES};
use crate::model::{Node, Spec, Taken};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use serde::Deserialize;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// The largest frame or body that a node reads.
const MOST: usize = 256 * 1024;

/// The fleet of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    pub nodes: usize,
    /// Nodes beyond these, that a roster may name later.
    #[serde(default)]
    pub spare: usize,
    pub cells: u32,
    pub shards: u32,
    /// "frames" or "opensearch".
    #[serde(default = "frames")]
    pub wire: String,
    /// Work of a part by class, in milliseconds, and its spread (standard deviation over mean).
    pub work_ms: [f64; 2],
    #[serde(default = "spread")]
    pub spread: f64,
    #[serde(default)]
    pub node: Spec,
}

fn frames() -> String {
    "frames".into()
}

fn spread() -> f64 {
    0.4
}

/// What a node does beside its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mood {
    Well,
    /// Its process is gone: connections are reset, new ones refused.
    Dead,
    /// It says nothing more, though it runs what it is sent.
    Silent,
    /// Each answer ends in the middle, and the connection with it.
    Reset,
    /// Each answer is noise.
    Garbage,
    /// Everything is turned away.
    Refuse,
    /// Each value is another one's. No real node does so: it is for trying checkers.
    Lies,
}

enum Reply {
    Frame {
        to: mpsc::UnboundedSender<Vec<u8>>,
        id: String,
    },
    Search {
        to: mpsc::UnboundedSender<Vec<u8>>,
    },
}

struct Waiting {
    reply: Reply,
    query: u64,
    shard: u32,
}

/// One node.
pub struct Server {
    pub index: usize,
    pub address: SocketAddr,
    node: RefCell<Node>,
    mood: Cell<Mood>,
    /// Counts up when all its connections end.
    lives: watch::Sender<u64>,
    wake: Notify,
    waiting: RefCell<HashMap<u64, Waiting>>,
    next: Cell<u64>,
    listening: RefCell<Option<tokio::task::JoinHandle<()>>>,
}

/// All nodes, and what they know together.
pub struct Fleet {
    pub spec: FleetSpec,
    pub servers: Vec<Rc<Server>>,
    pub ledger: RefCell<Ledger>,
    start: Instant,
    rng: RefCell<StdRng>,
    work: [LogNormal<f64>; 2],
}

impl Fleet {
    /// Starts all nodes, warm.
    pub async fn start(spec: FleetSpec, seed: u64) -> Result<Rc<Fleet>, String> {
        if spec.cells == 0 || spec.shards == 0 || spec.nodes < spec.cells as usize {
            return Err(
                "fleet: 'cells' and 'shards' must be above 0, and 'nodes' no fewer than 'cells'"
                    .into(),
            );
        }
        if !matches!(spec.wire.as_str(), "frames" | "opensearch") {
            return Err(format!(
                "fleet.wire: '{}' is neither frames nor opensearch",
                spec.wire
            ));
        }
        let work = |mean_ms: f64| {
            let sigma = (1.0 + spec.spread * spec.spread).ln().sqrt();
            let mean = (mean_ms / 1000.0).max(1e-6);
            LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma)
                .map_err(|e| format!("fleet.spread: {e}"))
        };
        let work = [work(spec.work_ms[0])?, work(spec.work_ms[1])?];
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for index in 0..spec.nodes + spec.spare {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .map_err(|e| e.to_string())?;
            let address = listener.local_addr().map_err(|e| e.to_string())?;
            // Spare nodes are started cold when a roster takes them in.
            let started = if index < spec.nodes {
                f64::NEG_INFINITY
            } else {
                0.0
            };
            servers.push(Rc::new(Server {
                index,
                address,
                node: RefCell::new(Node::new(spec.node.clone(), started)),
                mood: Cell::new(Mood::Well),
                lives: watch::channel(0).0,
                wake: Notify::new(),
                waiting: RefCell::default(),
                next: Cell::new(0),
                listening: RefCell::default(),
            }));
            listeners.push(listener);
        }
        let rng = RefCell::new(StdRng::seed_from_u64(seed));
        let fleet = Rc::new(Fleet {
            spec,
            servers,
            ledger: RefCell::default(),
            start: Instant::now(),
            rng,
            work,
        });
        for (server, listener) in fleet.servers.iter().zip(listeners) {
            fleet.clone().listen(server.clone(), listener);
            tokio::task::spawn_local(fleet.clone().work_off(server.clone()));
        }
        Ok(fleet)
    }

    /// Seconds since the fleet's start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn listen(self: Rc<Self>, server: Rc<Server>, listener: TcpListener) {
        let fleet = self.clone();
        let here = server.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (fleet, server) = (fleet.clone(), here.clone());
                tokio::task::spawn_local(async move {
                    let mut lives = server.lives.subscribe();
                    tokio::select! {
                        _ = lives.changed() => {}
                        _ = fleet.serve(stream, &server) => {}
                    }
                });
            }
        });
        server.listening.replace(Some(task));
    }

    /// Changes what a node does.
    pub async fn set(self: &Rc<Self>, index: usize, mood: Mood) -> Result<(), String> {
        let server = self
            .servers
            .get(index)
            .ok_or(format!("there is no node {index}"))?
            .clone();
        let before = server.mood.replace(mood);
        if mood == Mood::Dead {
            if let Some(task) = server.listening.take() {
                task.abort();
            }
            server.lives.send_modify(|lives| *lives += 1);
            server.waiting.borrow_mut().clear();
        } else if before == Mood::Dead {
            // It comes back on its old address, cold.
            server
                .node
                .replace(Node::new(self.spec.node.clone(), self.now()));
            let listener = TcpListener::bind(server.address)
                .await
                .map_err(|e| format!("node {index}: {e}"))?;
            self.clone().listen(server, listener);
        }
        Ok(())
    }

    /// A node starts now, cold.
    pub fn cold(&self, index: usize) {
        if let Some(server) = self.servers.get(index) {
            server
                .node
                .replace(Node::new(self.spec.node.clone(), self.now()));
        }
    }

    /// A node takes so many times as long.
    pub fn slow(&self, index: usize, times: f64) {
        if let Some(server) = self.servers.get(index) {
            server.node.borrow_mut().slow_down(times);
        }
    }

    async fn work_off(self: Rc<Self>, server: Rc<Server>) {
        loop {
            let next = server.node.borrow().next();
            let at = next.map(|at| self.start + Duration::from_secs_f64(at.max(0.0)));
            tokio::select! {
                () = tokio::time::sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {}
                () = server.wake.notified() => {}
            }
            let done = server.node.borrow_mut().advance(self.now());
            for part in done {
                let waiting = server.waiting.borrow_mut().remove(&part);
                if let Some(waiting) = waiting {
                    self.answer(&server, waiting);
                }
            }
        }
    }

    fn answer(&self, server: &Server, waiting: Waiting) {
        let lie = u64::from(server.mood.get() == Mood::Lies);
        let value = value(waiting.query + lie, waiting.shard);
        let (queue, latency) = server.node.borrow().report();
        let mood = server.mood.get();
        let (to, mut bytes) = match waiting.reply {
            Reply::Frame { to, id } => (
                to,
                frame(&format!(
                    "A{id} ok 1 queue={queue},latency_ms={latency:.2}\n{value}"
                )),
            ),
            Reply::Search { to } => {
                let hit = json!({"_index": "lab", "_id": waiting.shard.to_string(), "_score": 1.0, "_source": {"doc": value}});
                let hits = json!({"total": {"value": 1, "relation": "eq"}, "max_score": 1.0, "hits": [hit]});
                (
                    to,
                    http(
                        200,
                        &json!({"took": 1, "timed_out": false, "_shards": {"failed": 0}, "hits": hits})
                            .to_string(),
                    ),
                )
            }
        };
        match mood {
            Mood::Silent | Mood::Dead => return,
            Mood::Reset => {
                bytes.truncate(bytes.len() / 2);
                let _ = to.send(bytes);
                server.lives.send_modify(|lives| *lives += 1);
                return;
            }
            Mood::Garbage => bytes = vec![0xff; 64],
            Mood::Well | Mood::Refuse | Mood::Lies => {}
        }
        let _ = to.send(bytes);
    }

    /// A part came; whether it was turned away.
    fn take(
        &self,
        server: &Server,
        text: &str,
        shard: u32,
        call: bool,
        reply: Reply,
    ) -> (u64, Option<Reply>) {
        let (class, query, number) = marker(text).unwrap_or((0, 0, 0));
        let now = self.now();
        let part = server.next.get();
        server.next.set(part + 1);
        let work = self.work[class.min(1)].sample(&mut *self.rng.borrow_mut());
        let taken = match server.mood.get() {
            Mood::Refuse => Taken::Busy,
            _ => server.node.borrow_mut().arrive(now, part, work, call),
        };
        let ran = taken != Taken::Busy;
        let arrival = Arrival {
            at: now,
            server: server.index,
            class,
            query,
            number,
            shard,
            ran,
        };
        self.ledger.borrow_mut().arrivals.push(arrival);
        match taken {
            Taken::Busy => (part, Some(reply)),
            Taken::Fell => {
                self.ledger.borrow_mut().fallen.push(server.index);
                server.mood.set(Mood::Silent);
                (part, None)
            }
            Taken::Yes => {
                server.waiting.borrow_mut().insert(
                    part,
                    Waiting {
                        reply,
                        query,
                        shard,
                    },
                );
                server.wake.notify_one();
                (part, None)
            }
        }
    }

    async fn serve(&self, stream: TcpStream, server: &Rc<Server>) -> std::io::Result<()> {
        let (reader, mut writer) = stream.into_split();
        let (out, mut replies) = mpsc::unbounded_channel::<Vec<u8>>();
        let write = async {
            while let Some(bytes) = replies.recv().await {
                if writer.write_all(&bytes).await.is_err() {
                    break;
                }
            }
        };
        let mut reader = BufReader::new(reader);
        let read = async {
            match self.spec.wire.as_str() {
                "frames" => self.frames(&mut reader, server, &out).await,
                _ => self.searches(&mut reader, server, &out).await,
            }
        };
        tokio::select! {
            () = write => Ok(()),
            end = read => end,
        }
    }

    async fn frames(
        &self,
        reader: &mut (impl AsyncReadExt + Unpin),
        server: &Rc<Server>,
        out: &mpsc::UnboundedSender<Vec<u8>>,
    ) -> std::io::Result<()> {
        let broken = || std::io::Error::from(std::io::ErrorKind::InvalidData);
        // Which part an id of this connection means.
        let mut ids: HashMap<String, u64> = HashMap::new();
        loop {
            let length = reader.read_u32().await? as usize;
            if length == 0 || length > MOST {
                return Err(broken());
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).await?;
            let text = String::from_utf8(body).map_err(|_| broken())?;
            let (letter, mut rest) = text.split_at(1);
            match letter {
                "Q" => {
                    let mut call = true;
                    while !rest.is_empty() {
                        let (line, after) = rest.split_once('\n').ok_or_else(broken)?;
                        let words: Vec<&str> = line.split(' ').collect();
                        let [id, shard, _, length] = words[..] else {
                            return Err(broken());
                        };
                        let (shard, length) = (
                            shard.parse().map_err(|_| broken())?,
                            length.parse::<usize>().map_err(|_| broken())?,
                        );
                        let query = after.get(..length).ok_or_else(broken)?;
                        rest = &after[length..];
                        let reply = Reply::Frame {
                            to: out.clone(),
                            id: id.into(),
                        };
                        let (part, refused) = self.take(server, query, shard, call, reply);
                        ids.insert(id.into(), part);
                        call = false;
                        if refused.is_some() {
                            let _ = out.send(frame(&format!("A{id} busy 1 -\n")));
                        }
                    }
                }
                "X" => {
                    if let Some(part) = ids.remove(rest) {
                        server.node.borrow_mut().cancel(self.now(), part);
                        server.waiting.borrow_mut().remove(&part);
                    }
                }
                "L" => {
                    let (queue, latency) = server.node.borrow().report();
                    if server.mood.get() != Mood::Silent {
                        let _ = out.send(frame(&format!("Lqueue={queue},latency_ms={latency:.2}")));
                    }
                }
                _ => {
                    let _ = out.send(frame("P"));
                }
            }
        }
    }

    async fn searches(
        &self,
        reader: &mut (impl AsyncBufReadExt + Unpin),
        server: &Rc<Server>,
        out: &mpsc::UnboundedSender<Vec<u8>>,
    ) -> std::io::Result<()> {
        let broken = || std::io::Error::from(std::io::ErrorKind::InvalidData);
        let mut last = None;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).await? == 0 {
                // Closing the connection cancels the search that is out on it.
                if let Some(part) = last {
                    server.node.borrow_mut().cancel(self.now(), part);
                    server.waiting.borrow_mut().remove(&part);
                }
                return Ok(());
            }
            let shard = line
                .split("_shards:")
                .nth(1)
                .and_then(|rest| rest.split(['&', ' ']).next()?.parse().ok());
            let mut length = 0;
            loop {
                let mut field = String::new();
                reader.read_line(&mut field).await?;
                let Some((name, value)) = field.trim_end().split_once(':') else {
                    break;
                };
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().map_err(|_| broken())?;
                }
            }
            if length > MOST {
                return Err(broken());
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).await?;
            let text = String::from_utf8(body).map_err(|_| broken())?;
            let (part, refused) = self.take(
                server,
                &text,
                shard.ok_or_else(broken)?,
                true,
                Reply::Search { to: out.clone() },
            );
            last = Some(part);
            if refused.is_some() {
                let _ = out.send(http(
                    429,
                    "{\"error\":{\"type\":\"rejected_execution_exception\"},\"status\":429}",
                ));
            }
        }
    }
}

fn frame(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

fn http(status: u16, body: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Lab\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    (head + body).into_bytes()
}

/// A roster's text: nodes of these numbers with their weights. `fresh`: those that have just started.
pub fn roster(
    fleet: &Fleet,
    generation: u64,
    nodes: &[usize],
    fresh: &[usize],
    weights: &[f64],
) -> String {
    let mut text = format!("generation = {generation}\nallow_shrink = true\n");
    for &index in nodes {
        let Some(server) = fleet.servers.get(index) else {
            continue;
        };
        let weight = weights.get(index).copied().unwrap_or(1.0);
        let cell = index % fleet.spec.cells as usize;
        text.push_str(&format!(
            "[[server]]\nid = \"n-{index}\"\naddress = \"{}\"\ncell = {cell}\nweight = {weight:?}\n",
            server.address
        ));
        if !fresh.contains(&index) {
            // Long warm, whenever it was written.
            text.push_str("started = 2000-01-01T00:00:00Z\n");
        }
    }
    text + "# end\n"
}

/// A running coordinator.
pub struct Coordinator {
    child: tokio::process::Child,
    /// The platform's front and the query front.
    pub fronts: [SocketAddr; 2],
}

/// Writes a file whole or not at all.
pub fn write(path: &Path, text: &str) -> Result<(), String> {
    let beside = path.with_extension("tmp");
    let written = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, path));
    written.map_err(|e| format!("{}: {e}", path.display()))
}

impl Coordinator {
    /// Starts a program before a fleet, with a roster in its folder and more lines in its own file; on known addresses
    /// where it takes another's place.
    pub async fn start(
        program: &Path,
        fleet: &Fleet,
        folder: &Path,
        roster: &str,
        more: &str,
        on: Option<[SocketAddr; 2]>,
    ) -> Result<Coordinator, String> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let [platform, query] = on.unwrap_or([any, any]);
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        // What an earlier run kept in this folder is of another fleet.
        if on.is_none() {
            for slot in ["roster.a", "roster.b"] {
                let _ = std::fs::remove_file(folder.join(slot));
            }
        }
        let spec = &fleet.spec;
        let class = |at: usize, effect: &str, worth: f64| {
            json!({"name": CLASSES[at], "aimS": crate::load::AIM, "deadlineS": DEADLINES[at], "effect": effect, "value": worth,
                "lateShare": 0.3})
        };
        let cold = &spec.node;
        let settings = json!({
            "classes": [class(0, "idempotent", 3.0), class(1, "at_most_once", 1.0)],
            "groupSize": 1, "registryMode": "pushed", "tickS": 0.005,
            "report": {"how": "piggyback", "names": ["queue", "latency_ms"]},
            "extra": {"positions": spec.cells, "span": 1, "shards": spec.shards, "partsACall": 8, "needByClass": [1.0, 1.0],
                "minShare": [0.8, 1.0], "partialEarns": [0.9, 0.9], "fetchParts": [0, 0]},
            "caps": {"attemptsCap": 3, "cancel": true, "secondCopies": true, "probes": true, "retryAfter": false,
                "maxRetryAfterS": 2.0, "openCap": 20_000, "dialTimeoutS": 0.25, "keepaliveS": 15.0, "streamsPerConn": 32},
            "safety": {"coldFrom": cold.cold_from, "warmUpS": cold.warm_s, "stopSendingWithinS": 0.25,
                "fallMultiple": cold.fall_multiple.max(1.0), "fallS": cold.fall_s}});
        let config = json!({"name": "lab", "listen": platform.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 1024}, "settings": settings});
        write(&folder.join("config.json"), &config.to_string())?;
        let own = format!(
            "[opensearch]\nenabled = true\nlisten = \"{query}\"\n[backend]\nkind = \"{}\"\n[membership]\nsource = \"files\"\n\
             path = \"servers.toml\"\nstate = \".\"\n{more}",
            spec.wire
        );
        write(&folder.join("own.toml"), &own)?;
        write(&folder.join("servers.toml"), roster)?;
        let mut child = tokio::process::Command::new(program)
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("CAIRNROAD_FILE", folder.join("own.toml"))
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let Some(errors) = child.stderr.take() else {
            return Err("the program's log is closed".into());
        };
        let mut lines = BufReader::new(errors).lines();
        let mut fronts = [None, None];
        let mut said = String::new();
        while fronts.contains(&None) {
            let Ok(Some(line)) = lines.next_line().await else {
                return Err(format!("{} ended at its start:\n{said}", program.display()));
            };
            let field = |name: &str| {
                line.split(' ')
                    .find_map(|word| word.strip_prefix(name))
                    .map(|w| w.trim_matches('"'))
            };
            if let (Some(front), Some(address)) = (
                field("front="),
                field("address=").and_then(|a| a.parse().ok()),
            ) {
                fronts[usize::from(front != "platform")] = Some(address);
            }
            said.push_str(&line);
            said.push('\n');
        }
        let log = folder.join("log.txt");
        tokio::task::spawn_local(async move {
            let mut kept = said;
            while let Ok(Some(line)) = lines.next_line().await {
                kept.push_str(&line);
                kept.push('\n');
                let _ = std::fs::write(&log, &kept);
            }
        });
        let [Some(platform), Some(query)] = fronts else {
            return Err("the program did not say where it listens".into());
        };
        let coordinator = Coordinator {
            child,
            fronts: [platform, query],
        };
        coordinator.ready().await?;
        Ok(coordinator)
    }

    /// Waits until it answers its health page.
    async fn ready(&self) -> Result<(), String> {
        for _ in 0..1_000 {
            if let Ok(mut stream) = TcpStream::connect(self.fronts[0]).await {
                let mut told = [0; 12];
                let asked = stream
                    .write_all(b"GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                    .await;
                if asked.is_ok()
                    && stream.read_exact(&mut told).await.is_ok()
                    && told.ends_with(b"200")
                {
                    return Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err("the coordinator was not ready within 10 s".into())
    }

    /// Ends it.
    pub async fn stop(mut self) {
        let _ = self.child.kill().await;
    }
}

/// The coordinator's program: beside this one, built if it isn't there.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let beside = own.with_file_name("cairnroad");
    if beside.exists() {
        return Ok(beside);
    }
    let release = own
        .parent()
        .is_some_and(|folder| folder.ends_with("release"));
    let mut build =
        std::process::Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".into()));
    build
        .args(["build", "--locked", "-p", "cairnroad-coordinator"])
        .args(release.then_some("--release"));
    match build.status() {
        Ok(status) if status.success() && beside.exists() => Ok(beside),
        _ => Err(format!(
            "{} is not there and can't be built: cargo build --release --locked",
            beside.display()
        )),
    }
}
