//! The interfaces whose traffic is checked.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An interface whose traffic is checked against a description.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Interface {
    /// Clients of the platform protocol.
    Platform,
    /// Clients of the query API.
    Query,
    /// Servers, whichever wire protocol they speak.
    Servers,
    /// The discovery agent that publishes the endpoint list.
    Discovery,
}

impl fmt::Display for Interface {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Interface::Platform => "platform",
            Interface::Query => "query",
            Interface::Servers => "servers",
            Interface::Discovery => "discovery",
        })
    }
}
