use std::net::SocketAddr;

use celeryhaven_derives::data;

use crate::names::{DataCentreName, DomainName, VmName};

data! {
    /// Whether the platform is about to stop a VM.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum VmPhase {
        /// The VM keeps running.
        Live,
        /// The VM will be stopped soon.
        Leaving,
    }

    /// Role of a VM.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum VmRole {
        /// Runs this system's processes.
        Entry,
        /// Runs an engine.
        Engine,
        /// Runs a plain service.
        Plain,
    }

    /// An entry of the platform's VM list (`GET /vms`), which may be out of date.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct VmEntry {
        /// The VM.
        pub vm: VmName,
        /// Role of the VM.
        pub role: VmRole,
        /// HTTP address of the VM's engine, service or entry.
        pub address: SocketAddr,
        /// Data centre of the VM.
        pub data_centre: DataCentreName,
        /// Fabric domain of the VM, for engines.
        pub domain: Option<DomainName>,
        /// Number of accelerators in the VM.
        pub accelerators: u32,
        /// Whether the VM is about to be stopped.
        pub phase: VmPhase,
    }
}
