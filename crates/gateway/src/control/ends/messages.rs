use celeryhaven_derives::data;
use celeryhaven_ends::{Finding, TargetProcess};
use celeryhaven_quarantine::{CauseDigest, CrashRecord};

data! {
    /// What a node wants to know of ends of targets.
    pub(crate) struct EndQuestion {
        pub(crate) ends: Vec<AskedEnd>,
        /// How long the contents count as unsettled.
        pub(crate) unsettled_ms: u64,
        /// How long finding out may take.
        pub(crate) find_ms: u64,
    }

    /// An end of a target, and the contents that it was running.
    pub(crate) struct AskedEnd {
        pub(crate) process: TargetProcess,
        pub(crate) contents: Vec<CauseDigest>,
        /// Whether it has refused a connection.
        pub(crate) is_refused: bool,
    }

    /// What a node has found of the ends that it was asked about, in their order.
    pub(crate) struct EndAnswer {
        pub(crate) findings: Vec<Finding>,
    }

    /// What a node has seen of causes of crashes.
    pub(crate) struct SeenCrashes {
        pub(crate) records: Vec<(CauseDigest, CrashRecord)>,
    }
}
