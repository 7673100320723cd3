//! The load: arrivals drawn ahead from a seed, that never wait for answers, and clients that count from when a query was
//! due.

use crate::ledger::{text, value};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde::Deserialize;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What clients ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Queries a second.
    pub rate: f64,
    /// Seconds.
    pub span: f64,
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// The share that comes by the query front.
    #[serde(default)]
    pub query_front: f64,
    /// How often a client tries again by itself what was refused or failed.
    #[serde(default)]
    pub retries: u32,
}

/// More for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at: f64,
    pub lasts: f64,
    pub times: f64,
}

/// The brief's two classes: a search over many shards that may run twice and may be answered in part, and a confirm
/// over one or two that may not.
pub const CLASSES: [&str; 2] = ["stock-search", "pick-confirm"];
pub const ONCE: [bool; 2] = [false, true];
/// An answer is wanted within so many seconds, and given up after so many.
pub const AIM: f64 = 1.0;
pub const DEADLINES: [f64; 2] = [2.0, 2.5];
pub const WORTH: [f64; 2] = [3.0, 1.0];
/// How long clients listen after their time: by the platform's rules an answer that comes within half a second after it
/// earns nothing, and one that comes later, or never, is lost.
pub const LISTENS: Duration = Duration::from_millis(500);

/// A query to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Due {
    pub at: f64,
    pub query: u64,
    pub class: usize,
    pub shards: Vec<u32>,
    pub query_front: bool,
}

/// All arrivals of a load, the same for the same seed.
pub fn arrivals(load: &Load, shards: u32, seed: u64) -> Vec<Due> {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate = |at: f64| {
        let bursts = load
            .burst
            .iter()
            .filter(|burst| (burst.at..burst.at + burst.lasts).contains(&at));
        load.rate * bursts.map(|burst| burst.times).fold(1.0, f64::max)
    };
    let mut all = Vec::new();
    let mut at = 0.0;
    loop {
        // A mean of more than 0 is a mean that can be drawn from.
        let Ok(gap) = Exp::new(rate(at).max(1e-6)) else {
            return all;
        };
        at += gap.sample(&mut rng);
        if at >= load.span {
            return all;
        }
        let class = usize::from(rng.random::<bool>());
        let count = if class == 0 {
            (shards * 3 / 5).max(1)
        } else {
            1 + u32::from(rng.random::<bool>())
        }
        .min(shards);
        let first = rng.random_range(0..shards);
        let query_front = rng.random::<f64>() < load.query_front;
        let shards = (0..count).map(|step| (first + step) % shards).collect();
        all.push(Due {
            at,
            query: all.len() as u64 + 1,
            class,
            shards,
            query_front,
        });
    }
}

/// How a query ended for its client.
#[derive(Clone, Debug)]
pub struct Ended {
    pub due: f64,
    pub class: usize,
    /// Seconds from when it was due.
    pub took: f64,
    pub end: End,
    /// What was wrong with its answer, if anything.
    pub wrong: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// Its answer came after the client's time, while the client still listened.
    Late,
    /// No answer while the client listened.
    Silent,
    /// No answer before the connection's end.
    Cut,
}

/// A query's worth to its client: whole within the aim, 0.3 of it until the deadline.
pub fn worth(ended: &Ended) -> f64 {
    match ended.end {
        End::Served if ended.took <= AIM => WORTH[ended.class],
        End::Served => 0.3 * WORTH[ended.class],
        _ => 0.0,
    }
}

/// Connections that are idle, by front.
pub type Idle = Rc<RefCell<Vec<(SocketAddr, BufReader<TcpStream>)>>>;

/// Plays all arrivals from `start` on; each is a task of its own, so that none waits for another.
pub async fn play(
    dues: Vec<Due>,
    fronts: [SocketAddr; 2],
    start: Instant,
    retries: u32,
    ended: Rc<RefCell<Vec<Ended>>>,
) {
    let idle: Idle = Rc::default();
    let mut tasks = Vec::new();
    for due in dues {
        tokio::time::sleep_until(start + Duration::from_secs_f64(due.at)).await;
        let (idle, ended) = (idle.clone(), ended.clone());
        tasks.push(tokio::task::spawn_local(async move {
            let one = client(due, fronts, start, retries, idle, LISTENS).await;
            ended.borrow_mut().push(one);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

/// Plays one client; each of its tries is a query of its own. It listens for so long after its time is up, to tell an
/// answer that is late from one that never comes.
pub async fn client(
    due: Due,
    fronts: [SocketAddr; 2],
    start: Instant,
    retries: u32,
    idle: Idle,
    listens: Duration,
) -> Ended {
    let begun = start + Duration::from_secs_f64(due.at);
    let end = begun + Duration::from_secs_f64(DEADLINES[due.class]);
    let mut result = (End::Silent, None);
    let mut tries = 0;
    while tries <= retries {
        let left = end.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(20) {
            break;
        }
        tries += 1;
        let asked = ask(&due, tries, fronts, left.as_secs_f64(), &idle);
        result = match tokio::time::timeout_at(end + listens, asked).await {
            Err(_) => (End::Silent, None),
            Ok(Err(_)) => (End::Cut, None),
            Ok(Ok((status, body, wait))) => {
                let (told, wrong) = judge(&due, status, &body);
                let told = if Instant::now() > end {
                    End::Late
                } else {
                    told
                };
                if told == End::Refused && tries <= retries {
                    tokio::time::sleep(Duration::from_secs_f64(wait)).await;
                }
                (told, wrong)
            }
        };
        if matches!(result.0, End::Served | End::Late) {
            break;
        }
    }
    Ended {
        due: due.at,
        class: due.class,
        took: begun.elapsed().as_secs_f64(),
        end: result.0,
        wrong: result.1,
    }
}

/// What an answer says, held against the reference.
fn judge(due: &Due, status: u16, body: &Value) -> (End, Option<String>) {
    match status {
        200 => {}
        429 | 503 => return (End::Refused, None),
        _ => return (End::Failed, None),
    }
    let hits = if due.query_front {
        &body["hits"]["hits"]
    } else {
        &body["hits"]
    };
    let doc = |hit: &Value| match due.query_front {
        true => hit["_source"]["doc"].as_str().unwrap_or("").to_string(),
        false => {
            // A hits object of the query API comes as text where servers speak that.
            let text = hit["doc"].as_str().unwrap_or("");
            let inner: Option<Value> = text
                .starts_with('{')
                .then(|| serde_json::from_str(text).ok())
                .flatten();
            let inner = inner
                .and_then(|hits| Some(hits["hits"][0]["_source"]["doc"].as_str()?.to_string()));
            inner.unwrap_or_else(|| text.into())
        }
    };
    let mut found: Vec<String> = hits.as_array().into_iter().flatten().map(doc).collect();
    found.sort();
    let mut wanted: Vec<String> = due
        .shards
        .iter()
        .map(|&shard| value(due.query, shard))
        .collect();
    wanted.sort();
    let whole = match due.query_front {
        true => body["timed_out"] == json!(false),
        false => body["complete"] == json!(true),
    };
    let mut wrong = None;
    if found.windows(2).any(|pair| pair[0] == pair[1])
        || found.iter().any(|value| !wanted.contains(value))
    {
        wrong = Some(format!(
            "query {}: values that no server made for it: {found:?}",
            due.query
        ));
    } else if whole && found != wanted {
        wrong = Some(format!(
            "query {}: marked whole with {} of {} parts",
            due.query,
            found.len(),
            wanted.len()
        ));
    } else if (found.len() as f64) < 0.8 * wanted.len() as f64 - 1e-9
        || (due.class == 1 && found != wanted)
    {
        wrong = Some(format!(
            "query {}: {} of {} parts are under its class's floor",
            due.query,
            found.len(),
            wanted.len()
        ));
    }
    (End::Served, wrong)
}

/// One try; status, body and the advice when to come back.
async fn ask(
    due: &Due,
    number: u32,
    fronts: [SocketAddr; 2],
    left: f64,
    idle: &Idle,
) -> std::io::Result<(u16, Value, f64)> {
    let to = fronts[usize::from(due.query_front)];
    let known = idle.borrow().iter().position(|(address, _)| *address == to);
    let known = known.map(|at| idle.borrow_mut().swap_remove(at).1);
    let fresh = known.is_none();
    let mut stream = match known {
        Some(stream) => stream,
        None => connect(to).await?,
    };
    let request = request(due, number, left);
    let mut told = exchange(&mut stream, &request).await;
    // A connection that was closed while it was idle is no answer: the request goes once more on a new one.
    if !fresh
        && told
            .as_ref()
            .is_err_and(|e| e.kind() == std::io::ErrorKind::UnexpectedEof)
    {
        stream = connect(to).await?;
        told = exchange(&mut stream, &request).await;
    }
    let (status, body, wait, close) = told?;
    if !close {
        idle.borrow_mut().push((to, stream));
    }
    Ok((status, body, wait))
}

async fn connect(to: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}

fn request(due: &Due, number: u32, left: f64) -> Vec<u8> {
    let text = text(due.class, due.query, number);
    let (head, body) = if due.query_front {
        let shards = due
            .shards
            .iter()
            .map(u32::to_string)
            .collect::<Vec<_>>()
            .join(",");
        let body = json!({"query": {"match": {"lab": text}}, "size": 100}).to_string();
        let class = CLASSES[due.class];
        (
            format!(
                "POST /{class}/_search?preference=_shards:{shards}&timeout={}ms",
                (left * 1000.0) as u64
            ),
            body,
        )
    } else {
        let weight = 1.0 / due.shards.len() as f64;
        let shards: Vec<Value> = due
            .shards
            .iter()
            .map(|shard| json!({"shard": shard, "weight": weight}))
            .collect();
        (
            "POST /api".to_string(),
            json!({"shards": shards, "q": text}).to_string(),
        )
    };
    let retry = if number > 1 { "X-Retry: 1\r\n" } else { "" };
    format!(
        "{head} HTTP/1.1\r\nHost: lab\r\nX-Request-Id: q{}-{number}\r\nX-Class: {}\r\nX-Deadline: {left:.3}\r\n{retry}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        due.query,
        CLASSES[due.class],
        body.len()
    )
    .into_bytes()
}

async fn exchange(
    stream: &mut BufReader<TcpStream>,
    request: &[u8],
) -> std::io::Result<(u16, Value, f64, bool)> {
    let ended = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    if stream.write_all(request).await.is_err() {
        return Err(ended());
    }
    let mut line = String::new();
    if stream.read_line(&mut line).await.unwrap_or(0) == 0 {
        return Err(ended());
    }
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    let (mut length, mut wait, mut close) = (0, 0.1, false);
    loop {
        line.clear();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap_or(0),
            "retry-after" => wait = value.parse().unwrap_or(0.1),
            "connection" => close = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok((
        status,
        serde_json::from_slice(&body).unwrap_or(Value::Null),
        wait,
        close,
    ))
}

#[cfg(test)]
mod tests;
