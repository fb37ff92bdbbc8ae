use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use celeryhaven_ends::{EndChecks, EndVerdict, Listing, TargetProcess};
use celeryhaven_fleet::FleetView;
use celeryhaven_quarantine::{CauseDigest, Hold, UnsettledEnds};

use crate::control::ends::CONTENTS_PER_END;

/// A process whose end is checked.
#[derive(Debug, Default)]
pub(super) struct Watched {
    /// Requests that wait for the verdict, with their contents.
    pub(super) waiting: Vec<(Sender<EndVerdict>, Option<CauseDigest>)>,
    /// Address and number of the last report in its entry: where no start time is listed, these show
    /// another start.
    pub(super) entry: Option<(SocketAddr, Option<u64>)>,
}

/// Ends of targets that are not settled yet.
#[derive(Debug, Default)]
pub(in crate::control) struct Ends {
    pub(super) checks: EndChecks,
    pub(super) watched: BTreeMap<TargetProcess, Watched>,
    pub(super) unsettled: UnsettledEnds<TargetProcess>,
    /// Contents that are held meanwhile.
    pub(in crate::control) held: Arc<BTreeMap<CauseDigest, Hold>>,
}

impl Ends {
    /// Returns the contents that a process was running, as far as requests wait for the verdict on it.
    pub(super) fn contents(&self, process: &TargetProcess) -> Vec<CauseDigest> {
        let waiting = self.watched.get(process).into_iter().flat_map(|watched| &watched.waiting);
        let contents: BTreeSet<_> = waiting.filter_map(|(_, content)| *content).collect();
        contents.into_iter().take(CONTENTS_PER_END).collect()
    }
}

/// Returns what the platform lists of a process.
pub(super) fn listing(fleet: &FleetView, process: &TargetProcess, is_store_away: bool) -> Listing {
    let entry = fleet.target(&process.name);
    let has_restarted = entry.is_some_and(|entry| {
        entry.started_at_ms.is_some() && entry.started_at_ms != process.started_at_ms
    });
    match entry {
        Some(_) if has_restarted => Listing::Restarted,
        _ if is_store_away || fleet.is_lapsed(&process.name) => Listing::Unknown,
        Some(_) => Listing::Same,
        None => Listing::Missing,
    }
}
