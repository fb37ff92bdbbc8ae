use celeryhaven_derives::data;

data! {
    /// What a node finds when it connects to a target.
    #[derive(Copy, Eq)]
    pub enum Finding {
        /// The target accepts a connection.
        Accepted,
        /// The target refuses connections, while the node reaches another one.
        Refused,
        /// The platform lists another start of the target.
        Restarted,
        /// The node has no path to the target, or to any.
        Unreachable,
    }
}
