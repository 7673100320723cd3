//! Two processes of one coordinator, while one replaces the other: what one has run, the other does not run again.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Child;
use std::thread;
use std::time::Duration;

/// Number of connections that the old process accepts before the new one starts.
const OLD_CONNECTIONS: usize = 12;

/// Two processes that share the listening socket, and connections to each of them.
struct Upgrade {
    coordinator: TestCoordinator,
    old: Child,
    /// Connections that the old process has accepted, which stay open.
    old_connections: Vec<BufReader<TcpStream>>,
}

impl Upgrade {
    /// Starts the old process, connects to it, and starts the new one beside it.
    fn start(socket: &TcpListener) -> Upgrade {
        let environment = Environment {
            admin_api: true,
            inherited_socket: Some(socket),
            descriptor_limit: None,
        };
        let data_nodes = DataNodes::new(|marker, _, _| match marker {
            1 => Behavior::Delay(400),
            _ => Behavior::Serve,
        });
        let mut coordinator = TestCoordinator::with_environment(data_nodes, environment);
        let old_connections = (0..OLD_CONNECTIONS)
            .map(|number| {
                let stream = TcpStream::connect(coordinator.platform).unwrap();
                let mut connection = BufReader::new(stream);
                let status = ask(&mut connection, &format!("first{number}"), "~0~");
                assert_eq!(status, 200);
                connection
            })
            .collect();
        let old = coordinator.replace(environment);
        wait_for("the new process", || {
            coordinator.admin_status("GET /v1/readyz") == 200
        });
        Upgrade {
            coordinator,
            old,
            old_connections,
        }
    }

    /// Connects to the new process: the old one accepts no connections after SIGTERM.
    fn connect_to_new(&self) -> BufReader<TcpStream> {
        signal(&self.old, "TERM");
        thread::sleep(Duration::from_millis(100));
        BufReader::new(TcpStream::connect(self.coordinator.platform).unwrap())
    }

    /// Returns how often the parts of this query have run.
    fn executions(&self, marker: u64) -> usize {
        let counts = self.coordinator.data_nodes.execution_counts();
        counts.get(&(marker, 1)).copied().unwrap_or_default()
    }
}

impl Drop for Upgrade {
    fn drop(&mut self) {
        let _ = self.old.kill();
        let _ = self.old.wait();
    }
}

fn send(connection: &mut BufReader<TcpStream>, id: &str, query: &str) {
    let request = one_part_request(id, "pick-confirm", 2.0, query);
    connection.get_mut().write_all(request.as_bytes()).unwrap();
}

/// Sends a query of a class whose parts must not run twice. Returns the status of its answer.
fn ask(connection: &mut BufReader<TcpStream>, id: &str, query: &str) -> u16 {
    send(connection, id, query);
    read_response(connection).status
}

/// Guards against an id that runs twice because it comes again at the other process: after its answer, while it runs, and
/// after its client has left, in both directions.
#[test]
fn an_id_that_one_process_has_taken_does_not_run_at_the_other() {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut upgrade = Upgrade::start(&socket);
    let mut connections = std::mem::take(&mut upgrade.old_connections);
    let mut left = connections.pop().unwrap();
    let mut running = connections.pop().unwrap();
    let mut old = connections.pop().unwrap();
    assert_eq!(ask(&mut old, "answered", "~2~"), 200);
    send(&mut running, "running", "~1~");
    send(&mut left, "left", "~1~");
    wait_for("the parts", || upgrade.executions(1) == 2);
    drop(left);
    let mut new = upgrade.connect_to_new();
    for id in ["running", "left"] {
        assert_eq!(ask(&mut new, id, "~1~"), 409, "{id}");
    }
    assert_eq!(ask(&mut new, "answered", "~2~"), 409);
    assert_eq!(ask(&mut new, "new", "~3~"), 200);
    let mut old = connections.pop().unwrap();
    assert_eq!(ask(&mut old, "new", "~3~"), 409);
    assert_eq!(read_response(&mut running).status, 200);
    let executions = [1, 2, 3].map(|marker| upgrade.executions(marker));
    assert_eq!(executions, [2, 1, 1]);
}

/// Guards against an id that both processes run because it comes to both at the same moment.
#[test]
fn an_id_that_comes_to_both_processes_at_once_runs_once() {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut upgrade = Upgrade::start(&socket);
    let connections = std::mem::take(&mut upgrade.old_connections);
    let mut new = upgrade.connect_to_new();
    // The old process closes each connection after an answer now.
    for (number, mut old) in (0..).zip(connections) {
        let (id, query) = (format!("both{number}"), format!("~{}~", 100 + number));
        send(&mut old, &id, &query);
        send(&mut new, &id, &query);
        let mut statuses = [
            read_response(&mut old).status,
            read_response(&mut new).status,
        ];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{id}");
        assert_eq!(upgrade.executions(100 + number), 1, "{id}");
    }
}
