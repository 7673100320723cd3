//! Traffic on its way past the descriptions in force. What is decided about it stands in `cairnroad_contract`; here
//! messages are handed over: under `observe` to a thread of its own, by a bounded queue that is never waited for;
//! under `enforce` in place, before anything is done with them.

use crate::clock::Clock;
use crate::configuration::{BackendKind, ContractSettings};
use crate::http;
use crate::messages::{ContractsInForce, EndpointEntry};
use cairnroad_contract::conformance::{ObservedRequest, ObservedResponse, Violation};
use cairnroad_contract::drift::{DriftTracker, Interface, KnownServer, Observation};
use cairnroad_contract::enforcement::{
    decide_request, is_response_usable, ActiveContracts, BacklogLimit, FaultyContracts,
    InterfaceContract, LoadError, Mode, Rejection, RequestDecision, Sampler,
};
use cairnroad_contract::model::{Description, Kind};
use cairnroad_contract::schema::Direction;
use cairnroad_types::ServerState;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Messages and bytes that may wait to be looked at. At full share this is some tenth of a second of a busy instance;
/// a thread that is further behind will not catch up by a longer queue.
const MAX_WAITING: usize = 512;
const MAX_WAITING_BYTES: usize = 2 * 1024 * 1024;
/// How often the thread aside looks. Waking it for each message would cost the core's thread more than the message.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Old entries are looked for after so many messages.
const EXPIRE_EVERY_MESSAGES: u64 = 4096;

/// Stands for the operation where none is described.
const UNKNOWN: &str = "(not described)";

type Fields = Vec<(String, String)>;

/// A message, and the description in force for it.
struct Item {
    held: InterfaceContract,
    interface: Interface,
    party: Arc<str>,
    now: f64,
    bytes: usize,
    what: What,
}

enum What {
    Exchange {
        method: String,
        target: String,
        fields: Fields,
        body: Vec<u8>,
        /// The request was judged before it was served.
        judged: bool,
        answer: Option<(u16, Fields, Vec<u8>, bool)>,
    },
    Frame {
        channel: &'static str,
        word: &'static str,
        direction: Direction,
        line: String,
        head: Head,
        payload: Vec<u8>,
    },
}

/// Makes the fields of a message's head from its line.
pub type Head = fn(&str) -> Value;

/// What waits to be looked at.
struct Waiting {
    items: Vec<Item>,
    room: BacklogLimit,
}

/// A client's request that is looked at, until its answer is known.
pub struct Watched {
    held: InterfaceContract,
    interface: Interface,
    judged: bool,
    method: String,
    target: String,
    fields: Fields,
    body: Vec<u8>,
}

/// What a frame or a page brings.
pub struct Part<'p> {
    pub channel: &'static str,
    pub word: &'static str,
    pub direction: Direction,
    pub payload: &'p [u8],
}

/// See the module's page.
pub struct Contracts {
    clock: Clock,
    in_force: RefCell<ContractsInForce>,
    samplers: RefCell<BTreeMap<Interface, Sampler>>,
    ledger: Arc<Mutex<DriftTracker>>,
    waiting: Arc<Mutex<Waiting>>,
    /// Whether the thread aside runs.
    looking: Cell<bool>,
    servers: RefCell<BTreeMap<Arc<str>, Option<f64>>>,
    clients: Arc<str>,
    own: Arc<str>,
    unknown: Arc<str>,
    pages: RefCell<Pages>,
}

/// The coordinator's own descriptions, as they are served.
#[derive(Default)]
pub struct Pages {
    pub openapi: Vec<u8>,
    pub asyncapi: Vec<u8>,
}

/// Why descriptions that were read don't come into force.
#[derive(Debug, thiserror::Error)]
pub enum AdoptError {
    /// One of them can't be used.
    #[error(transparent)]
    Faulty(#[from] FaultyContracts),
    /// The thread that checks sampled messages can't be started.
    #[error("a thread: {0}")]
    Thread(#[source] std::io::Error),
}

/// A lock whose holder can't have left its content half changed: each change is one call.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads the descriptions that a configuration names. This takes files and time: not for the core's thread.
pub fn read(
    plans: &[(Interface, ContractSettings)],
    backend: BackendKind,
) -> Vec<(Interface, Result<InterfaceContract, LoadError>)> {
    let one = |interface: Interface, plan: &ContractSettings| {
        let description = Description::open(&plan.path).map_err(LoadError::Faulty)?;
        let wanted = match (interface, backend) {
            (Interface::Platform | Interface::Query, _)
            | (Interface::Servers, BackendKind::OpenSearch) => Kind::OpenApi,
            _ => Kind::AsyncApi,
        };
        if description.kind != wanted {
            return Err(LoadError::WrongFormat {
                path: plan.path.display().to_string(),
                expected: wanted,
                found: description.kind,
            });
        }
        Ok(InterfaceContract {
            mode: plan.mode,
            share: plan.share,
            description: Arc::new(description.slim()),
        })
    };
    plans
        .iter()
        .map(|(interface, plan)| (*interface, one(*interface, plan)))
        .collect()
}

impl Contracts {
    /// With nothing in force yet.
    pub fn new(clock: Clock, pages: Pages) -> Contracts {
        Contracts {
            clock,
            in_force: RefCell::default(),
            samplers: RefCell::default(),
            ledger: Arc::default(),
            waiting: Arc::new(Mutex::new(Waiting {
                items: Vec::new(),
                room: BacklogLimit::new(MAX_WAITING, MAX_WAITING_BYTES),
            })),
            looking: Cell::new(false),
            servers: RefCell::default(),
            clients: "clients".into(),
            own: "coordinator".into(),
            unknown: UNKNOWN.into(),
            pages: RefCell::new(pages),
        }
    }

    /// Puts into force what was read, whole or not at all.
    pub fn adopt(
        &self,
        read: Vec<(Interface, Result<InterfaceContract, LoadError>)>,
    ) -> Result<(), AdoptError> {
        let old = self.in_force.borrow().clone().unwrap_or_default();
        let (next, changed) = old.replaced_by(read)?;
        let mut ledger = lock(&self.ledger);
        changed
            .iter()
            .for_each(|interface| ledger.remove(*interface));
        drop(ledger);
        let samplers = next
            .all()
            .map(|(interface, held)| (interface, Sampler::new(held.share)))
            .collect();
        self.samplers.replace(samplers);
        for (interface, held) in next.all() {
            let (mode, share, title) = (held.mode, held.share, &held.description.title);
            tracing::info!(%interface, ?mode, share, description = title, "contract in force");
        }
        if !next.is_off() && !self.looking.get() {
            let (ledger, waiting) = (self.ledger.clone(), self.waiting.clone());
            let thread = std::thread::Builder::new().name("contract".into());
            thread
                .spawn(move || look(&waiting, &ledger))
                .map_err(AdoptError::Thread)?;
            self.looking.set(true);
        }
        // With nothing in force, requests carry nothing and nothing is asked of them.
        self.in_force
            .replace((!next.is_off()).then(|| Arc::new(next)));
        self.tell_servers();
        Ok(())
    }

    /// What is in force for a request that comes now; `None`: nothing.
    pub fn current(&self) -> ContractsInForce {
        self.in_force.borrow().clone()
    }

    /// Takes in news of the servers, so that the ledger knows who is there and since when.
    pub fn note_list(&self, rows: &[EndpointEntry], complete: bool) {
        let mut servers = self.servers.borrow_mut();
        if complete && !rows.is_empty() {
            let listed: BTreeSet<&str> = rows.iter().map(|row| row.id.as_str()).collect();
            servers.retain(|id, _| listed.contains(id.as_ref()));
        }
        for row in rows {
            match row.state {
                ServerState::Removed => servers.remove(row.id.as_str()),
                _ => servers.insert(
                    row.id.as_str().into(),
                    row.ready_at.map(|at| at.0 as f64 / 1e6),
                ),
            };
        }
        drop(servers);
        if self.in_force.borrow().is_some() {
            self.tell_servers();
        }
    }

    /// Tells the ledger who is there.
    fn tell_servers(&self) {
        let servers = self.servers.borrow();
        let server = |(id, started): (&Arc<str>, &Option<f64>)| KnownServer {
            id: id.clone(),
            started: *started,
        };
        lock(&self.ledger).update_servers(&servers.iter().map(server).collect::<Vec<_>>());
    }

    fn now(&self) -> f64 {
        self.clock.now().0 as f64 / 1e6
    }

    fn sampled(&self, interface: Interface) -> bool {
        self.samplers
            .borrow_mut()
            .get_mut(&interface)
            .is_some_and(Sampler::sample)
    }

    /// Hands a message to the thread aside, if there is room.
    fn send(&self, item: Item) {
        let mut waiting = lock(&self.waiting);
        if waiting.room.try_reserve(item.bytes) {
            waiting.items.push(item);
        }
    }

    /// Notes in place what was judged in place.
    fn note(
        &self,
        interface: Interface,
        party: &Arc<str>,
        operation: Option<&Arc<str>>,
        direction: Direction,
        found: &[Violation],
    ) {
        let operation = operation.unwrap_or(&self.unknown);
        let seen = Observation {
            interface,
            party,
            operation,
            direction,
            violations: found,
        };
        note(&mut lock(&self.ledger), self.now(), &seen);
    }

    /// A client's request. `Err`: it must not be served, for this reason.
    pub fn request(
        &self,
        in_force: &ActiveContracts,
        interface: Interface,
        request: &http::Request,
    ) -> Result<Option<Watched>, Rejection> {
        let Some(held) = in_force.get(interface) else {
            return Ok(None);
        };
        let (method, target) = (request.method.as_str(), request.target.as_str());
        let judged = held.mode == Mode::Enforce;
        if judged {
            let asked = ObservedRequest {
                method,
                target,
                fields: request.fields.pairs(),
                body: &request.body,
            };
            let found = held.description.check_request(&asked);
            self.note(
                interface,
                &self.clients,
                found.operation,
                Direction::Request,
                &found.violations,
            );
            if let RequestDecision::Reject(reason) = decide_request(held.mode, &found.violations) {
                return Err(reason);
            }
        }
        Ok(self.sampled(interface).then(|| Watched {
            held: held.clone(),
            interface,
            judged,
            method: method.into(),
            target: target.into(),
            fields: request.fields.pairs().to_vec(),
            body: if judged {
                Vec::new()
            } else {
                request.body.clone()
            },
        }))
    }

    /// The answer that a client's request got.
    pub fn answered(
        &self,
        watched: Watched,
        status: u16,
        kind: &str,
        extra: &[(&str, String)],
        body: &[u8],
    ) {
        let mut fields = vec![("Content-Type".to_string(), kind.to_string())];
        fields.extend(
            extra
                .iter()
                .map(|(name, value)| (name.to_string(), value.clone())),
        );
        let Watched {
            held,
            interface,
            judged,
            method,
            target,
            fields: asked,
            body: sent,
        } = watched;
        let bytes = sent.len() + body.len() + target.len();
        let answer = Some((status, fields, body.to_vec(), true));
        let what = What::Exchange {
            method,
            target,
            fields: asked,
            body: sent,
            judged,
            answer,
        };
        self.send(Item {
            held,
            interface,
            party: self.clients.clone(),
            now: self.now(),
            bytes,
            what,
        });
    }

    /// A request to a server and what came for it; `whole`: all of it. Whether the answer may be used.
    pub fn exchange(
        &self,
        judge: &ContractsInForce,
        party: &Arc<str>,
        request: &[u8],
        response: &http::Response,
        whole: bool,
    ) -> bool {
        let Some(held) = judge
            .as_ref()
            .and_then(|in_force| in_force.get(Interface::Servers))
        else {
            return true;
        };
        let interface = Interface::Servers;
        let answered = ObservedResponse {
            status: response.status,
            fields: response.fields.pairs(),
            body: &response.body,
            complete: whole,
        };
        if held.mode == Mode::Enforce {
            let line = request.split(|&b| b == b'\r').next().unwrap_or(&[]);
            let line = String::from_utf8_lossy(line);
            let mut words = line.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let number = held.description.find_operation(method, target);
            // An operation that is not described promises nothing that could be held against its answer.
            let Some(number) = number else { return true };
            let found = held.description.check_response(number, &answered);
            self.note(
                interface,
                party,
                found.operation,
                Direction::Response,
                &found.violations,
            );
            return is_response_usable(held.mode, &found.violations);
        }
        if !self.sampled(interface) {
            return true;
        }
        let Ok(Some((asked, _))) = http::parse_request(request) else {
            return true;
        };
        let answer = Some((
            response.status,
            response.fields.pairs().to_vec(),
            response.body.clone(),
            whole,
        ));
        let what = What::Exchange {
            method: asked.method,
            target: asked.target,
            fields: asked.fields.pairs().to_vec(),
            body: asked.body,
            judged: false,
            answer,
        };
        let bytes = request.len() + response.body.len();
        self.send(Item {
            held: held.clone(),
            interface,
            party: party.clone(),
            now: self.now(),
            bytes,
            what,
        });
        true
    }

    /// A frame or a page, its line written and its fields made only where they are looked at. Whether it may be used.
    pub fn frame(
        &self,
        judge: &ContractsInForce,
        interface: Interface,
        party: &Arc<str>,
        part: Part,
        line: impl FnOnce() -> String,
        head: Head,
    ) -> bool {
        let Some(held) = judge.as_ref().and_then(|in_force| in_force.get(interface)) else {
            return true;
        };
        let Part {
            channel,
            word,
            direction,
            payload,
        } = part;
        if held.mode == Mode::Enforce && direction == Direction::Response {
            let found = held
                .description
                .check_message(channel, word, &head(&line()), payload);
            self.note(
                interface,
                party,
                found.operation,
                direction,
                &found.violations,
            );
            return is_response_usable(held.mode, &found.violations);
        }
        if self.sampled(interface) {
            let party = if direction == Direction::Request {
                &self.own
            } else {
                party
            };
            let what = What::Frame {
                channel,
                word,
                direction,
                line: line(),
                head,
                payload: payload.to_vec(),
            };
            let bytes = payload.len();
            self.send(Item {
                held: held.clone(),
                interface,
                party: party.clone(),
                now: self.now(),
                bytes,
                what,
            });
        }
        true
    }

    /// Serves other descriptions of its own: the settings in force have changed.
    pub fn republish(&self, pages: Pages) {
        *self.pages.borrow_mut() = pages;
    }

    /// The pages of the query front that tell of descriptions; `None`: the path is none of them.
    pub fn page(&self, path: &str) -> Option<Vec<u8>> {
        match path {
            "/openapi.json" => Some(self.pages.borrow().openapi.clone()),
            "/asyncapi.json" => Some(self.pages.borrow().asyncapi.clone()),
            "/_contract" => Some(self.drift().to_string().into_bytes()),
            _ => None,
        }
    }

    /// The drift ledger and what is in force.
    fn drift(&self) -> Value {
        let in_force = self.current().unwrap_or_default();
        let shown = |(interface, held): (Interface, &InterfaceContract)| {
            let about = json!({"mode": held.mode, "share": held.share, "title": held.description.title,
                "format": held.description.version, "files": held.description.files().collect::<Vec<_>>()});
            (interface.to_string(), about)
        };
        let missed = lock(&self.waiting).room.rejected;
        let mut ledger = lock(&self.ledger);
        ledger.expire(self.now());
        json!({
            "generation": in_force.generation,
            "interfaces": in_force.all().map(shown).collect::<serde_json::Map<_, _>>(),
            "messages": ledger.messages,
            "departing": ledger.departing,
            "missed": missed,
            "dropped": ledger.dropped,
            "entries": ledger.rows(),
        })
    }
}

/// Notes a message; what is new is logged.
fn note(ledger: &mut DriftTracker, now: f64, seen: &Observation) {
    if ledger.messages.is_multiple_of(EXPIRE_EVERY_MESSAGES) {
        ledger.expire(now);
    }
    if !ledger.record(now, seen) {
        return;
    }
    for departure in seen.violations {
        let summary = ledger.summary(seen, departure).unwrap_or_default();
        tracing::warn!(
            interface = %seen.interface,
            party = %seen.party,
            operation = %seen.operation,
            place = departure.place,
            described = departure.described,
            cause = summary,
            "a message departs from its description"
        );
    }
}

/// The thread aside: judges what is handed to it for as long as the program lives.
fn look(waiting: &Mutex<Waiting>, ledger: &Mutex<DriftTracker>) {
    loop {
        std::thread::sleep(CHECK_INTERVAL);
        let mut waiting = lock(waiting);
        let items = std::mem::take(&mut waiting.items);
        items
            .iter()
            .for_each(|item| waiting.room.release(item.bytes));
        drop(waiting);
        items.into_iter().for_each(|item| look_at(item, ledger));
    }
}

fn look_at(item: Item, ledger: &Mutex<DriftTracker>) {
    let Item {
        held,
        interface,
        party,
        now,
        what,
        ..
    } = item;
    let description = &held.description;
    let note = |operation: Option<&Arc<str>>, direction, found: &[Violation]| {
        let unknown = || Arc::from(UNKNOWN);
        let operation = &operation.cloned().unwrap_or_else(unknown);
        let seen = Observation {
            interface,
            party: &party,
            operation,
            direction,
            violations: found,
        };
        note(&mut lock(ledger), now, &seen);
    };
    match what {
        What::Exchange {
            method,
            target,
            fields,
            body,
            judged,
            answer,
        } => {
            let number = match judged {
                true => description.find_operation(&method, &target),
                false => {
                    let asked = ObservedRequest {
                        method: &method,
                        target: &target,
                        fields: &fields,
                        body: &body,
                    };
                    let found = description.check_request(&asked);
                    note(found.operation, Direction::Request, &found.violations);
                    found.number
                }
            };
            if let (Some(number), Some((status, fields, body, whole))) = (number, answer) {
                let answered = ObservedResponse {
                    status,
                    fields: &fields,
                    body: &body,
                    complete: whole,
                };
                let found = description.check_response(number, &answered);
                note(found.operation, Direction::Response, &found.violations);
            }
        }
        What::Frame {
            channel,
            word,
            direction,
            line,
            head,
            payload,
        } => {
            let found = description.check_message(channel, word, &head(&line), &payload);
            note(found.operation, direction, &found.violations);
        }
    }
}
