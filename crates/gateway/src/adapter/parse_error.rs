use snafu::Snafu;

/// What a platform wrote cannot be understood.
#[derive(Debug, Snafu)]
#[snafu(display("{object} cannot be parsed: {reason}"), visibility(pub))]
pub struct ParseError {
    /// Which object.
    pub object: String,
    /// What is wrong with it.
    pub reason: String,
}

impl ParseError {
    /// Says what cannot be read and why.
    pub fn new(object: impl Into<String>, reason: impl ToString) -> Self {
        Self { object: object.into(), reason: reason.to_string() }
    }
}
