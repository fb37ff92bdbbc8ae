use serde::Serialize;
use trillium_http::Body;

/// The response to a request.
#[derive(Debug)]
pub enum Answer {
    /// Sends a response.
    Reply {
        /// The HTTP status.
        status: u16,
        /// Headers other than those for framing.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: Body,
    },
    /// Closes the connection without a response.
    Close,
}

impl Answer {
    /// Creates a response with a status and a body.
    pub fn new(status: u16, body: impl Into<Body>) -> Self {
        Self::Reply { status, headers: Vec::new(), body: body.into() }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        match serde_json::to_string(value) {
            Ok(text) => Self::new(status, text).with_header("content-type", "application/json"),
            Err(error) => Self::new(500, error.to_string()),
        }
    }

    /// Creates a response with status 400 and an error message.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::json(400, &serde_json::json!({"error": {"message": message.into()}}))
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        if let Self::Reply { headers, .. } = &mut self {
            headers.push((name, value.into()));
        }
        self
    }
}
