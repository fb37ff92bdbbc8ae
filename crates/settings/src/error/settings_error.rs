use snafu::Snafu;

/// An error in a settings or intent file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("{file}: cannot be read: {source}; check the path and its permissions"))]
    Read {
        /// The file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not valid YAML or has an unexpected structure.
    #[snafu(display("{file}:{line}:{column}: {message}"))]
    Syntax {
        /// The file.
        file: String,
        /// The line, starting at 1.
        line: u64,
        /// The column, starting at 1.
        column: u64,
        /// Message of the YAML parser.
        message: String,
    },
    /// A field has an invalid value.
    #[snafu(display("{file}:{line}: `{field}` is `{found}`; write {accepted}"))]
    Value {
        /// The file.
        file: String,
        /// The line, starting at 1.
        line: u64,
        /// Path of the field from the root.
        field: String,
        /// The value found.
        found: String,
        /// Description of the accepted values.
        accepted: String,
    },
    /// A field is unknown.
    #[snafu(display("{file}:{line}: `{field}` is not a known field; known are {known}"))]
    Unknown {
        /// The file.
        file: String,
        /// The line, starting at 1.
        line: u64,
        /// The unknown field.
        field: String,
        /// The known fields.
        known: String,
    },
    /// A required field is missing.
    #[snafu(display("{file}: `{field}` is missing; add it with {accepted}"))]
    Missing {
        /// The file.
        file: String,
        /// The field.
        field: String,
        /// Description of the accepted values.
        accepted: String,
    },
}
