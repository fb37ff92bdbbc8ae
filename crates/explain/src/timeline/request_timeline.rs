use std::collections::BTreeSet;

use crate::{Log, LogLine};

/// Time before a request from which lines about its targets are included, in milliseconds.
const LEAD_TIME_MS: u64 = 5_000;

/// Time after a request up to which lines about its targets are included, in milliseconds.
const TRAIL_TIME_MS: u64 = 1_000;

/// Returns the lines about a request and about its targets and replicas, in order of time.
///
/// The replicas are those that any line up to the end names together with one of the targets.
pub fn request_timeline<'a>(log: &'a Log, request_id: &str) -> Vec<&'a LogLine> {
    let is_own = |line: &&LogLine| line.fields.request_id.as_deref() == Some(request_id);
    let own: Vec<&LogLine> = log.lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let took_ms = last.fields.took_ms.unwrap_or(0);
    let from_ms = first.at_ms.min(last.at_ms.saturating_sub(took_ms)).saturating_sub(LEAD_TIME_MS);
    let until_ms = last.at_ms + TRAIL_TIME_MS;
    let targets: BTreeSet<&str> =
        own.iter().filter_map(|line| line.fields.target.as_deref()).collect();
    let is_about_target =
        |line: &&LogLine| line.fields.target.as_deref().is_some_and(|t| targets.contains(t));
    let replicas: BTreeSet<&str> = log
        .lines
        .iter()
        .filter(|line| line.at_ms <= until_ms)
        .filter(is_about_target)
        .filter_map(|line| line.fields.replica.as_deref())
        .collect();
    let is_about = |line: &&LogLine| {
        let is_about_replica = line.fields.replica.as_deref().is_some_and(|r| replicas.contains(r));
        let is_of_request = line.fields.request_id.is_some();
        (from_ms..=until_ms).contains(&line.at_ms)
            && !is_of_request
            && (is_about_target(line) || is_about_replica)
    };
    log.lines.iter().filter(|line| is_own(line) || is_about(line)).collect()
}
