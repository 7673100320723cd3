use super::*;
use crate::memory::MemoryPool;

const SLOTS: Pressure = Pressure::Slots;
const MEMORY: Pressure = Pressure::Memory;

/// Connections with an incomplete request, and the notification of each by its id.
struct Fixture {
    pool: MemoryPool,
    connections: ReceivingConnections,
    notifications: Vec<Rc<Notify>>,
}

impl Fixture {
    /// Adds connections whose requests began at these times and that hold this many reserved bytes.
    fn new(requests: &[(f64, usize)]) -> Fixture {
        let mut fixture = Fixture {
            pool: MemoryPool::default(),
            connections: ReceivingConnections::default(),
            notifications: Vec::new(),
        };
        for (id, &(started_at, bytes)) in requests.iter().enumerate() {
            let memory = Rc::new(fixture.pool.empty_reservation());
            assert!(memory.resize(bytes));
            let notification = Rc::new(Notify::new());
            let now = Time::from_secs(started_at);
            let connections = &mut fixture.connections;
            connections.on_progress(id as u64, now, &notification, &memory);
            fixture.notifications.push(notification);
        }
        fixture
    }

    fn progress(&mut self, id: usize, now: f64) {
        let memory = Rc::new(self.pool.empty_reservation());
        let now = Time::from_secs(now);
        let notification = &self.notifications[id];
        let connections = &mut self.connections;
        connections.on_progress(id as u64, now, notification, &memory);
    }

    /// Returns the id of the connection that is shed at this time.
    fn shed(&mut self, now: f64, pressure: Pressure) -> Option<usize> {
        let shed = self.connections.shed(Time::from_secs(now), pressure)?;
        let is_shed = |notification: &Rc<Notify>| Rc::ptr_eq(notification, &shed);
        self.notifications.iter().position(is_shed)
    }
}

/// Guards against clients that are shed although others have waited longer with less progress: silent ones go before
/// those that still send, then the oldest request goes first.
#[test]
fn the_oldest_silent_connection_is_shed_first() {
    let mut fixture = Fixture::new(&[(1.0, 1), (2.0, 1), (3.0, 1), (4.0, 1)]);
    fixture.progress(0, 4.9);
    fixture.progress(2, 4.9);
    let order: Vec<_> = (0..5).map(|_| fixture.shed(5.0, SLOTS)).collect();
    assert_eq!(order, [Some(1), Some(3), Some(0), Some(2), None]);
}

/// Guards against a crowd that is shed one by one while new clients wait, and against shedding clients that still send.
#[test]
fn silent_connections_are_shed_together_up_to_the_limit() {
    let mut fixture = Fixture::new(&[(1.0, 1), (2.0, 1), (3.0, 1), (4.0, 1)]);
    fixture.progress(1, 4.9);
    let now = Time::from_secs(5.0);
    let mut shed = |limit| -> Vec<usize> {
        let shed = fixture.connections.shed_silent(now, limit);
        let position = |notify: &Rc<Notify>| {
            let mut all = fixture.notifications.iter();
            all.position(|known| Rc::ptr_eq(known, notify))
        };
        shed.iter().filter_map(position).collect()
    };
    assert_eq!(shed(2), [0, 2]);
    assert_eq!(shed(9), [3]);
    assert!(shed(9).is_empty());
}

/// Guards against a client of usual speed that is shed while its request is still arriving.
#[test]
fn a_request_that_has_just_begun_is_not_shed() {
    let mut fixture = Fixture::new(&[(1.0, 1)]);
    assert_eq!(fixture.shed(1.24, SLOTS), None);
    assert_eq!(fixture.shed(1.26, SLOTS), Some(0));
}

/// Guards against shedding connections that hold no reserved memory when memory is needed.
#[test]
fn only_connections_with_reserved_memory_are_shed_for_memory() {
    let mut fixture = Fixture::new(&[(1.0, 0), (2.0, 5)]);
    assert_eq!(fixture.shed(9.0, MEMORY), Some(1));
    assert_eq!(fixture.shed(9.0, MEMORY), None);
    assert_eq!(fixture.shed(9.0, SLOTS), Some(0));
}

/// Guards against shedding a connection whose request is complete: it is owed an answer.
#[test]
fn a_connection_whose_request_is_complete_is_not_shed() {
    let mut fixture = Fixture::new(&[(1.0, 5)]);
    fixture.connections.remove(0);
    assert_eq!(fixture.shed(9.0, SLOTS), None);
}
