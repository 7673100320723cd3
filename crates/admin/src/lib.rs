//! What operators ask of a running coordinator, decided without I/O and clock: which call a message is ([`request`]),
//! which data nodes are left out and until when ([`suspensions`]), what other
//! settings make of those in force ([`reconfigure`]), and what an order to stop does when ([`shutdown`]).

pub mod reconfigure;
pub mod request;
pub mod shutdown;
pub mod suspensions;
