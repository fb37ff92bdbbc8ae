use snafu::Snafu;

/// Platform data that cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("{object} cannot be parsed: {reason}"), visibility(pub))]
pub struct ParseError {
    /// Name of the object.
    pub object: String,
    /// Reason for the failure.
    pub reason: String,
}

impl ParseError {
    /// Creates an error for an object.
    pub fn new(object: impl Into<String>, reason: impl ToString) -> Self {
        Self { object: object.into(), reason: reason.to_string() }
    }
}
