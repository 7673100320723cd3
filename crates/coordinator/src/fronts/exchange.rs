//! What the fronts share: what a connection of theirs holds, a reply, and the wait for final answers under watch for
//! a client that goes away.

use super::client_connections::ClientConnections;
use crate::clock::Clock;
use crate::configuration::Limits;
use crate::contract::Contracts;
use crate::messages::{
    Answer, ClientRequest, ContractsInForce, Phase, Request, ServedConfiguration,
};
use crate::pipeline::request_queue;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// What a client may send ahead while its answer is made. Clients send one request at a time.
const MOST_AHEAD: usize = 16 * 1024;
/// What is dropped of a client's bytes at a go, and the pause after that: a flood must not take the whole core.
const DROPPED: usize = 256 * 1024;
const DROP_PAUSE: Duration = Duration::from_millis(5);
/// Advice where this machine is full or ends, in seconds, and in shortest aims if that is less: a client that is to come
/// back after its time does not come at all.
const FULL_ADVICE: f64 = 1.0;
const FULL_ADVICE_AIMS: f64 = 1.0;

/// What every connection of a front holds.
pub struct Front {
    /// What clients may ask for; it changes with the settings.
    pub offer: watch::Receiver<Arc<ServedConfiguration>>,
    pub core: mpsc::Sender<ClientRequest>,
    pub clock: Clock,
    pub phase: watch::Receiver<Phase>,
    pub limits: Limits,
    /// Where the connections of all fronts are counted.
    pub places: Rc<ClientConnections>,
    pub kind: Kind,
    /// Names for requests that bring none.
    pub names: Cell<u64>,
    pub contracts: Rc<Contracts>,
}

impl Front {
    /// What clients may ask for now.
    pub fn offer(&self) -> Arc<ServedConfiguration> {
        self.offer.borrow().clone()
    }

    /// When a client may come back that this machine has no room for, in seconds.
    pub fn advice(&self) -> f64 {
        FULL_ADVICE
            .min(FULL_ADVICE_AIMS * self.offer.borrow().deployment.shortest_latency_objective())
    }

    /// A name for a request that brings none: unlike any other of this or another coordinator's.
    pub fn fresh_name(&self) -> String {
        let number = self.names.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.names.set(number);
        let mixed = (number ^ (number >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        format!("{:016x}", mixed ^ (mixed >> 29))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Platform,
    OpenSearch,
}

/// A response on its way out.
pub struct Reply {
    pub status: u16,
    pub kind: &'static str,
    pub extra: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Reply {
            status,
            kind: "application/json",
            extra: Vec::new(),
            body,
        }
    }

    pub fn with(mut self, name: &'static str, value: String) -> Self {
        self.extra.push((name, value));
        self
    }
}

/// One request's way to the core and back; `Err`: its client is gone.
pub struct Exchange<'a> {
    pub front: &'a Front,
    pub stream: &'a mut TcpStream,
    pub buffer: &'a mut Vec<u8>,
    /// More was sent ahead than is kept: what lies behind the buffer is lost.
    pub overrun: &'a mut bool,
    /// What was in force when the request came.
    pub judge: ContractsInForce,
}

impl Exchange<'_> {
    /// Hands the requests to the core together and waits for their final answers. A client that closes its
    /// connection meanwhile has gone away, which withdraws them.
    pub async fn ask(&mut self, requests: Vec<Request>) -> Result<Vec<Answer>, ()> {
        let advice = self.front.advice();
        let handed = requests.into_iter().map(|mut request| {
            request.contracts = self.judge.clone();
            request.deadline = self.front.places.due(request.deadline);
            request_queue::submit(&self.front.core, request, advice)
        });
        let waiting: Vec<_> = handed.collect();
        let answers = async {
            let mut all = Vec::with_capacity(waiting.len());
            for answer in waiting {
                all.push(answer.await.unwrap_or(Answer::Failed { late: false }));
            }
            all
        };
        tokio::pin!(answers);
        loop {
            *self.overrun |= self.buffer.len() >= MOST_AHEAD;
            if *self.overrun {
                // It is read all the same: the client's end lies behind what it sent.
                tokio::select! {
                    biased;
                    all = &mut answers => return Ok(all),
                    () = discard(self.stream) => return Err(()),
                }
            }
            tokio::select! {
                biased;
                all = &mut answers => return Ok(all),
                read = self.stream.read_buf(self.buffer) => match read {
                    Ok(0) | Err(_) => return Err(()),
                    Ok(_) => {}
                },
            }
        }
    }
}

/// Reads and drops what still comes, at a bounded pace. Returns once the client has closed or reset its connection.
pub async fn discard(stream: &mut TcpStream) {
    let mut dropped = vec![0; 16 * 1024];
    loop {
        let mut left = DROPPED;
        while left > 0 {
            match stream.read(&mut dropped).await {
                Ok(bytes) if bytes > 0 => left = left.saturating_sub(bytes),
                _ => return,
            }
        }
        tokio::time::sleep(DROP_PAUSE).await;
    }
}

/// Seconds of advice, to the millisecond.
pub fn decimal(secs: f64) -> String {
    format!("{:.3}", secs.max(0.001))
}
