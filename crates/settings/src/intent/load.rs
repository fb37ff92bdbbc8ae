use celeryhaven_types::Intent;

use crate::error::SettingsError;
use crate::intent::check::first_problem;
use crate::yaml::Document;

/// Reads and validates an intent file.
pub fn load_intent(file: &str) -> Result<Intent, SettingsError> {
    from_document(&Document::load(file)?)
}

/// Parses and validates the text of an intent file; `file` is used in errors.
///
/// ```
/// let error = celeryhaven_settings::parse_intent("intent.yaml", "organisations: []\n").unwrap_err();
/// assert!(error.to_string().starts_with("intent.yaml:"));
/// ```
pub fn parse_intent(file: &str, text: &str) -> Result<Intent, SettingsError> {
    from_document(&Document::parse(file, text)?)
}

fn from_document(document: &Document) -> Result<Intent, SettingsError> {
    let intent: Intent = serde_saphyr::from_str(&document.text)
        .map_err(|error| document.deserialize_error(&error))?;
    match first_problem(&intent) {
        None => Ok(intent),
        Some(problem) => Err(document.value_error(&problem.path, problem.accepted)),
    }
}
