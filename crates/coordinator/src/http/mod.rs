//! HTTP/1.1 messages, parsed from a buffer without I/O.
//!
//! A message is either complete or not there yet. A body has a length or comes in chunks, and may not exceed its
//! caller's limit. The grammar is that of RFC 9112, with line breaks of LF alone accepted as well.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod body;
mod error;
mod head;
mod request;
mod response;

pub use error::MessageError;
pub use head::Fields;
pub use request::{expects_continue, parse_request, Request};
pub use response::{parse_response, write_response, Response};

/// The longest head that is read, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// The most fields in a head.
pub const MAX_FIELDS: usize = 100;
/// The largest body of a request in bytes, as the platform states it.
pub const MAX_BODY: usize = 64 * 1024;
/// The most bytes that a request may take on the wire, its chunks' framing included.
const MAX_MESSAGE: usize = MAX_HEAD + 4 * MAX_BODY;

/// A complete message and the bytes that it took off the front of the buffer; `None` while it is incomplete.
pub type Parsed<T> = Result<Option<(T, usize)>, MessageError>;
