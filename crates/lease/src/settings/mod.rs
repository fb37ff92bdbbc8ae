//! Durations of a lease.

mod lease_settings;

pub use lease_settings::LeaseSettings;
