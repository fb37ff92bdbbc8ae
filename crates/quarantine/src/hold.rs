use celeryhaven_derives::state;

state! {
    /// How a content is held that may have ended targets.
    #[derive(Copy, Eq)]
    pub enum Hold {
        /// It runs once at a time in a node.
        OneAtATime,
        /// It does not run.
        Stopped,
    }
}
