//! The names of the configured group: they alone count towards the quorum.

use std::collections::BTreeSet;

/// Most names of a group. The table of members holds somewhat more, see [`MAX_MEMBERS`](crate::MAX_MEMBERS).
pub const MAX_NAMES: usize = 6_000;
/// Longest name in bytes: it travels in datagrams.
pub const MAX_NAME_BYTES: usize = 64;

/// What is wrong with the names of a group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberNamesError {
    /// There are none.
    #[error("the group names nobody")]
    Empty,
    /// A name is empty, too long, or has other characters than a name may have.
    #[error("'{0}' can't be a name")]
    InvalidName(String),
    /// A text with a bracket is no range.
    #[error("'{0}': a range is written as in n[1-300], the smaller number first")]
    InvalidRange(String),
    /// A name is listed twice.
    #[error("'{0}' is named twice")]
    DuplicateName(String),
    /// There are more than [`MAX_NAMES`].
    #[error("the group has more than {MAX_NAMES} names")]
    TooManyNames,
}

impl MemberNamesError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            MemberNamesError::Empty => {
                "name every coordinator of the group, this one too: the quorum is computed from them"
            }
            MemberNamesError::InvalidName(_) => {
                "names are 1 to 64 letters, digits, dots, dashes or underscores, as in the deployment's file"
            }
            MemberNamesError::InvalidRange(_) => {
                "write the names out, or the first and the last number in brackets"
            }
            MemberNamesError::DuplicateName(_) => {
                "leave it out once, or make the ranges end before one another"
            }
            MemberNamesError::TooManyNames => {
                "split the coordinators into several groups, each with a cluster name of its own"
            }
        }
    }
}

/// Whether a text can be a name.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

/// The names that these texts list: each text is a name, or a range of names as in `n[1-300]`.
pub fn parse(texts: &[String]) -> Result<BTreeSet<String>, MemberNamesError> {
    let mut names = BTreeSet::new();
    for text in texts {
        for name in expand(text)? {
            if names.len() >= MAX_NAMES {
                return Err(MemberNamesError::TooManyNames);
            }
            if !is_valid_name(&name) {
                return Err(MemberNamesError::InvalidName(name));
            }
            if !names.insert(name.clone()) {
                return Err(MemberNamesError::DuplicateName(name));
            }
        }
    }
    if names.is_empty() {
        return Err(MemberNamesError::Empty);
    }
    Ok(names)
}

fn expand(text: &str) -> Result<Vec<String>, MemberNamesError> {
    match text.split_once('[') {
        None => Ok(vec![text.to_string()]),
        Some((prefix, rest)) => expand_range(prefix, rest)
            .ok_or_else(|| MemberNamesError::InvalidRange(text.to_string())),
    }
}

/// The names of a range, given what stands before and after its opening bracket. `None` if it is no range.
fn expand_range(prefix: &str, rest: &str) -> Option<Vec<String>> {
    let (range, suffix) = rest.split_once(']')?;
    let (first, last) = range.split_once('-')?;
    let first: u32 = first.parse().ok()?;
    let last: u32 = last.parse().ok()?;
    // One more than the limit is enough for the caller to see that there are too many.
    let last = last.min(first.checked_add(MAX_NAMES as u32 + 1)?);
    if first > last {
        return None;
    }
    let names = (first..=last).map(|number| format!("{prefix}{number}{suffix}"));
    Some(names.collect())
}

#[cfg(test)]
mod tests;
