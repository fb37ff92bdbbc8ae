use celeryhaven_settings::{
    ControllerSettings, EntrySettings, OperatorSettings, SettingsError, load_intent,
};

use crate::args::FileKind;

/// Checks a file by the rules of its kind and returns that kind.
///
/// If `kind` is `None`, it is inferred from a field that only one kind has.
pub fn check_file(file: &str, kind: Option<FileKind>) -> Result<FileKind, SettingsError> {
    let kind = kind.unwrap_or_else(|| infer_kind(file));
    match kind {
        FileKind::Intent => load_intent(file).map(drop)?,
        FileKind::Entry => EntrySettings::load(file).map(drop)?,
        FileKind::Controller => ControllerSettings::load(file).map(drop)?,
        FileKind::Operator => OperatorSettings::load(file).map(drop)?,
    }
    Ok(kind)
}

/// Infers the kind of a file; an unreadable file counts as an intent, and loading it reports the
/// error.
fn infer_kind(file: &str) -> FileKind {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let has = |field: &str| text.lines().any(|line| line.starts_with(field));
    if has("operator_listen:") {
        FileKind::Controller
    } else if has("peer_listen:") {
        FileKind::Entry
    } else if has("controllers:") {
        FileKind::Operator
    } else {
        FileKind::Intent
    }
}
