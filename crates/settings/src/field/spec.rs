use crate::error::SettingsError;
use crate::field::{FromNode, Kind};
use crate::yaml::{Document, Located, Node};

/// Suffixes of names with their units; the longer one first where two fit.
const UNITS: [(&str, &str); 4] = [
    ("_ms", "milliseconds"),
    ("_bytes_per_s", "bytes a second"),
    ("_s", "seconds"),
    ("_bytes", "bytes"),
];

/// One setting: its name, what it accepts and what it means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Its name in the file.
    pub name: &'static str,
    /// What it accepts.
    pub kind: Kind,
    /// What it means, as one line.
    pub meaning: &'static str,
}

impl Field {
    /// The unit, which is the name's suffix; `None` for what has no unit.
    ///
    /// ```
    /// use celeryhaven_settings::{Field, Kind};
    /// let field = Field { name: "vouch_ms", kind: Kind::number(1, 2, 1), meaning: "" };
    /// assert_eq!(field.unit(), Some("milliseconds"));
    /// ```
    pub fn unit(&self) -> Option<&'static str> {
        UNITS.into_iter().find_map(|(suffix, unit)| self.name.ends_with(suffix).then_some(unit))
    }
}

/// Reads one field of a document, or its default.
pub(crate) fn read_field<T: FromNode>(
    document: &Document,
    field: &Field,
) -> Result<T, SettingsError> {
    let written = document
        .fields()?
        .iter()
        .find(|(key, _)| key.node.as_text() == Some(field.name))
        .map(|(_, value)| &value.node);
    let node = match (written, field.kind.default_text()) {
        (Some(node), _) => node.clone(),
        (None, Some(_)) if matches!(field.kind, Kind::Addresses) => Node::List(Vec::new()),
        (None, Some(text)) => Node::Scalar(text),
        (None, None) => {
            return Err(SettingsError::Missing {
                file: document.file.clone(),
                field: field.name.into(),
                accepted: field.kind.accepted(),
            });
        }
    };
    T::from_node(&node, &field.kind)
        .ok_or_else(|| document.value_error(field.name, field.kind.accepted()))
}

/// Refuses a document that has a field which is not in the list.
pub(crate) fn refuse_unknown(document: &Document, fields: &[Field]) -> Result<(), SettingsError> {
    let known = |(key, _): &&(Located, Located)| {
        !fields.iter().any(|field| key.node.as_text() == Some(field.name))
    };
    match document.fields()?.iter().find(known) {
        None => Ok(()),
        Some((key, _)) => Err(SettingsError::Unknown {
            file: document.file.clone(),
            line: key.line,
            field: key.node.describe(),
            known: fields.iter().map(|field| field.name).collect::<Vec<_>>().join(", "),
        }),
    }
}
