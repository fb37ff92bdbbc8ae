use celeryhaven_types::{
    DataCentreName, Deployment, DeploymentName, Intent, ModelName, ModelVersion, Objective,
    Organisation, OrganisationName, PlainService, PlainTarget, Priority, ServiceName, VmName,
};
use sha2::{Digest, Sha256};

use crate::fleet::{Addresses, FleetShape};

/// The model that the fleet serves.
pub const MODEL: &str = "quote-draft";
/// The plain service beside it.
pub const SERVICE: &str = "stock";
/// The organisations whose callers are served.
pub const ORGANISATIONS: [&str; 2] = ["buvetaji", "brackenfield"];

/// The API key of an organisation's callers.
pub fn api_key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

/// What the operators of a fleet of this shape want served.
pub fn intent(shape: &FleetShape, addresses: &Addresses) -> Intent {
    let organisations = ORGANISATIONS.iter().zip([6, 4]).map(|(name, worth)| Organisation {
        name: OrganisationName::new(*name),
        worth,
        priority: Priority::new(5),
        api_key_sha256: vec![hex(&Sha256::digest(api_key(name)))],
    });
    let targets = (0..shape.plain_targets).map(|number| PlainTarget {
        vm: VmName::new(format!("plain-{number}")),
        address: match shape.plain_relayed {
            true => addresses.spare(number),
            false => addresses.plain(number),
        },
        data_centre: DataCentreName::new(shape.data_centre(number)),
    });
    Intent {
        organisations: organisations.collect(),
        deployments: vec![deployment(shape)],
        services: vec![PlainService {
            name: ServiceName::new(SERVICE),
            targets: targets.collect(),
            slots_per_target: 16,
            idempotent_methods: vec!["GET".to_owned()],
            organisations: Vec::new(),
        }],
        objective: Objective { group_downtime_weight: 5.0, stranded_accelerator_weight: 1.0 },
    }
}

fn deployment(shape: &FleetShape) -> Deployment {
    Deployment {
        name: DeploymentName::new("draft"),
        model: ModelName::new(MODEL),
        version: ModelVersion::new("1"),
        adapters: Vec::new(),
        weights_bytes: shape.weights_bytes,
        replicas: shape.replicas,
        vms_per_replica: shape.vms_per_replica,
        slots_per_replica: shape.slots,
        priority: Priority::new(5),
        organisations: Vec::new(),
        data_centres: Vec::new(),
        fencing: shape.fencing,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
