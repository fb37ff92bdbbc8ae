use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

state! {
    /// When an attempt was sent and its estimated cost.
    #[derive(Copy)]
    pub(crate) struct AttemptEstimate {
        pub(crate) sent_ms: u64,
        pub(crate) cost_ms: u64,
    }

    /// Requests of this node in flight at targets, and their estimates.
    #[derive(Copy, Default)]
    pub(crate) struct InFlight {
        pub(crate) count: u32,
        end_ms_sum: u64,
        cost_ms_sum: u64,
    }
}

impl AttemptEstimate {
    pub(crate) fn end_ms(self) -> u64 {
        self.sent_ms + self.cost_ms
    }
}

impl InFlight {
    pub(crate) fn add(&mut self, estimate: AttemptEstimate) {
        self.count += 1;
        self.end_ms_sum += estimate.end_ms();
        self.cost_ms_sum += estimate.cost_ms;
    }

    pub(crate) fn remove(&mut self, estimate: AttemptEstimate) {
        self.count -= 1;
        self.end_ms_sum -= estimate.end_ms();
        self.cost_ms_sum -= estimate.cost_ms;
    }

    pub(crate) fn merge(&mut self, others: Self) {
        self.count += others.count;
        self.end_ms_sum += others.end_ms_sum;
        self.cost_ms_sum += others.cost_ms_sum;
    }

    pub(crate) fn subtract(&mut self, others: Self) {
        self.count -= others.count;
        self.end_ms_sum -= others.end_ms_sum;
        self.cost_ms_sum -= others.cost_ms_sum;
    }

    /// Estimated slot time that the requests still need.
    pub(crate) fn remaining_ms(&self, now: TimeMs) -> f64 {
        let elapsed_ms = u64::from(self.count).saturating_mul(now.get());
        self.end_ms_sum.saturating_sub(elapsed_ms) as f64
    }

    /// Mean estimated cost of one request.
    pub(crate) fn mean_cost_ms(&self) -> f64 {
        self.cost_ms_sum as f64 / f64::from(self.count.max(1))
    }
}
