//! The OpenSearch query API as the protocol for servers: each part is a search of one shard, and a connection carries
//! one request at a time.

mod connection;
mod fault;
mod search;

pub use connection::run;
#[cfg(test)]
pub use search::search_outcome;
