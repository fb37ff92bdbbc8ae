use snafu::ResultExt;

use crate::error::{ReadSnafu, SettingsError};
use crate::yaml::{Located, Node};

/// A parsed YAML file.
pub(crate) struct Document {
    pub(crate) file: String,
    pub(crate) text: String,
    pub(crate) root: Located,
}

impl Document {
    /// Reads and parses a file.
    pub(crate) fn load(file: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(file, &text)
    }

    /// Parses the text of a file.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let root = serde_saphyr::from_str(text).map_err(|error| syntax_error(file, &error))?;
        Ok(Self { file: file.into(), text: text.into(), root })
    }

    /// Returns the top-level fields.
    pub(crate) fn fields(&self) -> Result<&[(Located, Located)], SettingsError> {
        match &self.root.node {
            Node::Mapping(entries) => Ok(entries),
            Node::Empty => Ok(&[]),
            other => Err(SettingsError::Syntax {
                file: self.file.clone(),
                line: self.root.line,
                column: 1,
                message: format!(
                    "found {}, but fields of the form `name: value` go here",
                    other.describe()
                ),
            }),
        }
    }

    /// Returns the node at a path such as `organisations[2].worth`, or its nearest ancestor.
    pub(crate) fn nearest_node(&self, path: &str) -> &Located {
        path.split(['.', '[']).fold(&self.root, |current, step| {
            let step = step.trim_end_matches(']');
            match &current.node {
                Node::Mapping(entries) => entries
                    .iter()
                    .find(|(key, _)| key.node.as_text() == Some(step))
                    .map_or(current, |(_, value)| value),
                Node::List(items) => {
                    step.parse().ok().and_then(|i: usize| items.get(i)).unwrap_or(current)
                }
                _ => current,
            }
        })
    }

    /// Returns the error of deserializing the document, with the field at which it occurred.
    pub(crate) fn deserialize_error(&self, error: &serde_saphyr::Error) -> SettingsError {
        let line = error.location().map_or(0, |location| location.line());
        match path_at_line(&self.root.node, line) {
            Some(path) if !path.is_empty() => {
                let nearest = self.nearest_node(&path);
                SettingsError::Value {
                    file: self.file.clone(),
                    line,
                    field: path,
                    found: nearest.node.describe(),
                    accepted: format!(
                        "what the reader expects: {}",
                        message_without_position(error)
                    ),
                }
            }
            _ => syntax_error(&self.file, error),
        }
    }

    /// Returns an error about the value at a path.
    pub(crate) fn value_error(&self, path: &str, accepted: impl Into<String>) -> SettingsError {
        let nearest = self.nearest_node(path);
        SettingsError::Value {
            file: self.file.clone(),
            line: nearest.line,
            field: path.into(),
            found: nearest.node.describe(),
            accepted: accepted.into(),
        }
    }
}

/// Converts an error of the YAML parser.
pub(crate) fn syntax_error(file: &str, error: &serde_saphyr::Error) -> SettingsError {
    let location = error.location();
    SettingsError::Syntax {
        file: file.into(),
        line: location.map_or(0, |location| location.line()),
        column: location.map_or(0, |location| location.column()),
        message: error.without_snippet().to_string(),
    }
}

/// Returns the path of the last field that starts at or before a line.
fn path_at_line(node: &Node, line: u64) -> Option<String> {
    match node {
        Node::Mapping(entries) => {
            let (key, value) = entries.iter().rev().find(|(key, _)| key.line <= line)?;
            let key = key.node.as_text()?;
            Some(match path_at_line(&value.node, line) {
                Some(rest) if rest.starts_with('[') => format!("{key}{rest}"),
                Some(rest) => format!("{key}.{rest}"),
                None => key.into(),
            })
        }
        Node::List(items) => {
            let (i, item) = items.iter().enumerate().rev().find(|(_, item)| item.line <= line)?;
            Some(match path_at_line(&item.node, line) {
                Some(rest) => format!("[{i}].{rest}"),
                None => format!("[{i}]"),
            })
        }
        _ => None,
    }
}

/// Returns the parser's message without its position, which the error already contains.
fn message_without_position(error: &serde_saphyr::Error) -> String {
    let text = error.without_snippet().to_string();
    text.split(" at line ").next().unwrap_or(&text).into()
}
