use std::collections::BTreeMap;
use std::fmt;

use celeryhaven_derives::state;
use hdrhistogram::Histogram;

use crate::Log;

state! {
    /// What became of the requests of one span or route.
    #[derive(Default)]
    pub struct RequestRow {
        /// Requests by what became of them.
        pub outcomes: BTreeMap<String, u64>,
        /// How long each answered one took, in milliseconds.
        pub took_ms: Vec<u64>,
    }
}

impl RequestRow {
    /// The time within which this part of the answered requests ended, in milliseconds.
    pub fn quantile_ms(&self, part: f64) -> u64 {
        let mut histogram = Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable_histogram());
        self.took_ms.iter().for_each(|&took| histogram.saturating_record(took));
        histogram.value_at_quantile(part)
    }
}

/// Three digits are within what a histogram can keep.
fn unreachable_histogram() -> Histogram<u64> {
    unreachable!("a histogram of three digits")
}

/// What became of requests, by span of time and by route.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    /// By the seconds after the first line at which a span begins.
    pub by_span: BTreeMap<u64, RequestRow>,
    /// By route.
    pub by_route: BTreeMap<String, RequestRow>,
}

impl RequestTable {
    /// Counts the ends of requests in spans of so many seconds.
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
