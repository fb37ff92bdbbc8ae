use celeryhaven_demand::Demand;
use celeryhaven_derives::data;
use celeryhaven_fleet::RelayAnswer;
use celeryhaven_types::NodeName;

data! {
    /// Demand of a node and its followers, sent with a relay request.
    pub(crate) struct DemandReport {
        /// The reporting node.
        pub(crate) node: NodeName,
        /// Total demand.
        pub(crate) demand: Demand,
    }

    /// Reply to a relay request.
    pub(crate) struct RelayReply {
        pub(crate) answer: RelayAnswer,
        /// Demand of the fleet, as far as the relay knows.
        pub(crate) demand: Demand,
    }
}
