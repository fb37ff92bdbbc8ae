use celeryhaven_derives::data;

data! {
    /// Whether a candidate is in the data centre that a lease belongs to.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Proximity {
        /// In the data centre of the lease, or the lease belongs to none.
        Near,
        /// In another data centre.
        Far,
    }
}
