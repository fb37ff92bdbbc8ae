use std::collections::BTreeMap;
use std::fmt;

use celeryhaven_derives::state;

use crate::{Log, LogLine};

state! {
    /// One loss and what followed it in the same fabric domain.
    pub struct Mend {
        /// The domain.
        pub domain: String,
        /// The replica that lost a member.
        pub replica: String,
        /// When, in milliseconds after the first line.
        pub lost_at_ms: u64,
        /// Until the next plan of its domain, in milliseconds.
        pub planned_ms: Option<u64>,
        /// Until a replica of that domain served anew, in milliseconds.
        pub open_ms: Option<u64>,
    }
}

/// Losses of members, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Mending {
    /// The losses.
    pub mends: Vec<Mend>,
}

/// Losses that the report names one by one, the slowest first.
const NAMED: usize = 5;

impl Mending {
    /// Follows every loss to the next plan and the next opening in its domain.
    ///
    /// Deciders that follow each other may each notice the same loss: it counts once.
    pub fn new(log: &Log) -> Self {
        let mut mending = Self::default();
        let mut waiting: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for line in log.lines.iter().filter(|line| line.fields.msg == "replica") {
            mending.take(line, line.at_ms - log.start_ms(), &mut waiting);
        }
        mending
    }

    fn take(&mut self, line: &LogLine, at_ms: u64, waiting: &mut BTreeMap<String, Vec<usize>>) {
        let domain = line.fields.domain.clone().unwrap_or_default();
        let replica = line.fields.replica.clone().unwrap_or_default();
        let open = waiting.entry(domain.clone()).or_default();
        let is_new = self.mends.iter().all(|mend| mend.replica != replica);
        match line.fields.change.as_deref() {
            Some("member lost" | "member leaves") if is_new => {
                open.push(self.mends.len());
                let (planned_ms, open_ms) = (None, None);
                self.mends.push(Mend { domain, replica, lost_at_ms: at_ms, planned_ms, open_ms });
            }
            Some("planned") => {
                let next = open.iter().find(|&&index| self.mends[index].planned_ms.is_none());
                if let Some(&index) = next {
                    let mend = &mut self.mends[index];
                    mend.planned_ms = Some(at_ms - mend.lost_at_ms);
                }
            }
            Some("open") => {
                if let Some(place) = open.iter().position(|&i| self.mends[i].planned_ms.is_some()) {
                    let mend = &mut self.mends[open.remove(place)];
                    mend.open_ms = Some(at_ms - mend.lost_at_ms);
                }
            }
            _ => {}
        }
    }

    /// The time within which this part of the mended losses served again, in milliseconds.
    pub fn quantile_ms(&self, part: f64) -> Option<u64> {
        let mut times: Vec<u64> = self.mends.iter().filter_map(|mend| mend.open_ms).collect();
        times.sort_unstable();
        let last = times.len().checked_sub(1)?;
        times.get((last as f64 * part).round() as usize).copied()
    }
}

impl fmt::Display for Mending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mended = self.mends.iter().filter(|mend| mend.open_ms.is_some()).count();
        let time = |part| self.quantile_ms(part).map_or("-".into(), |ms| format!("{ms} ms"));
        let (all, p50, p95) = (self.mends.len(), time(0.5), time(0.95));
        writeln!(f, "{all} losses, {mended} mended within the log: p50 {p50}, p95 {p95}")?;
        let mut slowest: Vec<&Mend> = self.mends.iter().collect();
        slowest.sort_by_key(|mend| std::cmp::Reverse(mend.open_ms.unwrap_or(u64::MAX)));
        for mend in slowest.into_iter().take(NAMED) {
            let shown = |ms: Option<u64>| ms.map_or("never".into(), |ms| format!("after {ms} ms"));
            let (planned, open) = (shown(mend.planned_ms), shown(mend.open_ms));
            let (domain, replica, at) = (&mend.domain, &mend.replica, mend.lost_at_ms);
            writeln!(f, "  {domain} {replica} lost at {at} ms: planned {planned}, open {open}")?;
        }
        Ok(())
    }
}
