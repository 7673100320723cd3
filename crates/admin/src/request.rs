//! The calls of the operators' door, and what each outcome is told as.

/// The longest id of a data node that a call may name, in bytes.
pub const MOST_ID: usize = 128;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process is ready to serve.
    Ready,
    /// Leave a data node out.
    Suspend(String),
    /// A data node may serve again.
    Resume(String),
    /// Who is there of the group, as this coordinator sees it.
    Peers,
    /// Send clients away.
    Drain,
    /// The end of the drain.
    Activate,
}

/// How a call ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// It is so.
    Yes,
    /// Not now: another state has to come first.
    NotNow(&'static str),
    /// No data node of this id was ever listed.
    Unknown,
    /// This coordinator takes part in no group.
    NoPeers,
    /// There is no such call.
    NoSuchCall,
    /// The path is one, the method is another's; the one that it takes.
    Method(&'static str),
    /// The id can't be one.
    BadId,
    /// As many data nodes are left out as can be kept in mind.
    TooMany,
}

impl AdminResponse {
    /// The status that tells it.
    pub fn status(&self) -> u16 {
        match self {
            AdminResponse::Yes => 200,
            AdminResponse::NotNow(_) | AdminResponse::TooMany => 503,
            AdminResponse::Unknown | AdminResponse::NoPeers | AdminResponse::NoSuchCall => 404,
            AdminResponse::Method(_) => 405,
            AdminResponse::BadId => 400,
        }
    }

    /// The same for people: what is wrong, and what to do.
    pub fn text(&self) -> &'static str {
        match self {
            AdminResponse::Yes => "yes",
            AdminResponse::NotNow(cause) => cause,
            AdminResponse::Unknown => {
                "no data node of this id was ever listed: look at the list of data nodes"
            }
            AdminResponse::NoPeers => "this coordinator takes part in no group: see docs/PEERS.md",
            AdminResponse::NoSuchCall => "there is no such call: see docs/OPERATION.md",
            AdminResponse::Method("GET") => "this call takes GET",
            AdminResponse::Method(_) => "this call takes PUT",
            AdminResponse::BadId => "the id of the data node is empty, too long or malformed",
            AdminResponse::TooMany => "too many data nodes are suspended: resume some first",
        }
    }
}

/// The call that a method and a target stand for, or why there is none.
pub fn read(method: &str, target: &str) -> Result<AdminRequest, AdminResponse> {
    let path = target.split('?').next().unwrap_or("");
    let steps: Vec<&str> = path
        .strip_prefix("/v1/")
        .ok_or(AdminResponse::NoSuchCall)?
        .split('/')
        .collect();
    let (call, takes) = match steps[..] {
        ["readyz"] => (AdminRequest::Ready, "GET"),
        ["peers"] => (AdminRequest::Peers, "GET"),
        ["coordinator", "drain"] => (AdminRequest::Drain, "PUT"),
        ["coordinator", "activate"] => (AdminRequest::Activate, "PUT"),
        ["data-nodes", id, "suspend"] => (AdminRequest::Suspend(node(id)?), "PUT"),
        ["data-nodes", id, "resume"] => (AdminRequest::Resume(node(id)?), "PUT"),
        _ => return Err(AdminResponse::NoSuchCall),
    };
    if method == takes {
        Ok(call)
    } else {
        Err(AdminResponse::Method(takes))
    }
}

/// An id out of a path, its percent signs undone.
fn node(text: &str) -> Result<String, AdminResponse> {
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
            .ok_or(AdminResponse::BadId)?;
        bytes.push(value);
        rest = &rest[2..];
    }
    let id = String::from_utf8(bytes).map_err(|_| AdminResponse::BadId)?;
    if id.is_empty() || id.len() > MOST_ID || id.chars().any(char::is_control) {
        return Err(AdminResponse::BadId);
    }
    Ok(id)
}

#[cfg(test)]
mod tests;
