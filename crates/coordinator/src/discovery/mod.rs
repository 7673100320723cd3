//! Service discovery: where the endpoint list comes from, and how its entries become the servers of the routing.
//!
//! - [`endpoint_list`]: the list's wire form.
//! - [`agent_connection`], [`watch_task`]: the HTTP connection to the discovery agent, and the task that keeps a watch
//!   on it. When to poll, time out and back off is decided in [`cairnroad_discovery_watch`].
//! - [`file_source`]: the list from watched files instead of an agent.
//! - [`server_directory`]: the numeric ids of listed servers. A draining server stops getting requests by the state
//!   that [`endpoint_update`] passes on.

mod agent_connection;
pub mod endpoint_list;
pub mod file_source;
mod server_directory;
mod watch_task;

pub use server_directory::{endpoint_update, ServerDirectory};
pub use watch_task::watch_endpoints;

#[cfg(test)]
mod tests;
