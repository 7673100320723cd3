//! Parser and writer for HTTP/1.1 messages, without I/O.
//!
//! A message is parsed from a buffer as soon as it is complete. Its body is delimited by a length or by chunked coding,
//! and may not exceed the caller's limit. The grammar is that of RFC 9112; a bare LF is accepted as a line break too.

mod body;
mod error;
mod head;
mod request;
mod response;

pub use error::MessageError;
pub use head::Fields;
pub use request::{expects_continue, parse_request, Request};
pub use response::{parse_response, write_response, Response};

/// Maximum size of a message head, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Maximum number of header fields in a head.
pub const MAX_FIELDS: usize = 100;
/// Maximum size of a request body in bytes, as specified by the platform.
pub const MAX_BODY: usize = 64 * 1024;
/// Maximum size of a request on the wire in bytes, including the framing of chunks.
const MAX_MESSAGE: usize = MAX_HEAD + 4 * MAX_BODY;

/// A complete message and its length in bytes at the front of the buffer; `None` while the message is incomplete.
pub type Parsed<T> = Result<Option<(T, usize)>, MessageError>;
