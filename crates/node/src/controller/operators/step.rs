use celeryhaven_derives::state;
use celeryhaven_types::{ConfigNumber, OperatorReply};

state! {
    /// One call of the Object API for an operator request.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) enum Step {
        /// Read an object or a list.
        Read(Read),
        /// Store the plan.
        SavePlan,
        /// Copy the record of the change in force to its own audit object.
        CopyAudit,
        /// Write the new configuration.
        WriteConfig,
    }

    /// An object or list to read.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) enum Read {
        /// `config/current`.
        Config,
        /// The plan to be confirmed.
        Plan,
        /// `allocation/current`.
        Allocation,
        /// All placements.
        Placements,
        /// All leases.
        Leases,
        /// Health records of all fabric domains.
        Healths,
        /// Status records of all data centres.
        Statuses,
        /// The audit record of one configuration.
        Audit(ConfigNumber),
    }

    /// State of a request after a step.
    pub(crate) enum Outcome {
        /// Execute these steps next; empty while others are in progress.
        Next(Vec<Step>),
        /// Retry this step after a delay: the Object API did not reply, or its reply was stale.
        Retry(Step),
        /// Send this reply.
        Answer(OperatorReply),
    }
}
