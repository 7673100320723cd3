//! The requests of the admin API, and the status and text of each response.

use std::str;

/// Maximum length of a data node's id in a request, in bytes.
pub const MAX_NODE_ID_BYTES: usize = 128;

const PATH_PREFIX: &str = "/v1/";

/// The HTTP method that a path accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedMethod {
    /// The method of requests that change nothing.
    Get,
    /// The method of requests that set a state and may be repeated.
    Put,
}

impl AllowedMethod {
    /// Returns the method's name as it appears in a request line.
    pub fn name(self) -> &'static str {
        match self {
            AllowedMethod::Get => "GET",
            AllowedMethod::Put => "PUT",
        }
    }
}

/// The reason why a request can't be carried out at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The process has not received an endpoint list yet.
    Starting,
    /// An operator drained the coordinator.
    Drained,
    /// The process is shutting down.
    ShuttingDown,
    /// The request was not carried out in time, or its outcome is unknown.
    Busy,
}

impl UnavailableReason {
    fn message(self) -> &'static str {
        match self {
            UnavailableReason::Starting => "not ready yet: the list of data nodes has not come",
            UnavailableReason::Drained => "drained: activate the coordinator first",
            UnavailableReason::ShuttingDown => "the process was told to stop",
            UnavailableReason::Busy => "the coordinator is too busy: call again",
        }
    }
}

/// A request of the admin API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Reports whether this process is ready to serve.
    Readiness,
    /// Stops new requests to the data node with this id.
    Suspend(String),
    /// Ends the suspension of the data node with this id.
    Resume(String),
    /// Reports the cluster's members as this coordinator sees them.
    ClusterMembers,
    /// Drains this coordinator: health checks fail, so that clients move to another one.
    Drain,
    /// Ends a drain.
    Activate,
}

/// The outcome of an admin request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// The requested state is reached.
    Done,
    /// The request can't be carried out at the moment.
    Unavailable(UnavailableReason),
    /// No endpoint list has named a data node with this id.
    UnknownNode,
    /// This coordinator is not part of a cluster.
    NotClustered,
    /// No request of the admin API has this path.
    UnknownPath,
    /// The request's method is wrong; the path accepts only this one.
    MethodNotAllowed(AllowedMethod),
    /// The id is empty, too long or malformed.
    InvalidNodeId,
    /// The maximum number of suspensions is reached.
    TooManySuspensions,
}

impl AdminResponse {
    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            AdminResponse::Done => 200,
            AdminResponse::Unavailable(_) | AdminResponse::TooManySuspensions => 503,
            AdminResponse::UnknownNode
            | AdminResponse::NotClustered
            | AdminResponse::UnknownPath => 404,
            AdminResponse::MethodNotAllowed(_) => 405,
            AdminResponse::InvalidNodeId => 400,
        }
    }

    /// Returns the text of the body: the fault and its remedy.
    pub fn message(&self) -> &'static str {
        match self {
            AdminResponse::Done => "yes",
            AdminResponse::Unavailable(reason) => reason.message(),
            AdminResponse::UnknownNode => {
                "no data node of this id was ever listed: look at the list of data nodes"
            }
            AdminResponse::NotClustered => {
                "this coordinator takes part in no group: see docs/PEERS.md"
            }
            AdminResponse::UnknownPath => "there is no such call: see docs/OPERATION.md",
            AdminResponse::MethodNotAllowed(AllowedMethod::Get) => "this call takes GET",
            AdminResponse::MethodNotAllowed(AllowedMethod::Put) => "this call takes PUT",
            AdminResponse::InvalidNodeId => {
                "the id of the data node is empty, too long or malformed"
            }
            AdminResponse::TooManySuspensions => {
                "too many data nodes are suspended: resume some first"
            }
        }
    }
}

/// Parses the method and target of a request. The error is the response that rejects them.
pub fn parse_request(method: &str, target: &str) -> Result<AdminRequest, AdminResponse> {
    let (path, _query) = target.split_once('?').unwrap_or((target, ""));
    let path = path
        .strip_prefix(PATH_PREFIX)
        .ok_or(AdminResponse::UnknownPath)?;
    let segments: Vec<&str> = path.split('/').collect();
    let (request, allowed_method) = match segments[..] {
        ["readyz"] => (AdminRequest::Readiness, AllowedMethod::Get),
        ["peers"] => (AdminRequest::ClusterMembers, AllowedMethod::Get),
        ["coordinator", "drain"] => (AdminRequest::Drain, AllowedMethod::Put),
        ["coordinator", "activate"] => (AdminRequest::Activate, AllowedMethod::Put),
        ["data-nodes", id, "suspend"] => (
            AdminRequest::Suspend(parse_node_id(id)?),
            AllowedMethod::Put,
        ),
        ["data-nodes", id, "resume"] => {
            (AdminRequest::Resume(parse_node_id(id)?), AllowedMethod::Put)
        }
        _ => return Err(AdminResponse::UnknownPath),
    };
    if method != allowed_method.name() {
        return Err(AdminResponse::MethodNotAllowed(allowed_method));
    }
    Ok(request)
}

/// Decodes and checks the data node's id in a path segment.
fn parse_node_id(segment: &str) -> Result<String, AdminResponse> {
    let bytes = percent_decode(segment.as_bytes()).ok_or(AdminResponse::InvalidNodeId)?;
    let id = String::from_utf8(bytes).map_err(|_| AdminResponse::InvalidNodeId)?;
    let has_valid_length = (1..=MAX_NODE_ID_BYTES).contains(&id.len());
    if !has_valid_length || id.chars().any(char::is_control) {
        return Err(AdminResponse::InvalidNodeId);
    }
    Ok(id)
}

/// Decodes percent-encoded bytes; `None` if a percent sign is not followed by two hexadecimal digits.
fn percent_decode(mut encoded: &[u8]) -> Option<Vec<u8>> {
    let mut decoded = Vec::with_capacity(encoded.len());
    while let Some((&byte, rest)) = encoded.split_first() {
        encoded = rest;
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let (digits, rest) = encoded.split_first_chunk::<2>()?;
        decoded.push(hex_byte(digits)?);
        encoded = rest;
    }
    Some(decoded)
}

fn hex_byte(digits: &[u8; 2]) -> Option<u8> {
    // `from_str_radix` would also accept a leading sign.
    if !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u8::from_str_radix(str::from_utf8(digits).ok()?, 16).ok()
}

#[cfg(test)]
mod tests;
