use celeryhaven_derives::{data, number};

use crate::audit::ChangeRecord;
use crate::config::Intent;
use crate::names::{NodeName, VmName};

number! {
    /// Number of an accepted configuration; nodes never apply a lower one than they have.
    ConfigNumber(u64)
}

data! {
    /// An accepted configuration, stored in the Object API at `config/current`.
    ///
    /// The object includes the record of the change that produced it, so that a change and its
    /// audit record are written atomically.
    #[serde(deny_unknown_fields)]
    pub struct Config {
        /// Number of this configuration.
        pub number: ConfigNumber,
        /// The intent in force.
        pub intent: Intent,
        /// Target VMs drained by operators.
        #[serde(default)]
        pub drained_vms: Vec<VmName>,
        /// Entry VMs drained by operators.
        #[serde(default)]
        pub drained_nodes: Vec<NodeName>,
        /// The change that produced this configuration.
        pub change: ChangeRecord,
    }
}
