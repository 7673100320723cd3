//! Connections to servers: the pool that the core keeps, and each connection as the task behind it sees it.

pub mod connection;
pub mod pool;
