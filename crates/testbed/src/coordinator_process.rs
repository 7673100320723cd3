//! Runs a coordinator as a child process in front of a fleet.

use crate::deployment::{endpoint_list, write_atomically, DeploymentSpec, ListedNode};
use crate::error::TestbedError;
use crate::fleet::Fleet;
use crate::workload::Fronts;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};

/// Time limit for a coordinator to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two health checks of a starting coordinator.
const HEALTH_INTERVAL: Duration = Duration::from_millis(10);
/// Files in which a coordinator saves its endpoint list across restarts.
const SNAPSHOT_FILES: [&str; 2] = ["roster.a", "roster.b"];
/// Start of the health response of a coordinator that is ready.
const HEALTHY_RESPONSE: &[u8; 12] = b"HTTP/1.1 200";

/// The options for starting a coordinator.
pub struct CoordinatorOptions<'a> {
    /// Path of the coordinator binary.
    pub program: &'a Path,
    /// The folder for the coordinator's settings and log.
    pub folder: &'a Path,
    /// The text of the endpoint list.
    pub endpoint_list: &'a str,
    /// Additional lines of the project's own settings.
    pub project_settings: &'a str,
    /// The addresses to listen on; `None` for free ports, and to discard saved endpoint lists.
    pub fronts: Option<Fronts>,
}

/// A running coordinator. Dropping it kills the process.
pub struct Coordinator {
    child: Child,
    /// The addresses on which the coordinator accepts queries.
    pub fronts: Fronts,
}

impl Coordinator {
    /// Starts a coordinator in front of a fleet and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written, or if the program can't be started, exits early or does not become
    /// ready in time.
    pub async fn start(
        fleet: &Fleet,
        options: CoordinatorOptions<'_>,
    ) -> Result<Coordinator, TestbedError> {
        write_files(fleet, &options)?;
        let folder = options.folder;
        let mut child = Command::new(options.program)
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("CAIRNROAD_FILE", folder.join("own.toml"))
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(TestbedError::file(options.program))?;
        let stderr = child.stderr.take().ok_or(TestbedError::NoLog)?;
        let mut log_lines = BufReader::new(stderr).lines();
        let mut log = String::new();
        let fronts = read_fronts(&mut log_lines, &mut log).await;
        let fronts = fronts.ok_or_else(|| TestbedError::EndedAtStart {
            path: options.program.to_path_buf(),
            log: log.clone(),
        })?;
        tokio::task::spawn_local(write_log(log_lines, log, folder.join("log.txt")));
        let coordinator = Coordinator { child, fronts };
        coordinator.wait_until_ready().await?;
        Ok(coordinator)
    }

    async fn wait_until_ready(&self) -> Result<(), TestbedError> {
        let ready = async {
            while !is_healthy(self.fronts.platform).await {
                tokio::time::sleep(HEALTH_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| TestbedError::NotReady(READY_TIMEOUT))
    }

    /// Kills the process and waits for its end.
    pub async fn stop(mut self) {
        let _ = self.child.kill().await;
    }
}

fn write_files(fleet: &Fleet, options: &CoordinatorOptions<'_>) -> Result<(), TestbedError> {
    let folder = options.folder;
    std::fs::create_dir_all(folder).map_err(TestbedError::file(folder))?;
    if options.fronts.is_none() {
        // An endpoint list that an earlier run saved in this folder belongs to another fleet.
        for file in SNAPSHOT_FILES {
            let _ = std::fs::remove_file(folder.join(file));
        }
    }
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let fronts = options.fronts.unwrap_or(Fronts::single(any));
    let spec = &fleet.spec;
    let deployment = DeploymentSpec::for_nodes(&spec.node, spec.cells, spec.shards);
    let config = json!({
        "name": "lab",
        "listen": fronts.platform.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 1024},
        "settings": deployment.settings(),
    });
    write_atomically(&folder.join("config.json"), &config.to_string())?;
    let project_settings = format!(
        "[opensearch]\nenabled = true\nlisten = \"{}\"\n\
         [backend]\nkind = \"{}\"\n\
         [membership]\nsource = \"files\"\npath = \"servers.toml\"\nstate = \".\"\n{}",
        fronts.query,
        spec.wire.name(),
        options.project_settings
    );
    write_atomically(&folder.join("own.toml"), &project_settings)?;
    write_atomically(&folder.join("servers.toml"), options.endpoint_list)
}

/// Reads the log until it has stated the addresses of both fronts; `None` if it ends before.
async fn read_fronts(
    lines: &mut Lines<BufReader<ChildStderr>>,
    log: &mut String,
) -> Option<Fronts> {
    let mut platform = None;
    let mut query = None;
    loop {
        if let (Some(platform), Some(query)) = (platform, query) {
            return Some(Fronts { platform, query });
        }
        let line = lines.next_line().await.ok()??;
        if let Some(front) = log_field(&line, "front=") {
            let address = log_field(&line, "address=").and_then(|text| text.parse().ok());
            if front == "platform" {
                platform = address;
            } else {
                query = address;
            }
        }
        log.push_str(&line);
        log.push('\n');
    }
}

/// Returns the value of a field in a line of a coordinator's log. `name` includes the trailing `=`.
pub fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name))?;
    Some(value.trim_matches('"'))
}

async fn write_log(mut lines: Lines<BufReader<ChildStderr>>, mut log: String, path: PathBuf) {
    while let Ok(Some(line)) = lines.next_line().await {
        log.push_str(&line);
        log.push('\n');
        let _ = std::fs::write(&path, &log);
    }
}

async fn is_healthy(front: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(front).await else {
        return false;
    };
    let request = b"GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut response = [0; HEALTHY_RESPONSE.len()];
    stream.read_exact(&mut response).await.is_ok() && &response == HEALTHY_RESPONSE
}

/// Returns the endpoint list of the given nodes of a fleet.
///
/// `just_started` holds the indices of nodes that have just started. Nodes beyond the end of `weights` have weight 1.
pub fn fleet_endpoint_list(
    fleet: &Fleet,
    generation: u64,
    nodes: &[usize],
    just_started: &[usize],
    weights: &[f64],
) -> String {
    let cells = fleet.spec.cells as usize;
    let entries = nodes.iter().filter_map(|&index| {
        let server = fleet.servers.get(index)?;
        Some(ListedNode {
            id: format!("n-{index}"),
            address: server.address,
            cell: index % cells,
            weight: Some(weights.get(index).copied().unwrap_or(1.0)),
            just_started: just_started.contains(&index),
        })
    });
    endpoint_list(generation, entries)
}

/// Returns the path of the coordinator binary next to the testbed's own, and builds it if it does not exist.
///
/// # Errors
///
/// [`TestbedError::NoProgram`] if it can't be built.
pub fn coordinator_program() -> Result<PathBuf, TestbedError> {
    let testbed = std::env::current_exe().map_err(TestbedError::file(Path::new("testbed")))?;
    let program = testbed.with_file_name("cairnroad");
    if program.exists() {
        return Ok(program);
    }
    let is_release = testbed
        .parent()
        .is_some_and(|folder| folder.ends_with("release"));
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let build = std::process::Command::new(cargo)
        .args(["build", "--locked", "-p", "cairnroad-coordinator"])
        .args(is_release.then_some("--release"))
        .status();
    match build {
        Ok(status) if status.success() && program.exists() => Ok(program),
        _ => Err(TestbedError::NoProgram(program)),
    }
}
