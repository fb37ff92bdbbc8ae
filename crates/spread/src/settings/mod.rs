//! Periods and limits.

mod spread_settings;

pub use spread_settings::SpreadSettings;
