//! The calls of the operators' door, and what each outcome is told as.

/// The longest id of a data node that a call may name, in bytes.
pub const MOST_ID: usize = 128;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
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
pub enum Verdict {
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

impl Verdict {
    /// The status that tells it.
    pub fn status(&self) -> u16 {
        match self {
            Verdict::Yes => 200,
            Verdict::NotNow(_) | Verdict::TooMany => 503,
            Verdict::Unknown | Verdict::NoPeers | Verdict::NoSuchCall => 404,
            Verdict::Method(_) => 405,
            Verdict::BadId => 400,
        }
    }

    /// The same for people: what is wrong, and what to do.
    pub fn text(&self) -> &'static str {
        match self {
            Verdict::Yes => "yes",
            Verdict::NotNow(cause) => cause,
            Verdict::Unknown => "no data node of this id was ever listed: look at the list of data nodes",
            Verdict::NoPeers => "this coordinator takes part in no group: see docs/PEERS.md",
            Verdict::NoSuchCall => "there is no such call: see docs/OPERATION.md",
            Verdict::Method("GET") => "this call takes GET",
            Verdict::Method(_) => "this call takes PUT",
            Verdict::BadId => "the id of the data node is empty, too long or malformed",
            Verdict::TooMany => "too many data nodes are suspended: resume some first",
        }
    }
}

/// The call that a method and a target stand for, or why there is none.
pub fn read(method: &str, target: &str) -> Result<Call, Verdict> {
    let path = target.split('?').next().unwrap_or("");
    let steps: Vec<&str> = path.strip_prefix("/v1/").ok_or(Verdict::NoSuchCall)?.split('/').collect();
    let (call, takes) = match steps[..] {
        ["readyz"] => (Call::Ready, "GET"),
        ["peers"] => (Call::Peers, "GET"),
        ["coordinator", "drain"] => (Call::Drain, "PUT"),
        ["coordinator", "activate"] => (Call::Activate, "PUT"),
        ["data-nodes", id, "suspend"] => (Call::Suspend(node(id)?), "PUT"),
        ["data-nodes", id, "resume"] => (Call::Resume(node(id)?), "PUT"),
        _ => return Err(Verdict::NoSuchCall),
    };
    if method == takes {
        Ok(call)
    } else {
        Err(Verdict::Method(takes))
    }
}

/// An id out of a path, its percent signs undone.
fn node(text: &str) -> Result<String, Verdict> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = rest.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let digits = digits.filter(|digits| digits.bytes().all(|b| b.is_ascii_hexdigit()));
        let value = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()).ok_or(Verdict::BadId)?;
        bytes.push(value);
        rest = &rest[2..];
    }
    let id = String::from_utf8(bytes).map_err(|_| Verdict::BadId)?;
    if id.is_empty() || id.len() > MOST_ID || id.chars().any(char::is_control) {
        return Err(Verdict::BadId);
    }
    Ok(id)
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    #[test]
    fn every_call_is_told_from_what_is_none() {
        let suspend = |id: &str| Ok(Call::Suspend(id.into()));
        for (method, target, expected) in [
            ("GET", "/v1/readyz", Ok(Call::Ready)),
            ("GET", "/v1/readyz?verbose", Ok(Call::Ready)),
            ("PUT", "/v1/readyz", Err(Verdict::Method("GET"))),
            ("GET", "/v1/peers", Ok(Call::Peers)),
            ("PUT", "/v1/coordinator/drain", Ok(Call::Drain)),
            ("PUT", "/v1/coordinator/activate", Ok(Call::Activate)),
            ("POST", "/v1/coordinator/activate", Err(Verdict::Method("PUT"))),
            ("PUT", "/v1/data-nodes/s-1/suspend", suspend("s-1")),
            ("PUT", "/v1/data-nodes/s%2f1%20/suspend", suspend("s/1 ")),
            ("PUT", "/v1/data-nodes/s-1/resume", Ok(Call::Resume("s-1".into()))),
            ("GET", "/v1/data-nodes/s-1/resume", Err(Verdict::Method("PUT"))),
            ("PUT", "/v1/data-nodes//resume", Err(Verdict::BadId)),
            ("PUT", "/v1/data-nodes/%/resume", Err(Verdict::BadId)),
            ("PUT", "/v1/data-nodes/%ff/resume", Err(Verdict::BadId)),
            ("PUT", "/v1/data-nodes/%0a/resume", Err(Verdict::BadId)),
            ("PUT", "/v1/data-nodes/s-1", Err(Verdict::NoSuchCall)),
            ("PUT", "/v1/coordinator/drain/", Err(Verdict::NoSuchCall)),
            ("GET", "/v1/", Err(Verdict::NoSuchCall)),
            ("GET", "/", Err(Verdict::NoSuchCall)),
            ("GET", "", Err(Verdict::NoSuchCall)),
        ] {
            assert_eq!(read(method, target), expected, "{method} {target}");
        }
        let long = format!("/v1/data-nodes/{}/resume", "a".repeat(MOST_ID + 1));
        assert_eq!(read("PUT", &long), Err(Verdict::BadId));
    }

    /// Guards against a path that ends the program instead of getting its no.
    #[test]
    fn no_path_is_too_odd() {
        let one = |id: String| {
            let target = format!("/v1/data-nodes/{id}/suspend");
            !matches!(read("PUT", &target), Ok(Call::Suspend(id)) if id.is_empty() || id.len() > MOST_ID)
        };
        let fixed = Gen::from_size_and_seed(40, 7);
        QuickCheck::new().rng(fixed).tests(2_000).quickcheck(one as fn(String) -> bool);
    }
}
