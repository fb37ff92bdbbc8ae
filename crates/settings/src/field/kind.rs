/// What a setting accepts, and its default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Up to 63 lowercase letters, digits and hyphens, as in a host name; no default.
    Name,
    /// An IP address and port; no default.
    Address,
    /// A list of IP addresses and ports; empty by default.
    Addresses,
    /// A path of a file; no default.
    File,
    /// A whole number within bounds.
    Number {
        /// The least that is accepted.
        least: u64,
        /// The most that is accepted.
        most: u64,
        /// Taken when the field is missing.
        default: u64,
    },
    /// A number within bounds that may have a fraction.
    Decimal {
        /// The least that is accepted.
        least: f64,
        /// The most that is accepted.
        most: f64,
        /// Taken when the field is missing.
        default: f64,
    },
    /// One of some words.
    Choice {
        /// The words.
        words: &'static [&'static str],
        /// Taken when the field is missing.
        default: &'static str,
    },
}

impl Kind {
    /// A whole number within bounds, with a default.
    pub const fn number(least: u64, most: u64, default: u64) -> Self {
        Self::Number { least, most, default }
    }

    /// A number that may have a fraction, within bounds, with a default.
    pub const fn decimal(least: f64, most: f64, default: f64) -> Self {
        Self::Decimal { least, most, default }
    }

    /// What is accepted, in words.
    pub fn accepted(&self) -> String {
        match self {
            Self::Name => "1 to 63 lowercase letters, digits and hyphens".into(),
            Self::Address => "an IP address and port, such as 10.0.0.1:7000".into(),
            Self::Addresses => "a list of IP addresses and ports, such as [10.0.0.1:7100]".into(),
            Self::File => "the path of a file".into(),
            Self::Number { least, most, .. } => format!("a whole number from {least} to {most}"),
            Self::Decimal { least, most, .. } => format!("a number from {least} to {most}"),
            Self::Choice { words, .. } => format!("one of {}", words.join(", ")),
        }
    }

    /// The default as text; `None` if the field must be written.
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
