use std::collections::BTreeMap;
use std::fmt;

use celeryhaven_derives::state;

use crate::{Log, LogLine};

state! {
    /// A loss and the recovery from it in the same fabric domain.
    pub struct Mend {
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
pub struct Mending {
    /// The losses.
    pub mends: Vec<Mend>,
}

/// Number of slowest recoveries listed in the report.
const SLOWEST_LISTED: usize = 5;

impl Mending {
    /// Matches every loss with the next plan and the next opened replica in its domain.
    ///
    /// A loss that several coordinators log counts once.
    pub fn new(log: &Log) -> Self {
        let mut mending = Self::default();
        let mut unresolved_by_domain: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for line in log.lines.iter().filter(|line| line.fields.msg == "replica") {
            mending.apply_line(line, line.at_ms - log.start_ms(), &mut unresolved_by_domain);
        }
        mending
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
        let is_new = self.mends.iter().all(|mend| mend.replica != replica);
        match line.fields.change.as_deref() {
            Some("member lost" | "member leaves") if is_new => {
                unresolved.push(self.mends.len());
                let (planned_ms, open_ms) = (None, None);
                self.mends.push(Mend { domain, replica, lost_at_ms: at_ms, planned_ms, open_ms });
            }
            Some("planned") => {
                let next = unresolved.iter().find(|&&index| self.mends[index].planned_ms.is_none());
                if let Some(&index) = next {
                    let mend = &mut self.mends[index];
                    mend.planned_ms = Some(at_ms - mend.lost_at_ms);
                }
            }
            Some("open") => {
                if let Some(position) =
                    unresolved.iter().position(|&i| self.mends[i].planned_ms.is_some())
                {
                    let mend = &mut self.mends[unresolved.remove(position)];
                    mend.open_ms = Some(at_ms - mend.lost_at_ms);
                }
            }
            _ => {}
        }
    }

    /// Returns a quantile of the recovery times, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> Option<u64> {
        let mut times: Vec<u64> = self.mends.iter().filter_map(|mend| mend.open_ms).collect();
        times.sort_unstable();
        let last = times.len().checked_sub(1)?;
        times.get((last as f64 * quantile).round() as usize).copied()
    }
}

impl fmt::Display for Mending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let recovered = self.mends.iter().filter(|mend| mend.open_ms.is_some()).count();
        let time =
            |quantile| self.quantile_ms(quantile).map_or("-".into(), |ms| format!("{ms} ms"));
        let (all, p50, p95) = (self.mends.len(), time(0.5), time(0.95));
        writeln!(f, "{all} losses, {recovered} recovered within the log: p50 {p50}, p95 {p95}")?;
        let mut slowest: Vec<&Mend> = self.mends.iter().collect();
        slowest.sort_by_key(|mend| std::cmp::Reverse(mend.open_ms.unwrap_or(u64::MAX)));
        for mend in slowest.into_iter().take(SLOWEST_LISTED) {
            let shown = |ms: Option<u64>| ms.map_or("never".into(), |ms| format!("after {ms} ms"));
            let (planned, open) = (shown(mend.planned_ms), shown(mend.open_ms));
            let (domain, replica, at) = (&mend.domain, &mend.replica, mend.lost_at_ms);
            writeln!(f, "  {domain} {replica} lost at {at} ms: planned {planned}, open {open}")?;
        }
        Ok(())
    }
}
