//! Replicas that an entry follows, by fleet size.

mod common;

use celeryhaven_node::{EntryAction, EntryEvent, EntryNode, EntrySettings, Machine};
use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{
    Boot, DataCentreName, DeploymentName, DomainName, DomainPlacement, Fence, Generation,
    Incarnation, ModelName, ModelVersion, NodeName, Replica, ReplicaName, ReplicaPhase, TimeMs,
    VmName,
};
use common::{LeastLoaded, MODEL, config};

const DATA_CENTRES: usize = 3;

fn placement(number: usize, replicas: usize) -> DomainPlacement {
    let replica = |index: usize| Replica {
        name: ReplicaName::new(format!("r-{number}-{index}")),
        deployment: DeploymentName::new(MODEL),
        model: ModelName::new(MODEL),
        version: ModelVersion::new("v1"),
        generation: Generation::new(1),
        vms: vec![VmName::new(format!("vm-{number}-{index}"))],
        phase: ReplicaPhase::Serving,
    };
    DomainPlacement {
        domain: DomainName::new(format!("domain-{number}")),
        data_centre: DataCentreName::new(format!("dc-{}", number % DATA_CENTRES)),
        fence: Fence::new(1),
        write_id: 1,
        next_replica: 1,
        replicas: (0..replicas).map(replica).collect(),
        releasing: Vec::new(),
    }
}

fn objects(prefix: &str, placements: &[DomainPlacement]) -> Vec<Object> {
    let object = |key: String, value: String| Object {
        key: ObjectKey::new(key),
        version: ObjectVersion::new(1),
        value: value.into(),
    };
    if prefix == "config/" {
        let text = serde_json::to_string(&config(&[])).expect("a configuration");
        return vec![object("config/current".into(), text)];
    }
    let text = |placement| serde_json::to_string(placement).expect("a placement");
    placements.iter().map(|p| object(format!("placement/{}", p.domain), text(p))).collect()
}

/// Returns the names of the replicas that a node of dc-0 follows.
fn followed(node: &str, placements: &[DomainPlacement]) -> Vec<String> {
    let address = "10.0.0.1:80".parse().expect("an address");
    let incarnation = Incarnation::new(NodeName::new(node), Boot::new(1));
    let place = DataCentreName::new("dc-0");
    let settings = EntrySettings::new(incarnation, place, address, address);
    let mut node = EntryNode::new(settings, LeastLoaded::default(), [1; 32]);
    let mut actions = Vec::new();
    node.handle(TimeMs::new(1_000), EntryEvent::Tick, &mut actions);
    for action in actions {
        if let EntryAction::Store { call, request: StoreRequest::List { prefix } } = action {
            let objects = objects(prefix.as_str(), placements);
            let reply = StoreReply::Listed { version: ObjectVersion::new(1), objects };
            node.handle(TimeMs::new(1_001), EntryEvent::Store { call, reply }, &mut Vec::new());
        }
    }
    let status = node.status(TimeMs::new(1_002));
    status.replicas.into_iter().map(|replica| replica.replica.to_string()).collect()
}

#[test]
fn followed_all_of_a_small_fleet() {
    let placements: Vec<_> = (0..6).map(|number| placement(number, 10)).collect();
    assert_eq!(followed("entry-1", &placements).len(), 60);
}

#[test]
fn followed_near_ones_and_some_far_of_a_large_fleet() {
    let placements: Vec<_> = (0..30).map(|number| placement(number, 8)).collect();
    let followed_by_one = followed("entry-1", &placements);
    assert_eq!(followed_by_one.len(), 96);
    let is_near = |name: &String| {
        let domain = name.split('-').nth(1).and_then(|number| number.parse::<usize>().ok());
        domain.is_some_and(|number| number % DATA_CENTRES == 0)
    };
    assert_eq!(followed_by_one.iter().filter(|name| is_near(name)).count(), 80);
    assert_ne!(
        followed_by_one,
        followed("entry-2", &placements),
        "remote replicas differ by entry"
    );
}
