use celeryhaven_derives::data;

data! {
    /// Where a candidate stands to what the lease is for.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Proximity {
        /// In the same data centre, or the lease belongs to none.
        Near,
        /// In another data centre.
        Far,
    }
}
