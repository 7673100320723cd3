//! A response to a client.

/// A response that is ready to be written.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: &'static str,
    /// Header fields beside those that every response has.
    pub headers: Vec<(&'static str, String)>,
    /// The body, written with its length.
    pub body: Vec<u8>,
}

impl Reply {
    /// A JSON response.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Reply {
            status,
            content_type: "application/json",
            headers: Vec::new(),
            body,
        }
    }

    /// The same with one more header field.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}
