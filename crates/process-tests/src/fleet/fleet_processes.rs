use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use celeryhaven_stand_ins::caller::Caller;
use celeryhaven_types::VmEntry;

use crate::fleet::{Addresses, FleetShape};
use crate::process::Process;

/// The processes of one fleet; all end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) shape: FleetShape,
    pub(crate) addresses: Addresses,
    pub(crate) folder: PathBuf,
    pub(crate) processes: BTreeMap<String, Process>,
    pub(crate) vms: Vec<VmEntry>,
    pub(crate) observer: Caller,
}

impl Fleet {
    /// Its shape.
    pub fn shape(&self) -> &FleetShape {
        &self.shape
    }

    /// Where its processes listen.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Where settings, certificates and logs are.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// One process by its name, such as `entry-1`, `engine-0` or `object-api`.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes.get_mut(name)
    }

    /// The names of all processes.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.processes.values_mut().filter_map(|process| {
            process.ended().map(|status| format!("{} ended with {status}", process.name()))
        });
        ended.collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        // Logs of a failed test are what its reader needs.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
