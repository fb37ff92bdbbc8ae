use celeryhaven_derives::{data, name};
use celeryhaven_types::{ConfigNumber, DomainName};

name! {
    /// Identifies a grant of loads.
    GrantId
}

data! {
    /// The grants of all nodes that may still begin loads, and the limit that they share.
    #[derive(Default)]
    #[serde(default)]
    pub struct QuotaRecord {
        /// Era of the store in which the record was written.
        pub era: u64,
        /// The newest configuration that a grant was made under.
        pub config: ConfigNumber,
        /// Loads that this configuration allows within the window.
        pub loads_max: u32,
        /// The grants, in the order in which they were made.
        pub grants: Vec<LoadGrant>,
    }

    /// Loads that a coordinator may begin.
    pub struct LoadGrant {
        /// Identifies the grant.
        pub id: GrantId,
        /// The domain whose targets load.
        pub domain: DomainName,
        /// The number of loads.
        pub loads: u32,
        /// Time from the write until the orders of these loads have been sent, in milliseconds.
        pub use_ms: u64,
        /// Time since the write that a node has known it for, in milliseconds.
        pub age_ms: u64,
        /// Whether `loads` is the number that has begun or may still begin, and no longer that
        /// which was granted.
        pub settled: bool,
        /// Loads of these whose order was not answered, and which may begin later.
        pub unresolved: u32,
        /// Time that a node has known this number for, in milliseconds.
        pub unresolved_age_ms: u64,
    }
}

impl LoadGrant {
    /// Creates a grant that has just been made.
    pub const fn new(id: GrantId, domain: DomainName, loads: u32, use_ms: u64) -> Self {
        let (settled, unresolved) = (false, 0);
        Self { id, domain, loads, use_ms, age_ms: 0, settled, unresolved, unresolved_age_ms: 0 }
    }
}
