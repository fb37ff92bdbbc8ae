use celeryhaven_derives::data;
use celeryhaven_types::VmName;

data! {
    /// One start of a target.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct TargetProcess {
        /// Name of the target; a restarted target may keep it.
        pub name: VmName,
        /// Start time of its process in Unix milliseconds, if known.
        pub started_at_ms: Option<u64>,
    }
}
