//! The words that all parts of the program share: requests, attempts, outcomes and news, without any wire. It uses
//! nothing of the program, so that stages, pool, backends, fronts and discovery can each be read alone.

use cairnroad_admin::request::{AdminRequest, AdminResponse};
use cairnroad_contract::enforcement::ActiveContracts;
use cairnroad_settings::Deployment;
use cairnroad_types::{Outcome, RequestId, ServerState, Time};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

/// One part of a request: a shard, and its share of the whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    pub shard: u32,
    pub weight: f64,
}

/// What every part carries, unchanged.
#[derive(Clone, Debug, PartialEq)]
pub enum Text {
    /// A text that is nobody's but the client's and the servers'.
    Plain(Arc<str>),
    /// A JSON object of the query language.
    Query(Arc<str>),
}

impl Text {
    pub fn as_str(&self) -> &str {
        match self {
            Text::Plain(text) | Text::Query(text) => text,
        }
    }
}

/// The descriptions that were in force when a request came; `None`: none were.
pub type ContractsInForce = Option<Arc<ActiveContracts>>;

/// A request, whichever front it came by.
#[derive(Debug)]
pub struct Request {
    /// Its name among servers.
    pub name: Arc<str>,
    pub class: usize,
    /// When its client stops waiting.
    pub due: Time,
    pub repeat: bool,
    /// Expected work in seconds, if the client told.
    pub work: Option<f64>,
    pub parts: Vec<PartSpec>,
    pub text: Text,
    /// What its servers' answers are held against.
    pub judge: ContractsInForce,
}

/// What a server gave for a part, byte by byte as it came.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A value that is nobody's but the server's and the client's.
    Plain(Arc<[u8]>),
    /// A hits object of the query language.
    Hits(Arc<str>),
}

/// What became of one part of an answered request.
#[derive(Clone, Debug)]
pub struct PartAnswer {
    pub shard: u32,
    /// Its value, or why there is none.
    pub value: Result<Value, &'static str>,
}

/// The one final answer.
#[derive(Clone, Debug)]
pub enum Answer {
    Served {
        complete: bool,
        parts: Vec<PartAnswer>,
    },
    /// Trying again is harmless, after so many seconds.
    Rejected { retry_after: f64, busy: bool },
    /// Nothing is promised.
    Failed { late: bool },
    /// Not taken: its name was used before.
    DuplicateName,
}

/// A request and where its answer goes. A front that drops the other end has lost its client.
#[derive(Debug)]
pub struct ClientRequest {
    pub request: Request,
    pub reply: oneshot::Sender<Answer>,
}

/// One attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub part: RequestId,
    pub number: u8,
}

/// An attempt as a backend sends it.
#[derive(Clone, Debug)]
pub struct OutboundAttempt {
    /// Whether it is still to be sent. The core takes that back at once, wherever the job waits: behind a dial, or
    /// behind other frames.
    pub wanted: Rc<Cell<bool>>,
    /// The moment from which on it must not be sent any more, where its class sets one: a part that may have run is sent
    /// again only so long after.
    pub send_by: Option<Time>,
    pub attempt: Attempt,
    /// The request's name, the class's name and the shard.
    pub name: Arc<str>,
    pub class: Arc<str>,
    pub shard: u32,
    pub text: Text,
    pub until: Time,
    pub judge: ContractsInForce,
}

impl OutboundAttempt {
    /// Whether it may begin to be sent now.
    pub fn may_be_sent(&self, now: Time) -> bool {
        self.wanted.get() && self.send_by.is_none_or(|by| now < by)
    }
}

/// How an attempt ended, and what it brought.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub attempt: Attempt,
    pub outcome: Outcome,
    pub value: Option<Value>,
}

/// What an answer says.
#[derive(Clone, Debug, Default)]
pub struct EndpointListUpdate {
    pub revision: u64,
    pub complete: bool,
    pub rows: Vec<EndpointEntry>,
}

/// One server's line, understood.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
    /// Its locality, as a number; 0 where none is told.
    pub zone: u32,
    pub state: ServerState,
    pub size: f64,
    /// Its share of turns, and the generation of the list that it stands in; 1 and 0 where lists have none.
    pub weight: f64,
    pub generation: u64,
    pub ready_at: Option<Time>,
}

/// What a connection tells the core.
pub struct ConnectionReport {
    pub connection: u64,
    pub event: ConnectionEvent,
}

pub enum ConnectionEvent {
    Connected,
    /// An answer to a cancelled part.
    Heard,
    AttemptEnded {
        attempt: Attempt,
        outcome: Outcome,
        value: Option<Value>,
    },
    HealthCheckEnded {
        outcome: Outcome,
        report: Vec<f64>,
    },
    Closed,
}

/// What reaches the core from outside its task.
pub enum Message {
    Endpoints(EndpointListUpdate),
    Connection(ConnectionReport),
    /// An operator's call, and where its end is told.
    Admin(AdminRequest, oneshot::Sender<AdminResponse>),
    /// The data nodes that peers doubt.
    OutlierAdvice(Vec<String>),
    /// Every request has to have its final answer by this moment: the program is told to stop.
    FinishBy(Time),
    /// Other settings, the indices that go by their classes, and where it is told what became of them.
    Reconfigure(
        Box<ServedConfiguration>,
        oneshot::Sender<Result<Arc<ServedConfiguration>, String>>,
    ),
}

/// What clients may ask for, and by which terms.
#[derive(Clone, Debug, Default)]
pub struct ServedConfiguration {
    pub deployment: Deployment,
    pub indices: Vec<Index>,
}

/// An index of the query API: a class of query over a range of shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Index {
    pub name: String,
    pub class: usize,
    pub first: u32,
    pub last: u32,
}

/// The state that `/_health` and the connections of a stopping program go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Starting,
    Serving,
    /// Operators send clients away: all that comes is still answered.
    Drained,
    /// Told to stop: all that comes is still answered.
    Stopping,
    /// Idle connections are closed.
    Closing,
    /// What has come in part is refused.
    Refusing,
}
