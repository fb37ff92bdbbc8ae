use celeryhaven_derives::state;

state! {
    /// What a probe of a node showed.
    #[derive(Copy, Eq)]
    pub enum ProbeResult {
        /// It takes requests.
        Ready,
        /// It takes requests, and the store does not serve it: it can write no plan.
        CutOff,
        /// It lives and takes none: it starts or leaves.
        NotReady,
        /// It did not answer.
        Unanswered,
    }
}
