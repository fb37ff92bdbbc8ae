use crate::field::{FromNode, Kind};
use crate::yaml::Node;

/// Minimum severity that a process logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors that require an operator.
    Error,
    /// Also problems from which the process recovers.
    Warning,
    /// Also one line for each request and each change.
    Info,
    /// Also diagnostic details.
    Debug,
}

impl LogLevel {
    pub(crate) const KIND: Kind =
        Kind::Choice { words: &["error", "warning", "info", "debug"], default: "info" };
}

impl FromNode for LogLevel {
    fn from_node(node: &Node, _kind: &Kind) -> Option<Self> {
        match node.as_text()? {
            "error" => Some(Self::Error),
            "warning" => Some(Self::Warning),
            "info" => Some(Self::Info),
            "debug" => Some(Self::Debug),
            _ => None,
        }
    }
}
