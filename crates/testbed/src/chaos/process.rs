//! Runs coordinators as child processes that listen on port 0 and can be stopped, resumed, killed, restarted and
//! reloaded. Dropping a [`Process`] kills it, so that no child outlives a failed run.

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

/// Time limit for a process to list its addresses, and again for it to become healthy.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two health checks of a starting coordinator.
const HEALTH_INTERVAL: Duration = Duration::from_millis(5);
/// Unit of the processor times in `/proc/<pid>/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Time limit for a health check or an admin request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Log events that state the address of the admin API, in current and earlier versions of the coordinator.
const ADMIN_LISTENING: [&str; 2] = ["admin API listening", "operators' calls"];
/// Log events that state the address for cluster datagrams, in current and earlier versions of the coordinator.
const CLUSTER_JOINED: [&str; 2] = ["joining the cluster", "takes part"];

/// The reason why a process did not start or stop as expected.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program can't be started.
    #[error("cannot start {path}: {source}", path = path.display())]
    Spawn {
        /// Path of the program.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The process ended before it listened on all of its addresses.
    #[error("coordinator {index} exited before it was listening; its log:\n{log}")]
    EndedAtStart {
        /// Index of the coordinator.
        index: usize,
        /// The log until then.
        log: String,
    },
    /// The process did not become ready within the time limit.
    #[error("coordinator {index} was not ready within {} s; its log:\n{log}", START_TIMEOUT.as_secs())]
    NotReady {
        /// Index of the coordinator.
        index: usize,
        /// The log until then.
        log: String,
    },
    /// The process did not exit after SIGTERM within the time limit.
    #[error("coordinator {index} did not exit within {} s after SIGTERM", STOP_TIMEOUT.as_secs())]
    DidNotStop {
        /// Index of the coordinator.
        index: usize,
    },
    /// The process exited with a failure after SIGTERM.
    #[error(
        "coordinator {index} failed to stop cleanly after SIGTERM: expected success, got {status}"
    )]
    Crashed {
        /// Index of the coordinator.
        index: usize,
        /// Exit status of the process.
        status: std::process::ExitStatus,
    },
}

/// Starts the coordinators of a run.
pub struct ProcessLauncher {
    /// Path of the coordinator's binary.
    pub program: PathBuf,
    /// The folder that holds one subfolder per coordinator.
    pub folder: PathBuf,
    /// The deployment, which is the same for all coordinators.
    pub deployment: DeploymentSpec,
    /// Lines of the project's own settings that are common to all coordinators.
    pub project_settings: String,
}

/// The addresses on which a running coordinator listens.
#[derive(Clone, Copy, Debug)]
pub struct ProcessAddresses {
    /// Address of the platform front.
    pub front: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Address for cluster datagrams; `None` if the coordinator belongs to no cluster.
    pub cluster: Option<SocketAddr>,
}

/// A running coordinator. Dropping it kills the process.
pub struct Process {
    index: usize,
    child: Child,
    /// The addresses on which the coordinator listens.
    pub addresses: ProcessAddresses,
}

/// The resources that a process uses.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Processor time since the start of the process, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in units of 1024 KiB.
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
    /// Returns an error if the file or its folder can't be written.
    pub fn write_endpoint_list(&self, index: usize, list: &str) -> Result<(), TestbedError> {
        let folder = self.member_folder(index);
        std::fs::create_dir_all(&folder).map_err(TestbedError::file(&folder))?;
        write_atomically(&folder.join("servers.toml"), list)
    }

    /// Writes a coordinator's settings. `cluster_settings` is the `[peers]` section, or empty.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
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

    /// Starts a coordinator and waits until it is healthy.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started, exits early or does not become healthy in time.
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

/// Reads the log until it has stated all addresses, and redirects the log to a file next to the settings.
///
/// Returns `None` if the log ends before, or if the file can't be opened.
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
    write_log(lines, log, folder).ok()?;
    Some(ProcessAddresses {
        front: front?,
        admin: admin?,
        cluster,
    })
}

/// Appends the log so far, and all lines that follow, to `log.txt` in the folder.
fn write_log(
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

/// Fetches a coordinator's view of its cluster from the admin API, as JSON; `None` if the request fails.
pub async fn fetch_membership_view(admin: SocketAddr) -> Option<serde_json::Value> {
    let response = get(admin, "/v1/peers").await?;
    if response.status != 200 {
        return None;
    }
    serde_json::from_str(&response.body).ok()
}

impl Process {
    /// Returns the resource usage from `/proc`, or `None` where that is not available.
    pub fn usage(&self) -> Option<ProcessUsage> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()?));
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        // The program name may contain spaces and parentheses. After its closing parenthesis, user and system time are
        // the 12th and 13th fields.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user_ticks: f64 = fields.get(11)?.parse().ok()?;
        let system_ticks: f64 = fields.get(12)?.parse().ok()?;
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

    /// Sends the process a signal, given its name without `SIG`, such as `HUP`.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.child.id() {
            let _ = std::process::Command::new("kill")
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Shuts the process down with SIGTERM and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit in time, or exits with a failure.
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
