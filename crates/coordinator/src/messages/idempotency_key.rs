//! Idempotency keys, by which servers recognize a repeated part of a keyed class.

use std::fmt;
use std::sync::Arc;

/// Number of hexadecimal digits in a key.
const KEY_DIGITS: usize = 32;

/// The idempotency key of a query: 32 hexadecimal digits, in the letter case in which the client wrote them.
///
/// All attempts at all parts of a query carry the same key. A server that has taken a part with a key drops a repeat of
/// that part within the deduplication window of the class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey(Arc<str>);

/// The error of a text that is not an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected {KEY_DIGITS} hexadecimal digits")]
pub struct MalformedIdempotencyKey;

impl IdempotencyKey {
    /// Parses a key.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedIdempotencyKey`] unless the text consists of exactly 32 hexadecimal digits.
    pub fn parse(text: &str) -> Result<IdempotencyKey, MalformedIdempotencyKey> {
        let is_key = text.len() == KEY_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        match is_key {
            true => Ok(IdempotencyKey(text.into())),
            false => Err(MalformedIdempotencyKey),
        }
    }

    /// Returns the key whose digits are the two numbers, the upper half first.
    pub fn from_halves(upper: u64, lower: u64) -> IdempotencyKey {
        IdempotencyKey(format!("{upper:016x}{lower:016x}").into())
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
