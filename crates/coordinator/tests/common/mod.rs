//! Test support: the coordinator's process, clients, and loopback stand-ins for data nodes and discovery. The stand-ins
//! are written from the public specification of each protocol and share no code with the program, so that an error in the
//! program's encoding can't hide.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses some of the helpers"
)]

mod behavior;
mod client;
mod configuration;
mod coordinator;
mod data_nodes;
mod discovery;
mod frame_node;
mod http_message;
mod process_memory;
pub mod scripted_discovery;
mod search_node;
mod unaccepting_node;
mod waiting;

pub use behavior::{Behavior, Irregularity, Malformation, ShortLength, Split, MALFORMATIONS};
pub use client::{one_part_request, read_response, send_request, Response};
pub use coordinator::{signal, Environment, TestCoordinator};
pub use data_nodes::{
    marker, part_value, start_data_nodes, DataNodes, ReceivedPart, WireFormat, CELLS, REPLICAS,
    SHARDS,
};
pub use discovery::FakeDiscovery;
pub use frame_node::start_frame_node;
pub use http_message::{read_exact, read_message};
pub use process_memory::{peak_memory_mb, resident_memory_mb};
pub use search_node::start_search_node;
pub use unaccepting_node::UnacceptingNode;
pub use waiting::wait_for;
