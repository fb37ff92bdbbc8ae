use celeryhaven_derives::name;

name! {
    /// Name of an adapter that a model can load.
    AdapterName
    /// Name of a data centre.
    DataCentreName
    /// Name of a deployment: a model version served by a number of replicas.
    DeploymentName
    /// Name of a fabric domain: the set of VMs within which a replica is placed.
    DomainName
    /// Name of a model.
    ModelName
    /// Version of a model.
    ModelVersion
    /// Name of an entry VM.
    NodeName
    /// Name of an operator, as in their certificate.
    OperatorName
    /// Name of an organisation.
    OrganisationName
    /// Name of a replica, never reused.
    ReplicaName
    /// Identifier of a request, echoed by targets.
    RequestId
    /// Name of a plain service.
    ServiceName
    /// Name of a target VM.
    VmName
}
