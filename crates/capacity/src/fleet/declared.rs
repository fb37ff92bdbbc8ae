use std::net::{Ipv4Addr, SocketAddr};

use celeryhaven_types::{
    Boot, Change, ChangeRecord, Config, ConfigNumber, DataCentreName, Deployment, DeploymentName,
    DomainName, DomainPlacement, Fence, FencingMode, Formation, Generation, Intent, MemberReport,
    ModelName, ModelVersion, Objective, OperatorName, Organisation, OrganisationName, Priority,
    Replica, ReplicaName, ReplicaPhase, VmEntry, VmName, VmPhase, VmRole,
};

use crate::fleet::FleetSize;
use crate::fleet::size::VMS_PER_REPLICA;

/// Replicas per fabric domain.
const REPLICAS_PER_DOMAIN: usize = 10;

pub(crate) const MODEL: &str = "drafting";
pub(crate) const ORGANISATION: &str = "organisation-0";

pub(crate) fn data_centre(size: &FleetSize, number: usize) -> DataCentreName {
    DataCentreName::new(format!("dc-{}", number % size.data_centres))
}

pub(crate) fn address(net: u8, number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, net, high, low), 7_000))
}

pub(crate) fn node_name(node: usize) -> String {
    format!("entry-{node:03}")
}

fn vm_name(replica: usize, rank: usize) -> VmName {
    VmName::new(format!("engine-{replica:04}-{rank}"))
}

fn replica_name(replica: usize) -> ReplicaName {
    ReplicaName::new(format!("{MODEL}-{replica:04}"))
}

/// Returns a configuration with ten organisations for every eight nodes.
pub(crate) fn config(size: &FleetSize, number: u64) -> Config {
    let organisations = (0..size.nodes.div_ceil(8) * 10).map(|number| Organisation {
        name: OrganisationName::new(format!("organisation-{number}")),
        worth: 1 + (number % 5) as u32,
        priority: Priority::new(1),
        api_key_sha256: vec![format!("{number:064x}")],
    });
    let deployment = Deployment {
        name: DeploymentName::new(MODEL),
        model: ModelName::new(MODEL),
        version: ModelVersion::new("1"),
        adapters: Vec::new(),
        weights_bytes: 1,
        replicas: size.replicas as u32,
        vms_per_replica: VMS_PER_REPLICA as u32,
        slots_per_replica: 32,
        priority: Priority::new(1),
        organisations: Vec::new(),
        data_centres: Vec::new(),
        fencing: FencingMode::Checked,
    };
    let change = ChangeRecord {
        number: ConfigNumber::new(number),
        from_number: ConfigNumber::new(number - 1),
        operator: OperatorName::new("operator"),
        at_unix_ms: 0,
        change: Change::Initial,
        summary: vec!["a line that says what changed".into()],
    };
    Config {
        number: ConfigNumber::new(number),
        intent: Intent {
            organisations: organisations.collect(),
            deployments: vec![deployment],
            services: Vec::new(),
            objective: Objective { group_downtime_weight: 1.0, stranded_accelerator_weight: 1.0 },
        },
        drained_vms: Vec::new(),
        drained_nodes: Vec::new(),
        change,
    }
}

/// Returns all placements. The replicas of a fabric domain are in one data centre.
pub(crate) fn placements(size: &FleetSize) -> Vec<DomainPlacement> {
    let replicas: Vec<usize> = (0..size.replicas).collect();
    let domain = |(number, replicas): (usize, &[usize])| DomainPlacement {
        domain: DomainName::new(format!("domain-{number}")),
        data_centre: data_centre(size, number),
        fence: Fence::new(1),
        write_id: 1,
        next_replica: REPLICAS_PER_DOMAIN as u64,
        replicas: replicas.iter().map(|replica| serving_replica(*replica)).collect(),
        releasing: Vec::new(),
    };
    replicas.chunks(REPLICAS_PER_DOMAIN).enumerate().map(domain).collect()
}

fn serving_replica(replica: usize) -> Replica {
    Replica {
        name: replica_name(replica),
        deployment: DeploymentName::new(MODEL),
        model: ModelName::new(MODEL),
        version: ModelVersion::new("1"),
        generation: Generation::new(1),
        vms: (0..VMS_PER_REPLICA).map(|rank| vm_name(replica, rank)).collect(),
        phase: ReplicaPhase::Serving,
    }
}

/// Returns a VM list with all entries and engines.
pub(crate) fn vms(size: &FleetSize) -> Vec<VmEntry> {
    let entry = |node: usize| VmEntry {
        vm: VmName::new(node_name(node)),
        role: VmRole::Entry,
        address: address(20, node),
        data_centre: data_centre(size, node),
        domain: None,
        accelerators: 0,
        phase: VmPhase::Live,
    };
    let engine = |number: usize| {
        let (replica, rank) = (number / VMS_PER_REPLICA, number % VMS_PER_REPLICA);
        let domain = replica / REPLICAS_PER_DOMAIN;
        VmEntry {
            vm: vm_name(replica, rank),
            role: VmRole::Engine,
            address: address(40, number),
            data_centre: data_centre(size, domain),
            domain: Some(DomainName::new(format!("domain-{domain}"))),
            accelerators: 1,
            phase: VmPhase::Live,
        }
    };
    let engines = (0..size.replicas * VMS_PER_REPLICA).map(engine);
    (0..size.nodes).map(entry).chain(engines).collect()
}

/// Returns a healthy member's answer to a poll.
pub(crate) fn healthy_report(vm: &VmName) -> Option<MemberReport> {
    let mut parts = vm.as_str().split('-').skip(1);
    let replica: usize = parts.next()?.parse().ok()?;
    let boots = (0..VMS_PER_REPLICA).map(|rank| Boot::new(rank as u64 + 1)).collect();
    let rank: u64 = parts.next()?.parse().ok()?;
    Some(MemberReport {
        vm: vm.clone(),
        boot: Boot::new(rank + 1),
        formation: Some(Formation {
            replica: replica_name(replica),
            generation: Generation::new(1),
            version: ModelVersion::new("1"),
            member_boots: boots,
            ready: true,
        }),
        fence: Fence::new(1),
        running: 8,
        waiting: 0,
        prefill_tokens_queued: 900,
        kv_used_permille: 400,
        tokens_generated: 1_000_000,
        load_age_ms: 200,
        adapters_loaded: Vec::new(),
        weights_loaded_bytes: 1,
    })
}
