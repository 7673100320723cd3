//! The coordinator's process, started as in production, together with stand-ins for discovery and data nodes.

use super::client::{send_request, Response};
use super::configuration::{own_configuration, platform_configuration};
use super::data_nodes::{start_data_nodes, DataNodes, WireFormat};
use super::discovery::FakeDiscovery;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DEFAULT_MAX_IN_FLIGHT: usize = 1000;
const DEFAULT_SOCKETS: usize = 1024;

/// A running coordinator with its stand-ins. Dropping it kills the process and removes its folder.
pub struct TestCoordinator {
    pub child: Child,
    pub platform: SocketAddr,
    pub opensearch: SocketAddr,
    /// The address of the admin API, if the environment enables it.
    pub admin: Option<SocketAddr>,
    pub discovery: FakeDiscovery,
    pub data_nodes: Arc<DataNodes>,
    pub folder: PathBuf,
    /// The log lines that the program wrote after startup and that no test has read yet.
    pub log: Mutex<Receiver<String>>,
}

/// The part of the process's environment that does not come from its configuration.
#[derive(Clone, Copy, Default)]
pub struct Environment<'a> {
    /// Whether to enable the admin API and the folder for suspensions that all processes share.
    pub admin_api: bool,
    /// The listening socket for clients, inherited as descriptor 5.
    pub inherited_socket: Option<&'a TcpListener>,
    /// The process's limit of open descriptors.
    pub descriptor_limit: Option<usize>,
}

/// The settings with which a test starts the coordinator.
struct Setup<'a> {
    wire: WireFormat,
    data_nodes: Arc<DataNodes>,
    members: Vec<Value>,
    max_in_flight: usize,
    sockets: usize,
    /// Additional sections of the project's own configuration file.
    own_sections: &'a str,
    /// Additional files in the process's folder: relative path and content.
    files: &'a [(&'a str, &'a str)],
    environment: Environment<'a>,
}

impl Setup<'_> {
    fn new(wire: WireFormat, data_nodes: Arc<DataNodes>, members: Vec<Value>) -> Self {
        Setup {
            wire,
            data_nodes,
            members,
            max_in_flight: DEFAULT_MAX_IN_FLIGHT,
            sockets: DEFAULT_SOCKETS,
            own_sections: "",
            files: &[],
            environment: Environment::default(),
        }
    }
}

/// A process that listens on all its addresses.
struct StartedProcess {
    child: Child,
    platform: SocketAddr,
    opensearch: SocketAddr,
    admin: Option<SocketAddr>,
    log: Receiver<String>,
}

static STARTED_COORDINATORS: AtomicU64 = AtomicU64::new(0);

impl TestCoordinator {
    /// Starts the program with data nodes that speak `wire`.
    pub fn start(
        wire: WireFormat,
        data_nodes: Arc<DataNodes>,
        max_in_flight: usize,
    ) -> TestCoordinator {
        let members = start_data_nodes(wire, &data_nodes);
        Self::start_with_members(wire, data_nodes, max_in_flight, DEFAULT_SOCKETS, members)
    }

    /// Starts the program with this endpoint list and this limit of sockets.
    pub fn start_with_members(
        wire: WireFormat,
        data_nodes: Arc<DataNodes>,
        max_in_flight: usize,
        sockets: usize,
        members: Vec<Value>,
    ) -> TestCoordinator {
        let limits = (max_in_flight, sockets);
        Self::start_with_files(wire, data_nodes, limits, members, "", &[])
    }

    /// Starts the program with additional sections in the project's own configuration file and additional files next to it.
    pub fn start_with_files(
        wire: WireFormat,
        data_nodes: Arc<DataNodes>,
        (max_in_flight, sockets): (usize, usize),
        members: Vec<Value>,
        own_sections: &str,
        files: &[(&str, &str)],
    ) -> TestCoordinator {
        let setup = Setup {
            max_in_flight,
            sockets,
            own_sections,
            files,
            ..Setup::new(wire, data_nodes, members)
        };
        Self::start_setup(setup, |_| ())
    }

    /// Starts the program with the default configuration in this environment.
    pub fn with_environment(
        data_nodes: Arc<DataNodes>,
        environment: Environment,
    ) -> TestCoordinator {
        let members = start_data_nodes(WireFormat::Platform, &data_nodes);
        let setup = Setup {
            environment,
            ..Setup::new(WireFormat::Platform, data_nodes, members)
        };
        Self::start_setup(setup, |_| ())
    }

    /// Starts the program with the default platform configuration after `change` was applied to it.
    pub fn with_config(
        data_nodes: Arc<DataNodes>,
        members: Vec<Value>,
        change: impl FnOnce(&mut Value),
    ) -> TestCoordinator {
        Self::start_with_change(WireFormat::Platform, data_nodes, members, change)
    }

    /// Starts the program with data nodes that speak `wire`, after `change` was applied to the default platform
    /// configuration.
    pub fn start_with_change(
        wire: WireFormat,
        data_nodes: Arc<DataNodes>,
        members: Vec<Value>,
        change: impl FnOnce(&mut Value),
    ) -> TestCoordinator {
        Self::start_setup(Setup::new(wire, data_nodes, members), change)
    }

    /// Starts the program with this limit of open descriptors.
    pub fn with_descriptor_limit(
        data_nodes: Arc<DataNodes>,
        members: Vec<Value>,
        descriptors: usize,
    ) -> TestCoordinator {
        let environment = Environment {
            descriptor_limit: Some(descriptors),
            ..Environment::default()
        };
        let setup = Setup {
            sockets: descriptors,
            environment,
            ..Setup::new(WireFormat::Platform, data_nodes, members)
        };
        Self::start_setup(setup, |_| ())
    }

    fn start_setup(setup: Setup, change: impl FnOnce(&mut Value)) -> TestCoordinator {
        let discovery = FakeDiscovery::new(setup.members);
        let number = STARTED_COORDINATORS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("cairnroad-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut config =
            platform_configuration(discovery.address, setup.max_in_flight, setup.sockets);
        change(&mut config);
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        for (name, text) in setup.files {
            std::fs::create_dir_all(folder.join(name).parent().unwrap()).unwrap();
            std::fs::write(folder.join(name), text).unwrap();
        }
        let own = own_configuration(setup.wire, setup.own_sections);
        std::fs::write(folder.join("own.toml"), own).unwrap();
        let process = StartedProcess::launch(&folder, setup.environment);
        let coordinator = TestCoordinator {
            child: process.child,
            platform: process.platform,
            opensearch: process.opensearch,
            admin: process.admin,
            discovery,
            data_nodes: setup.data_nodes,
            folder,
            log: Mutex::new(process.log),
        };
        coordinator.wait_until_ready();
        coordinator
    }

    pub fn wait_until_ready(&self) {
        while self.call(self.platform, "GET /_health", &[], "").status != 200 {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts the program again after its process has ended.
    pub fn restart(&mut self) {
        self.child = self.start_another(Environment::default());
        self.wait_until_ready();
    }

    /// Starts a second process next to the running one and directs further calls to the new process. Returns the old one.
    pub fn replace(&mut self, environment: Environment) -> Child {
        let new = self.start_another(environment);
        std::mem::replace(&mut self.child, new)
    }

    fn start_another(&mut self, environment: Environment) -> Child {
        let process = StartedProcess::launch(&self.folder, environment);
        self.platform = process.platform;
        self.opensearch = process.opensearch;
        self.admin = process.admin;
        self.log = Mutex::new(process.log);
        process.child
    }

    /// Sends an admin request and returns the response's status.
    pub fn admin_status(&self, line: &str) -> u16 {
        self.call(self.admin.unwrap(), line, &[], "").status
    }

    /// Sends one request on a new connection.
    pub fn call(
        &self,
        to: SocketAddr,
        line: &str,
        fields: &[(&str, &str)],
        body: &str,
    ) -> Response {
        send_request(to, line, fields, body)
    }

    /// Sends a request of the platform's protocol with parts of equal weight. `deadline` is in seconds.
    pub fn post_api(
        &self,
        id: &str,
        class: &str,
        deadline: &str,
        shards: &[u32],
        query: &str,
    ) -> Response {
        self.post_api_with_fields(id, class, deadline, shards, query, &[])
    }

    /// Sends a request of a keyed class, with an idempotency key that differs for each id.
    pub fn post_keyed(
        &self,
        id: &str,
        class: &str,
        deadline: &str,
        shards: &[u32],
        query: &str,
    ) -> Response {
        let digits: String = id.bytes().map(|byte| format!("{byte:02x}")).collect();
        let key = format!("{digits:0>32}");
        let fields = [("Idempotency-Key", key.as_str())];
        self.post_api_with_fields(id, class, deadline, shards, query, &fields)
    }

    fn post_api_with_fields(
        &self,
        id: &str,
        class: &str,
        deadline: &str,
        shards: &[u32],
        query: &str,
        more_fields: &[(&str, &str)],
    ) -> Response {
        let weight = 1.0 / shards.len() as f64;
        let shards: Vec<Value> = shards
            .iter()
            .map(|shard| json!({"shard": shard, "weight": weight}))
            .collect();
        let body = json!({"shards": shards, "q": query}).to_string();
        let mut fields = vec![
            ("X-Request-Id", id),
            ("X-Class", class),
            ("X-Deadline", deadline),
        ];
        fields.extend(more_fields);
        self.call(self.platform, "POST /api", &fields, &body)
    }

    /// Sends a request of the OpenSearch query API.
    pub fn search(&self, target: &str, body: Value) -> Response {
        let body = match body.is_null() {
            true => String::new(),
            false => body.to_string(),
        };
        self.call(self.opensearch, &format!("POST {target}"), &[], &body)
    }

    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Changes the configuration file and makes the program reload it with SIGHUP.
    pub fn reconfigure(&self, change: impl FnOnce(&mut Value)) {
        let path = self.folder.join("config.json");
        let mut config = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        change(&mut config);
        std::fs::write(&path, config.to_string()).unwrap();
        self.signal("HUP");
    }

    /// Waits up to 20 s for a log line that contains this text, and discards the lines before it.
    pub fn wait_for_log_line(&self, text: &str) {
        let log = self.log.lock().unwrap();
        let end = Instant::now() + Duration::from_secs(20);
        // One deadline for all lines: a stream of other lines must not extend the wait.
        let left = || end.saturating_duration_since(Instant::now());
        while !log.recv_timeout(left()).expect(text).contains(text) {}
    }
}

impl Drop for TestCoordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl StartedProcess {
    /// Starts the program and waits until it listens.
    fn launch(folder: &Path, environment: Environment) -> StartedProcess {
        let mut child = command(environment, folder)
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
        // With port 0 the operating system picks the ports, and the program logs them.
        let mut bound = BTreeMap::new();
        while bound.len() < 2 + usize::from(environment.admin_api) {
            let line = log
                .recv()
                .expect("the program ended before it listened on all addresses");
            bound.extend(bound_address(&line));
        }
        StartedProcess {
            child,
            platform: bound["platform"],
            opensearch: bound["opensearch"],
            admin: bound.get("admin").copied(),
            log,
        }
    }
}

fn command(environment: Environment, folder: &Path) -> Command {
    let program = env!("CARGO_BIN_EXE_cairnroad");
    let mut command = Command::new(program);
    if let Some(socket) = environment.inherited_socket {
        // A shell moves the socket from descriptor 0 to 5.
        command = Command::new("sh");
        command
            .args(["-c", "exec 5<&0 </dev/null; exec \"$0\"", program])
            .env("NODE_INHERITED_FD", "5");
        command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().unwrap())));
    }
    if let Some(limit) = environment.descriptor_limit {
        command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {limit}; exec \"$0\""), program]);
    }
    if environment.admin_api {
        command
            .env("NODE_ADMIN", "127.0.0.1:0")
            .env("TMPDIR", folder);
    }
    command
}

/// Parses the listener's name and address from a log line that announces one.
fn bound_address(line: &str) -> Option<(String, SocketAddr)> {
    let field = |name: &str| {
        let word = line.split(' ').find_map(|word| word.strip_prefix(name));
        word.map(|word| word.trim_matches('"').to_string())
    };
    if !(line.contains("listening") || line.contains("admin API")) {
        return None;
    }
    let address = field("address=")?.parse().unwrap();
    Some((field("front=").unwrap_or("admin".into()), address))
}

/// Sends a signal by its name, such as `TERM`.
pub fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status();
    assert!(sent.unwrap().success());
}
