//! The configured group: the names that count for the standing.

use std::collections::BTreeSet;

/// Most names of a group. A table of members is kept a few times as large.
pub const MAX_NAMES: usize = 6_000;
/// The longest name, in bytes: it travels in datagrams.
pub const MAX_NAME_BYTES: usize = 64;

/// What is wrong with a group's names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberNamesError {
    /// There are none.
    #[error("the group names nobody")]
    Empty,
    /// A name is empty, too long, or holds what a name can't.
    #[error("'{0}' can't be a name")]
    InvalidName(String),
    /// A range is not one.
    #[error("'{0}': a range is written as in n[1-300], the smaller number first")]
    InvalidRange(String),
    /// A name is there twice.
    #[error("'{0}' is named twice")]
    DuplicateName(String),
    /// There are too many.
    #[error("the group has more than {MAX_NAMES} names")]
    TooManyNames,
}

impl MemberNamesError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            MemberNamesError::Empty => {
                "name every coordinator of the group, this one too: the standing is reckoned from them"
            }
            MemberNamesError::InvalidName(_) => {
                "names are 1 to 64 letters, digits, dots, dashes or underscores, as in the deployment's file"
            }
            MemberNamesError::InvalidRange(_) => "write the names out, or the first and the last number in brackets",
            MemberNamesError::DuplicateName(_) => "leave it out once, or make the ranges end before one another",
            MemberNamesError::TooManyNames => {
                "split the coordinators into several groups, each with a cluster name of its own"
            }
        }
    }
}

/// Whether a text can be a name.
pub fn is_valid_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(plain)
}

/// The names that these texts stand for: each a name, or a range of them as in `n[1-300]`.
pub fn parse(texts: &[String]) -> Result<BTreeSet<String>, MemberNamesError> {
    let mut names = BTreeSet::new();
    for text in texts {
        let range = match text.split_once('[') {
            None => vec![text.clone()],
            Some((before, rest)) => {
                expand_range(before, rest).ok_or(MemberNamesError::InvalidRange(text.clone()))?
            }
        };
        for name in range {
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

/// The names of a range; `None`: it is none.
fn expand_range(before: &str, rest: &str) -> Option<Vec<String>> {
    let (range, after) = rest.split_once(']')?;
    let (first, last) = range.split_once('-')?;
    let (first, last) = (first.parse::<u32>().ok()?, last.parse::<u32>().ok()?);
    // One more than may be named is enough to tell that there are too many.
    let last = last.min(first.checked_add(MAX_NAMES as u32 + 1)?);
    (first <= last).then(|| {
        (first..=last)
            .map(|number| format!("{before}{number}{after}"))
            .collect()
    })
}

#[cfg(test)]
mod tests;
