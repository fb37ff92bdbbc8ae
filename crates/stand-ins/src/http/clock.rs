use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current time in microseconds since the Unix epoch.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_micros() as u64)
}
