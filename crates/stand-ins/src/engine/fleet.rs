use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use celeryhaven_types::{Boot, VmName};
use smol::Task;
use smol::lock::Mutex;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::engine::directory::Directory;
use crate::engine::{EngineFault, EngineSettings, EngineVm, RunLog};
use crate::http::{Server, unix_us};

/// An error while starting a VM or injecting a fault.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// No VM has this name.
    #[snafu(display("unknown VM {vm}: expected the name of a VM of this process"))]
    UnknownVm {
        /// The requested name.
        vm: String,
    },
    /// The VM's address could not be bound.
    #[snafu(display("cannot bind the address of {vm}: {source}"))]
    Bind {
        /// The name of the VM.
        vm: String,
        /// The I/O error.
        source: io::Error,
    },
}

/// An engine VM of this process, running or stopped.
#[derive(Debug)]
pub struct HostedVm {
    address: SocketAddr,
    settings: EngineSettings,
    runs: Arc<RunLog>,
    boot: Boot,
    running: Option<RunningVm>,
}

#[derive(Debug)]
struct RunningVm {
    vm: Arc<EngineVm>,
    server: Server,
    tasks: Vec<Task<()>>,
}

/// The engine VMs of one process.
#[derive(Debug)]
pub struct EngineFleet {
    directory: Arc<Directory>,
    vms: Mutex<BTreeMap<String, HostedVm>>,
}

impl EngineFleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self { directory: Arc::new(Directory::new()), vms: Mutex::default() }
    }

    /// Starts a VM and returns its address.
    pub async fn start(
        &self,
        name: &str,
        address: SocketAddr,
        settings: EngineSettings,
    ) -> Result<SocketAddr, FleetError> {
        let boot = Boot::new(unix_us());
        let runs = Arc::default();
        let mut hosted = HostedVm { address, settings, runs, boot, running: None };
        self.boot(name, &mut hosted).await?;
        let address = hosted.address;
        self.vms.lock().await.insert(name.to_owned(), hosted);
        Ok(address)
    }

    /// Injects a fault into a VM.
    pub async fn set_fault(&self, name: &str, fault: EngineFault) -> Result<(), FleetError> {
        let mut vms = self.vms.lock().await;
        let hosted = vms.get_mut(name).context(UnknownVmSnafu { vm: name })?;
        match fault {
            EngineFault::Die => self.kill(hosted).await,
            EngineFault::Restart => {
                self.kill(hosted).await;
                self.boot(name, hosted).await?;
            }
            EngineFault::Set(faults) => {
                if let Some(running) = &hosted.running {
                    running.vm.set_faults(faults);
                }
            }
        }
        Ok(())
    }

    /// Returns the run log of each VM by name. The logs include runs before a restart.
    pub async fn runs(&self) -> BTreeMap<String, Arc<RunLog>> {
        let vms = self.vms.lock().await;
        vms.iter().map(|(name, hosted)| (name.clone(), hosted.runs.clone())).collect()
    }

    async fn boot(&self, name: &str, hosted: &mut HostedVm) -> Result<(), FleetError> {
        hosted.boot = hosted.boot.next();
        let vm = Arc::new(EngineVm::new(
            VmName::new(name),
            hosted.boot,
            hosted.settings.clone(),
            self.directory.clone(),
            hosted.runs.clone(),
        ));
        let bound = Server::bind(hosted.address, vm.clone()).await;
        let server = bound.context(BindSnafu { vm: name })?;
        hosted.address = server.address();
        self.directory.register(hosted.address, Arc::downgrade(&vm));
        let tasks = vec![
            smol::spawn(vm.clone().run_batch()),
            smol::spawn(vm.clone().run_load_refresh()),
            smol::spawn(vm.clone().run_member()),
        ];
        hosted.running = Some(RunningVm { vm, server, tasks });
        Ok(())
    }

    async fn kill(&self, hosted: &mut HostedVm) {
        let Some(running) = hosted.running.take() else { return };
        self.directory.register(hosted.address, Weak::new());
        for task in running.tasks {
            task.cancel().await;
        }
        running.server.cut().await;
        running.vm.abort_all();
    }
}

impl Default for EngineFleet {
    fn default() -> Self {
        Self::new()
    }
}
