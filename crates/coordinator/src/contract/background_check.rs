//! Checks sampled messages on a separate thread. Messages arrive through a bounded backlog, and the core thread never
//! waits for its capacity.

use super::drift_log;
use super::lock;
use super::{HeaderParser, HttpFields, UNKNOWN_OPERATION};
use cairnroad_contract::conformance::{ObservedRequest, ObservedResponse, Violation};
use cairnroad_contract::drift::{DriftTracker, Interface, Observation};
use cairnroad_contract::enforcement::{BacklogLimit, InterfaceContract};
use cairnroad_contract::schema::Direction;
use cairnroad_types::Seconds;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The largest number of messages in the backlog. At a share of 1 this is about 0.1 s of a busy instance's traffic; a
/// thread that is further behind would not catch up with a longer backlog either.
const MAX_BACKLOG_MESSAGES: usize = 512;
/// The largest size of the messages in the backlog, in bytes.
const MAX_BACKLOG_BYTES: usize = 2 * 1024 * 1024;
/// The interval at which the thread empties the backlog. Waking the thread for each message would cost the core thread
/// more than handling the message.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A sampled message with the contract that was in force for it.
pub(super) struct SampledMessage {
    pub(super) contract: InterfaceContract,
    pub(super) interface: Interface,
    /// The sender: a server's id, or the name for all clients or for the coordinator.
    pub(super) party: Arc<str>,
    /// The time at which the message was seen, in seconds on the coordinator's clock.
    pub(super) seen_at: Seconds,
    /// The size that the message counts for in the backlog, in bytes.
    pub(super) size: usize,
    pub(super) content: SampledContent,
}

/// The content of a sampled message.
pub(super) enum SampledContent {
    /// An HTTP request with its response.
    Exchange(SampledExchange),
    /// A frame, or a message of the discovery watch.
    Message(SampledFrame),
}

/// An HTTP request and its response.
pub(super) struct SampledExchange {
    pub(super) request: SampledHttpRequest,
    pub(super) response: SampledResponse,
}

/// An HTTP request.
pub(super) struct SampledHttpRequest {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) fields: HttpFields,
    /// The body; empty if the request was already checked.
    pub(super) body: Vec<u8>,
    /// Whether the request was checked in place, before it was served.
    pub(super) already_checked: bool,
}

/// An HTTP response.
pub(super) struct SampledResponse {
    pub(super) status: u16,
    pub(super) fields: HttpFields,
    pub(super) body: Vec<u8>,
    /// Whether the whole body was received.
    pub(super) complete: bool,
}

/// A message of an AsyncAPI channel.
pub(super) struct SampledFrame {
    pub(super) channel: &'static str,
    pub(super) name: &'static str,
    pub(super) direction: Direction,
    pub(super) line: String,
    pub(super) parse_headers: HeaderParser,
    pub(super) payload: Vec<u8>,
}

/// Messages that wait for their check.
pub(super) struct Backlog {
    messages: Vec<SampledMessage>,
    limit: BacklogLimit,
}

impl Backlog {
    /// Creates an empty backlog.
    pub(super) fn new() -> Backlog {
        Backlog {
            messages: Vec::new(),
            limit: BacklogLimit::new(MAX_BACKLOG_MESSAGES, MAX_BACKLOG_BYTES),
        }
    }

    /// Adds a message. A message that exceeds the capacity is dropped and counted.
    pub(super) fn push(&mut self, message: SampledMessage) {
        if self.limit.try_reserve(message.size) {
            self.messages.push(message);
        }
    }

    /// Returns the number of messages dropped for lack of capacity since the start.
    pub(super) fn rejected(&self) -> u64 {
        self.limit.rejected
    }

    /// Removes and returns all waiting messages and frees their capacity.
    fn take(&mut self) -> Vec<SampledMessage> {
        let messages = std::mem::take(&mut self.messages);
        for message in &messages {
            self.limit.release(message.size);
        }
        messages
    }
}

/// Starts the thread that checks the messages of the backlog until the process exits.
pub(super) fn spawn(
    backlog: Arc<Mutex<Backlog>>,
    drift: Arc<Mutex<DriftTracker>>,
) -> std::io::Result<()> {
    let thread = std::thread::Builder::new().name("contract".into());
    thread.spawn(move || run(&backlog, &drift))?;
    Ok(())
}

fn run(backlog: &Mutex<Backlog>, drift: &Mutex<DriftTracker>) {
    loop {
        std::thread::sleep(CHECK_INTERVAL);
        let messages = lock(backlog).take();
        for message in messages {
            check(message, drift);
        }
    }
}

/// Checks one message and records the result.
fn check(message: SampledMessage, drift: &Mutex<DriftTracker>) {
    let SampledMessage {
        contract,
        interface,
        party,
        seen_at,
        content,
        ..
    } = message;
    let recorder = Recorder {
        drift,
        interface,
        party,
        seen_at,
    };
    match content {
        SampledContent::Exchange(exchange) => check_exchange(&contract, &exchange, &recorder),
        SampledContent::Message(frame) => {
            let headers = (frame.parse_headers)(&frame.line);
            let description = &contract.description;
            let found =
                description.check_message(frame.channel, frame.name, &headers, &frame.payload);
            recorder.record(found.operation, frame.direction, &found.violations);
        }
    }
}

/// Checks the request, unless it was checked in place, and the response if the operation is described.
fn check_exchange(contract: &InterfaceContract, exchange: &SampledExchange, recorder: &Recorder) {
    let description = &contract.description;
    let SampledExchange { request, response } = exchange;
    let operation = if request.already_checked {
        description.find_operation(&request.method, &request.target)
    } else {
        let observed = ObservedRequest {
            method: &request.method,
            target: &request.target,
            fields: &request.fields,
            body: &request.body,
        };
        let found = description.check_request(&observed);
        recorder.record(found.operation, Direction::Request, &found.violations);
        found.operation_index
    };
    let Some(operation) = operation else { return };
    let observed = ObservedResponse {
        status: response.status,
        fields: &response.fields,
        body: &response.body,
        complete: response.complete,
    };
    let found = description.check_response(operation, &observed);
    recorder.record(found.operation, Direction::Response, &found.violations);
}

/// Records the results of one message's checks.
struct Recorder<'d> {
    drift: &'d Mutex<DriftTracker>,
    interface: Interface,
    party: Arc<str>,
    seen_at: Seconds,
}

impl Recorder<'_> {
    fn record(&self, operation: Option<&Arc<str>>, direction: Direction, violations: &[Violation]) {
        let operation = match operation {
            Some(operation) => operation.clone(),
            None => Arc::from(UNKNOWN_OPERATION),
        };
        let observation = Observation {
            interface: self.interface,
            party: &self.party,
            operation: &operation,
            direction,
            violations,
        };
        drift_log::record(&mut lock(self.drift), self.seen_at, &observation);
    }
}
