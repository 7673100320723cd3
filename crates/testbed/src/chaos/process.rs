//! Coordinators as processes: started at port 0, stopped, resumed, killed, restarted and reloaded. Whatever was started
//! ends with its owner, also when a run fails.

use crate::coordinator_process::log_field;
use crate::deployment::{write_atomically, DeploymentSpec};
use crate::error::TestbedError;
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};

/// How long a start may take.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a graceful shutdown may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a starting coordinator's health is asked for.
const HEALTH_INTERVAL: Duration = Duration::from_millis(5);
/// The system counts processor time in these.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// How long an admin request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Log lines that name the admin address, of this program and of earlier ones.
const ADMIN_LISTENING: [&str; 2] = ["admin API listening", "operators' calls"];
/// Log lines that name the cluster's address, of this program and of earlier ones.
const CLUSTER_JOINED: [&str; 2] = ["joining the cluster", "takes part"];

/// Why a process is not there.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program can't be started.
    #[error("{path}: {source}", path = path.display())]
    Spawn {
        /// The program.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// It ended before it listened.
    #[error("coordinator {index} ended at its start:\n{log}")]
    EndedAtStart {
        /// Its index.
        index: usize,
        /// Its log so far.
        log: String,
    },
    /// It did not become ready.
    #[error("coordinator {index} was not ready in time:\n{log}")]
    NotReady {
        /// Its index.
        index: usize,
        /// Its log so far.
        log: String,
    },
    /// It did not end after SIGTERM.
    #[error("coordinator {index} did not end {} s after it was told to", STOP_TIMEOUT.as_secs())]
    DidNotStop {
        /// Its index.
        index: usize,
    },
    /// It did not end successfully after SIGTERM.
    #[error("coordinator {index} ended with {status}, told to stop")]
    Crashed {
        /// Its index.
        index: usize,
        /// How it ended.
        status: std::process::ExitStatus,
    },
}

/// Starts the coordinators of a run.
pub struct ProcessLauncher {
    /// The program.
    pub program: PathBuf,
    /// The folder that holds a folder for each coordinator.
    pub folder: PathBuf,
    /// What the deployment states.
    pub deployment: DeploymentSpec,
    /// Lines of the project's own settings, beside those that each coordinator has of its own.
    pub project_settings: String,
}

/// Where a running coordinator listens.
#[derive(Clone, Copy, Debug)]
pub struct ProcessAddresses {
    /// The platform's front.
    pub front: SocketAddr,
    /// The admin API.
    pub admin: SocketAddr,
    /// Where it takes datagrams, if it is a member of a cluster.
    pub cluster: Option<SocketAddr>,
}

/// One running coordinator. It is killed when it is dropped.
pub struct Process {
    index: usize,
    child: Child,
    /// Where it listens.
    pub addresses: ProcessAddresses,
}

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Seconds of processor time.
    pub cpu_seconds: f64,
    /// Resident memory in MB.
    pub memory_mb: f64,
}

impl ProcessLauncher {
    fn member_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("n{index}"))
    }

    /// Writes a coordinator's endpoint list.
    ///
    /// # Errors
    ///
    /// A file that can't be written.
    pub fn write_endpoint_list(&self, index: usize, list: &str) -> Result<(), TestbedError> {
        let folder = self.member_folder(index);
        std::fs::create_dir_all(&folder).map_err(TestbedError::file(&folder))?;
        write_atomically(&folder.join("servers.toml"), list)
    }

    /// Writes a coordinator's settings. `cluster_settings`: the lines of its membership.
    ///
    /// # Errors
    ///
    /// A file that can't be written.
    pub fn write_settings(&self, index: usize, cluster_settings: &str) -> Result<(), TestbedError> {
        let config = json!({
            "name": format!("n{index}"),
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "seed": format!("{:x}", 0x8c1f_30d2_0000 + index),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "settings": self.deployment.settings(),
        });
        let folder = self.member_folder(index);
        write_atomically(&folder.join("config.json"), &config.to_string())?;
        let project_settings = format!(
            "[membership]\nsource = \"files\"\npath = \"servers.toml\"\nstate = \".\"\n{}\n{cluster_settings}",
            self.project_settings
        );
        write_atomically(&folder.join("own.toml"), &project_settings)
    }

    /// Starts a coordinator and waits until it is ready.
    ///
    /// # Errors
    ///
    /// A program that can't be started, ends at once or does not become ready.
    pub async fn start(&self, index: usize, clustered: bool) -> Result<Process, ProcessError> {
        let folder = self.member_folder(index);
        let mut child = Command::new(&self.program)
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("CAIRNROAD_FILE", folder.join("own.toml"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| ProcessError::Spawn {
                path: self.program.clone(),
                source,
            })?;
        let mut log = String::new();
        let listening = read_addresses(&mut child, &folder, clustered, &mut log);
        let addresses = match tokio::time::timeout(START_TIMEOUT, listening).await {
            Ok(Some(addresses)) => addresses,
            Ok(None) => return Err(ProcessError::EndedAtStart { index, log }),
            Err(_) => return Err(ProcessError::NotReady { index, log }),
        };
        let ready = async {
            while !is_healthy(addresses.front).await {
                tokio::time::sleep(HEALTH_INTERVAL).await;
            }
        };
        match tokio::time::timeout(START_TIMEOUT, ready).await {
            Ok(()) => Ok(Process {
                index,
                child,
                addresses,
            }),
            Err(_) => Err(ProcessError::NotReady { index, log }),
        }
    }
}

/// Reads the log until it names all addresses; the rest goes to a file beside the settings. `None` if the log ends
/// before.
async fn read_addresses(
    child: &mut Child,
    folder: &Path,
    clustered: bool,
    log: &mut String,
) -> Option<ProcessAddresses> {
    let mut lines = BufReader::new(child.stderr.take()?).lines();
    let mut front = None;
    let mut admin = None;
    let mut cluster = None;
    while front.is_none() || admin.is_none() || (clustered && cluster.is_none()) {
        let line = lines.next_line().await.ok()??;
        let address = |field: &str| log_field(&line, field).and_then(|text| text.parse().ok());
        let is_one_of = |events: &[&str]| events.iter().any(|event| line.contains(event));
        if line.contains("front=") {
            front = address("address=");
        } else if is_one_of(&ADMIN_LISTENING) {
            admin = address("address=");
        } else if is_one_of(&CLUSTER_JOINED) {
            cluster = address("listen=").or_else(|| address("peers="));
        }
        log.push_str(&line);
        log.push('\n');
    }
    keep_log(lines, log, folder).ok()?;
    Some(ProcessAddresses {
        front: front?,
        admin: admin?,
        cluster,
    })
}

/// Appends the log so far and all that follows to a file.
fn keep_log(
    mut lines: Lines<BufReader<ChildStderr>>,
    log: &str,
    folder: &Path,
) -> std::io::Result<()> {
    let mut file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(folder.join("log.txt"))?;
    let so_far = log.to_string();
    tokio::task::spawn_local(async move {
        let _ = file.write_all(so_far.as_bytes());
        while let Ok(Some(line)) = lines.next_line().await {
            let _ = writeln!(file, "{line}");
        }
    });
    Ok(())
}

struct GetResponse {
    status: u16,
    body: String,
}

async fn get(address: SocketAddr, path: &str) -> Option<GetResponse> {
    let request = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        let status = text.split(' ').nth(1)?.parse().ok()?;
        let (_, body) = text.split_once("\r\n\r\n")?;
        Some(GetResponse {
            status,
            body: body.to_string(),
        })
    };
    tokio::time::timeout(REQUEST_TIMEOUT, request)
        .await
        .ok()
        .flatten()
}

async fn is_healthy(front: SocketAddr) -> bool {
    let response = get(front, "/_health").await;
    response.is_some_and(|response| response.status == 200)
}

/// Returns what a coordinator says of its cluster, as the admin API's JSON; `None` if it doesn't answer.
pub async fn fetch_membership_view(admin: SocketAddr) -> Option<serde_json::Value> {
    let response = get(admin, "/v1/peers").await?;
    if response.status != 200 {
        return None;
    }
    serde_json::from_str(&response.body).ok()
}

impl Process {
    /// Returns what the process has used, where the system tells.
    pub fn usage(&self) -> Option<ProcessUsage> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()?));
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        // Behind the name, which may hold anything, user and system time are the 12th and 13th words.
        let words: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user_ticks: f64 = words.get(11)?.parse().ok()?;
        let system_ticks: f64 = words.get(12)?.parse().ok()?;
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = resident.split_whitespace().next()?.parse().ok()?;
        Some(ProcessUsage {
            cpu_seconds: (user_ticks + system_ticks) / CLOCK_TICKS_PER_SECOND,
            memory_mb: kilobytes / 1024.0,
        })
    }

    /// Sends it a signal by name, such as `HUP`.
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

    /// Sends SIGTERM and waits for its end.
    ///
    /// # Errors
    ///
    /// A process that doesn't end in time, or not successfully.
    pub async fn stop(mut self) -> Result<(), ProcessError> {
        self.signal("TERM");
        let index = self.index;
        match tokio::time::timeout(STOP_TIMEOUT, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(ProcessError::Crashed { index, status }),
            _ => Err(ProcessError::DidNotStop { index }),
        }
    }
}
