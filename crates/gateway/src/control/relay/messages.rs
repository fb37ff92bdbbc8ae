use celeryhaven_demand::Demand;
use celeryhaven_derives::data;
use celeryhaven_fleet::RelayAnswer;
use celeryhaven_types::NodeName;

data! {
    /// The demand of a node and of those that follow it, sent with a question.
    pub(crate) struct DemandReport {
        /// Who reports.
        pub(crate) node: NodeName,
        /// The sum.
        pub(crate) demand: Demand,
    }

    /// A relay's reply to a question.
    pub(crate) struct RelayReply {
        /// The answer.
        pub(crate) answer: RelayAnswer,
        /// The demand of the fleet, as far as the relay knows.
        pub(crate) demand: Demand,
    }
}
