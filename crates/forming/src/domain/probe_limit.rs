use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::{TimeMs, VmName};

use crate::interface::FormingAction;

/// Shortest time between two probes of a target, in milliseconds.
const PROBE_INTERVAL_MIN_MS: u64 = 500;

/// Limits the probes of each target, whatever the number of reasons.
///
/// When many targets are lost, all nodes with a stream at a replica suspect it, its members are
/// reported as lost, and their orders fail, each of which asks for a probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeLimit {
    sent_at: BTreeMap<VmName, TimeMs>,
    /// Targets that were to be probed within the interval, and are probed after it.
    due: BTreeSet<VmName>,
}

impl ProbeLimit {
    /// Removes the probes from `out` that come too early, and adds those that are due.
    pub(crate) fn apply(&mut self, now: TimeMs, out: &mut Vec<FormingAction>, first: usize) {
        self.sent_at.retain(|_, at| now.since(*at) < PROBE_INTERVAL_MIN_MS);
        let actions = out.split_off(first);
        for action in actions {
            match action {
                FormingAction::Probe { target } => {
                    self.due.insert(target);
                }
                other => out.push(other),
            }
        }
        let sent_at = &mut self.sent_at;
        self.due.retain(|target| {
            let is_early = sent_at.contains_key(target);
            if !is_early {
                sent_at.insert(target.clone(), now);
                out.push(FormingAction::Probe { target: target.clone() });
            }
            is_early
        });
    }
}
