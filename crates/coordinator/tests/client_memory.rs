//! Crowds of clients that connect at once and stop or crawl within a request: the process stays within its memory, usual
//! clients are served, and each bad client gets its error or close in time.

mod common;

use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time within which a usual client on a new connection is served, however many others hold slots.
const USUAL_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Time within which a bad client is owed an error or a close.
const BAD_CLIENT_TIME: Duration = Duration::from_secs(3);
/// Number of bytes of a large body that each bad client sends.
const BODY_BYTES: usize = 65_000;

/// Where the clients of a crowd stop.
#[derive(Clone, Copy, Debug)]
enum Stop {
    AfterConnect,
    InHead,
    /// In a body, behind a head of very many fields.
    BehindManyFields,
    InBody,
    InChunk,
    /// Nowhere: a few bytes of a body are sent every few milliseconds.
    Crawl,
}

impl Stop {
    /// Returns the bytes that a client sends before it stops.
    fn bytes(self) -> Vec<u8> {
        let head = "POST /api HTTP/1.1\r\nX-Class: stock-search\r\n";
        let length = "Content-Length: 65536\r\n";
        let body = "x".repeat(BODY_BYTES);
        let text = match self {
            Stop::AfterConnect => String::new(),
            Stop::InHead => format!("{head}X-Long: {}", "a".repeat(16_000)),
            Stop::BehindManyFields => {
                let value = "b".repeat(150);
                let fields: String = (0..95).map(|n| format!("f{n}: {value}\r\n")).collect();
                format!("{head}{length}{fields}\r\n{body}")
            }
            Stop::InBody | Stop::Crawl => format!("{head}{length}\r\n{body}"),
            Stop::InChunk => format!("{head}Transfer-Encoding: chunked\r\n\r\nffff\r\n{body}"),
        };
        text.into_bytes()
    }

    /// Returns the maximum number of bytes that a client writes at once.
    fn write_size(self) -> usize {
        match self {
            Stop::Crawl => 700,
            _ => usize::MAX,
        }
    }
}

/// A bad client, which never reads its error before the connection ends.
struct BadClient {
    stream: TcpStream,
    unsent: Vec<u8>,
}

impl BadClient {
    fn connect(address: SocketAddr, stop: Stop) -> BadClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        BadClient {
            stream,
            unsent: stop.bytes(),
        }
    }

    /// Sends further bytes, as many as the socket takes.
    fn send(&mut self, write_size: usize) {
        let next = &self.unsent[..self.unsent.len().min(write_size)];
        match self.stream.write(next) {
            Ok(written) => drop(self.unsent.drain(..written)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.unsent.clear(),
        }
    }

    /// Returns whether the client has received an error or the end of its connection.
    fn is_told(&mut self) -> bool {
        !matches!(self.stream.read(&mut [0; 512]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// The resources that the settings grant.
#[derive(Clone, Copy, Debug)]
struct Resources {
    memory_mb: u64,
    sockets: usize,
}

fn start(resources: Resources) -> TestCoordinator {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    TestCoordinator::with_config(data_nodes, members, |config| {
        config["limits"]["memory_mb"] = resources.memory_mb.into();
        config["limits"]["sockets"] = resources.sockets.into();
    })
}

/// Plays a crowd of twice as many clients as there are slots, beside usual clients, and checks what each is owed.
fn check_crowd(resources: Resources, door: WireFormat, stop: Stop) {
    let coordinator = start(resources);
    let address = match door {
        WireFormat::Platform => coordinator.platform,
        WireFormat::OpenSearch => coordinator.opensearch,
    };
    let begun = Instant::now();
    let crowd_size = 2 * (resources.sockets / 2 + resources.sockets / 16);
    let mut crowd: Vec<BadClient> = (0..crowd_size)
        .map(|_| BadClient::connect(address, stop))
        .collect();
    let context = format!("{resources:?}, {door:?}, {stop:?}");
    let mut usual = 0;
    let mut next_usual_at = begun;
    let mut slowest = Duration::ZERO;
    // Clients leave the crowd once they are told.
    while !crowd.is_empty() && begun.elapsed() < BAD_CLIENT_TIME {
        for client in &mut crowd {
            client.send(stop.write_size());
        }
        crowd.retain_mut(|client| !client.is_told());
        if Instant::now() >= next_usual_at {
            let asked_at = Instant::now();
            let id = format!("usual{usual}");
            let answer = coordinator.post_api(&id, "stock-search", "2.0", &[1, 2], "~1~");
            let took = asked_at.elapsed();
            slowest = slowest.max(took);
            assert!(
                answer.status == 200 && took < USUAL_ANSWER_TIME,
                "{context}: a usual client got {} after {took:?}",
                answer.status
            );
            usual += 1;
            next_usual_at = asked_at + Duration::from_millis(100);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(crowd.len(), 0, "{context}: clients that were never told");
    let peak = peak_memory_mb(&coordinator);
    println!("{context}: peak {peak} MB, slowest usual answer {slowest:?}");
    assert!(peak <= resources.memory_mb, "{context}: {peak} MB");
}

const LEAST_MEMORY: Resources = Resources {
    memory_mb: 32,
    sockets: 1024,
};
const FEWEST_SOCKETS: Resources = Resources {
    memory_mb: 192,
    sockets: 256,
};

/// Guards against a process that outgrows its memory by what hundreds of clients have sent of their requests, and against
/// clients that hold all slots while they stop or crawl.
#[test]
fn a_crowd_with_the_least_memory_and_the_most_descriptors_is_survived() {
    for stop in [
        Stop::AfterConnect,
        Stop::InHead,
        Stop::BehindManyFields,
        Stop::InBody,
        Stop::InChunk,
        Stop::Crawl,
    ] {
        check_crowd(LEAST_MEMORY, WireFormat::Platform, stop);
    }
    for stop in [Stop::InHead, Stop::InBody] {
        check_crowd(LEAST_MEMORY, WireFormat::OpenSearch, stop);
    }
}

/// Guards against the same with the most memory and the fewest descriptors, where slots run out first.
#[test]
fn a_crowd_with_the_most_memory_and_the_fewest_descriptors_is_survived() {
    for stop in [Stop::AfterConnect, Stop::InBody, Stop::Crawl] {
        check_crowd(FEWEST_SOCKETS, WireFormat::Platform, stop);
    }
    check_crowd(FEWEST_SOCKETS, WireFormat::OpenSearch, Stop::InBody);
}

/// Guards against a client that is shed only because it is slow: while there is room, a request may take its time.
#[test]
fn a_slow_request_is_served_while_there_is_room() {
    for resources in [LEAST_MEMORY, FEWEST_SOCKETS] {
        let coordinator = start(resources);
        let text = one_part_request("slow", "stock-search", 2.0, &"~1~".repeat(300));
        let mut stream = std::io::BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
        for piece in text.as_bytes().chunks(text.len().div_ceil(12)) {
            stream.get_mut().write_all(piece).unwrap();
            std::thread::sleep(Duration::from_millis(100));
        }
        assert_eq!(read_response(&mut stream).status, 200, "{resources:?}");
    }
}
