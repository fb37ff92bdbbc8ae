use celeryhaven_derives::state;

state! {
    /// Time limits for new requests after a loss or a leave notice, in milliseconds.
    #[derive(Copy, Eq)]
    pub struct Bounds {
        /// From the loss of a member to the last new request for its replica.
        pub loss_ms: u64,
        /// From the notice that a VM leaves to the last new request for it.
        pub leaving_ms: u64,
    }
}
