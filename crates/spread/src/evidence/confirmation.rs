use celeryhaven_derives::state;

state! {
    /// Whether a node vouches that its copy of the configuration is the one in force.
    #[derive(Copy, Eq)]
    pub enum Confirmation {
        /// The Object API held it not longer than `vouch_ms` ago.
        Confirmed,
        /// The Object API answers nobody among more than half of the nodes, so that nothing newer
        /// can have been accepted and seen.
        Outage,
        /// The node may be cut off: it must not take new requests.
        Withheld,
    }
}

impl Confirmation {
    /// Whether the node may take new requests.
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
