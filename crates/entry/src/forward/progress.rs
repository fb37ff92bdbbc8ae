use std::time::Instant;

use celeryhaven_node::AttemptEvent;

use crate::forward::attempt::Reporter;

/// Interval between reports of delivered tokens to the control thread, in milliseconds.
const PROGRESS_INTERVAL_MS: u128 = 100;

/// Delivered tokens that are not yet reported; reports the rest when dropped.
pub(crate) struct UnreportedTokens<'a> {
    reporter: &'a Reporter,
    tokens: u32,
    reported_at: Instant,
}

impl<'a> UnreportedTokens<'a> {
    pub(crate) fn new(reporter: &'a Reporter) -> Self {
        Self { reporter, tokens: 0, reported_at: Instant::now() }
    }

    /// Adds delivered tokens, and reports them once the interval has passed.
    pub(crate) fn add(&mut self, tokens: u32) {
        self.tokens += tokens;
        if self.reported_at.elapsed().as_millis() >= PROGRESS_INTERVAL_MS {
            self.report();
        }
    }

    fn report(&mut self) {
        let tokens = std::mem::take(&mut self.tokens);
        if tokens > 0 {
            self.reporter.report(AttemptEvent::Progress { tokens });
        }
        self.reported_at = Instant::now();
    }
}

impl Drop for UnreportedTokens<'_> {
    fn drop(&mut self) {
        self.report();
    }
}
