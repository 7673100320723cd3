//! The query API as a server's wire: each part is a search of one shard, one request at a time on a connection.

mod connection;
mod fault;
mod search;

pub use connection::run;
#[cfg(test)]
pub use search::search_outcome;
