use celeryhaven_derives::state;

state! {
    /// Result of a readiness probe of a node.
    #[derive(Copy, Eq)]
    pub enum ProbeResult {
        /// The node accepts requests.
        Ready,
        /// The node accepts requests but is cut off from the store, so it cannot write a plan.
        CutOff,
        /// The node accepts requests but has lost its links to the targets that form replicas; other
        /// nodes run them.
        Isolated,
        /// The node answers but accepts no requests: it is starting or stopping.
        NotReady,
        /// The node did not answer.
        Unanswered,
    }
}
