//! Accepts client connections and spawns a session for each of them.

use super::front::Front;
use super::session;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval of checks for a free slot while the hard limit on connections is reached.
const FREE_SLOT_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Delay after a failed accept, without which a lasting failure would make the loop spin.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);
/// Number of idle connections that are evicted for each connection accepted above the soft limit. Evicting only one
/// would never reduce the excess that builds up while all idle connections are too recent to be evicted.
const EVICTIONS_PER_ACCEPT: usize = 2;

/// Share of the slots, as a divisor, that each of these checks may free. A crowd connects all at once, and the checks come
/// less often the more connections are busy.
const FREED_SHARE: usize = 4;

/// Accepts connections until the listener is to be closed. Then accepts those in its backlog, because closing a
/// listener resets the connections that wait there.
pub async fn listen(
    listener: TcpListener,
    front: Rc<Front>,
    mut listener_closed: watch::Receiver<bool>,
) {
    loop {
        tokio::select! {
            biased;
            _ = listener_closed.wait_for(|closed| *closed) => break,
            () = accept(&listener, &front) => {}
        }
    }
    if let Ok(listener) = listener.into_std() {
        accept_backlog(&listener, &front);
    }
}

async fn accept(listener: &TcpListener, front: &Rc<Front>) {
    // At the hard limit, connections wait in the backlog until a slot is free.
    while front.connections.open_count() >= front.limits.max_accepted_clients {
        let limit = front.limits.max_accepted_clients.div_ceil(FREED_SHARE);
        front.connections.free_slots(front.clock.now(), limit);
        tokio::time::sleep(FREE_SLOT_POLL_INTERVAL).await;
    }
    match listener.accept().await {
        Ok((stream, _)) => spawn_session(stream, front),
        Err(error) => {
            tracing::warn!(cause = %error, "client accept failed");
            tokio::time::sleep(ACCEPT_ERROR_DELAY).await;
        }
    }
}

/// Accepts the connections in the backlog, up to the hard limit. The listener is in non-blocking mode.
fn accept_backlog(listener: &std::net::TcpListener, front: &Rc<Front>) {
    while front.connections.open_count() < front.limits.max_accepted_clients {
        let Ok((stream, _)) = listener.accept() else {
            return;
        };
        if let Ok(stream) = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream))
        {
            spawn_session(stream, front);
        }
    }
}

/// Spawns the connection's session as a separate task, which owns the stream and the connection's slot.
fn spawn_session(stream: TcpStream, front: &Rc<Front>) {
    let connection = front.connections.register();
    for _ in 0..EVICTIONS_PER_ACCEPT {
        if front.connections.open_count() > front.limits.idle_eviction_threshold {
            front.connections.evict_longest_idle(front.clock.now());
        }
    }
    tokio::task::spawn_local(session::run(stream, front.clone(), connection));
}
