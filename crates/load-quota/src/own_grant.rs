use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

state! {
    /// What became of the order of a granted load.
    #[derive(Copy, Eq)]
    pub enum LoadOutcome {
        /// The target may have begun the load.
        Begun,
        /// The target has not begun a load, and will not.
        NotBegun,
        /// No answer: the target may begin the load later.
        Unanswered,
    }
}

/// A grant of this node whose loads have not all been accounted for in the record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnGrant {
    /// When orders of its loads must have been sent.
    send_by: TimeMs,
    /// Orders that have no outcome yet.
    pending: u32,
    pub(crate) begun: u32,
    pub(crate) unanswered: u32,
}

impl OwnGrant {
    pub(crate) const fn new(send_by: TimeMs) -> Self {
        Self { send_by, pending: 0, begun: 0, unanswered: 0 }
    }

    pub(crate) const fn record_order(&mut self) {
        self.pending += 1;
    }

    pub(crate) const fn record_outcome(&mut self, outcome: LoadOutcome) {
        self.pending = self.pending.saturating_sub(1);
        match outcome {
            LoadOutcome::Begun => self.begun += 1,
            LoadOutcome::Unanswered => self.unanswered += 1,
            LoadOutcome::NotBegun => {}
        }
    }

    /// Whether no further order is sent and each one has an outcome.
    pub(crate) fn is_settled(&self, now: TimeMs) -> bool {
        self.pending == 0 && self.send_by <= now
    }
}
