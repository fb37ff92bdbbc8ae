use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::path::Path;

use celeryhaven_stand_ins::caller::Caller;
use celeryhaven_stand_ins::certificates::write_certificates;
use celeryhaven_stand_ins::vm_list::VmLines;
use celeryhaven_types::{
    DataCentreName, DomainName, FencingMode, VmEntry, VmName, VmPhase, VmRole,
};
use snafu::ResultExt;

use crate::fleet::error::{CertificatesSnafu, StartSnafu, WriteSnafu};
use crate::fleet::{Addresses, Fleet, FleetError, FleetShape, intent};
use crate::process::Process;

/// The operator whose certificate `ctl` uses.
pub(crate) const OPERATOR: &str = "zane";

impl Fleet {
    /// Starts every process of a fleet.
    pub fn start(shape: FleetShape) -> Result<Self, FleetError> {
        let addresses = Addresses::new();
        let folder = env::temp_dir().join(format!("celeryhaven-{}", addresses.object_api()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).context(WriteSnafu { path: &folder })?;
        let vms = vm_lines(&shape, &addresses);
        let observer = Caller::new("observer");
        let processes = BTreeMap::new();
        let mut fleet = Self { shape, addresses, folder, processes, vms, observer };
        fleet.write_files()?;
        fleet.start_platform()?;
        fleet.start_targets()?;
        (0..fleet.shape.nodes).try_for_each(|number| fleet.start_node(number))?;
        Ok(fleet)
    }

    /// Starts an entry anew, with nothing kept from before.
    pub fn start_entry(&mut self, number: usize) -> Result<(), FleetError> {
        let settings = self.path(&format!("entry-{number}.yaml"));
        self.spawn(&format!("entry-{number}"), "celeryhaven-entry", &["--settings", &settings])
    }

    /// Starts a controller anew, with nothing kept from before.
    pub fn start_controller(&mut self, number: usize) -> Result<(), FleetError> {
        let settings = self.path(&format!("controller-{number}.yaml"));
        let name = format!("controller-{number}");
        self.spawn(&name, "celeryhaven-controller", &["--settings", &settings])
    }

    /// Starts an engine VM anew, with empty memory.
    pub fn start_engine(&mut self, number: usize) -> Result<(), FleetError> {
        let name = format!("engine-{number}");
        let vm = format!("{name}={}", self.addresses.engine(number));
        let control = self.addresses.engine_control(number).to_string();
        let weights = self.addresses.weights().to_string();
        let slots = self.shape.slots.to_string();
        let decode_us = self.shape.decode_us.to_string();
        let mut arguments = vec![
            "--vm",
            &vm,
            "--control",
            &control,
            "--weights",
            &weights,
            "--slots",
            &slots,
            "--decode-us",
            &decode_us,
        ];
        if self.shape.fencing == FencingMode::Ignored {
            arguments.push("--ignore-fences");
        }
        self.spawn(&name, "stand-in-engine", &arguments)
    }

    fn start_node(&mut self, number: usize) -> Result<(), FleetError> {
        self.start_entry(number)?;
        self.start_controller(number)
    }

    fn start_platform(&mut self) -> Result<(), FleetError> {
        let object_api = self.addresses.object_api().to_string();
        let vm_list = self.addresses.vm_list().to_string();
        let weights = self.addresses.weights().to_string();
        let lines = self.path("vms.json");
        let rate = self.shape.weights_bytes_per_s.to_string();
        self.spawn("object-api", "stand-in-object-api", &["--address", &object_api])?;
        let arguments = ["--address", &vm_list, "--file", &lines, "--lag-ms", "300"];
        self.spawn("vm-list", "stand-in-vm-list", &arguments)?;
        let arguments = ["--address", &weights, "--bytes-per-s", &rate];
        self.spawn("weights", "stand-in-weights", &arguments)
    }

    fn start_targets(&mut self) -> Result<(), FleetError> {
        for number in 0..self.shape.plain_targets {
            let address = self.addresses.plain(number).to_string();
            self.spawn(&format!("plain-{number}"), "stand-in-plain", &["--address", &address])?;
        }
        (0..self.shape.engines()).try_for_each(|number| self.start_engine(number))
    }

    fn spawn(&mut self, name: &str, program: &str, arguments: &[&str]) -> Result<(), FleetError> {
        let arguments = arguments.iter().map(|text| (*text).to_owned()).collect::<Vec<_>>();
        let started = Process::start(&self.folder, name, program, &arguments);
        self.processes.insert(name.to_owned(), started.context(StartSnafu { name })?);
        Ok(())
    }

    pub(crate) fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn write_files(&self) -> Result<(), FleetError> {
        let nodes = (0..self.shape.nodes).map(|number| format!("node-{number}"));
        let nodes = nodes.collect::<Vec<_>>();
        write_certificates(&self.folder, &nodes, &[OPERATOR.to_owned(), "karlis".to_owned()])
            .context(CertificatesSnafu)?;
        let lines = VmLines { vms: self.vms.clone() };
        write(&self.folder, "vms.json", &serde_json::to_string(&lines).unwrap_or_default())?;
        let intent = intent(&self.shape, &self.addresses);
        write(&self.folder, "intent.yaml", &serde_saphyr::to_string(&intent).unwrap_or_default())?;
        for number in 0..self.shape.nodes {
            write(&self.folder, &format!("entry-{number}.yaml"), &self.entry_settings(number))?;
            let controller = self.controller_settings(number);
            write(&self.folder, &format!("controller-{number}.yaml"), &controller)?;
        }
        for operator in [OPERATOR, "karlis"] {
            let settings = self.operator_settings(operator);
            write(&self.folder, &format!("{operator}.yaml"), &settings)?;
        }
        Ok(())
    }

    fn entry_settings(&self, number: usize) -> String {
        let at = &self.addresses;
        let seeds = (0..self.shape.nodes).map(|other| format!("\"{}\"", at.peer(other)));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        format!(
            "{}http_listen: {http}\nhttp_advertised: {http}\npeer_listen: {peer}\n\
             peer_advertised: {peer}\nseeds: [{seeds}]\naddress_ttl_ms: {}\n\
             {}{}",
            self.common_settings(number),
            self.shape.address_ttl_ms,
            self.shape.entry_pace,
            self.shape.entry_settings,
            http = at.entry(number),
            peer = at.peer(number),
        )
    }

    fn controller_settings(&self, number: usize) -> String {
        format!(
            "{}operator_listen: {}\nhttp_listen: {}\nlease_ttl_ms: 3000\nlease_renew_ms: 700\n\
             store_timeout_ms: 1500\norder_life_ms: 1000\n{}\
             weights_rate_bytes_per_s: {}\n{}",
            self.common_settings(number),
            self.addresses.operator(number),
            self.addresses.controller(number),
            self.shape.controller_pace,
            self.shape.weights_bytes_per_s,
            self.shape.controller_settings,
        )
    }

    fn common_settings(&self, number: usize) -> String {
        format!(
            "node: node-{number}\ndata_centre: {}\nobject_api: {}\nvm_list: {}\n\
             certificate_file: {}\nkey_file: {}\nauthority_file: {}\n",
            self.shape.data_centre(number),
            self.addresses.object_api(),
            self.addresses.vm_list(),
            self.path(&format!("node-{number}.node.crt")),
            self.path(&format!("node-{number}.node.key")),
            self.path("authority.crt"),
        )
    }

    fn operator_settings(&self, operator: &str) -> String {
        let controllers = (0..self.shape.nodes)
            .map(|number| format!("\"{}\"", self.addresses.operator(number)))
            .collect::<Vec<_>>()
            .join(", ");
        format!(
            "controllers: [{controllers}]\ncertificate_file: {}\nkey_file: {}\n\
             authority_file: {}\n",
            self.path(&format!("{operator}.operator.crt")),
            self.path(&format!("{operator}.operator.key")),
            self.path("authority.crt"),
        )
    }
}

fn vm_lines(shape: &FleetShape, addresses: &Addresses) -> Vec<VmEntry> {
    let line = |vm: String, role, address, number, domain: Option<DomainName>| VmEntry {
        vm: VmName::new(vm),
        role,
        address,
        data_centre: DataCentreName::new(shape.data_centre(number)),
        accelerators: if domain.is_some() { 4 } else { 0 },
        domain,
        phase: VmPhase::Live,
    };
    let nodes = (0..shape.nodes).map(|number| {
        line(format!("node-{number}"), VmRole::Entry, addresses.entry(number), number, None)
    });
    let plain = (0..shape.plain_targets).map(|number| {
        line(format!("plain-{number}"), VmRole::Plain, addresses.plain(number), number, None)
    });
    let engines = (0..shape.engines()).map(|number| {
        let domain = DomainName::new(format!("{}-fabric", shape.data_centre(number)));
        let address = addresses.engine(number);
        line(format!("engine-{number}"), VmRole::Engine, address, number, Some(domain))
    });
    nodes.chain(plain).chain(engines).collect()
}

fn write(folder: &Path, name: &str, text: &str) -> Result<(), FleetError> {
    let path = folder.join(name);
    fs::write(&path, text).context(WriteSnafu { path })
}
