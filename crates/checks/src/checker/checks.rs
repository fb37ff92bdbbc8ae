use crate::checker::calls::Calls;
use crate::checker::machines::Machines;
use crate::checker::{Bounds, Tally, Violation};
use crate::observed::Observation;

/// Checks observations against the invariants of the system.
///
/// ```
/// use celeryhaven_checks::{Bounds, CallId, Checks, Observation, OperationId};
/// use celeryhaven_types::{Idempotency, TimeMs, Verdict, VmName};
///
/// let mut checks = Checks::new(Bounds { loss_ms: 2_000, leaving_ms: 3_000 });
/// let (call, operation) = (CallId::new(1), OperationId::new(1));
/// let at = TimeMs::new(0);
/// let idempotency = Idempotency::NonIdempotent;
/// checks.observe(Observation::Asked { at, call, operation, idempotency, pieces: 1 });
/// checks.observe(Observation::Ran { at, operation, vm: VmName::new("vm-1") });
/// checks.observe(Observation::Told { at, call, verdict: Verdict::NotRun, answer: None });
/// assert_eq!(checks.finish().len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Checks {
    bounds: Bounds,
    calls: Calls,
    machines: Machines,
    violations: Vec<Violation>,
}

impl Checks {
    /// Creates checks without observations.
    pub fn new(bounds: Bounds) -> Self {
        let (calls, machines) = Default::default();
        Self { bounds, calls, machines, violations: Vec::new() }
    }

    /// Adds an observation; calls must be in the order of the observer's clock.
    pub fn observe(&mut self, observation: Observation) {
        let violation = match observation {
            Observation::Asked { call, operation, idempotency, pieces, .. } => {
                self.calls.asked(call, operation, idempotency, pieces);
                None
            }
            Observation::Ran { operation, vm, .. } => self.calls.ran(operation, vm),
            Observation::Told { call, verdict, answer, .. } => {
                self.calls.told(call, verdict, answer.as_ref())
            }
            Observation::CutOff { call, .. } => {
                self.calls.cut_off(call);
                None
            }
            Observation::Formed { replica, generation, vms } => {
                self.machines.formed((replica, generation), vms);
                None
            }
            Observation::Lost { at, vm } => {
                self.machines.lost(at, vm);
                None
            }
            Observation::Restored { vm } => {
                self.machines.restored(&vm);
                None
            }
            Observation::Leaving { at, vm } => {
                self.machines.leaving(at, vm);
                None
            }
            Observation::Sent { at, vm, replica } => {
                self.machines.sent(at, &vm, replica.as_ref(), self.bounds)
            }
            Observation::Placed { placement } => self.machines.placed(placement),
        };
        self.violations.extend(violation);
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns all violations, including calls that never completed.
    pub fn finish(&self) -> Vec<Violation> {
        self.violations.iter().cloned().chain(self.calls.unfinished()).collect()
    }

    /// Returns the counts and worst delays so far.
    pub fn tally(&self) -> Tally {
        let mut tally = Tally {
            worst_after_loss_ms: self.machines.worst_after_loss_ms,
            worst_after_leaving_ms: self.machines.worst_after_leaving_ms,
            ..Tally::default()
        };
        self.calls.tally(&mut tally);
        tally
    }
}
