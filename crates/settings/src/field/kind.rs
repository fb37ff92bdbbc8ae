/// Kind of value that a setting accepts, with its default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name of 1 to 63 lowercase letters, digits and hyphens; no default.
    Name,
    /// An IP address and port; no default.
    Address,
    /// A list of IP addresses and ports; empty by default.
    Addresses,
    /// A file path; no default.
    File,
    /// An integer within bounds.
    Number {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
        /// Value if the field is missing.
        default: u64,
    },
    /// A decimal number within bounds.
    Decimal {
        /// Minimum, inclusive.
        min: f64,
        /// Maximum, inclusive.
        max: f64,
        /// Value if the field is missing.
        default: f64,
    },
    /// One of a fixed set of words.
    Choice {
        /// The accepted words.
        words: &'static [&'static str],
        /// Value if the field is missing.
        default: &'static str,
    },
}

impl Kind {
    /// Creates a [`Kind::Number`].
    pub const fn number(min: u64, max: u64, default: u64) -> Self {
        Self::Number { min, max, default }
    }

    /// Creates a [`Kind::Choice`] of `true` and `false`, by default `false`.
    pub const fn switch() -> Self {
        Self::Choice { words: &["true", "false"], default: "false" }
    }

    /// Creates a [`Kind::Decimal`].
    pub const fn decimal(min: f64, max: f64, default: f64) -> Self {
        Self::Decimal { min, max, default }
    }

    /// Returns a description of the accepted values.
    pub fn accepted(&self) -> String {
        match self {
            Self::Name => "1 to 63 lowercase letters, digits and hyphens".into(),
            Self::Address => "an IP address and port, such as 10.0.0.1:7000".into(),
            Self::Addresses => "a list of IP addresses and ports, such as [10.0.0.1:7100]".into(),
            Self::File => "the path of a file".into(),
            Self::Number { min, max, .. } => format!("a whole number from {min} to {max}"),
            Self::Decimal { min, max, .. } => format!("a number from {min} to {max}"),
            Self::Choice { words, .. } => format!("one of {}", words.join(", ")),
        }
    }

    /// Returns the default as text; `None` if the field is required.
    pub fn default_text(&self) -> Option<String> {
        match self {
            Self::Name | Self::Address | Self::File => None,
            Self::Addresses => Some("[]".into()),
            Self::Number { default, .. } => Some(default.to_string()),
            Self::Decimal { default, .. } => Some(default.to_string()),
            Self::Choice { default, .. } => Some((*default).into()),
        }
    }
}
