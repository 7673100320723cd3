//! The list of servers: the agent's wire form, and the watch that keeps it fresh.

pub mod endpoint_list;
pub mod file_source;

use crate::clock::Clock;
use crate::contract::{Contracts, Part};
use crate::discovery::endpoint_list::Page;
use crate::http;
use crate::messages::{EndpointEntry, EndpointListUpdate, Message};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::schema::Direction;
use cairnroad_discovery_watch::{Ask, Call, Fault, Watch, DIAL};
use cairnroad_types::{Endpoint, EndpointUpdate, ServerId, ServerState};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// The largest list that is read.
const MOST_LIST: usize = 1024 * 1024;

/// The numbers that the decisions know servers by, given out in the order in which ids are first heard of and
/// never twice. An id that is gone is forgotten: on a long day servers are replaced under new ids without end.
#[derive(Default)]
pub struct Directory {
    numbers: BTreeMap<String, (ServerId, EndpointEntry)>,
    next: u32,
}

impl Directory {
    /// The rows with their servers' numbers. One that comes back after it was gone gets a new number.
    pub fn number(&mut self, news: &EndpointListUpdate) -> Vec<(ServerId, EndpointEntry)> {
        let mut rows = Vec::with_capacity(news.rows.len());
        for row in &news.rows {
            let known = self.numbers.get(&row.id).map(|(number, _)| *number);
            let number = match (known, row.state) {
                (Some(number), ServerState::Removed) => {
                    self.numbers.remove(&row.id);
                    number
                }
                (Some(number), _) => {
                    self.numbers.insert(row.id.clone(), (number, row.clone()));
                    number
                }
                (None, ServerState::Removed) => continue,
                (None, _) => {
                    let number = ServerId(self.next);
                    self.next += 1;
                    self.numbers.insert(row.id.clone(), (number, row.clone()));
                    number
                }
            };
            rows.push((number, row.clone()));
        }
        if news.complete && !rows.is_empty() {
            let listed: BTreeSet<ServerId> = rows.iter().map(|(number, _)| *number).collect();
            self.numbers
                .retain(|_, (number, _)| listed.contains(number));
        }
        rows
    }

    /// What the list last said of a server.
    pub fn row(&self, id: &str) -> Option<(ServerId, EndpointEntry)> {
        self.numbers.get(id).cloned()
    }

    /// The ids of these servers.
    pub fn ids<'a>(&'a self, servers: &'a [ServerId]) -> impl Iterator<Item = &'a str> {
        let listed = self
            .numbers
            .iter()
            .filter(|(_, (server, _))| servers.contains(server));
        listed.map(|(id, _)| id.as_str())
    }

    /// How many servers have a number.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }
}

/// The news in the decisions' words.
pub fn list_news(
    rows: &[(ServerId, EndpointEntry)],
    complete: bool,
    cached: bool,
) -> EndpointUpdate {
    let listed = |(server, row): &(ServerId, EndpointEntry)| Endpoint {
        server: *server,
        cell: row.cell,
        zone: row.zone,
        state: row.state,
        size: row.size,
        weight: row.weight,
        generation: row.generation,
        ready_at: row.ready_at,
    };
    let rows = rows.iter().map(listed).collect();
    match (cached, complete) {
        (true, _) => EndpointUpdate::Cached(rows),
        (_, true) => EndpointUpdate::Snapshot(rows),
        _ => EndpointUpdate::Delta(rows),
    }
}

/// Watches the agent for good and tells the core what it says. A new address drops the call that is held at the
/// old one, or the rest before the next: the old agent may say nothing more, and another agent's revisions are
/// its own, so the watch starts over there with the whole list.
pub async fn watch(
    mut agents: watch::Receiver<SocketAddr>,
    core: mpsc::Sender<Message>,
    contracts: Rc<Contracts>,
    clock: Clock,
) {
    let mut watch = Watch::new(clock.now());
    loop {
        let agent = *agents.borrow_and_update();
        let moved = tokio::select! {
            biased;
            Ok(()) = agents.changed() => true,
            () = follow_on(agent, &core, &contracts, &clock, &mut watch) => false,
        };
        if moved {
            watch.moved(clock.now());
        }
        if core.is_closed() {
            return;
        }
    }
}

/// One connection, and the rest after it.
async fn follow_on(
    agent: SocketAddr,
    core: &mpsc::Sender<Message>,
    contracts: &Contracts,
    clock: &Clock,
    watch: &mut Watch,
) {
    let rest = match follow(agent, core, contracts, clock, watch).await {
        Ok(()) => watch.parted(),
        Err(fault) => {
            let rest = watch.broke(&fault);
            let (faults, help) = (watch.faults(), fault.help());
            tracing::warn!(server = %agent, cause = %fault, faults, help, "discovery: the watch is begun anew");
            rest
        }
    };
    tokio::time::sleep(Duration::from_secs_f64(rest)).await;
}

/// One connection's life: call after call, each started as soon as the last answer is read.
async fn follow(
    agent: SocketAddr,
    core: &mpsc::Sender<Message>,
    contracts: &Contracts,
    clock: &Clock,
    watch: &mut Watch,
) -> Result<(), Fault> {
    let connect = tokio::time::timeout(Duration::from_secs_f64(DIAL), TcpStream::connect(agent));
    let mut stream = connect
        .await
        .map_err(|_| Fault::NoConnection { secs: DIAL })??;
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let Ask { call, patience } = watch.ask();
        let target = match call {
            Call::Whole => "/catalog/members".to_string(),
            Call::Since { revision, hold_ms } => {
                format!("/catalog/members?from={revision}&hold_ms={hold_ms}")
            }
        };
        let judge = contracts.current();
        let party: Arc<str> = "agent".into();
        let ask = Part {
            channel: "watch",
            word: "ask",
            direction: Direction::Request,
            payload: b"",
        };
        let asked = || target.clone();
        contracts.frame(&judge, Interface::Discovery, &party, ask, asked, ask_head);
        let call = format!("GET {target} HTTP/1.1\r\nHost: {agent}\r\n\r\n");
        let patience = Duration::from_secs_f64(patience);
        let answer =
            tokio::time::timeout(patience, exchange(&mut stream, &call, &mut buffer)).await;
        let answer = answer.map_err(|_| Fault::Silent {
            secs: patience.as_secs_f64(),
        })??;
        if answer.status != 200 {
            return Err(Fault::Status(answer.status));
        }
        let payload = &answer.body;
        let list = Part {
            channel: "watch",
            word: "list",
            direction: Direction::Response,
            payload,
        };
        contracts.frame(
            &judge,
            Interface::Discovery,
            &party,
            list,
            String::new,
            |_| json!({}),
        );
        let page: Page =
            serde_json::from_slice(&answer.body).map_err(|e| Fault::NoList(e.to_string()))?;
        let news = page.news();
        if watch.answered(clock.now(), news.revision) {
            tracing::warn!(server = %agent, "discovery: the list came after it counted as told");
        }
        if core.send(Message::Endpoints(news)).await.is_err() || answer.close {
            return Ok(());
        }
    }
}

/// The fields of a watch call: its parameters.
fn ask_head(target: &str) -> Value {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let number = |(name, value): (&str, &str)| (name.to_string(), json!(value.parse::<u64>().ok()));
    Value::Object(pairs.map(number).collect())
}

async fn exchange(
    stream: &mut TcpStream,
    call: &str,
    buffer: &mut Vec<u8>,
) -> Result<http::Response, Fault> {
    stream.write_all(call.as_bytes()).await?;
    loop {
        let read = stream.read_buf(buffer).await?;
        match http::parse_response(buffer, read == 0, MOST_LIST)
            .map_err(|bad| Fault::Unreadable(bad.message()))?
        {
            Some((response, used)) => {
                buffer.drain(..used);
                return Ok(response);
            }
            None if read == 0 => return Err(Fault::Closed),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
