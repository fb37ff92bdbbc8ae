//! Settings of each process.

mod controller;
mod entry;
mod gateway;
mod log_level;
mod operator;
mod settings_macro;

pub use controller::ControllerSettings;
pub use entry::EntrySettings;
pub use gateway::GatewaySettings;
pub use log_level::LogLevel;
pub use operator::OperatorSettings;
