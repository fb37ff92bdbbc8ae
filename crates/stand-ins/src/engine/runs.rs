use std::sync::{Mutex, MutexGuard, PoisonError};

use celeryhaven_derives::data;

/// Maximum number of recorded runs. Later runs are not recorded.
const RUNS_KEPT_MAX: usize = 200_000;

data! {
    /// The outcome of a run.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RunOutcome {
        /// The run is in progress.
        Running,
        /// All tokens were generated.
        Finished,
        /// The run was cancelled, or its caller disconnected.
        Cancelled,
        /// The formation failed or the VM stopped.
        Broken,
    }

    /// A request that was assigned a slot, and the number of tokens generated for it.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct EngineRun {
        /// The `x-request-id` header of the request.
        pub request_id: String,
        /// The name of the replica that ran the request.
        pub replica: String,
        /// The prompt.
        pub prompt: String,
        /// When the request was assigned a slot, in microseconds since the Unix epoch.
        pub at_unix_us: u64,
        /// The number of generated tokens.
        pub tokens: u32,
        /// The outcome of the run.
        pub outcome: RunOutcome,
    }
}

/// The runs of a VM. The log is retained when the VM restarts.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<Vec<EngineRun>>,
}

impl RunLog {
    /// Returns all recorded runs in start order.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.lock().clone()
    }

    pub(crate) fn start(&self, run: EngineRun) -> Option<usize> {
        let mut runs = self.lock();
        if runs.len() >= RUNS_KEPT_MAX {
            return None;
        }
        runs.push(run);
        Some(runs.len() - 1)
    }

    pub(crate) fn complete(&self, index: Option<usize>, tokens: u32, outcome: RunOutcome) {
        let mut runs = self.lock();
        if let Some(run) = index.and_then(|index| runs.get_mut(index)) {
            run.tokens = tokens;
            run.outcome = outcome;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<EngineRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
