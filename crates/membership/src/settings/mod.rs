//! Periods and timeouts.

mod membership_settings;

pub use membership_settings::MembershipSettings;
