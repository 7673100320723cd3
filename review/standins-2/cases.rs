//! The cases. Each returns whether its rule held.

use crate::world::*;
use std::io::{Result, Write};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;

type Case = fn(&Record, &Path, bool) -> Result<Verdict>;

pub fn find(name: &str) -> Option<Case> {
    let case: Case = match name {
        "pipeline" => pipeline,
        "gone" => gone,
        "slow-discovery" => slow_discovery,
        "half-written" => half_written,
        "linked-list" => linked_list,
        "short-length" => short_length,
        _ => return None,
    };
    Some(case)
}

/// Nodes, discovery and a coordinator that follows it.
fn deployment(record: &Record, folder: &Path) -> Result<(Vec<Arc<Node>>, Arc<Agent>, Coordinator)> {
    let nodes = start_nodes(record, NODES, 66.0, 38.0)?;
    let agent = Agent::start(record, &nodes)?;
    let setup = Setup { folder, agent: Some(agent.address), known: agent.whole(), project_file: String::new(), sockets: 1024 };
    let coordinator = Coordinator::start(record, &setup)?;
    Ok((nodes, agent, coordinator))
}

/// A few queries, one after the other; fails if one is not served.
fn warm_up(record: &Record, coordinator: &Coordinator) -> Result<()> {
    for number in 0..SHARDS {
        let id = format!("3a30{number:012x}");
        match ask(record, coordinator.address, &id, "pick-confirm", 2.5, &[number]) {
            Wait::Answered(answer) if answer.status == 200 => {}
            other => return Err(std::io::Error::other(format!("a query of the warm-up was not served: {other:?}"))),
        }
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------------------------------

/// A client sends many queries at once on one connection.
fn pipeline(record: &Record, folder: &Path, trouble: bool) -> Result<Verdict> {
    const QUERIES: usize = 30;
    const DEADLINE: f64 = 2.0;
    /// How long after its time a final answer still counts, with the slack on sockets.
    const LATEST: f64 = 0.5 + SOCKET_SLACK;
    let (_nodes, _agent, mut coordinator) = deployment(record, folder)?;
    warm_up(record, &coordinator)?;
    let mut connection = Connection::open(record, coordinator.address)?;
    let ids: Vec<String> = (0..QUERIES).map(|number| format!("c11e{number:012x}")).collect();
    let bytes = |number: usize| query(&ids[number], "pick-confirm", DEADLINE, &[number as u32 % SHARDS], &ids[number]);
    let mut sent = [0.0; QUERIES];
    if trouble {
        let all: Vec<u8> = (0..QUERIES).flat_map(bytes).collect();
        connection.send(&all)?;
        sent = [record.now(); QUERIES];
        record.line(&format!("client sent {QUERIES} queries at once, {} bytes", all.len()));
    }
    let (mut lost, mut late, mut unread) = (Vec::new(), Vec::new(), 0);
    for number in 0..QUERIES {
        if !trouble {
            connection.send(&bytes(number))?;
            sent[number] = record.now();
        }
        let id = &ids[number];
        match connection.answer(sent[number] + DEADLINE + 2.0) {
            Wait::Answered(answer) => {
                let after = answer.at - sent[number];
                record.line(&format!("client {id} answered {} after {after:.3} s", answer.status));
                if after > DEADLINE + LATEST {
                    late.push(id.clone());
                }
            }
            Wait::Reset => {
                // Closed over unread bytes: the client would send it once more on a new connection.
                record.line(&format!("client {id}: connection reset"));
                unread += 1;
            }
            other => {
                record.line(&format!("client {id}: no answer: {other:?}"));
                lost.push(id.clone());
            }
        }
    }
    if coordinator.has_ended() {
        return Ok(Verdict::Broken("the coordinator ended".into()));
    }
    let text = format!("{} of {QUERIES} queries never answered, {} answered over {LATEST} s after their time, {unread} unread", lost.len(), late.len());
    Ok(if lost.is_empty() && late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

// ---------------------------------------------------------------------------------------------------------------------

/// Clients send a query and much more behind it, and go.
fn gone(record: &Record, folder: &Path, trouble: bool) -> Result<Verdict> {
    const CLIENTS: usize = 48;
    /// How long each client sends, in seconds.
    const SENDS_FOR: f64 = 0.25;
    /// How long after a client's close an attempt may still begin, with the slack on sockets.
    const LATEST: f64 = 0.1 + SOCKET_SLACK;
    let (nodes, _agent, mut coordinator) = deployment(record, folder)?;
    warm_up(record, &coordinator)?;
    // Two of twelve take parts and answer none; each of their shards keeps a sound holder.
    for silent in [0, 1] {
        *nodes[silent].mood.lock().unwrap() = Mood::Silent;
    }
    let address = coordinator.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || -> Result<(String, f64)> {
                let id = format!("60e0{number:012x}");
                let mut connection = Connection::open(&record, address)?;
                connection.send(&query(&id, "stock-search", 2.0, &[number as u32 % SHARDS], &id))?;
                let sent = record.now();
                record.line_at(sent, &format!("client {id} sent its query"));
                let mut bytes = 0;
                if trouble {
                    let noise = vec![b'x'; 64 * 1024];
                    connection.stream.set_write_timeout(Some(std::time::Duration::from_millis(20)))?;
                    while record.now() < sent + SENDS_FOR {
                        bytes += connection.stream.write(&noise).unwrap_or(0);
                    }
                } else {
                    sleep(SENDS_FOR);
                }
                let closed = connection.close();
                record.line_at(closed, &format!("client {id} closed, {bytes} more bytes sent"));
                Ok((id, closed))
            })
        })
        .collect();
    let mut closes = Vec::new();
    for client in clients {
        closes.push(client.join().unwrap()?);
    }
    sleep(4.0);
    let mut breaks = 0;
    let mut worst: f64 = 0.0;
    for node in &nodes {
        for arrival in node.arrivals.lock().unwrap().iter() {
            let close = closes.iter().find(|(id, _)| arrival.id.starts_with(&format!("{id}.")));
            let Some((id, closed)) = close else { continue };
            let after = arrival.at - closed;
            if after > LATEST {
                breaks += 1;
                worst = worst.max(after);
                record.line_at(arrival.at, &format!("part {} of {id} begun {after:.3} s after its client closed", arrival.id));
            }
        }
    }
    if coordinator.has_ended() {
        return Ok(Verdict::Broken("the coordinator ended".into()));
    }
    let text = format!("{breaks} attempts began over {LATEST:.2} s after their client's close, the latest {worst:.3} s");
    Ok(if breaks == 0 { Verdict::Held(text) } else { Verdict::Broken(text) })
}

// ---------------------------------------------------------------------------------------------------------------------

/// Discovery answers slowly, then a data node begins to drain.
fn slow_discovery(record: &Record, folder: &Path, trouble: bool) -> Result<Verdict> {
    const DELAY_MS: u64 = 1200;
    /// When a change counts as told at the latest, in seconds after discovery had it.
    const TOLD_WITHIN: f64 = 6.0;
    let (nodes, agent, mut coordinator) = deployment(record, folder)?;
    warm_up(record, &coordinator)?;
    let mut load = Load::start(record, coordinator.address, 14.0);
    sleep(2.0);
    if trouble {
        agent.delay_ms.store(DELAY_MS, Ordering::SeqCst);
        record.line(&format!("discovery is slow from now on: each answer {DELAY_MS} ms late"));
    }
    sleep(8.0);
    let had = agent.set_phase(&nodes[0], "leaving");
    sleep(20.0);
    load.stop();
    let latest = had + TOLD_WITHIN + DRAIN_GRACE + SOCKET_SLACK;
    let arrivals = nodes[0].arrivals.lock().unwrap();
    let late: Vec<f64> = arrivals.iter().map(|arrival| arrival.at).filter(|at| *at > latest).collect();
    if coordinator.has_ended() {
        return Ok(Verdict::Broken("the coordinator ended".into()));
    }
    let last = arrivals.last().map_or(0.0, |arrival| arrival.at - had);
    let text = format!(
        "{} parts reached the draining node after the latest time ({:.2} s after discovery had it), the last one of all {last:.2} s after; {} queries served",
        late.len(),
        latest - had,
        load.served.load(Ordering::SeqCst)
    );
    Ok(if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

// ---------------------------------------------------------------------------------------------------------------------

/// A list of servers as a file. All entries have the same length.
fn list_file(generation: u32, servers: &[(&Node, u32)]) -> String {
    let mut text = format!("generation = {generation}\n");
    for (node, cell) in servers {
        text.push_str(&format!(
            "\n[[server]]\nid = \"{}\"\naddress = \"{}\"\ncell = {cell}\nlocality = \"kita-room\"\nkind = \"std-2core\"\n",
            node.name, node.address
        ));
    }
    text.push_str("\n# end\n");
    text
}

fn late_arrivals(record: &Record, node: &Node, from: f64, to: f64) -> usize {
    let arrivals = node.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|arrival| arrival.at > from && arrival.at <= to);
    late.map(|arrival| record.line_at(arrival.at, &format!("{} reached {}, which the list no longer names", arrival.id, node.name))).count()
}

/// The list's file is overwritten in place, in two writes with a pause between them.
fn half_written(record: &Record, folder: &Path, trouble: bool) -> Result<Verdict> {
    let nodes = start_nodes(record, NODES + 2, 66.0, 38.0)?;
    let path = folder.join("servers.toml");
    let old: Vec<(&Node, u32)> = nodes[..NODES].iter().map(|node| (&**node, node.index as u32 % CELLS)).collect();
    // Two servers are replaced by new ones: the first and the last of the file.
    let mut new = old.clone();
    new[0] = (&*nodes[NODES], 0);
    new[NODES - 1] = (&*nodes[NODES + 1], (NODES as u32 - 1) % CELLS);
    std::fs::write(&path, list_file(7, &old))?;
    let project_file = "[membership]\nsource = \"files\"\npath = \"servers.toml\"\n".to_string();
    let mut coordinator = Coordinator::start(record, &Setup { folder, agent: None, known: String::new(), project_file, sockets: 1024 })?;
    warm_up(record, &coordinator)?;
    let mut load = Load::start(record, coordinator.address, 14.0);
    sleep(2.0);
    let text = list_file(8, &new);
    if text.len() != list_file(7, &old).len() {
        return Ok(Verdict::CouldNotRun("the two lists differ in length".into()));
    }
    let mut file = std::fs::OpenOptions::new().write(true).open(&path)?;
    if trouble {
        let half = text.len() / 2;
        file.write_all(&text.as_bytes()[..half])?;
        record.line("the first half of the new list is written over the old one");
        sleep(0.4);
        file.write_all(&text.as_bytes()[half..])?;
    } else {
        file.write_all(text.as_bytes())?;
    }
    drop(file);
    let written = record.now();
    record.line_at(written, &format!("the new list is written: {} and {} are removed", nodes[0].name, nodes[NODES - 1].name));
    sleep(8.0);
    let end = record.now();
    load.stop();
    let latest = written + DRAIN_GRACE + SOCKET_SLACK;
    let late: usize = [0, NODES - 1].iter().map(|&index| late_arrivals(record, &nodes[index], latest, end)).sum();
    if coordinator.has_ended() {
        return Ok(Verdict::Broken("the coordinator ended".into()));
    }
    let text = format!("{late} parts reached removed servers over {:.2} s after the list was written", latest - written);
    Ok(if late == 0 { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// The path of the list is a symbolic link, and the file that it names is replaced.
fn linked_list(record: &Record, folder: &Path, trouble: bool) -> Result<Verdict> {
    let nodes = start_nodes(record, NODES, 66.0, 38.0)?;
    let lists = folder.join("lists");
    std::fs::create_dir_all(&lists)?;
    let target = lists.join("servers.toml");
    std::os::unix::fs::symlink(&target, folder.join("servers.toml"))?;
    let all: Vec<(&Node, u32)> = nodes.iter().map(|node| (&**node, node.index as u32 % CELLS)).collect();
    std::fs::write(&target, list_file(7, &all))?;
    let project_file = "[membership]\nsource = \"files\"\npath = \"servers.toml\"\n".to_string();
    let mut coordinator = Coordinator::start(record, &Setup { folder, agent: None, known: String::new(), project_file, sockets: 1024 })?;
    warm_up(record, &coordinator)?;
    let mut load = Load::start(record, coordinator.address, 60.0);
    sleep(2.0);
    let mut late = 0;
    if trouble {
        // One server is removed at a time, from another cell each.
        for (step, removed) in [0usize, 1, 2, 3, 4].into_iter().enumerate() {
            let rest: Vec<(&Node, u32)> = all.iter().filter(|(node, _)| node.index > removed).copied().collect();
            let next = lists.join("next");
            std::fs::write(&next, list_file(8 + step as u32, &rest))?;
            std::fs::rename(&next, &target)?;
            let written = record.now();
            record.line_at(written, &format!("{} removed from the list", nodes[removed].name));
            sleep(3.27);
            late += late_arrivals(record, &nodes[removed], written + DRAIN_GRACE + SOCKET_SLACK, record.now());
        }
    } else {
        sleep(10.0);
    }
    load.stop();
    if coordinator.has_ended() {
        return Ok(Verdict::Broken("the coordinator ended".into()));
    }
    let text = format!("{late} parts reached a removed server over {:.2} s after the list was written", DRAIN_GRACE + SOCKET_SLACK);
    Ok(if late == 0 { Verdict::Held(text) } else { Verdict::Broken(text) })
}

// ---------------------------------------------------------------------------------------------------------------------

/// Some answers state a length that is too short. All answers come in two pieces.
fn short_length(record: &Record, folder: &Path, trouble: bool) -> Result<Verdict> {
    const QUERIES: u32 = 72;
    let (nodes, _agent, mut coordinator) = deployment(record, folder)?;
    warm_up(record, &coordinator)?;
    for node in &nodes {
        node.in_pieces.store(true, Ordering::SeqCst);
        node.short_every.store(if trouble { 6 } else { 0 }, Ordering::SeqCst);
    }
    let (mut served, mut wrong) = (0, 0);
    for number in 0..QUERIES {
        let id = format!("5407{number:012x}");
        let shard = number % SHARDS;
        let Wait::Answered(answer) = ask(record, coordinator.address, &id, "pick-confirm", 2.5, &[shard]) else { continue };
        if answer.status != 200 {
            continue;
        }
        served += 1;
        let expected = value_of(shard, &format!("t{id}"));
        if !answer.body.contains(&format!("\"doc\":\"{expected}\"")) {
            wrong += 1;
            record.line(&format!("client {id} was served {} instead of {expected}", answer.body));
        }
    }
    if coordinator.has_ended() {
        return Ok(Verdict::Broken("the coordinator ended".into()));
    }
    let text = format!("{wrong} of {served} served queries got a value that no data node made for them");
    Ok(if served == 0 {
        Verdict::CouldNotRun("no query was served".into())
    } else if wrong == 0 {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
