use celeryhaven_derives::state;

state! {
    /// What the platform lists of a target, as a node knows it.
    #[derive(Copy, Eq)]
    pub enum Listing {
        /// The same start.
        Same,
        /// Another start.
        Restarted,
        /// Nothing.
        Missing,
        /// The store does not answer.
        Unknown,
    }
}
