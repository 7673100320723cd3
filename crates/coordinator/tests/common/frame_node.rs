//! A stand-in data node that speaks the frame protocol.

use super::behavior::{Behavior, Irregularity, Malformation, ShortLength, Split};
use super::data_nodes::{marker, part_value, DataNodes, ReceivedPart};
use super::http_message::read_exact;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Starts the data node with this number and returns its address.
pub fn start_frame_node(number: usize, data_nodes: Arc<DataNodes>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let data_nodes = data_nodes.clone();
            thread::spawn(move || serve_connection(stream, number, &data_nodes));
        }
    });
    address
}

fn serve_connection(
    mut stream: TcpStream,
    number: usize,
    data_nodes: &Arc<DataNodes>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut in_flight: BTreeMap<String, Arc<AtomicBool>> = BTreeMap::new();
    loop {
        let length = u32::from_be_bytes(read_exact(&mut stream, 4)?.try_into().ok()?) as usize;
        let body = read_exact(&mut stream, length)?;
        let text = String::from_utf8(body[1..].to_vec()).unwrap();
        data_nodes
            .raw_messages
            .lock()
            .unwrap()
            .push(format!("{}{text}", body[0] as char));
        match body[0] {
            b'X' => {
                if let Some(cancelled) = in_flight.get(&text) {
                    cancelled.store(true, Ordering::Relaxed);
                }
            }
            b'Q' => {
                for call in calls(&text) {
                    let part = data_nodes.receive(number, call.query, call.shard, call.key);
                    in_flight.insert(call.id.clone(), part.cancelled.clone());
                    let writer = writer.clone();
                    thread::spawn(move || answer(&writer, &call.id, &part));
                }
            }
            _ => {
                let echo = frame(body[0], b"-");
                writer.lock().unwrap().write_all(&echo).ok()?;
            }
        }
    }
}

/// One part of a `Q` frame.
struct Call<'a> {
    id: String,
    shard: u32,
    /// The entry `k` of the list.
    key: Option<&'a str>,
    query: &'a str,
}

/// Parses the parts of a `Q` frame. Asserts the form of each part's list: `d=MILLISECONDS`, then `k=KEY` if there is one.
fn calls(mut text: &str) -> Vec<Call<'_>> {
    let mut calls = Vec::new();
    while !text.is_empty() {
        let (line, after) = text.split_once('\n').unwrap();
        let words: Vec<&str> = line.split(' ').collect();
        let length: usize = words[3].parse().unwrap();
        let (query, rest) = after.split_at(length);
        let (wait, key) = match words[2].split_once(',') {
            Some((wait, key)) => (wait, Some(key.strip_prefix("k=").unwrap())),
            None => (words[2], None),
        };
        let millis = wait.strip_prefix("d=").unwrap();
        assert!(millis.parse::<u64>().unwrap() > 0, "{line}");
        calls.push(Call {
            id: words[0].to_string(),
            shard: words[1].parse().unwrap(),
            key,
            query,
        });
        text = rest;
    }
    calls
}

fn answer(writer: &Mutex<TcpStream>, id: &str, part: &ReceivedPart) {
    let outcome = match part.behavior {
        Behavior::NoAnswer => return,
        Behavior::Delay(millis) => {
            thread::sleep(Duration::from_millis(millis));
            "ok"
        }
        Behavior::Serve
        | Behavior::Irregular(_)
        | Behavior::Malformed(_)
        | Behavior::Respond(..) => "ok",
        Behavior::Busy => "busy",
        Behavior::Fail | Behavior::MidStreamError => "err",
        Behavior::CloseMidAnswer => {
            let stream = writer.lock().unwrap();
            let _ = (&*stream).write_all(&[0, 0, 0, 90, b'A']);
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    };
    let value = match (part.behavior, outcome) {
        (Behavior::Respond(_, _, body), _) => body.to_string(),
        (_, "ok") => part_value(marker(&part.query), part.shard),
        _ => String::new(),
    };
    let bytes = answer_frame(part.behavior, id, outcome, &value);
    let mut stream = writer.lock().unwrap();
    let _ = match part.behavior {
        Behavior::Malformed(Malformation::ShortLength(short)) => {
            write_split(&mut stream, &bytes, short)
        }
        _ => stream.write_all(&bytes),
    };
}

/// Writes an answer whose declared length is too short, in the pieces that the behavior asks for.
fn write_split(stream: &mut TcpStream, bytes: &[u8], short: ShortLength) -> std::io::Result<()> {
    let declared_end = bytes.len() - short.missing;
    match short.split {
        Split::OneWrite => stream.write_all(bytes),
        Split::AtDeclaredEnd(millis) => {
            stream.write_all(&bytes[..declared_end])?;
            thread::sleep(Duration::from_millis(millis));
            stream.write_all(&bytes[declared_end..])
        }
        Split::Pieces(size) => {
            let mut written = 0;
            while written < bytes.len() {
                let mut end = (written + size).min(bytes.len());
                if end == declared_end {
                    end += 1;
                }
                stream.write_all(&bytes[written..end])?;
                thread::sleep(Duration::from_millis(1));
                written = end;
            }
            Ok(())
        }
    }
}

/// Encodes an answer frame, with the defect that the behavior asks for.
fn answer_frame(behavior: Behavior, id: &str, outcome: &str, value: &str) -> Vec<u8> {
    let line = match behavior {
        Behavior::Malformed(Malformation::WrongId) => "other.1 ok 1 -\n".into(),
        Behavior::Malformed(Malformation::UnknownOutcome) => format!("{id} fine 1 -\n"),
        Behavior::Malformed(Malformation::HeaderLine) => "\u{1}\n".into(),
        Behavior::Malformed(Malformation::UnterminatedLine) => "x".repeat(4000),
        _ => format!("{id} {outcome} 1 queue=1,latency_ms=9.5\n"),
    };
    let mut bytes = frame(b'A', format!("{line}{value}").as_bytes());
    match behavior {
        Behavior::Malformed(Malformation::FrameType) => bytes[4] = b'Z',
        Behavior::Malformed(Malformation::HugeLength) => {
            bytes[..4].copy_from_slice(&3_000_000_000_u32.to_be_bytes())
        }
        // The frame's declared length is 256 bytes more than is sent, so a reader detects the defect by the missing line
        // end or by a time-out.
        Behavior::Malformed(Malformation::UnterminatedLine) => bytes[2] += 1,
        Behavior::Malformed(Malformation::TruncatedBody) => bytes[3] += 1,
        Behavior::Malformed(Malformation::ShortLength(short)) => {
            let length = (bytes.len() - 4 - short.missing) as u32;
            bytes[..4].copy_from_slice(&length.to_be_bytes());
        }
        Behavior::Irregular(Irregularity::RepeatedAnswer) => bytes.extend_from_within(..),
        Behavior::Irregular(Irregularity::TrailingBytes) => bytes.extend_from_slice(b"\0\0\0"),
        Behavior::Irregular(Irregularity::UnreadableReport) => {
            let line = [id.as_bytes(), b" ok 1 \xff=\xfe ,,\n"].concat();
            bytes = frame(b'A', &[&line, value.as_bytes()].concat());
        }
        _ => {}
    }
    bytes
}

fn frame(frame_type: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(frame_type);
    frame.extend_from_slice(payload);
    frame
}
