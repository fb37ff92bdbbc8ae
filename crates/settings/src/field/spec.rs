use crate::error::SettingsError;
use crate::field::{FromNode, Kind};
use crate::yaml::{Document, Located, Node};

/// Name suffixes and their units; a suffix precedes any shorter one that also matches.
const UNITS: [(&str, &str); 4] = [
    ("_ms", "milliseconds"),
    ("_bytes_per_s", "bytes a second"),
    ("_s", "seconds"),
    ("_bytes", "bytes"),
];

/// A setting: its name, accepted values and meaning.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Name of the field in the file.
    pub name: &'static str,
    /// Accepted values and default.
    pub kind: Kind,
    /// Meaning of the setting, as one line.
    pub meaning: &'static str,
}

impl Field {
    /// Returns the unit that the name's suffix denotes, if any.
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

/// Reads a field of a document, or returns its default.
pub(crate) fn read_field<T: FromNode>(
    document: &Document,
    field: &Field,
) -> Result<T, SettingsError> {
    let found = document
        .fields()?
        .iter()
        .find(|(key, _)| key.node.as_text() == Some(field.name))
        .map(|(_, value)| &value.node);
    let node = match (found, field.kind.default_text()) {
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

/// Rejects a document with a field that is not in `fields`.
pub(crate) fn reject_unknown_fields(
    document: &Document,
    fields: &[Field],
) -> Result<(), SettingsError> {
    let is_unknown = |(key, _): &&(Located, Located)| {
        !fields.iter().any(|field| key.node.as_text() == Some(field.name))
    };
    match document.fields()?.iter().find(is_unknown) {
        None => Ok(()),
        Some((key, _)) => Err(SettingsError::Unknown {
            file: document.file.clone(),
            line: key.line,
            field: key.node.describe(),
            known: fields.iter().map(|field| field.name).collect::<Vec<_>>().join(", "),
        }),
    }
}
