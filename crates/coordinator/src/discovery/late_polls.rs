//! Polls whose time limit has passed: their responses may still arrive, if the agent is slow and not silent.

use super::agent_connection::PolledResponse;
use cairnroad_discovery_watch::WatchError;
use std::collections::VecDeque;
use std::future::Future;
use tokio::task::{AbortHandle, JoinSet};

/// Maximum number of late polls. The oldest one is given up for a new one, when it has been awaited for some three
/// seconds.
const MAX_LATE_POLLS: usize = 6;

/// The late polls of one agent. Dropping the value gives up all of them, which closes their connections.
#[derive(Default)]
pub(super) struct LatePolls {
    tasks: JoinSet<Result<PolledResponse, WatchError>>,
    /// The unfinished tasks, oldest first.
    unfinished: VecDeque<AbortHandle>,
}

impl LatePolls {
    /// Continues to wait for the response of a poll.
    pub(super) fn add(
        &mut self,
        poll: impl Future<Output = Result<PolledResponse, WatchError>> + 'static,
    ) {
        self.unfinished.retain(|task| !task.is_finished());
        if self.unfinished.len() == MAX_LATE_POLLS {
            if let Some(oldest) = self.unfinished.pop_front() {
                oldest.abort();
            }
        }
        self.unfinished.push_back(self.tasks.spawn_local(poll));
    }

    /// Gives up all polls.
    pub(super) fn clear(&mut self) {
        *self = LatePolls::default();
    }

    /// Waits for the first response. Polls that fail are ignored, since they have been reported as late.
    pub(super) async fn next_response(&mut self) -> PolledResponse {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(Ok(response))) => return response,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }
}
