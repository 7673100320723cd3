//! The list of servers: the agent's wire form, and the watch that keeps it fresh.

use crate::http;
use crate::log;
use crate::words::{Message, News, Row};
use cairnroad::{ListNews, Listed, ServerId, ServerState, Time};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// How long one watch call may wait. Short, so that a watch whose answer was lost is soon renewed.
const HOLD_MS: u64 = 2_000;
/// How long after that the agent is taken to be silent.
const SILENCE: Duration = Duration::from_millis(HOLD_MS + 1_000);
/// How long the first list may take.
const FIRST: Duration = Duration::from_millis(1_000);
/// Pause before a new connection after a fault. Well under the 200 ms within which a watch goes on.
const PAUSE: Duration = Duration::from_millis(50);
/// The largest list that is read.
const MOST_LIST: usize = 1024 * 1024;

/// One server's line.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    id: String,
    host_port: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: i64,
}

fn one() -> f64 {
    1.0
}

/// An answer of the agent.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    #[serde(default)]
    revision: u64,
    complete: bool,
    members: Vec<Box<RawValue>>,
}

impl Page {
    /// What the page says. A line that can't be read costs nobody but its own server, which counts as left out.
    pub fn news(self) -> News {
        let row = |line: &RawValue| {
            let member: Member = serde_json::from_str(line.get()).map_err(|e| format!("members: {e}"))?;
            let state = match member.phase.as_str() {
                "active" => ServerState::Ready,
                "leaving" => ServerState::Draining,
                "left" => ServerState::Gone,
                // Not said to be active: it gets nothing new.
                other => {
                    log!("discovery: members: phase '{other}' of {} is unknown", member.id);
                    ServerState::Draining
                }
            };
            let address = member.host_port.parse().map_err(|_| {
                format!("members: host_port '{}' of {} is not an address", member.host_port, member.id)
            })?;
            let ready_at = (member.up_since_ms > 0).then(|| Time(member.up_since_ms.saturating_mul(1000)));
            Ok(Row { id: member.id, address, cell: member.cell, state, size: member.size, ready_at })
        };
        let read = |line: &RawValue| row(line).inspect_err(|text: &String| log!("discovery: {text}")).ok();
        let rows = self.members.iter().filter_map(|line| read(line)).collect();
        News { revision: self.revision, complete: self.complete, rows }
    }
}

/// The numbers that the decisions know servers by, given out in the order in which ids are first heard of and
/// never twice. An id that is gone is forgotten: on a long day servers are replaced under new ids without end.
#[derive(Default)]
pub struct Directory {
    numbers: BTreeMap<String, ServerId>,
    next: u32,
}

impl Directory {
    /// The rows with their servers' numbers. One that comes back after it was gone gets a new number.
    pub fn number(&mut self, news: &News) -> Vec<(ServerId, Row)> {
        let mut rows = Vec::with_capacity(news.rows.len());
        for row in &news.rows {
            let known = self.numbers.get(&row.id).copied();
            let number = match (known, row.state) {
                (Some(number), ServerState::Gone) => {
                    self.numbers.remove(&row.id);
                    number
                }
                (Some(number), _) => number,
                (None, ServerState::Gone) => continue,
                (None, _) => {
                    let number = ServerId(self.next);
                    self.next += 1;
                    self.numbers.insert(row.id.clone(), number);
                    number
                }
            };
            rows.push((number, row.clone()));
        }
        if news.complete && !rows.is_empty() {
            let listed: BTreeSet<ServerId> = rows.iter().map(|(number, _)| *number).collect();
            self.numbers.retain(|_, number| listed.contains(number));
        }
        rows
    }

    /// How many servers have a number.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.numbers.len()
    }
}

/// The news in the decisions' words.
pub fn list_news(rows: &[(ServerId, Row)], complete: bool, cached: bool) -> ListNews {
    let listed = |(server, row): &(ServerId, Row)| Listed {
        server: *server,
        cell: row.cell,
        state: row.state,
        size: row.size,
        ready_at: row.ready_at,
    };
    let rows = rows.iter().map(listed).collect();
    match (cached, complete) {
        (true, _) => ListNews::Cached(rows),
        (_, true) => ListNews::Full(rows),
        _ => ListNews::Delta(rows),
    }
}

/// Watches the agent for good and tells the core what it says. A new address drops the call that is held at the
/// old one, or the pause before the next: the old agent may say nothing more, and another agent's revisions are
/// its own, so the watch starts over there with the whole list.
pub async fn watch(mut agents: watch::Receiver<SocketAddr>, core: mpsc::Sender<Message>) {
    let mut revision = None;
    let mut faults = 0u32;
    loop {
        let agent = *agents.borrow_and_update();
        let moved = tokio::select! {
            biased;
            Ok(()) = agents.changed() => true,
            () = follow_on(agent, &core, &mut revision, &mut faults) => false,
        };
        if moved {
            (revision, faults) = (None, 0);
        }
        if core.is_closed() {
            return;
        }
    }
}

/// One connection, and the pause after it.
async fn follow_on(
    agent: SocketAddr,
    core: &mpsc::Sender<Message>,
    revision: &mut Option<u64>,
    faults: &mut u32,
) {
    if let Err(text) = follow(agent, core, revision, faults).await {
        *faults += 1;
        log!("discovery: {text}");
    }
    // A first fault is tried again at once: the watch must go on within 200 ms.
    tokio::time::sleep(PAUSE * (*faults).min(10)).await;
}

/// One connection's life: call after call, each started as soon as the last answer is read.
async fn follow(
    agent: SocketAddr,
    core: &mpsc::Sender<Message>,
    revision: &mut Option<u64>,
    faults: &mut u32,
) -> Result<(), String> {
    let connect = tokio::time::timeout(FIRST, TcpStream::connect(agent));
    let mut stream = connect.await.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let (target, patience) = match revision {
            None => ("/catalog/members".to_string(), FIRST),
            Some(from) => (format!("/catalog/members?from={from}&hold_ms={HOLD_MS}"), SILENCE),
        };
        let call = format!("GET {target} HTTP/1.1\r\nHost: {agent}\r\n\r\n");
        let answer = tokio::time::timeout(patience, exchange(&mut stream, &call, &mut buffer));
        let answer = answer.await.map_err(|_| "the agent is silent")??;
        if answer.status != 200 {
            // A watch from a version that the agent no longer knows starts over with the whole list.
            *revision = None;
            return Err(format!("the agent answered {}", answer.status));
        }
        let page: Page = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
        let news = page.news();
        *revision = Some(news.revision);
        *faults = 0;
        if core.send(Message::News(news)).await.is_err() || answer.close {
            return Ok(());
        }
    }
}

async fn exchange(
    stream: &mut TcpStream,
    call: &str,
    buffer: &mut Vec<u8>,
) -> Result<http::Response, String> {
    stream.write_all(call.as_bytes()).await.map_err(|e| e.to_string())?;
    loop {
        let read = stream.read_buf(buffer).await.map_err(|e| e.to_string())?;
        match http::response(buffer, read == 0, MOST_LIST).map_err(|bad| bad.text())? {
            Some((response, used)) => {
                buffer.drain(..used);
                return Ok(response);
            }
            None if read == 0 => return Err("the agent closed the connection".into()),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_list_is_understood_and_numbered_by_first_sight() {
        let text = r#"{"revision":43,"complete":false,"members":[{"id":"s-b","host_port":"10.1.0.18:9000",
            "locality":"a","flavor":"m2","cell":3,"phase":"leaving","size":1.0,"up_since_ms":1500}]}"#;
        let read = |text: &str| serde_json::from_str::<Page>(text).unwrap().news();
        let news = read(text);
        assert_eq!((news.revision, news.complete, news.rows[0].state), (43, false, ServerState::Draining));
        assert_eq!(news.rows[0].ready_at, Some(Time(1_500_000)));
        let mut directory = Directory::default();
        let rows = directory.number(&news);
        assert_eq!((rows[0].0, directory.number(&news)[0].0), (ServerId(0), ServerId(0)));
        assert!(matches!(list_news(&rows, false, false), ListNews::Delta(_)));
        assert!(directory.number(&read(&text.replace("leaving", "left"))).len() == 1 && directory.len() == 0);
        assert_eq!(directory.number(&news)[0].0, ServerId(1), "a number is never given twice");
    }

    /// Guards against one unreadable line that fails its page, and with it all news.
    #[test]
    fn a_line_that_cannot_be_read_costs_nobody_else() {
        let line = |id: &str, address: &str, phase: &str| {
            format!(r#"{{"id":"{id}","host_port":"{address}","cell":1,"phase":"{phase}"}}"#)
        };
        let odd = [
            line("s-a", "10.1.0.1:9000", "active"),
            line("s-b", "nowhere", "active"),
            line("s-c", "10.1.0.2:9000", "asleep"),
            "17".into(),
            r#"{"id":null}"#.into(),
            line("s-d", "10.1.0.3:9000", "leaving"),
        ];
        let text = format!(r#"{{"revision":7,"complete":true,"members":[{}]}}"#, odd.join(","));
        let news = serde_json::from_str::<Page>(&text).unwrap().news();
        let ids: Vec<&str> = news.rows.iter().map(|row| row.id.as_str()).collect();
        assert_eq!((news.revision, ids), (7, vec!["s-a", "s-c", "s-d"]));
        assert_eq!(news.rows[1].state, ServerState::Draining, "an unknown phase is not 'active'");
    }
}
