//! The calls of the operators' door, and what each outcome is told as.

/// The longest id of a data node that a call may name, in bytes.
pub const MAX_NODE_ID_BYTES: usize = 128;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process is ready to serve.
    Readiness,
    /// Leave a data node out.
    Suspend(String),
    /// A data node may serve again.
    Resume(String),
    /// Who is there of the group, as this coordinator sees it.
    ClusterMembers,
    /// Send clients away.
    Drain,
    /// The end of the drain.
    Activate,
}

/// How a call ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// It is so.
    Done,
    /// Not now: another state has to come first.
    Unavailable(&'static str),
    /// No data node of this id was ever listed.
    UnknownNode,
    /// This coordinator takes part in no group.
    NotClustered,
    /// There is no such call.
    UnknownPath,
    /// The path is one, the method is another's; the one that it takes.
    MethodNotAllowed(&'static str),
    /// The id can't be one.
    InvalidNodeId,
    /// As many data nodes are left out as can be kept in mind.
    TooManySuspensions,
}

impl AdminResponse {
    /// The status that tells it.
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

    /// The same for people: what is wrong, and what to do.
    pub fn message(&self) -> &'static str {
        match self {
            AdminResponse::Done => "yes",
            AdminResponse::Unavailable(cause) => cause,
            AdminResponse::UnknownNode => {
                "no data node of this id was ever listed: look at the list of data nodes"
            }
            AdminResponse::NotClustered => {
                "this coordinator takes part in no group: see docs/PEERS.md"
            }
            AdminResponse::UnknownPath => "there is no such call: see docs/OPERATION.md",
            AdminResponse::MethodNotAllowed("GET") => "this call takes GET",
            AdminResponse::MethodNotAllowed(_) => "this call takes PUT",
            AdminResponse::InvalidNodeId => {
                "the id of the data node is empty, too long or malformed"
            }
            AdminResponse::TooManySuspensions => {
                "too many data nodes are suspended: resume some first"
            }
        }
    }
}

/// The call that a method and a target stand for, or why there is none.
pub fn parse_request(method: &str, target: &str) -> Result<AdminRequest, AdminResponse> {
    let path = target.split('?').next().unwrap_or("");
    let steps: Vec<&str> = path
        .strip_prefix("/v1/")
        .ok_or(AdminResponse::UnknownPath)?
        .split('/')
        .collect();
    let (call, takes) = match steps[..] {
        ["readyz"] => (AdminRequest::Readiness, "GET"),
        ["peers"] => (AdminRequest::ClusterMembers, "GET"),
        ["coordinator", "drain"] => (AdminRequest::Drain, "PUT"),
        ["coordinator", "activate"] => (AdminRequest::Activate, "PUT"),
        ["data-nodes", id, "suspend"] => (AdminRequest::Suspend(decode_node_id(id)?), "PUT"),
        ["data-nodes", id, "resume"] => (AdminRequest::Resume(decode_node_id(id)?), "PUT"),
        _ => return Err(AdminResponse::UnknownPath),
    };
    if method == takes {
        Ok(call)
    } else {
        Err(AdminResponse::MethodNotAllowed(takes))
    }
}

/// An id out of a path, its percent signs undone.
fn decode_node_id(text: &str) -> Result<String, AdminResponse> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = rest
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let digits = digits.filter(|digits| digits.bytes().all(|b| b.is_ascii_hexdigit()));
        let value = digits
            .and_then(|digits| u8::from_str_radix(digits, 16).ok())
            .ok_or(AdminResponse::InvalidNodeId)?;
        bytes.push(value);
        rest = &rest[2..];
    }
    let id = String::from_utf8(bytes).map_err(|_| AdminResponse::InvalidNodeId)?;
    if id.is_empty() || id.len() > MAX_NODE_ID_BYTES || id.chars().any(char::is_control) {
        return Err(AdminResponse::InvalidNodeId);
    }
    Ok(id)
}

#[cfg(test)]
mod tests;
