//! Case 3: a spoilt answer whose length doesn't fit.

mod common;
use common::{main_of, sleep, value_of, Agent, Clients, Coordinator, Draw, Node, PartIn, Record, Request, Verdict};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Twelve data nodes in six sets, each shard held by two.
const NODES: usize = 12;
const CELLS: u32 = 6;
const SHARDS: u64 = 24;
/// Usual clients' queries a second, and how long they come.
const RATE: f64 = 14.0;
const SPAN: f64 = 24.0;
/// The trouble: from then on one answer in so many of any data node is spoilt, its length too short by so many bytes.
const SPOILT_FROM: f64 = 4.0;
const SPOILT_ONE_IN: usize = 100;
const TOO_SHORT: usize = 4;

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

/// The hits of an answer's body: shards and values.
fn hits(body: &str) -> Vec<(u32, String)> {
    let hit = |text: &str| {
        let shard = text.split(',').next()?.trim().parse().ok()?;
        let value = text.split("\"doc\":\"").nth(1)?.split('"').next()?;
        Some((shard, value.to_string()))
    };
    body.split("\"shard\":").skip(1).filter_map(hit).collect()
}

fn play(record: &Arc<Record>, root: &Path, trouble: bool) -> Result<Verdict, String> {
    let zones = ["kita-room", "higashi-room", "minami-room"];
    let answers = Arc::new(AtomicUsize::new(0));
    let spoilt = Arc::new(AtomicUsize::new(0));
    let nodes: Vec<Arc<Node>> = (0..NODES)
        .map(|number| {
            let arrival = |node: &Node, part: &PartIn| node.record.note_at(part.at, format!("{} takes {} {}", node.id, part.id, part.list));
            let done = |node: &Node, part: &PartIn| node.record.note(format!("{} has run {}, value {}", node.id, part.id, value_of(&part.id)));
            let zone = zones[(number + number / CELLS as usize) % 3];
            let node = Node::start(record, number + 1, number as u32 % CELLS, zone, WORK, "queue=0,latency_ms=98", Box::new(arrival), Box::new(done));
            let (record, answers, spoilt) = (record.clone(), answers.clone(), spoilt.clone());
            *node.spoil.lock().unwrap() = Box::new(move |_| {
                let is_spoilt = trouble && record.now() > SPOILT_FROM && answers.fetch_add(1, Ordering::SeqCst) % SPOILT_ONE_IN == 0;
                spoilt.fetch_add(usize::from(is_spoilt), Ordering::SeqCst);
                if is_spoilt { TOO_SHORT } else { 0 }
            });
            node
        })
        .collect();
    let agent = Agent::start(record, &nodes);
    let coordinator = Coordinator::start(root, &agent, 192, 1024, SETTINGS)?;
    let clients = Clients::new(record, coordinator.address);
    let mut draw = Draw::new(43);
    let mut asked = Vec::new();
    let mut shards_of: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    let mut next = 0.0;
    let begun = record.now();
    let foreign: Mutex<Vec<String>> = Mutex::default();
    while record.now() - begun < SPAN {
        let now = record.now() - begun;
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
        let shards: Vec<u32> = (0..parts).map(|part| ((first + part) % SHARDS) as u32).collect();
        shards_of.insert(id.clone(), shards.clone());
        asked.push(clients.ask(Request { id, class, shards, deadline: give_up * (0.6 + 0.4 * draw.share()), key: None }));
    }
    asked.into_iter().for_each(|thread| drop(thread.join()));
    if let Some(end) = coordinator.ended() {
        return Err(format!("the coordinator ended {end}"));
    }
    let results = clients.ended.lock().unwrap();
    let mut served = 0;
    for ended in results.iter() {
        let Ok((200, body)) = &ended.answer else { continue };
        served += 1;
        for (shard, value) in hits(body) {
            let id = format!("{}.{shard}", ended.id);
            let was_asked = shards_of.get(&ended.id).is_some_and(|shards| shards.contains(&shard));
            if !was_asked || value != value_of(&id) {
                let whole = body.contains("\"complete\":true");
                foreign.lock().unwrap().push(format!(
                    "{} {} was served by 200, complete {whole}: shard {shard} has {value:?}, made for it was {:?}",
                    ended.class, ended.id, value_of(&id)
                ));
            }
        }
    }
    let foreign = foreign.into_inner().unwrap();
    let mut summary = format!(
        "{} requests, {served} served; {} answers of data nodes spoilt; {} values served that no data node made for the request\n",
        results.len(),
        spoilt.load(Ordering::SeqCst),
        foreign.len()
    );
    for line in &foreign {
        summary.push_str(line);
        summary.push('\n');
    }
    Ok(Verdict { broken: !foreign.is_empty(), summary })
}

fn main() {
    main_of(play);
}
