//! Names of the configured group of coordinators. Only members with these names count towards the quorum.

use std::collections::BTreeSet;

/// Maximum number of names in a group. More members than that are tracked, see [`MAX_MEMBERS`](crate::MAX_MEMBERS).
pub const MAX_NAMES: usize = 6_000;
/// Maximum length of a name in bytes; names are sent in datagrams.
pub const MAX_NAME_BYTES: usize = 64;

/// An error in the names of a group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberNamesError {
    /// The list contains no names.
    #[error("the group has no members")]
    Empty,
    /// A name is empty, too long, or contains characters that are not allowed.
    #[error("'{0}' is not a valid name")]
    InvalidName(String),
    /// A text contains a bracket but is not a valid range.
    #[error("'{0}' is not a valid range: expected the form n[1-300], the smaller number first")]
    InvalidRange(String),
    /// A name is listed twice.
    #[error("'{0}' is listed twice")]
    DuplicateName(String),
    /// The list contains more than [`MAX_NAMES`] names.
    #[error("the group has more than {MAX_NAMES} names")]
    TooManyNames,
}

impl MemberNamesError {
    /// Returns a hint for the operator on how to fix the error.
    pub fn help(&self) -> &'static str {
        match self {
            MemberNamesError::Empty => {
                "list every coordinator of the group, including this one: the quorum is computed from the list"
            }
            MemberNamesError::InvalidName(_) => {
                "a name has 1 to 64 letters, digits, dots, dashes or underscores, as in the deployment file"
            }
            MemberNamesError::InvalidRange(_) => {
                "list the names one by one, or write the first and the last number in brackets"
            }
            MemberNamesError::DuplicateName(_) => {
                "remove one of the two entries, or change the ranges so that they don't overlap"
            }
            MemberNamesError::TooManyNames => {
                "split the coordinators into several groups, each with its own cluster name"
            }
        }
    }
}

/// Returns whether a text is a valid name: 1 to 64 ASCII letters, digits, dots, dashes or underscores.
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

/// Returns the names that a list of patterns stands for. Each pattern is a name, or a range of names like `n[1-300]`.
pub fn parse(patterns: &[String]) -> Result<BTreeSet<String>, MemberNamesError> {
    let mut names = BTreeSet::new();
    for pattern in patterns {
        for name in expand_pattern(pattern)? {
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

fn expand_pattern(pattern: &str) -> Result<Vec<String>, MemberNamesError> {
    match pattern.split_once('[') {
        None => Ok(vec![pattern.to_string()]),
        Some((prefix, rest)) => expand_range(prefix, rest)
            .ok_or_else(|| MemberNamesError::InvalidRange(pattern.to_string())),
    }
}

/// Returns the names of a range, given the text before and after its opening bracket; `None` if it is malformed.
fn expand_range(prefix: &str, rest: &str) -> Option<Vec<String>> {
    let (range, suffix) = rest.split_once(']')?;
    let (first, last) = range.split_once('-')?;
    let first: u32 = first.parse().ok()?;
    let last: u32 = last.parse().ok()?;
    // Exceeding the limit slightly is enough for the caller to detect too many names.
    let last = last.min(first.checked_add(MAX_NAMES as u32 + 1)?);
    if first > last {
        return None;
    }
    let names = (first..=last).map(|number| format!("{prefix}{number}{suffix}"));
    Some(names.collect())
}

#[cfg(test)]
mod tests;
