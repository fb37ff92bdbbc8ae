use celeryhaven_derives::data;
use celeryhaven_types::{Fence, Incarnation};

data! {
    /// The holder of a lease, as stored in the Object API.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct LeaseRecord {
        /// Process that wrote the record.
        pub holder: Incarnation,
        /// Fencing number, higher for each new holder.
        pub fence: Fence,
        /// Identity of the write, different for each renewal.
        pub write_id: u64,
        /// Whether the holder released the lease, which others may then acquire before it expires.
        pub released: bool,
    }
}
