//! Each check reports its violation, and none in a correct run.

use celeryhaven_checks::{Answer, Bounds, CallId, Checks, Observation, OperationId, Violation};
use celeryhaven_types::{
    DataCentreName, DeploymentName, DomainName, DomainPlacement, Fence, Generation, Idempotency,
    ModelName, ModelVersion, Replica, ReplicaName, ReplicaPhase, TimeMs, Verdict, VmName,
};

const CALL: CallId = CallId::new(1);
const OPERATION: OperationId = OperationId::new(1);

fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

fn asked(call: u64) -> Observation {
    let idempotency = Idempotency::NonIdempotent;
    let call = CallId::new(call);
    Observation::Asked { at: at(0), call, operation: OPERATION, idempotency, pieces: 2 }
}

fn ran(vm: &str) -> Observation {
    Observation::Ran { at: at(1), operation: OPERATION, vm: VmName::new(vm) }
}

fn told(call: u64, verdict: Verdict, answer: Option<Answer>) -> Observation {
    Observation::Told { at: at(2), call: CallId::new(call), verdict, answer }
}

fn sent(ms: u64) -> Observation {
    let replica = Some((ReplicaName::new("r"), Generation::new(1)));
    Observation::Sent { at: at(ms), vm: VmName::new("a"), replica }
}

fn formed() -> Observation {
    let vms = ["a", "b"].map(VmName::new).to_vec();
    Observation::Formed { replica: ReplicaName::new("r"), generation: Generation::new(1), vms }
}

fn found(observations: impl IntoIterator<Item = Observation>) -> Vec<Violation> {
    let mut checks = Checks::new(Bounds { loss_ms: 1_000, leaving_ms: 2_000 });
    observations.into_iter().for_each(|observation| checks.observe(observation));
    checks.finish()
}

fn placed(domain: &str, replica: &str, vm: &str) -> Observation {
    let replica = Replica {
        name: ReplicaName::new(replica),
        deployment: DeploymentName::new("d"),
        model: ModelName::new("m"),
        version: ModelVersion::new("v"),
        generation: Generation::new(1),
        vms: vec![VmName::new(vm)],
        phase: ReplicaPhase::Serving,
    };
    let placement = DomainPlacement {
        domain: DomainName::new(domain),
        data_centre: DataCentreName::new("dc"),
        fence: Fence::new(1),
        write_id: 1,
        next_replica: 2,
        replicas: vec![replica],
        releasing: Vec::new(),
    };
    Observation::Placed { placement }
}

#[test]
fn finish_nothing_wrong() {
    let whole = Some(Answer::whole(OPERATION, 2));
    let seen = [asked(1), formed(), sent(1), ran("a"), told(1, Verdict::Answered, whole)];
    assert_eq!(found(seen), vec![]);
}

#[test]
fn told_fragment_or_foreign() {
    for wrong in [Answer::whole(OPERATION, 1), Answer::whole(OperationId::new(9), 2)] {
        let seen = [asked(1), ran("a"), told(1, Verdict::Answered, Some(wrong))];
        assert_eq!(found(seen), vec![Violation::NotItsWholeAnswer { call: CALL }]);
    }
}

#[test]
fn told_not_run_though_ran() {
    let seen = [asked(1), ran("a"), told(1, Verdict::NotRun, None)];
    assert_eq!(found(seen), vec![Violation::NotRunButRan { call: CALL }]);
}

#[test]
fn ran_after_not_run() {
    let seen = [asked(1), told(1, Verdict::NotRun, None), ran("a")];
    assert_eq!(found(seen), vec![Violation::RanAfterNotRun { operation: OPERATION }]);
}

#[test]
fn ran_by_retry_after_not_run() {
    let whole = Some(Answer::whole(OPERATION, 2));
    let first = [asked(1), told(1, Verdict::NotRun, None)];
    let retry = [asked(2), ran("a"), told(2, Verdict::Answered, whole)];
    assert_eq!(found(first.into_iter().chain(retry)), vec![]);
}

#[test]
fn ran_twice() {
    let seen = [asked(1), ran("a"), ran("b"), told(1, Verdict::MayHaveRun, None)];
    let vms = ["a", "b"].map(VmName::new).to_vec();
    assert_eq!(found(seen), vec![Violation::RanTwice { operation: OPERATION, vms }]);
}

#[test]
fn told_twice_or_never() {
    let verdict = Verdict::MayHaveRun;
    let seen = [asked(1), told(1, verdict, None), told(1, verdict, None)];
    assert_eq!(found(seen), vec![Violation::ToldTwice { call: CALL }]);
    assert_eq!(found([asked(1)]), vec![Violation::NeverTold { call: CALL }]);
    assert_eq!(found([asked(1), Observation::CutOff { at: at(1), call: CALL }]), vec![]);
}

#[test]
fn sent_after_loss() {
    let lost = Observation::Lost { at: at(500), vm: VmName::new("b") };
    assert_eq!(found([formed(), lost.clone(), sent(1_500)]), vec![]);
    let late = Violation::SentAfterLoss {
        replica: ReplicaName::new("r"),
        vm: VmName::new("b"),
        after_ms: 1_001,
    };
    assert_eq!(found([formed(), lost.clone(), sent(1_501)]), vec![late]);
    assert_eq!(
        found([formed(), lost, formed(), sent(1_501)]),
        vec![],
        "a new formation resets the loss"
    );
}

#[test]
fn sent_after_leaving() {
    let leaving = Observation::Leaving { at: at(0), vm: VmName::new("b") };
    let late = Violation::SentAfterLeaving { vm: VmName::new("b"), after_ms: 2_001 };
    assert_eq!(found([formed(), leaving, sent(2_001)]), vec![late]);
}

#[test]
fn placed_in_two_replicas() {
    assert_eq!(found([placed("x", "r1", "a"), placed("y", "r2", "b")]), vec![]);
    let twice = vec![Violation::TwoReplicas { vm: VmName::new("a") }];
    assert_eq!(found([placed("x", "r1", "a"), placed("y", "r2", "a")]), twice);
    let moved = [placed("x", "r1", "a"), placed("x", "r1", "b"), placed("y", "r2", "a")];
    assert_eq!(found(moved), vec![]);
}
