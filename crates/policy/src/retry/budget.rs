use std::collections::VecDeque;

use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

/// Parts of a window in which arrivals and retries are counted together.
const SPANS_PER_WINDOW: u64 = 20;

state! {
    /// Arrivals and retries of a part of the window.
    #[derive(Copy, Eq)]
    struct Span {
        started_at: TimeMs,
        arrivals: u32,
        retries: u32,
    }
}

state! {
    /// Limits the retries in every window to a share of the arrivals in it, and some more.
    ///
    /// A target that fails takes the requests of many seconds with it, so what the share allows in a
    /// whole window may be used at one moment.
    pub(crate) struct RetryBudget {
        per_arrival: f64,
        extra: f64,
        window_ms: u64,
        spans: VecDeque<Span>,
    }
}

impl RetryBudget {
    /// Creates a budget; `extra` retries are allowed in each window beside `per_arrival` each.
    pub(crate) fn new(per_arrival: f64, extra: f64, window_ms: u64) -> Self {
        Self { per_arrival, extra, window_ms: window_ms.max(1), spans: VecDeque::new() }
    }

    /// Sets the retries that are allowed in each window beside those for arrivals.
    pub(crate) fn set_extra(&mut self, extra: f64) {
        self.extra = extra;
    }

    /// Records an arrival.
    pub(crate) fn deposit(&mut self, now: TimeMs) {
        self.current_span(now).arrivals += 1;
    }

    /// Records a retry if one is allowed; returns whether it is.
    pub(crate) fn try_withdraw(&mut self, now: TimeMs) -> bool {
        let (window_start, span_ms) = (now.before(self.window_ms), self.span_ms());
        self.spans.retain(|span| span.started_at.after(span_ms) > window_start);
        // Of a part that is half outside the window, retries count and arrivals do not.
        let inside = self.spans.iter().filter(|span| span.started_at >= window_start);
        let arrivals: u32 = inside.map(|span| span.arrivals).sum();
        let retries: u32 = self.spans.iter().map(|span| span.retries).sum();
        let is_allowed =
            f64::from(retries) + 1.0 <= f64::from(arrivals) * self.per_arrival + self.extra;
        if is_allowed {
            self.current_span(now).retries += 1;
        }
        is_allowed
    }

    fn span_ms(&self) -> u64 {
        (self.window_ms / SPANS_PER_WINDOW).max(1)
    }

    fn current_span(&mut self, now: TimeMs) -> &mut Span {
        let span_ms = self.span_ms();
        let is_over = |span: &Span| now.since(span.started_at) >= span_ms;
        if self.spans.back().is_none_or(is_over) {
            if self.spans.len() as u64 > SPANS_PER_WINDOW {
                self.spans.pop_front();
            }
            self.spans.push_back(Span { started_at: now, arrivals: 0, retries: 0 });
        }
        let last = self.spans.len() - 1;
        &mut self.spans[last]
    }
}
