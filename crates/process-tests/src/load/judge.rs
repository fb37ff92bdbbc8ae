use std::collections::BTreeMap;

use celeryhaven_checks::{Answer, Bounds, CallId, Checks, Observation, OperationId, Violation};
use celeryhaven_stand_ins::caller::{Outcome, Reply};
use celeryhaven_types::{Idempotency, TimeMs, Verdict, VmName};

use crate::fleet::{Fleet, FleetError};
use crate::load::History;

/// Holds what callers were told against what the targets ran.
///
/// Updates are one operation each, however often the caller asked with its key. Completions carry
/// no key, so each try is an operation of its own, matched to runs by the request id it was told.
/// All instants are of this machine's clock, so runs and answers stand in one order.
pub async fn judge(
    fleet: &Fleet,
    updates: &[History],
    completions: &[History],
) -> Result<Vec<Violation>, FleetError> {
    let mut timeline = Timeline::default();
    for update in updates {
        let operation = timeline.operation(&update.marker);
        for reply in &update.replies {
            timeline.call(operation, reply, Idempotency::NonIdempotent);
        }
    }
    for reply in completions.iter().flat_map(|history| &history.replies) {
        if let Some(id) = &reply.request_id {
            let operation = timeline.operation(id);
            timeline.call(operation, reply, Idempotency::Idempotent);
        }
    }
    for run in fleet.plain_runs().await {
        timeline.ran(&run.body, run.at_unix_us, "plain");
    }
    for run in fleet.engine_runs().await {
        timeline.ran(&run.request_id, run.at_unix_us, "engine");
    }
    Ok(timeline.violations())
}

#[derive(Default)]
struct Timeline {
    operations: BTreeMap<String, OperationId>,
    calls: u64,
    observations: Vec<(u64, Observation)>,
}

impl Timeline {
    fn operation(&mut self, marker: &str) -> OperationId {
        let next = OperationId::new(self.operations.len() as u64 + 1);
        *self.operations.entry(marker.to_owned()).or_insert(next)
    }

    fn call(&mut self, operation: OperationId, reply: &Reply, idempotency: Idempotency) {
        if reply.outcome == Outcome::Unreachable {
            return;
        }
        self.calls += 1;
        let call = CallId::new(self.calls);
        let (asked_us, told_us) = (reply.asked_unix_us, reply.asked_unix_us + reply.total_us);
        let at = time(asked_us);
        let asked = Observation::Asked { at, call, operation, idempotency, pieces: 1 };
        self.observations.push((asked_us, asked));
        let at = time(told_us);
        let told = match told(reply) {
            None => Observation::CutOff { at, call },
            Some(verdict) => {
                let answer = reply.whole().then(|| Answer::whole(operation, 1));
                Observation::Told { at, call, verdict, answer }
            }
        };
        self.observations.push((told_us, told));
    }

    fn ran(&mut self, marker: &str, at_us: u64, vm: &str) {
        if let Some(operation) = self.operations.get(marker) {
            let (at, vm) = (time(at_us), VmName::new(vm));
            self.observations.push((at_us, Observation::Ran { at, operation: *operation, vm }));
        }
    }

    fn violations(mut self) -> Vec<Violation> {
        self.observations.sort_by_key(|(at_us, _)| *at_us);
        let mut checks = Checks::new(Bounds { loss_ms: u64::MAX, leaving_ms: u64::MAX });
        self.observations.into_iter().for_each(|(_, observation)| checks.observe(observation));
        checks.finish()
    }
}

/// The verdict that a reply amounts to; `None` if the connection only broke.
fn told(reply: &Reply) -> Option<Verdict> {
    match (reply.outcome, reply.verdict.as_deref()) {
        (Outcome::Whole | Outcome::Foreign, _) => Some(Verdict::Answered),
        (_, Some("not_run")) => Some(Verdict::NotRun),
        (_, Some("may_have_run")) => Some(Verdict::MayHaveRun),
        _ => None,
    }
}

fn time(unix_us: u64) -> TimeMs {
    TimeMs::new(unix_us / 1_000)
}
