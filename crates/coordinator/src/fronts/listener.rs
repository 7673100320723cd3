//! Accepts client connections and spawns a session for each.

use super::front::Front;
use super::session;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause between two looks for a free slot at the hard limit of connections.
const FULL_PAUSE: Duration = Duration::from_millis(1);
/// Pause after a failed accept, which otherwise would be repeated without end.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Idle connections that are evicted for each one that is accepted over the soft limit. One alone would never win back
/// what was lost while all were too recent to be evicted.
const EVICTIONS_PER_ACCEPT: usize = 2;

/// Accepts connections until the listener is to be closed, then those that wait in its backlog: closing a listener
/// resets all that wait there.
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
    // At the hard limit nothing is accepted; the backlog waits until a slot is free.
    while front.connections.open_count() >= front.limits.max_accepted_clients {
        front.connections.evict_longest_idle(front.clock.now());
        tokio::time::sleep(FULL_PAUSE).await;
    }
    match listener.accept().await {
        Ok((stream, _)) => spawn_session(stream, front),
        Err(e) => {
            tracing::warn!(cause = %e, "client accept failed");
            tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
        }
    }
}

/// Accepts what waits in the backlog at this moment, up to the hard limit. The listener doesn't block.
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

/// Runs the connection's session as a task of its own. The session owns the stream and the connection's slot.
fn spawn_session(stream: TcpStream, front: &Rc<Front>) {
    let connection = front.connections.register();
    for _ in 0..EVICTIONS_PER_ACCEPT {
        if front.connections.open_count() > front.limits.idle_eviction_threshold {
            front.connections.evict_longest_idle(front.clock.now());
        }
    }
    tokio::task::spawn_local(session::run(stream, front.clone(), connection));
}
