//! Errors in settings and intent files.

mod settings_error;

pub(crate) use settings_error::ReadSnafu;
pub use settings_error::SettingsError;
