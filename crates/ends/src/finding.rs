use celeryhaven_derives::data;

data! {
    /// What a node finds when it connects to a target.
    #[derive(Copy, Eq)]
    pub enum Finding {
        /// The target accepts a connection.
        Accepted,
        /// The target refuses connections, while the node reaches another one.
        Refused,
        /// The target refuses connections, and so do others: the node may have lost its links.
        RefusedByAll,
        /// The platform lists another start of the target.
        Restarted,
        /// No connection is opened or refused in time.
        Unreachable,
    }
}

impl Finding {
    /// Whether a connection was refused, by the target or on the way.
    pub const fn is_refusal(self) -> bool {
        matches!(self, Self::Refused | Self::RefusedByAll)
    }

    /// Whether it says anything about the target.
    pub(crate) const fn is_telling(self) -> bool {
        !matches!(self, Self::RefusedByAll | Self::Unreachable)
    }
}
