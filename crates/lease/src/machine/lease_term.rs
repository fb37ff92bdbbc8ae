use celeryhaven_derives::state;
use celeryhaven_types::{Fence, TimeMs};

state! {
    /// The current term of the holder.
    #[derive(Copy)]
    pub(crate) struct LeaseTerm {
        /// Fencing number of the holder.
        pub(crate) fence: Fence,
        /// When the holder must stop acting.
        pub(crate) until: TimeMs,
        /// When the next renewal is due.
        pub(crate) renew_at: TimeMs,
    }
}
