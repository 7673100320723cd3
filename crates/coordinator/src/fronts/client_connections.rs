//! The places that client connections take up, of all fronts together. One that idles is told to leave when its
//! place is needed, so that clients who ask nothing don't keep out those who do.

use cairnroad_admin::shutdown::ShutdownObservation;
use cairnroad_types::Time;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A connection that idles for less isn't told to leave: its request may be on its way. The first one on a connection
/// has failed if the connection is closed under it; a later one comes again on a new connection, and a client that
/// comes back to its connection does so soon where many ask.
const YOUNG: f64 = 0.25;
const YOUNG_USED: f64 = 0.05;

/// Who waits for a request, the longest idle first, and how long each may.
type Idle = BTreeMap<(Time, u64), (f64, Rc<Notify>)>;

#[derive(Default)]
pub struct ClientConnections {
    open: Cell<usize>,
    /// Requests that came in and aren't answered, and when the last one came.
    serving: Cell<usize>,
    last_asked: Cell<Time>,
    last_answered: Cell<Time>,
    /// Connections whose clients were told of the end, and that are only read and dropped.
    parted: Cell<usize>,
    /// The moment by which all is answered, once the program was told to stop.
    answered_by: Cell<Option<Time>>,
    next: Cell<u64>,
    idle: RefCell<Idle>,
}

impl ClientConnections {
    pub fn take(self: &Rc<Self>) -> ClientConnection {
        self.open.set(self.open.get() + 1);
        let id = self.next.replace(self.next.get() + 1);
        let (used, serving, parted) = (Cell::new(false), Cell::new(false), Cell::new(false));
        ClientConnection {
            places: self.clone(),
            id,
            idle_since: Cell::new(None),
            used,
            serving,
            parted,
            leave: Rc::default(),
        }
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Connections that stand in the middle of a request, and what else a stop goes by.
    pub fn seen(&self) -> ShutdownObservation {
        let (last_asked, last_answered) = (self.last_asked.get(), self.last_answered.get());
        let (serving, staying) = (self.serving.get(), self.open.get() - self.parted.get());
        ShutdownObservation {
            last_request_at: last_asked,
            last_response_at: last_answered,
            partial_requests: self.busy().saturating_sub(serving),
            unanswered_requests: serving,
            unnotified_connections: staying,
        }
    }

    /// From now on no request gets longer than up to this moment.
    pub fn answer_by(&self, moment: Time) {
        self.answered_by.set(Some(moment));
    }

    /// When a request that is due then has to have its answer.
    pub fn due(&self, due: Time) -> Time {
        self.answered_by.get().map_or(due, |end| end.min(due))
    }

    /// Connections that have a request open or coming in.
    pub fn busy(&self) -> usize {
        self.open.get() - self.idle.borrow().len()
    }

    /// Tells the connection that has been idle for longest to leave; whether there was one.
    pub fn make_room(&self, now: Time) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest = idle
            .iter()
            .find(|((since, _), (least, _))| now - *since >= *least)
            .map(|(&key, _)| key);
        match longest.and_then(|key| idle.remove(&key)) {
            Some((_, leave)) => {
                leave.notify_one();
                true
            }
            None => false,
        }
    }
}

/// One connection's place, given back when it is dropped.
pub struct ClientConnection {
    places: Rc<ClientConnections>,
    id: u64,
    idle_since: Cell<Option<Time>>,
    /// A request has come in on it.
    used: Cell<bool>,
    /// It isn't answered yet.
    serving: Cell<bool>,
    /// Its client was told of the end.
    parted: Cell<bool>,
    leave: Rc<Notify>,
}

impl ClientConnection {
    /// From `now` on the connection waits, until it is busy again.
    pub fn idle(&self, now: Time) {
        if self.idle_since.get().is_none() {
            self.idle_since.set(Some(now));
            let least = if self.used.get() { YOUNG_USED } else { YOUNG };
            self.places
                .idle
                .borrow_mut()
                .insert((now, self.id), (least, self.leave.clone()));
        }
    }

    /// A request has come in.
    pub fn asked(&self, now: Time) {
        self.used.set(true);
        self.busy();
        self.places.last_asked.set(now);
        self.refuses();
    }

    /// An answer is owed, be it a refusal of what came in part.
    pub fn refuses(&self) {
        if !self.serving.replace(true) {
            self.places.serving.set(self.places.serving.get() + 1);
        }
    }

    /// It is answered.
    pub fn answered(&self, now: Time) {
        self.places.last_answered.set(now);
        self.released();
    }

    /// Its client was told of the end: what still comes is read and dropped, as long as the place isn't needed.
    pub fn part(&self, now: Time) {
        self.busy();
        self.idle(now);
        if !self.parted.replace(true) {
            self.places.parted.set(self.places.parted.get() + 1);
        }
    }

    /// It is answered, or its client is gone.
    fn released(&self) {
        if self.serving.replace(false) {
            self.places.serving.set(self.places.serving.get() - 1);
        }
    }

    pub fn busy(&self) {
        if let Some(since) = self.idle_since.take() {
            self.places.idle.borrow_mut().remove(&(since, self.id));
        }
    }

    /// Resolves once the place is needed.
    pub async fn needed(&self) {
        self.leave.notified().await;
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.busy();
        self.released();
        if self.parted.get() {
            self.places.parted.set(self.places.parted.get() - 1);
        }
        self.places.open.set(self.places.open.get() - 1);
    }
}

#[cfg(test)]
mod tests;
