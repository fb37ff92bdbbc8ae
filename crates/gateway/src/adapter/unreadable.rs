use snafu::Snafu;

/// What a platform wrote cannot be understood.
#[derive(Debug, Snafu)]
#[snafu(display("{what} cannot be read: {why}"), visibility(pub))]
pub struct Unreadable {
    /// Which object.
    pub what: String,
    /// What is wrong with it.
    pub why: String,
}

impl Unreadable {
    /// Says what cannot be read and why.
    pub fn new(what: impl Into<String>, why: impl ToString) -> Self {
        Self { what: what.into(), why: why.to_string() }
    }
}
