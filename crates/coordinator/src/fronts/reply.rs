//! A response to a client.

/// A response that is ready to be written.
pub struct Reply {
    pub status: u16,
    pub content_type: &'static str,
    /// Header fields beside those that every response has.
    pub headers: Vec<(&'static str, String)>,
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
