use celeryhaven_derives::state;
use celeryhaven_types::ServiceName;

state! {
    /// A check of the links to a service.
    #[derive(Eq)]
    pub struct DueCheck {
        /// The service.
        pub service: ServiceName,
        /// Maximum number of targets to connect to.
        pub targets_max: usize,
    }

    /// What a check of the links to a service has found.
    #[derive(Copy, Eq)]
    pub enum CheckOutcome {
        /// A new connection to a target was opened.
        Reached,
        /// No connection could be opened.
        Unreachable,
        /// There was no target to connect to.
        NoTargets,
    }

    /// A change of the links to a service.
    #[derive(Copy, Eq)]
    pub enum LinkChange {
        /// The node has lost its links to all targets of the service.
        Isolated,
        /// The links are back.
        Restored,
    }
}
