//! Process settings and intent files in YAML, validated field by field.
//!
//! | module | contents |
//! |---|---|
//! | [`process`] | settings of the entry, the controller, the gateway and the operator command |
//! | [`intent`] | intent files |
//! | [`field`] | names, accepted values and defaults of settings, also for the settings page |
//! | [`error`] | errors that name the line, the field and the accepted values |
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
