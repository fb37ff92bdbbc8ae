use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock, in milliseconds since the Unix epoch; only for records that people read.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
