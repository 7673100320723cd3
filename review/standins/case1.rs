//! Case 1: a part of a keyed class that is sent twice while one reader is slow.

mod common;
use common::{main_of, sleep, value_of, Agent, Clients, Coordinator, Draw, Node, PartIn, Record, Request, Verdict};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

/// Six readers in a ring of six cells, each shard held by two.
const READERS: usize = 6;
const SHARDS: u64 = 18;
/// Queries a second, and how long they come.
const RATE: f64 = 24.0;
const SPAN: f64 = 36.0;
/// The trouble: one reader in six (at most 19 % are slow) is 9 times slower for 16 s. It begins when a reader has just
/// taken a part of `note-add`, at 10 s or later.
const SLOW_FROM: f64 = 10.0;
const SLOW_TIMES: f64 = 9.0;
const SLOW_FOR: f64 = 16.0;
/// Work of a part and of its call, and the time for which a reader drops a repeated part, in seconds.
const WORK: f64 = 0.11 + 0.06;
const WINDOW: f64 = 5.0;

const SETTINGS: &str = r#"{"accounts":[],
 "caps":{"attemptsCap":3,"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutS":0.25,"keepaliveS":30.0,
  "maxRetryAfterS":2.0,"openCap":400,"peerMessages":false,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":100},
 "classes":[
  {"aimS":2.5,"deadlineS":5.0,"dedupWindowS":5.0,"effect":"idempotent","group":"all","lateShare":0.0,"name":"transcript-search","stream":false,"value":2.0},
  {"aimS":2.0,"deadlineS":4.0,"dedupWindowS":5.0,"effect":"idempotent","group":"all","lateShare":0.3,"name":"call-history","stream":false,"value":1.0},
  {"aimS":2.0,"deadlineS":5.0,"dedupWindowS":5.0,"effect":"deduplicated","group":"all","lateShare":0.1,"name":"note-add","stream":false,"value":2.0}],
 "clients":{"marksRetry":true},"domainType":"fanout",
 "extra":{"callCostS":0.06,"fetchParts":[0,0,0],"minShare":[0.67,1.0,1.0],"needByClass":[0.67,1.0,1.0],"partialEarns":[0.9,0.9,0.9],
  "partsACall":4,"positions":6,"shards":18,"span":2,"warmKeys":false},
 "goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2},
 "groupSize":1,"kinds":["small-2core"],"locality":0,"overShareWorth":0.1,
 "prices":{"connection":0.0,"crossZone":0.02,"handshake":0.02,"lateFail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"registryMode":0.0,"waste":0.08},
 "rank":0,"registryMode":"pushed","report":{"how":"silent","names":[]},
 "safety":{"answerSlackS":0.02,"coldFrom":0.16,"fallMultiple":4.0,"fallS":3.0,"mustAskInS":10.0,"stopSendingWithinS":1.0,"warmUpS":17.0},
 "tickS":0.005,"tier":0,"tiers":["archive-readers"],"weights":"nominal","worthBy":"request","zones":["ann-arbor","detroit"]}"#;

/// The archive behind all readers: what was applied, and which keys its readers know for 5 s.
#[derive(Default)]
struct Archive {
    /// Idempotency keys of the clients' `note-add` requests, by request id.
    asked: Mutex<BTreeMap<String, String>>,
    /// By shard and key of a part: when it was first taken.
    known: Mutex<BTreeMap<(u32, String), Instant>>,
    /// Parts that are repeats of a known key.
    dropped: Mutex<Vec<(String, String)>>,
    /// By the client's key: the readers that applied it.
    applied: Mutex<BTreeMap<String, Vec<String>>>,
    frames: AtomicUsize,
    frames_with_key: AtomicUsize,
}

impl Archive {
    /// Any holder drops a repeat of a key for 5 s; a part that names no key can't be known as a repeat.
    fn take(&self, node: &Node, part: &PartIn) -> bool {
        let Some(key) = self.asked.lock().unwrap().get(part.request()).cloned() else {
            node.record.note_at(part.at, format!("{} takes {} list {}", node.id, part.id, part.list));
            return false;
        };
        self.frames.fetch_add(1, Ordering::SeqCst);
        node.record.note_at(part.at, format!("{} takes {} list {} (client's key {key})", node.id, part.id, part.list));
        if let Some(named) = part.entry("k") {
            self.frames_with_key.fetch_add(1, Ordering::SeqCst);
            let mut known = self.known.lock().unwrap();
            let seen = known.get(&(part.shard, named.to_string()));
            if seen.is_some_and(|first| first.elapsed().as_secs_f64() < WINDOW) {
                self.dropped.lock().unwrap().push((node.id.clone(), part.id.clone()));
            } else {
                known.insert((part.shard, named.into()), Instant::now());
            }
        }
        true
    }

    fn apply(&self, node: &Node, part: &PartIn) {
        let Some(key) = self.asked.lock().unwrap().get(part.request()).cloned() else {
            return node.record.note(format!("{} has run {}", node.id, part.id));
        };
        let is_repeat = self.dropped.lock().unwrap().iter().any(|(id, repeated)| *id == node.id && *repeated == part.id);
        let what = if is_repeat { "drops the repeat" } else { "applies" };
        node.record.note(format!("{} {what} {} (client's key {key})", node.id, part.id));
        if !is_repeat {
            self.applied.lock().unwrap().entry(key).or_default().push(node.id.clone());
        }
    }
}

fn play(record: &Arc<Record>, root: &Path, trouble: bool) -> Result<Verdict, String> {
    let archive = Arc::new(Archive::default());
    let slow: Arc<OnceLock<String>> = Arc::default();
    let armed = Arc::new(AtomicBool::new(false));
    let nodes: Vec<Arc<Node>> = (0..READERS)
        .map(|number| {
            let (on_arrival, on_done) = (archive.clone(), archive.clone());
            let (slow, armed) = (slow.clone(), armed.clone());
            let zone = if number % 2 == 0 { "ann-arbor" } else { "detroit" };
            let arrival = move |node: &Node, part: &PartIn| {
                if on_arrival.take(node, part) && armed.load(Ordering::SeqCst) && slow.set(node.id.clone()).is_ok() {
                    node.set_factor(SLOW_TIMES);
                    node.record.note(format!("{} is {SLOW_TIMES} times slower from now on", node.id));
                }
            };
            let done = move |node: &Node, part: &PartIn| on_done.apply(node, part);
            Node::start(record, number + 1, number as u32, zone, WORK, "-", Box::new(arrival), Box::new(done))
        })
        .collect();
    let agent = Agent::start(record, &nodes);
    let coordinator = Coordinator::start(root, &agent, 192, 1024, SETTINGS)?;
    let clients = Clients::new(record, coordinator.address);
    let mut draw = Draw::new(43);
    let mut asked = Vec::new();
    let begun = record.now();
    let mut next = 0.0;
    let mut slow_since: Option<f64> = None;
    while record.now() - begun < SPAN {
        let now = record.now() - begun;
        armed.store(trouble && now > SLOW_FROM, Ordering::SeqCst);
        if let Some(id) = slow.get() {
            let since = *slow_since.get_or_insert(now);
            if now - since > SLOW_FOR {
                nodes.iter().filter(|node| node.id == *id).for_each(|node| node.set_factor(1.0));
            }
        }
        if now < next {
            sleep(0.001);
            continue;
        }
        next += 1.0 / RATE;
        let (class, parts, give_up) = match draw.share() {
            share if share < 0.3 => ("transcript-search", 6, 5.0),
            share if share < 0.8 => ("call-history", 4 + draw.below(4), 4.0),
            _ => ("note-add", 1, 5.0),
        };
        let first = draw.below(SHARDS);
        let id = format!("{:016x}", draw.next());
        let key = (class == "note-add").then(|| format!("{:016x}{:016x}", draw.next(), draw.next()));
        if let Some(key) = &key {
            archive.asked.lock().unwrap().insert(id.clone(), key.clone());
        }
        let shards = (0..parts).map(|part| ((first + part) % SHARDS) as u32).collect();
        asked.push(clients.ask(Request { id, class, shards, deadline: give_up * (0.6 + 0.4 * draw.share()), key }));
    }
    asked.into_iter().for_each(|thread| drop(thread.join()));
    sleep(2.0);
    if let Some(end) = coordinator.ended() {
        return Err(format!("the coordinator ended {end}"));
    }
    let ended = clients.ended.lock().unwrap();
    let foreign = ended.iter().filter(|ended| ended.class == "note-add").filter(|ended| {
        matches!(&ended.answer, Ok((200, body)) if !ended_with_value(&ended.id, body))
    });
    let foreign = foreign.count();
    let served = ended.iter().filter(|ended| matches!(ended.answer, Ok((200, _)))).count();
    let applied = archive.applied.lock().unwrap();
    let twice: Vec<_> = applied.iter().filter(|(_, readers)| readers.len() > 1).collect();
    let mut summary = format!(
        "{} requests, {served} served; {} note-add parts sent, {} of them with their key k; {} keys applied, {} of them more than once; {foreign} with a foreign value\n",
        ended.len(),
        archive.frames.load(Ordering::SeqCst),
        archive.frames_with_key.load(Ordering::SeqCst),
        applied.len(),
        twice.len()
    );
    for (key, readers) in &twice {
        summary.push_str(&format!("key {key} was applied by {}\n", readers.join(" and ")));
    }
    Ok(Verdict { broken: !twice.is_empty(), summary })
}

/// Whether the answer's value is one that a reader made for this request.
fn ended_with_value(request: &str, body: &str) -> bool {
    (0..SHARDS).any(|shard| body.contains(&value_of(&format!("{request}.{shard}"))))
}

fn main() {
    main_of(play);
}
