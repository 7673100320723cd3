//! Case 3: data nodes drain while discovery is down; it comes back while the coordinator waits between two calls.

mod common;
use common::{main_of, sleep, Agent, Clients, Coordinator, Draw, Node, PartIn, Record, Request, Verdict};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Twelve data nodes in six sets, each shard held by two.
const NODES: usize = 12;
const CELLS: u32 = 6;
const SHARDS: u64 = 24;
/// Usual clients' queries a second, and how long they come.
const RATE: f64 = 40.0;
const SPAN: f64 = 30.0;
/// The trouble: discovery is down from here on for so long, and until the coordinator has given up its next call.
const DOWN_FROM: f64 = 5.0;
const DOWN_FOR: f64 = 13.0;
/// A quarter of the data nodes, each of another set.
const DRAINED: usize = 3;
/// What is sent later than this after the drain was told breaks the rule: the grace, and the 50 ms of each time limit.
const GRACE: f64 = 0.25 + 0.05;

/// Work of a part with its call; aims and deadlines are those of the site.
const WORK: f64 = 0.03;

const SETTINGS: &str = r#"{"accounts":[],
 "caps":{"attemptsCap":3,"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutS":0.25,"keepaliveS":15.0,
  "maxRetryAfterS":2.0,"openCap":1000,"peerMessages":false,"probes":true,"retryAfter":false,"secondCopies":true,"streamsPerConn":32},
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

fn play(record: &Arc<Record>, root: &Path, trouble: bool) -> Result<Verdict, String> {
    let zones = ["kita-room", "higashi-room", "minami-room"];
    let taken: Arc<Mutex<Vec<(String, PartIn)>>> = Arc::default();
    let nodes: Vec<Arc<Node>> = (0..NODES)
        .map(|number| {
            let taken = taken.clone();
            let arrival = move |node: &Node, part: &PartIn| {
                taken.lock().unwrap().push((node.id.clone(), part.clone()));
                node.record.note_at(part.first_byte, format!("{} takes {} {}", node.id, part.id, part.list));
            };
            let done = |_: &Node, _: &PartIn| {};
            let zone = zones[(number + number / CELLS as usize) % 3];
            Node::start(record, number + 1, number as u32 % CELLS, zone, WORK, "queue=0,latency_ms=30", Box::new(arrival), Box::new(done))
        })
        .collect();
    let agent = Agent::start(record, &nodes);
    let coordinator = Coordinator::start(root, &agent, 192, 1024, SETTINGS)?;
    let clients = Clients::new(record, coordinator.address);
    let mut draw = Draw::new(43);
    let mut asked = Vec::new();
    let begun = record.now();
    let mut next = 0.0;
    let mut is_down = false;
    let mut given_up = None;
    let mut told = None;
    while record.now() - begun < SPAN {
        let now = record.now() - begun;
        if trouble && now > DOWN_FROM && !is_down && told.is_none() {
            is_down = true;
            agent.set_down(true);
        }
        let drains = if trouble {
            // Discovery comes back when the coordinator has just given up a call.
            now > DOWN_FROM + DOWN_FOR && agent.given_up() > *given_up.get_or_insert_with(|| agent.given_up())
        } else {
            now > DOWN_FROM + DOWN_FOR
        };
        if drains && told.is_none() {
            // What the agent gets at the return counts as told at once.
            agent.set_down(false);
            is_down = false;
            nodes.iter().take(DRAINED).for_each(|node| agent.change(node, "leaving"));
            told = Some(record.now());
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
    asked.into_iter().for_each(|thread| drop(thread.join()));
    if let Some(end) = coordinator.ended() {
        return Err(format!("the coordinator ended {end}"));
    }
    let told = told.ok_or("discovery never came back")?;
    let drained: Vec<&String> = nodes.iter().take(DRAINED).map(|node| &node.id).collect();
    let taken = taken.lock().unwrap();
    let sent: Vec<_> = taken.iter().filter(|(node, part)| drained.contains(&node) && part.first_byte > told).collect();
    let late: Vec<_> = sent.iter().filter(|(_, part)| part.first_byte - told > GRACE).collect();
    let results = clients.ended.lock().unwrap();
    let served = results.iter().filter(|ended| matches!(ended.answer, Ok((200, _)))).count();
    let mut summary = format!(
        "{} requests, {served} served; {} parts reached the {DRAINED} draining data nodes after the drain was told, {} of them more than {GRACE:.2} s after it\n",
        results.len(),
        sent.len(),
        late.len()
    );
    for (node, part) in &late {
        summary.push_str(&format!("{node} was sent {} {:.3} s after it\n", part.id, part.first_byte - told));
    }
    Ok(Verdict { broken: !late.is_empty(), summary })
}

fn main() {
    main_of(play);
}
