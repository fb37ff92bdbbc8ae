use std::collections::BTreeSet;

use crate::{Log, LogLine};

/// How long before and after a request what happened to its targets is told, in milliseconds.
///
/// A silent member is noticed within a second, and its entry lapses after some four.
const BEFORE_MS: u64 = 5_000;
const AFTER_MS: u64 = 1_000;

/// The lines about a request, and about the targets and replicas that it met, in the order of time.
///
/// A target leads to its replicas by the orders that name both, and a replica to its domain's node.
pub fn story<'a>(log: &'a Log, request_id: &str) -> Vec<&'a LogLine> {
    let is_own = |line: &&LogLine| line.fields.request_id.as_deref() == Some(request_id);
    let own: Vec<&LogLine> = log.lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let took_ms = last.fields.took_ms.unwrap_or(0);
    let from_ms = first.at_ms.min(last.at_ms.saturating_sub(took_ms)).saturating_sub(BEFORE_MS);
    let until_ms = last.at_ms + AFTER_MS;
    let targets: BTreeSet<&str> =
        own.iter().filter_map(|line| line.fields.target.as_deref()).collect();
    let met = |line: &&LogLine| line.fields.target.as_deref().is_some_and(|t| targets.contains(t));
    let replicas: BTreeSet<&str> = log
        .lines
        .iter()
        .filter(|line| line.at_ms <= until_ms)
        .filter(met)
        .filter_map(|line| line.fields.replica.as_deref())
        .collect();
    let is_about = |line: &&LogLine| {
        let of_replica = line.fields.replica.as_deref().is_some_and(|r| replicas.contains(r));
        let of_other = line.fields.request_id.is_some();
        (from_ms..=until_ms).contains(&line.at_ms) && !of_other && (met(line) || of_replica)
    };
    log.lines.iter().filter(|line| is_own(line) || is_about(line)).collect()
}
