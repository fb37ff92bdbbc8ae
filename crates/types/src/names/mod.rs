//! Names and numbers that identify resources across processes.

mod incarnation;
mod name;
mod numbers;

pub use incarnation::Incarnation;
pub use name::{
    AdapterName, DataCentreName, DeploymentName, DomainName, ModelName, ModelVersion, NodeName,
    OperatorName, OrganisationName, ReplicaName, RequestId, ServiceName, VmName,
};
pub use numbers::{Boot, Fence, Generation};
