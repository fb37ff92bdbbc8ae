use std::net::{Ipv4Addr, SocketAddr};

use celeryhaven_types::{
    Change, ChangeRecord, Config, ConfigNumber, DataCentreName, Deployment, DeploymentName,
    FencingMode, Idempotency, Intent, ModelName, ModelVersion, Objective, OperatorName,
    Organisation, OrganisationName, PlainService, PlainTarget, Priority, RequestClass, ServiceName,
    VmName,
};

pub const ORGANISATION: &str = "attics";
pub const MODEL: &str = "draft";
pub const SERVICE: &str = "stock";
pub const DATA_CENTRE: &str = "riga-1";

/// The source of an operation's key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeySource {
    None,
    /// Issued by this entry shortly before the first call.
    Issued(usize),
    /// Chosen by the caller.
    Own,
}

/// An operation and the behaviour of its caller.
#[derive(Clone, Debug)]
pub struct Plan {
    pub class: RequestClass,
    pub idempotency: Idempotency,
    pub key: KeySource,
    pub pieces: u32,
    pub deadline_ms: u64,
    /// Time until the caller closes the connection.
    pub caller_timeout_ms: u64,
    /// Number of retries, each at the next entry.
    pub retries: u32,
}

impl Plan {
    /// Creates an update that must run at most once.
    pub fn update(key: KeySource) -> Self {
        Self {
            class: RequestClass::Plain { service: ServiceName::new(SERVICE) },
            idempotency: Idempotency::NonIdempotent,
            key,
            pieces: 1,
            deadline_ms: 3_000,
            caller_timeout_ms: 6_000,
            retries: 3,
        }
    }

    /// Creates a streamed completion that may run again.
    pub fn draft(pieces: u32) -> Self {
        Self {
            class: RequestClass::Completion { model: ModelName::new(MODEL), adapter: None },
            idempotency: Idempotency::Idempotent,
            key: KeySource::None,
            pieces,
            deadline_ms: 5_000,
            caller_timeout_ms: 8_000,
            retries: 2,
        }
    }
}

/// Fault rates of targets, in thousandths of the requests received.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetFaults {
    pub refuse: u32,
    pub reset_before_run: u32,
    pub answer_lost: u32,
    pub cut_mid_stream: u32,
    pub slow: u32,
    pub hang: u32,
}

impl TargetFaults {
    /// Low rates of all faults.
    pub const fn mixed() -> Self {
        Self {
            refuse: 60,
            reset_before_run: 20,
            answer_lost: 30,
            cut_mid_stream: 30,
            slow: 60,
            hang: 10,
        }
    }
}

pub fn engine_address(index: usize) -> SocketAddr {
    address(10, index)
}

pub fn entry_address(index: usize) -> SocketAddr {
    address(20, index)
}

pub fn peer_address(index: usize) -> SocketAddr {
    address(30, index)
}

fn address(net: u8, index: usize) -> SocketAddr {
    let host = u8::try_from(index + 1).expect("fewer than 255 hosts");
    SocketAddr::from((Ipv4Addr::new(10, 0, net, host), 80))
}

pub fn config(plain: &[(VmName, SocketAddr)]) -> Config {
    let organisation = Organisation {
        name: OrganisationName::new(ORGANISATION),
        worth: 1,
        priority: Priority::new(1),
        api_key_sha256: Vec::new(),
    };
    let deployment = Deployment {
        name: DeploymentName::new(MODEL),
        model: ModelName::new(MODEL),
        version: ModelVersion::new("v1"),
        adapters: Vec::new(),
        weights_bytes: 1,
        replicas: 2,
        vms_per_replica: 2,
        slots_per_replica: 8,
        priority: Priority::new(1),
        organisations: Vec::new(),
        data_centres: Vec::new(),
        fencing: FencingMode::Checked,
    };
    let target = |(vm, address): &(VmName, SocketAddr)| PlainTarget {
        vm: vm.clone(),
        address: *address,
        data_centre: DataCentreName::new(DATA_CENTRE),
    };
    let service = PlainService {
        name: ServiceName::new(SERVICE),
        targets: plain.iter().map(target).collect(),
        slots_per_target: 8,
        idempotent_methods: vec!["GET".into()],
        organisations: Vec::new(),
    };
    let change = ChangeRecord {
        number: ConfigNumber::new(1),
        from_number: ConfigNumber::new(0),
        operator: OperatorName::new("operator"),
        at_unix_ms: 0,
        change: Change::Initial,
        summary: Vec::new(),
    };
    Config {
        number: ConfigNumber::new(1),
        intent: Intent {
            organisations: vec![organisation],
            deployments: vec![deployment],
            services: vec![service],
            objective: Objective { group_downtime_weight: 1.0, stranded_accelerator_weight: 1.0 },
        },
        drained_vms: Vec::new(),
        drained_nodes: Vec::new(),
        change,
    }
}
