use celeryhaven_derives::state;

state! {
    /// What settles whether a target has ended.
    #[derive(Copy, Eq)]
    pub enum Evidence {
        /// It accepts a connection.
        Accepted,
        /// It refuses connections of this node, and no peer reaches it.
        Refused,
        /// It refuses connections of a peer, and no node reaches it.
        RefusedToPeer,
        /// The platform lists another start.
        Restarted,
        /// The platform still lists the same start.
        Listed,
        /// The platform lists it no longer, and no node has reached it since its connection broke.
        Gone,
        /// Nothing has settled it in time.
        Nothing,
    }
}

impl Evidence {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::RefusedToPeer => "refused to a peer",
            Self::Restarted => "restarted",
            Self::Listed => "still listed",
            Self::Gone => "entry gone",
            Self::Nothing => "nothing",
        }
    }
}
