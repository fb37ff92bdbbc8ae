use celeryhaven_derives::state;
use celeryhaven_types::ConfigNumber;

state! {
    /// How many loads a configuration allows within the window.
    ///
    /// ```
    /// use celeryhaven_load_quota::LoadLimit;
    /// use celeryhaven_types::ConfigNumber;
    ///
    /// let limit = LoadLimit::new(ConfigNumber::new(7), 2.5, 5_000);
    /// assert_eq!(limit.loads_max, 12);
    /// ```
    #[derive(Copy, Eq)]
    pub struct LoadLimit {
        /// The configuration.
        pub config: ConfigNumber,
        /// The number of loads.
        pub loads_max: u32,
    }
}

impl LoadLimit {
    /// Creates the limit of a rate; a rate that is no positive number does not limit loads.
    pub fn new(config: ConfigNumber, loads_per_s: f64, window_ms: u64) -> Self {
        let is_rate = loads_per_s.is_finite() && loads_per_s > 0.0;
        let loads = (loads_per_s * window_ms as f64 / 1_000.0) as u32;
        let loads_max = if is_rate { loads.max(1) } else { u32::MAX };
        Self { config, loads_max }
    }
}
