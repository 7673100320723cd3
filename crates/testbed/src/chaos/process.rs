//! Coordinators as processes: started at port 0, stopped, resumed, killed, restarted and reloaded. Whatever was started
//! ends with its owner, also when a run fails.

use crate::fleet::write;
use crate::load::{AIM, CLASSES, DEADLINES};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How long a start, and how long an end may take.
const BEGINS: Duration = Duration::from_secs(20);
const ENDS: Duration = Duration::from_secs(10);
/// The system counts processor time in these.
const TICKS_A_SECOND: f64 = 100.0;
/// How long a call at the door may take.
const CALL: Duration = Duration::from_millis(1_000);

/// Why a process is not there.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{path}: {cause}")]
    Spawn {
        path: PathBuf,
        cause: std::io::Error,
    },
    #[error("{0}")]
    File(String),
    #[error("coordinator {index} ended at its start:\n{said}")]
    Ended { index: usize, said: String },
    #[error("coordinator {index} was not ready in time:\n{said}")]
    NotReady { index: usize, said: String },
    #[error("coordinator {index} did not end {} s after it was told to", ENDS.as_secs())]
    Lingers { index: usize },
    #[error("coordinator {index} ended with {status}, told to stop")]
    Crashed {
        index: usize,
        status: std::process::ExitStatus,
    },
}

/// What all coordinators of a run share.
pub struct Plan {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub cells: u32,
    pub shards: u32,
    /// Lines of the project's own file, beside what each has of its own.
    pub own: String,
}

/// Where a running coordinator is.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    pub front: SocketAddr,
    pub door: SocketAddr,
    /// Where it takes datagrams, if it takes part in a group.
    pub peers: Option<SocketAddr>,
}

/// One coordinator.
pub struct Process {
    pub index: usize,
    child: tokio::process::Child,
    pub places: Places,
}

impl Plan {
    fn folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("n{index}"))
    }

    /// Writes a coordinator's list of data nodes.
    pub fn list(&self, index: usize, roster: &str) -> Result<(), Error> {
        let folder = self.folder(index);
        std::fs::create_dir_all(&folder).map_err(|cause| Error::Spawn {
            path: folder.clone(),
            cause,
        })?;
        write(&folder.join("servers.toml"), roster).map_err(Error::File)
    }

    /// Writes its settings. `peers`: the lines of its part in a group.
    pub fn settle(&self, index: usize, peers: &str) -> Result<(), Error> {
        let class = |at: usize, effect: &str, worth: f64| {
            json!({"name": CLASSES[at], "aimS": AIM, "deadlineS": DEADLINES[at], "effect": effect, "value": worth,
                "lateShare": 0.3})
        };
        let settings = json!({
            "classes": [class(0, "idempotent", 3.0), class(1, "at_most_once", 1.0)],
            "groupSize": 1, "registryMode": "pushed", "tickS": 0.005,
            "report": {"how": "piggyback", "names": ["queue", "latency_ms"]},
            "extra": {"positions": self.cells, "span": 2, "shards": self.shards, "partsACall": 8,
                "needByClass": [1.0, 1.0], "minShare": [0.8, 1.0], "partialEarns": [0.9, 0.9], "fetchParts": [0, 0]},
            "caps": {"attemptsCap": 3, "cancel": true, "secondCopies": true, "probes": true, "retryAfter": false,
                "maxRetryAfterS": 2.0, "openCap": 20_000, "dialTimeoutS": 0.25, "keepaliveS": 15.0,
                "streamsPerConn": 32},
            "safety": {"coldFrom": 0.25, "warmUpS": 10.0, "stopSendingWithinS": 0.25, "fallMultiple": 2.5,
                "fallS": 1.0}});
        let config = json!({"name": format!("n{index}"), "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "seed": format!("{:x}", 0x8c1f_30d2_0000 + index), "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "settings": settings});
        let folder = self.folder(index);
        write(&folder.join("config.json"), &config.to_string()).map_err(Error::File)?;
        let own = format!(
            "[membership]\nsource = \"files\"\npath = \"servers.toml\"\nstate = \".\"\n{}\n{peers}",
            self.own
        );
        write(&folder.join("own.toml"), &own).map_err(Error::File)
    }

    /// Starts it and waits until it is ready.
    pub async fn start(&self, index: usize, grouped: bool) -> Result<Process, Error> {
        let folder = self.folder(index);
        let mut child = tokio::process::Command::new(&self.program)
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("CAIRNROAD_FILE", folder.join("own.toml"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|cause| Error::Spawn {
                path: self.program.clone(),
                cause,
            })?;
        let mut said = String::new();
        let begun =
            tokio::time::timeout(BEGINS, begin(&mut child, &folder, grouped, &mut said)).await;
        let places = match begun {
            Ok(Some(places)) => places,
            Ok(None) => return Err(Error::Ended { index, said }),
            Err(_) => return Err(Error::NotReady { index, said }),
        };
        let process = Process {
            index,
            child,
            places,
        };
        let ready = async {
            while !matches!(get(places.front, "/_health").await, Some((200, _))) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(BEGINS, ready)
            .await
            .map_err(|_| Error::NotReady { index, said })?;
        Ok(process)
    }
}

/// Reads the log until it says where the coordinator is; the rest goes to a file beside its settings.
async fn begin(
    child: &mut tokio::process::Child,
    folder: &Path,
    grouped: bool,
    said: &mut String,
) -> Option<Places> {
    let mut lines = BufReader::new(child.stderr.take()?).lines();
    let (mut front, mut door, mut peers) = (None, None, None);
    while front.is_none() || door.is_none() || (grouped && peers.is_none()) {
        let line = lines.next_line().await.ok()??;
        let field = |name: &str| {
            let word = line.split(' ').find_map(|word| word.strip_prefix(name));
            word.and_then(|word| word.trim_matches('"').parse::<SocketAddr>().ok())
        };
        if line.contains("front=") {
            front = field("address=");
        } else if line.contains("admin API listening") {
            door = field("address=");
        } else if line.contains("takes part") {
            peers = field("peers=");
        }
        said.push_str(&line);
        said.push('\n');
    }
    let mut log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(folder.join("log.txt"))
        .ok()?;
    let kept = said.clone();
    tokio::task::spawn_local(async move {
        use std::io::Write;
        let _ = log.write_all(kept.as_bytes());
        while let Ok(Some(line)) = lines.next_line().await {
            let _ = writeln!(log, "{line}");
        }
    });
    Some(Places {
        front: front?,
        door: door?,
        peers,
    })
}

/// The status and body of a `GET`.
async fn get(to: SocketAddr, path: &str) -> Option<(u16, String)> {
    let call = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        let head = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        let status = text.split(' ').nth(1)?.parse().ok()?;
        Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
    };
    tokio::time::timeout(CALL, call).await.ok().flatten()
}

/// What a coordinator says of its group.
pub async fn view(door: SocketAddr) -> Option<serde_json::Value> {
    let (status, body) = get(door, "/v1/peers").await?;
    (status == 200)
        .then(|| serde_json::from_str(&body).ok())
        .flatten()
}

impl Process {
    /// Seconds of processor time that it used, and the memory that it holds, in MB; where the system tells.
    pub fn usage(&self) -> Option<(f64, f64)> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()?));
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        // Behind the name, which may hold anything, user and system time are the 12th and 13th words.
        let words: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = words.get(11)?.parse::<f64>().ok()? + words.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = resident.split_whitespace().next()?.parse().ok()?;
        Some((ticks / TICKS_A_SECOND, kilobytes / 1024.0))
    }

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.child.id() {
            let _ = std::process::Command::new("kill")
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// Kills it.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Tells it to stop, and waits for its end.
    pub async fn stop(mut self) -> Result<(), Error> {
        self.signal("TERM");
        let index = self.index;
        match tokio::time::timeout(ENDS, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(Error::Crashed { index, status }),
            _ => Err(Error::Lingers { index }),
        }
    }
}
