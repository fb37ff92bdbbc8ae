//! Process settings and intent files in YAML, checked field by field.
//!
//! | module | what it holds |
//! |---|---|
//! | [`process`] | settings of the entry, the controller and the operators' command |
//! | [`intent`] | what operators want served |
//! | [`field`] | what each setting accepts, for the checks and for the settings page |
//! | [`error`] | what is wrong with a file, as a sentence that tells what to write |
//!
//! ```
//! use celeryhaven_settings::OperatorSettings;
//! let text = "controllers: [\"127.0.0.1:7400\"]\ncertificate_file: a\nkey_file: b\nauthority_file: c\ntimeout_ms: soon\n";
//! let error = OperatorSettings::from_yaml("ctl.yaml", text).unwrap_err();
//! assert_eq!(
//!     error.to_string(),
//!     "ctl.yaml:5: `timeout_ms` is `soon`; write a whole number from 100 to 600000"
//! );
//! ```

pub mod error;
pub mod field;
pub mod intent;
pub mod process;
mod yaml;

pub use error::SettingsError;
pub use field::{Field, Kind};
pub use intent::{IntentProblem, check_intent, load_intent, parse_intent};
pub use process::{ControllerSettings, EntrySettings, GatewaySettings, LogLevel, OperatorSettings};
