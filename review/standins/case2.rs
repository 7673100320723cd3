//! Case 2: bad clients whose bytes are line breaks without end.

mod common;
use common::{main_of, read_response, sleep, Agent, Clients, Coordinator, Draw, Node, Record, Request, Verdict};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Twelve data nodes in six sets, each shard held by two.
const NODES: usize = 12;
const CELLS: u32 = 6;
const SHARDS: u64 = 24;
/// Usual clients' queries a second, and how long they come.
const RATE: f64 = 14.0;
const SPAN: f64 = 24.0;
/// The trouble: so many bad clients connect at once, and each sends line breaks at full speed, up to 60 MB within 6 s.
const BAD_CLIENTS: usize = 20;
const BAD_FROM: f64 = 8.0;
const BAD_BYTES: usize = 60_000_000;
const BAD_FOR: f64 = 6.0;
/// The coordinator's limits.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
/// An answer up to so long after the client's time is late and not lost; every time limit is 50 ms longer.
const LATE: f64 = 0.5 + 0.05;

const WORK: f64 = 0.06 + 0.038;

const SETTINGS: &str = r#"{"accounts":[],
 "caps":{"attemptsCap":3,"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutS":0.25,"keepaliveS":15.0,
  "maxRetryAfterS":2.0,"openCap":400,"peerMessages":false,"probes":true,"retryAfter":false,"secondCopies":true,"streamsPerConn":32},
 "classes":[
  {"aimS":1.0,"deadlineS":2.0,"dedupWindowS":5.0,"effect":"idempotent","group":"all","lateShare":0.3,"name":"stock-search","stream":false,"value":3.0},
  {"aimS":1.0,"deadlineS":2.5,"dedupWindowS":5.0,"effect":"at_most_once","group":"all","lateShare":0.3,"name":"pick-confirm","stream":false,"value":1.0}],
 "clients":{"marksRetry":true},"domainType":"fanout",
 "extra":{"callCostS":0.038,"fetchParts":[0,0],"minShare":[0.8,1.0],"needByClass":[1.0,1.0],"partialEarns":[0.9,0.9],
  "partsACall":8,"positions":6,"shards":24,"span":1,"warmKeys":false},
 "goal":{"whole":0.55,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.25},
 "groupSize":1,"kinds":["std-2core"],"locality":1,"overShareWorth":0.1,
 "prices":{"connection":0.0,"crossZone":0.01,"handshake":0.0,"lateFail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.011,"registryMode":0.0,"waste":0.035},
 "rank":0,"registryMode":"pushed","report":{"how":"piggyback","names":["queue","latency_ms"]},
 "safety":{"answerSlackS":0.02,"coldFrom":0.23,"fallMultiple":2.5,"fallS":1.0,"mustAskInS":10.0,"stopSendingWithinS":0.25,"warmUpS":16.0},
 "tickS":0.005,"tier":0,"tiers":["stock-nodes"],"weights":"silent","worthBy":"request","zones":["kita-room","higashi-room","minami-room"]}"#;

/// A bad client: sends line breaks, reads what it is sent, and leaves once it is answered or closed.
fn bad_client(record: &Record, number: usize, address: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return record.note(format!("bad client {number}: not connected"));
    };
    let begun = record.now();
    let _ = stream.set_write_timeout(Some(Duration::from_secs_f64(BAD_FOR)));
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(2.0 * BAD_FOR)));
    let Ok(mut reader) = stream.try_clone() else { return };
    let answered = Arc::new(Mutex::new(None));
    let answer = answered.clone();
    let reading = std::thread::spawn(move || {
        let read = read_response(&mut reader);
        *answer.lock().unwrap() = Some(read.map_or_else(|cause| cause, |(status, _, _)| status.to_string()));
    });
    let line_breaks = b"\r\n".repeat(32 * 1024);
    let mut sent = 0;
    while sent < BAD_BYTES && record.now() - begun < BAD_FOR && answered.lock().unwrap().is_none() {
        match stream.write(&line_breaks[..line_breaks.len().min(BAD_BYTES - sent)]) {
            Ok(bytes) => sent += bytes,
            Err(_) => break,
        }
    }
    let _ = reading.join();
    let told = answered.lock().unwrap().take().unwrap_or_default();
    record.note(format!("bad client {number}: {sent} bytes sent, told {told} {:.3} s after it connected", record.now() - begun));
}

fn play(record: &Arc<Record>, root: &Path, trouble: bool) -> Result<Verdict, String> {
    let zones = ["kita-room", "higashi-room", "minami-room"];
    let nodes: Vec<Arc<Node>> = (0..NODES)
        .map(|number| {
            let arrival = |node: &Node, part: &common::PartIn| node.record.note_at(part.at, format!("{} takes {} {}", node.id, part.id, part.list));
            let done = |node: &Node, part: &common::PartIn| node.record.note(format!("{} has run {}", node.id, part.id));
            let zone = zones[(number + number / CELLS as usize) % 3];
            Node::start(record, number + 1, number as u32 % CELLS, zone, WORK, "queue=0,latency_ms=98", Box::new(arrival), Box::new(done))
        })
        .collect();
    let agent = Agent::start(record, &nodes);
    let coordinator = Coordinator::start(root, &agent, MEMORY_MB, SOCKETS, SETTINGS)?;
    let clients = Clients::new(record, coordinator.address);
    // The platform's view of the coordinator's memory. It would kill it over the limit; here it only notes that, so that
    // the requests of the usual clients show by themselves whether they get their answers.
    let ended = Arc::new(AtomicBool::new(false));
    let watch = {
        let (coordinator, record, ended) = (coordinator.clone(), record.clone(), ended.clone());
        std::thread::spawn(move || {
            let mut peak: f64 = 0.0;
            let mut noted: f64 = 0.0;
            while !ended.load(Ordering::SeqCst) {
                let memory = coordinator.memory_mb().unwrap_or(0.0);
                peak = peak.max(memory);
                if memory > noted * 1.2 {
                    noted = memory;
                    record.note(format!("platform: the coordinator has {memory:.0} MB of {MEMORY_MB}"));
                }
                sleep(0.01);
            }
            peak
        })
    };
    let mut draw = Draw::new(43);
    let mut asked = Vec::new();
    let mut bad = Vec::new();
    let begun = record.now();
    let mut next = 0.0;
    while record.now() - begun < SPAN {
        let now = record.now() - begun;
        if trouble && now > BAD_FROM && bad.is_empty() {
            record.note(format!("{BAD_CLIENTS} bad clients connect"));
            bad = (0..BAD_CLIENTS)
                .map(|number| {
                    let (record, address) = (record.clone(), coordinator.address);
                    std::thread::spawn(move || bad_client(&record, number, address))
                })
                .collect();
        }
        if now < next {
            sleep(0.001);
            continue;
        }
        next += 1.0 / RATE;
        let (class, parts, give_up) = match draw.share() {
            share if share < 0.5 => ("stock-search", 14, 2.0),
            _ => ("pick-confirm", 1 + draw.below(2), 2.5),
        };
        let first = draw.below(SHARDS);
        let id = format!("{:016x}", draw.next());
        let shards = (0..parts).map(|part| ((first + part) % SHARDS) as u32).collect();
        asked.push(clients.ask(Request { id, class, shards, deadline: give_up * (0.6 + 0.4 * draw.share()), key: None }));
    }
    asked.into_iter().chain(bad).for_each(|thread| drop(thread.join()));
    ended.store(true, Ordering::SeqCst);
    let peak = watch.join().unwrap_or(0.0);
    let over = peak > MEMORY_MB as f64;
    let end = coordinator.ended();
    let results = clients.ended.lock().unwrap();
    // Lost: answered too late, or still unanswered then. A request whose connection was never made was not taken, and one
    // whose connection was closed may not have been read: neither is counted.
    let is_lost = |ended: &&common::Ended| {
        let in_vain = ended.answer.as_ref().is_err_and(|cause| cause != "time-out");
        !in_vain && ended.at - ended.sent > ended.deadline + LATE
    };
    let lost: Vec<_> = results.iter().filter(is_lost).collect();
    let served = results.iter().filter(|ended| matches!(ended.answer, Ok((200, _)))).count();
    let late = results.iter().filter(|ended| ended.answer.is_ok() && ended.at - ended.sent > ended.deadline).count();
    let mut summary = format!(
        "{} usual requests, {served} served, {late} answered after their time, {} lost; most memory {peak:.0} MB of {MEMORY_MB} MB; coordinator {}\n",
        results.len(),
        lost.len(),
        end.clone().map_or("alive".into(), |end| format!("ended {end}"))
    );
    for ended in &lost {
        summary.push_str(&format!("lost: {} {} deadline {:.3} s, {:?} after {:.3} s\n", ended.id, ended.class, ended.deadline, ended.answer.as_ref().map(|answer| answer.0), ended.at - ended.sent));
    }
    Ok(Verdict { broken: over || end.is_some() || !lost.is_empty(), summary })
}

fn main() {
    main_of(play);
}
