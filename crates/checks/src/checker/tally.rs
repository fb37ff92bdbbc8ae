use celeryhaven_derives::state;

state! {
    /// Counts of verdicts, and the worst delays.
    #[derive(Copy, Default, Eq)]
    pub struct Tally {
        /// Calls made.
        pub calls: u64,
        /// Calls with the verdict "answered".
        pub answered: u64,
        /// Calls with the verdict "not run".
        pub not_run: u64,
        /// Calls with the verdict "may have run".
        pub may_have_run: u64,
        /// Calls with the verdict "may have run" whose operation never ran.
        pub may_have_run_in_vain: u64,
        /// Calls whose connection was lost.
        pub cut_off: u64,
        /// Runs at targets.
        pub runs: u64,
        /// Longest time from the loss of a member to a new request for its replica.
        pub worst_after_loss_ms: u64,
        /// Longest time from the notice that a VM leaves to a new request for it.
        pub worst_after_leaving_ms: u64,
    }
}
