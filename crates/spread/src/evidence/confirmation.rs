use celeryhaven_derives::state;

state! {
    /// Whether a node confirms its copy of the configuration as current.
    #[derive(Copy, Eq)]
    pub enum Confirmation {
        /// The Object API held this copy at most `vouch_ms` ago.
        Confirmed,
        /// The Object API is unavailable to a majority of the nodes, so no newer version can have
        /// been accepted and distributed.
        Outage,
        /// The node may be cut off and must not accept new requests.
        Withheld,
    }
}

impl Confirmation {
    /// Whether the node may accept new requests.
    ///
    /// ```
    /// use celeryhaven_spread::Confirmation;
    /// assert!(Confirmation::Outage.allows_serving());
    /// assert!(!Confirmation::Withheld.allows_serving());
    /// ```
    pub const fn allows_serving(self) -> bool {
        !matches!(self, Self::Withheld)
    }
}
