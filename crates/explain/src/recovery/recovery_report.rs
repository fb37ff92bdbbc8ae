use std::collections::BTreeMap;
use std::fmt;

use celeryhaven_derives::state;

use crate::{Log, LogLine};

state! {
    /// A loss and the recovery from it in the same fabric domain.
    pub struct Recovery {
        /// The domain.
        pub domain: String,
        /// The replica that lost a member.
        pub replica: String,
        /// Time of the loss, in milliseconds after the first line.
        pub lost_at_ms: u64,
        /// Time from the loss to the next plan in the domain, in milliseconds.
        pub planned_ms: Option<u64>,
        /// Time from the loss until a replica of the domain opened, in milliseconds.
        pub open_ms: Option<u64>,
    }
}

/// Losses of members and recoveries from them, in order of time.
#[derive(Clone, Debug, Default)]
pub struct RecoveryReport {
    /// The losses.
    pub recoveries: Vec<Recovery>,
}

/// Number of slowest recoveries listed in the report.
const SLOWEST_LISTED: usize = 5;

impl RecoveryReport {
    /// Matches every loss with the next plan and the next opened replica in its domain.
    ///
    /// A loss that several coordinators log counts once.
    pub fn new(log: &Log) -> Self {
        let mut report = Self::default();
        let mut unresolved_by_domain: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for line in log.lines.iter().filter(|line| line.fields.msg == "replica") {
            report.apply_line(line, line.at_ms - log.start_ms(), &mut unresolved_by_domain);
        }
        report
    }

    fn apply_line(
        &mut self,
        line: &LogLine,
        at_ms: u64,
        unresolved_by_domain: &mut BTreeMap<String, Vec<usize>>,
    ) {
        let domain = line.fields.domain.clone().unwrap_or_default();
        let replica = line.fields.replica.clone().unwrap_or_default();
        let unresolved = unresolved_by_domain.entry(domain.clone()).or_default();
        let is_new = self.recoveries.iter().all(|recovery| recovery.replica != replica);
        match line.fields.change.as_deref() {
            Some("member lost" | "member leaves") if is_new => {
                unresolved.push(self.recoveries.len());
                let (planned_ms, open_ms) = (None, None);
                self.recoveries.push(Recovery {
                    domain,
                    replica,
                    lost_at_ms: at_ms,
                    planned_ms,
                    open_ms,
                });
            }
            Some("planned") => {
                let next =
                    unresolved.iter().find(|&&index| self.recoveries[index].planned_ms.is_none());
                if let Some(&index) = next {
                    let recovery = &mut self.recoveries[index];
                    recovery.planned_ms = Some(at_ms - recovery.lost_at_ms);
                }
            }
            Some("open") => {
                if let Some(position) =
                    unresolved.iter().position(|&i| self.recoveries[i].planned_ms.is_some())
                {
                    let recovery = &mut self.recoveries[unresolved.remove(position)];
                    recovery.open_ms = Some(at_ms - recovery.lost_at_ms);
                }
            }
            _ => {}
        }
    }

    /// Returns a quantile of the recovery times, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> Option<u64> {
        let mut times: Vec<u64> =
            self.recoveries.iter().filter_map(|recovery| recovery.open_ms).collect();
        times.sort_unstable();
        let last = times.len().checked_sub(1)?;
        times.get((last as f64 * quantile).round() as usize).copied()
    }
}

impl fmt::Display for RecoveryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let recovered =
            self.recoveries.iter().filter(|recovery| recovery.open_ms.is_some()).count();
        let time =
            |quantile| self.quantile_ms(quantile).map_or("-".into(), |ms| format!("{ms} ms"));
        let (all, p50, p95) = (self.recoveries.len(), time(0.5), time(0.95));
        writeln!(f, "{all} losses, {recovered} recovered within the log: p50 {p50}, p95 {p95}")?;
        let mut slowest: Vec<&Recovery> = self.recoveries.iter().collect();
        slowest.sort_by_key(|recovery| std::cmp::Reverse(recovery.open_ms.unwrap_or(u64::MAX)));
        for recovery in slowest.into_iter().take(SLOWEST_LISTED) {
            let shown = |ms: Option<u64>| ms.map_or("never".into(), |ms| format!("after {ms} ms"));
            let (planned, open) = (shown(recovery.planned_ms), shown(recovery.open_ms));
            let (domain, replica, at) = (&recovery.domain, &recovery.replica, recovery.lost_at_ms);
            writeln!(f, "  {domain} {replica} lost at {at} ms: planned {planned}, open {open}")?;
        }
        Ok(())
    }
}
