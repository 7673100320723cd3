//! Floods of bytes that form no message, at every door: they must not delay usual clients, fill the memory, or keep a
//! connection open.

mod common;

use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Number of clients that send a flood at the same time.
const CLIENTS: usize = 20;
/// Maximum number of bytes that each of them sends.
const FLOOD_BYTES: usize = 60_000_000;
/// Time within which a bad client is owed an error or a close; 6 s with 60 MB to send.
const ANSWER_TIME: Duration = Duration::from_secs(6);
/// The platform's smallest limit of memory.
const MEMORY_LIMIT_MB: u64 = 32;
/// Deadline of the usual clients' requests. An answer up to 0.55 s later is late; after that the request is lost.
const DEADLINE: Duration = Duration::from_millis(1_000);
const LOST_AFTER: Duration = Duration::from_millis(1_550);

/// A flood: what is sent once, what is repeated after that, and the size of each write.
#[derive(Clone, Copy)]
struct Flood {
    start: &'static str,
    repeated: &'static [u8],
    write_size: usize,
}

const CHUNKED: &str = "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

const FLOODS: [Flood; 7] = [
    Flood {
        start: "",
        repeated: b"\r\n",
        write_size: 64 * 1024,
    },
    Flood {
        start: "",
        repeated: b"\n",
        write_size: 1_400,
    },
    Flood {
        start: "\r\n\r\n",
        repeated: b"\r",
        write_size: 64 * 1024,
    },
    Flood {
        start: "GET / HTTP/1.1\r\n",
        repeated: b"A: b\r\n",
        write_size: 64 * 1024,
    },
    Flood {
        start: CHUNKED,
        repeated: b"1;extension\r\nx\r\n",
        write_size: 64 * 1024,
    },
    Flood {
        start: "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        repeated: b"A: b\r\n",
        write_size: 64 * 1024,
    },
    Flood {
        start: "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        repeated: b"e",
        write_size: 64 * 1024,
    },
];

/// Sends a flood until the connection is answered or closed. Returns the time until then; `None` if neither happened.
fn send_flood(address: SocketAddr, flood: Flood) -> Option<Duration> {
    let begun = Instant::now();
    let mut stream = TcpStream::connect(address).unwrap();
    let mut reader = stream.try_clone().unwrap();
    reader.set_read_timeout(Some(2 * ANSWER_TIME)).unwrap();
    let answered = thread::spawn(move || {
        let read = reader.read(&mut [0; 64]);
        let timed_out = matches!(&read, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
        (!timed_out).then(|| begun.elapsed())
    });
    stream.set_write_timeout(Some(ANSWER_TIME)).unwrap();
    let bytes = flood
        .repeated
        .repeat(flood.write_size.div_ceil(flood.repeated.len()));
    let mut sent = 0;
    let _ = stream.write_all(flood.start.as_bytes());
    while sent < FLOOD_BYTES && begun.elapsed() < ANSWER_TIME && !answered.is_finished() {
        match stream.write(&bytes) {
            Ok(written) => sent += written,
            Err(_) => break,
        }
    }
    answered.join().unwrap()
}

/// Plays a flood at one door beside usual clients and checks what each of them is owed.
fn check_flood(coordinator: &TestCoordinator, door: &str, address: SocketAddr, number: usize) {
    let flood = FLOODS[number];
    thread::scope(|scope| {
        let floods: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(move || send_flood(address, flood)))
            .collect();
        let mut request = 0;
        while request < 20 || floods.iter().any(|flood| !flood.is_finished()) {
            request += 1;
            let begun = Instant::now();
            let id = format!("{door}-{number}-{request}");
            let deadline = DEADLINE.as_secs_f64().to_string();
            let answer = coordinator.post_api(&id, "pick-confirm", &deadline, &[1, 2], "~1~");
            assert!(
                begun.elapsed() < LOST_AFTER,
                "{door}, flood {number}: a usual request was answered with {} after {:?}",
                answer.status,
                begun.elapsed()
            );
            thread::sleep(Duration::from_millis(20));
        }
        for flood in floods {
            let answered = flood.join().unwrap();
            assert!(
                answered.is_some_and(|after| after < ANSWER_TIME),
                "{door}, flood {number}: answered after {answered:?}"
            );
        }
    });
    let memory = peak_memory_mb(coordinator);
    assert!(
        memory <= MEMORY_LIMIT_MB,
        "{door}, flood {number}: {memory} MB of {MEMORY_LIMIT_MB} MB"
    );
}

/// Guards against readers of requests whose input is not bounded, or is scanned again after each read: the one thread does
/// nothing else, usual requests are lost, and the process outgrows its memory.
#[test]
fn floods_at_any_door_delay_no_usual_client_and_fill_no_memory() {
    let environment = Environment {
        admin_api: true,
        ..Environment::default()
    };
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let coordinator = TestCoordinator::with_environment(data_nodes, environment);
    let doors = [
        ("platform", coordinator.platform),
        ("query", coordinator.opensearch),
        ("admin", coordinator.admin.unwrap()),
    ];
    for (door, address) in doors {
        for number in 0..FLOODS.len() {
            check_flood(&coordinator, door, address, number);
        }
    }
}

/// Guards against a request whose leading line breaks are counted wrongly: a few before it are ignored.
#[test]
fn line_breaks_before_a_request_are_ignored_up_to_the_limit_of_its_head() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    for (line_breaks, expected) in [(1, 200), (2_000, 200), (9_000, 431)] {
        let stream = TcpStream::connect(coordinator.platform).unwrap();
        let mut client = std::io::BufReader::new(stream);
        let request = one_part_request(&format!("r{line_breaks}"), "stock-search", 2.0, "~1~");
        let text = "\r\n".repeat(line_breaks) + &request;
        for piece in text.as_bytes().chunks(1_001) {
            client.get_mut().write_all(piece).unwrap();
        }
        assert_eq!(
            read_response(&mut client).status,
            expected,
            "{line_breaks} line breaks"
        );
    }
}
