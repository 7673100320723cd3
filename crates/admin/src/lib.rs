//! What operators ask of a running coordinator, decided without I/O and clock: which call a message is ([`call`]),
//! which data nodes are left out and until when ([`bans`]), what other
//! settings make of those in force ([`retune`]), and what an order to stop does when ([`stop`]).

pub mod bans;
pub mod call;
pub mod retune;
pub mod stop;
