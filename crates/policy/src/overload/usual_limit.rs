use std::collections::VecDeque;

/// Number of recent requests from which the limit is learnt.
const RECENT_REQUESTS: usize = 128;

/// Requests before which the configured limit applies.
const LEARNT_REQUESTS_MIN: usize = 40;

/// One in this many recent requests reaches the usual limit.
const REACHED_BY_ONE_IN: usize = 10;

/// A request with less of the usual limit left is a return: first tries carry 0.85 to 1.0 of it, and a
/// return at most three quarters.
const RETURN_FRACTION: f64 = 0.8;

/// Tells the returns of refused callers from first tries by the time that the callers still wait.
///
/// The load pattern is a surge in which most requests are returns, whose answers are late whatever
/// happens. The usual limit of a route is the largest budget that at least a tenth of the recent
/// requests reach: callers keep their limits when the configured one changes, and a few absurd budgets
/// don't count.
///
/// ```
/// use celeryhaven_policy::UsualLimit;
///
/// let mut limit = UsualLimit::default();
/// assert!(!limit.is_return(Some(5_000), 5_000));
/// assert!(limit.is_return(Some(3_600), 5_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsualLimit {
    recent_ms: VecDeque<u64>,
}

impl UsualLimit {
    /// Records a request and returns whether it is a return; one without a budget is a first try.
    pub fn is_return(&mut self, budget_ms: Option<u64>, configured_ms: u64) -> bool {
        let Some(budget_ms) = budget_ms else { return false };
        if self.recent_ms.len() == RECENT_REQUESTS {
            self.recent_ms.pop_front();
        }
        self.recent_ms.push_back(budget_ms);
        (budget_ms as f64) < self.usual_ms(configured_ms) as f64 * RETURN_FRACTION
    }

    /// Returns the usual limit of callers; the configured one until it is learnt.
    pub fn usual_ms(&self, configured_ms: u64) -> u64 {
        let count = self.recent_ms.len();
        if count < LEARNT_REQUESTS_MIN {
            return configured_ms;
        }
        let mut sorted: Vec<u64> = self.recent_ms.iter().copied().collect();
        let reached = count.div_ceil(REACHED_BY_ONE_IN);
        let (_, usual_ms, _) = sorted.select_nth_unstable(count - reached);
        *usual_ms
    }
}
