//! The configured group: the names that count for the standing.

use std::collections::BTreeSet;

/// Most names of a group. A table of members is kept a few times as large.
pub const MOST_NAMES: usize = 6_000;
/// The longest name, in bytes: it travels in datagrams.
pub const MOST_NAME: usize = 64;

/// What is wrong with a group's names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// There are none.
    #[error("the group names nobody")]
    Empty,
    /// A name is empty, too long, or holds what a name can't.
    #[error("'{0}' can't be a name")]
    Name(String),
    /// A range is not one.
    #[error("'{0}': a range is written as in n[1-300], the smaller number first")]
    Range(String),
    /// A name is there twice.
    #[error("'{0}' is named twice")]
    Twice(String),
    /// There are too many.
    #[error("the group has more than {MOST_NAMES} names")]
    TooMany,
}

impl Fault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Fault::Empty => {
                "name every coordinator of the group, this one too: the standing is reckoned from them"
            }
            Fault::Name(_) => {
                "names are 1 to 64 letters, digits, dots, dashes or underscores, as in the deployment's file"
            }
            Fault::Range(_) => "write the names out, or the first and the last number in brackets",
            Fault::Twice(_) => "leave it out once, or make the ranges end before one another",
            Fault::TooMany => {
                "split the coordinators into several groups, each with a cluster name of its own"
            }
        }
    }
}

/// Whether a text can be a name.
pub fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    !text.is_empty() && text.len() <= MOST_NAME && text.bytes().all(plain)
}

/// The names that these texts stand for: each a name, or a range of them as in `n[1-300]`.
pub fn read(texts: &[String]) -> Result<BTreeSet<String>, Fault> {
    let mut names = BTreeSet::new();
    for text in texts {
        let range = match text.split_once('[') {
            None => vec![text.clone()],
            Some((before, rest)) => spread(before, rest).ok_or(Fault::Range(text.clone()))?,
        };
        for name in range {
            if names.len() >= MOST_NAMES {
                return Err(Fault::TooMany);
            }
            if !is_name(&name) {
                return Err(Fault::Name(name));
            }
            if !names.insert(name.clone()) {
                return Err(Fault::Twice(name));
            }
        }
    }
    if names.is_empty() {
        return Err(Fault::Empty);
    }
    Ok(names)
}

/// The names of a range; `None`: it is none.
fn spread(before: &str, rest: &str) -> Option<Vec<String>> {
    let (range, after) = rest.split_once(']')?;
    let (first, last) = range.split_once('-')?;
    let (first, last) = (first.parse::<u32>().ok()?, last.parse::<u32>().ok()?);
    // One more than may be named is enough to tell that there are too many.
    let last = last.min(first.checked_add(MOST_NAMES as u32 + 1)?);
    (first <= last).then(|| {
        (first..=last)
            .map(|number| format!("{before}{number}{after}"))
            .collect()
    })
}

#[cfg(test)]
mod tests;
