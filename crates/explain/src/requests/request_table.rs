use std::collections::BTreeMap;
use std::fmt;

use celeryhaven_derives::state;
use hdrhistogram::Histogram;

use crate::Log;

state! {
    /// Outcomes of the requests of one time span or route.
    #[derive(Default)]
    pub struct RequestRow {
        /// Number of requests, by outcome.
        pub outcomes: BTreeMap<String, u64>,
        /// Duration of each answered request, in milliseconds.
        pub took_ms: Vec<u64>,
    }
}

impl RequestRow {
    /// Returns a quantile of the durations of answered requests, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> u64 {
        let mut histogram = Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable_histogram());
        self.took_ms.iter().for_each(|&took| histogram.saturating_record(took));
        histogram.value_at_quantile(quantile)
    }
}

/// Panics. Never called, because a histogram of three significant digits is always valid.
fn unreachable_histogram() -> Histogram<u64> {
    unreachable!("a histogram of three digits")
}

/// Outcomes of requests, by time span and by route.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    /// Rows by the start of the span, in seconds after the first line.
    pub by_span: BTreeMap<u64, RequestRow>,
    /// Rows by route.
    pub by_route: BTreeMap<String, RequestRow>,
}

impl RequestTable {
    /// Counts completed requests in spans of `span_s` seconds.
    pub fn new(log: &Log, span_s: u64) -> Self {
        let mut table = Self::default();
        let start_ms = log.start_ms();
        for line in log.lines.iter().filter(|line| line.fields.msg == "request ended") {
            let span = (line.at_ms - start_ms) / 1_000 / span_s.max(1) * span_s.max(1);
            let route = line.fields.route.clone().unwrap_or_default();
            let outcome = line.fields.outcome.clone().unwrap_or_default();
            for row in
                [table.by_span.entry(span).or_default(), table.by_route.entry(route).or_default()]
            {
                *row.outcomes.entry(outcome.clone()).or_default() += 1;
                if outcome == "answered" {
                    row.took_ms.extend(line.fields.took_ms);
                }
            }
        }
        table
    }
}

impl fmt::Display for RequestTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spans = self.by_span.iter().map(|(from_s, row)| (format!("from {from_s} s"), row));
        let routes = self.by_route.iter().map(|(route, row)| (route.clone(), row));
        for (name, row) in spans.chain(routes) {
            let outcomes: Vec<String> =
                row.outcomes.iter().map(|(outcome, count)| format!("{count} {outcome}")).collect();
            let (p50, p95) = (row.quantile_ms(0.5), row.quantile_ms(0.95));
            writeln!(f, "{name:<16} p50 {p50:>5} ms  p95 {p95:>5} ms  {}", outcomes.join(", "))?;
        }
        Ok(())
    }
}
