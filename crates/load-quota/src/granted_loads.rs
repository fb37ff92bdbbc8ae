use celeryhaven_derives::state;
use celeryhaven_types::{DomainName, TimeMs};

use crate::GrantId;

state! {
    /// Loads that a domain may begin.
    #[derive(Eq)]
    pub struct GrantedLoads {
        /// The grant that the loads are of.
        pub grant: GrantId,
        /// The domain.
        pub domain: DomainName,
        /// The number of loads.
        pub loads: u32,
        /// When an order that begins one of them must have been sent.
        pub send_by: TimeMs,
    }
}
