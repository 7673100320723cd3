//! Responses to clients.

/// A response that is independent of its wire format.
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Header fields in addition to `Content-Type`, `Content-Length` and `Connection`.
    pub headers: Vec<(&'static str, String)>,
    /// Content of the body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Reply {
            status,
            content_type: "application/json",
            headers: Vec::new(),
            body,
        }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}
