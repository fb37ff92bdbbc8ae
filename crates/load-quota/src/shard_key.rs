use std::fmt;

use celeryhaven_derives::data;
use celeryhaven_types::DomainName;
use xxhash_rust::xxh3::xxh3_64;

use crate::LoadLimit;

/// Fewest loads that the domains of a shard may begin within the window.
const SHARD_LOADS_MIN: u32 = 100;

data! {
    /// Identifies the record that some of the domains share.
    ///
    /// Of a large limit, each of several records holds a part, so that few nodes write to the same
    /// one. Their number follows from the limit alone, which is the same at all nodes.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct ShardKey {
        /// The number of the record.
        pub index: u32,
        /// How many records there are.
        pub count: u32,
    }
}

impl ShardKey {
    /// Returns the key of a domain's record under a limit.
    pub fn of_domain(domain: &DomainName, limit: LoadLimit) -> Self {
        let count = match limit.loads_max {
            u32::MAX => 1,
            loads_max => (loads_max / SHARD_LOADS_MIN).max(1),
        };
        let index = xxh3_64(domain.as_str().as_bytes()) % u64::from(count);
        Self { index: index as u32, count }
    }

    /// Returns the part of a limit that this record holds.
    pub fn part_of(self, limit: LoadLimit) -> LoadLimit {
        let up_to =
            |index: u32| u64::from(limit.loads_max) * u64::from(index) / u64::from(self.count);
        let loads_max = (up_to(self.index + 1) - up_to(self.index)) as u32;
        LoadLimit { loads_max, ..limit }
    }
}

impl fmt::Display for ShardKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-of-{}", self.index, self.count)
    }
}
