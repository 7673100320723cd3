//! Parser and writer for HTTP/1.1 messages, without I/O.
//!
//! A parser removes a message from a buffer as it arrives. It keeps its state between two reads, so the work grows with
//! the number of bytes and not with the number of reads, and it bounds all that it keeps. A body is delimited by a length
//! or by chunked coding, and may not exceed the caller's limit. The grammar is that of RFC 9112; a bare LF is accepted as
//! a line break too.

mod body;
mod error;
mod head;
mod request;
mod response;

pub use error::MessageError;
pub use head::Fields;
pub use request::{Request, RequestParser};
pub use response::{write_response, Response, ResponseParser};

/// Maximum size of a message head, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Maximum number of header fields in a head.
pub const MAX_FIELDS: usize = 100;
/// Maximum size of a request body in bytes, as specified by the platform.
pub const MAX_BODY: usize = 64 * 1024;
/// A complete message; `None` while the message is incomplete.
pub type Parsed<T> = Result<Option<T>, MessageError>;
