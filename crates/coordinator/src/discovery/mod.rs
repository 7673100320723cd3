//! Service discovery: receives the endpoint list and turns its entries into the servers that the router uses.
//!
//! - [`endpoint_list`]: the JSON form of the list.
//! - [`agent_connection`], [`watch_task`]: the HTTP connection to the discovery agent, and the task that watches the
//!   agent. [`cairnroad_discovery_watch`] decides when to poll, time out and back off.
//! - [`file_source`]: the list from watched files instead of an agent.
//! - [`server_directory`]: the numeric ids of listed servers. A draining server stops getting requests because of the
//!   state that [`endpoint_update`] passes on.

mod agent_connection;
pub mod endpoint_list;
pub mod file_source;
mod late_polls;
mod server_directory;
mod watch_task;

pub use server_directory::{endpoint_update, ServerDirectory};
pub use watch_task::watch_endpoints;

#[cfg(test)]
mod tests;
