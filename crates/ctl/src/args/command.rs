use std::str::FromStr;

use celeryhaven_derives::state;
use celeryhaven_types::OperatorRequest;

state! {
    /// A command of the tool.
    pub enum Command {
        /// Plans the change to the intent in a file.
        Plan {
            /// Path of the intent file.
            file: String,
        },
        /// Sends another request to a controller.
        Ask(OperatorRequest),
        /// Checks a file without a server.
        Check {
            /// Path of the file.
            file: String,
            /// Kind of the file; inferred from its fields if `None`.
            kind: Option<FileKind>,
        },
    }

    /// Kind of a file.
    #[derive(Copy, Eq)]
    pub enum FileKind {
        /// An intent.
        Intent,
        /// Settings of an entry.
        Entry,
        /// Settings of a controller.
        Controller,
        /// Settings of this tool.
        Operator,
    }
}

impl FileKind {
    /// Returns the name used on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Intent => "intent",
            Self::Entry => "entry",
            Self::Controller => "controller",
            Self::Operator => "operator",
        }
    }
}

impl FromStr for FileKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let kinds = [Self::Intent, Self::Entry, Self::Controller, Self::Operator];
        let found = kinds.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| format!("`{text}` is not one of intent, entry, controller, operator"))
    }
}
