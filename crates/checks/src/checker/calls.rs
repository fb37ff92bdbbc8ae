use std::collections::BTreeMap;

use celeryhaven_types::{Idempotency, Verdict, VmName};

use crate::checker::{Tally, Violation};
use crate::observed::{Answer, CallId, OperationId};

#[derive(Clone, Debug, Default)]
struct Operation {
    non_idempotent: bool,
    pieces: u32,
    vms: Vec<VmName>,
    /// Number of calls without the verdict "not run".
    open: u64,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    operation: OperationId,
    verdict: Option<Verdict>,
    cut_off: bool,
}

/// Checks the answers to callers against the runs at targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    operations: BTreeMap<OperationId, Operation>,
    calls: BTreeMap<CallId, Call>,
}

impl Calls {
    pub(crate) fn asked(
        &mut self,
        call: CallId,
        id: OperationId,
        idempotency: Idempotency,
        pieces: u32,
    ) {
        let operation = self.operations.entry(id).or_default();
        operation.non_idempotent |= idempotency == Idempotency::NonIdempotent;
        operation.pieces = pieces;
        operation.open += 1;
        self.calls.insert(call, Call { operation: id, verdict: None, cut_off: false });
    }

    pub(crate) fn ran(&mut self, id: OperationId, vm: VmName) -> Option<Violation> {
        let operation = self.operations.entry(id).or_default();
        operation.vms.push(vm);
        let ran_twice = operation.non_idempotent && operation.vms.len() > 1;
        if ran_twice {
            return Some(Violation::RanTwice { operation: id, vms: operation.vms.clone() });
        }
        (operation.open == 0).then_some(Violation::RanAfterNotRun { operation: id })
    }

    pub(crate) fn told(
        &mut self,
        id: CallId,
        verdict: Verdict,
        answer: Option<&Answer>,
    ) -> Option<Violation> {
        let call = self.calls.get_mut(&id)?;
        if call.verdict.replace(verdict).is_some() {
            return Some(Violation::ToldTwice { call: id });
        }
        let operation = self.operations.get_mut(&call.operation)?;
        match verdict {
            Verdict::Answered => {
                let is_whole =
                    answer.is_some_and(|answer| answer.is_whole(call.operation, operation.pieces));
                (!is_whole).then_some(Violation::NotItsWholeAnswer { call: id })
            }
            Verdict::NotRun => {
                operation.open -= 1;
                (!operation.vms.is_empty()).then_some(Violation::NotRunButRan { call: id })
            }
            Verdict::MayHaveRun => None,
        }
    }

    pub(crate) fn cut_off(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.cut_off = true;
        }
    }

    /// Returns a violation for each call that never completed.
    pub(crate) fn unfinished(&self) -> impl Iterator<Item = Violation> {
        let open = self.calls.iter().filter(|(_, call)| call.verdict.is_none() && !call.cut_off);
        open.map(|(id, _)| Violation::NeverTold { call: *id })
    }

    pub(crate) fn tally(&self, tally: &mut Tally) {
        tally.calls = self.calls.len() as u64;
        tally.runs = self.operations.values().map(|operation| operation.vms.len() as u64).sum();
        for call in self.calls.values() {
            let ran = self.operations.get(&call.operation).is_some_and(|o| !o.vms.is_empty());
            match call.verdict {
                Some(Verdict::Answered) => tally.answered += 1,
                Some(Verdict::NotRun) => tally.not_run += 1,
                Some(Verdict::MayHaveRun) => {
                    tally.may_have_run += 1;
                    tally.may_have_run_in_vain += u64::from(!ran);
                }
                None => tally.cut_off += u64::from(call.cut_off),
            }
        }
    }
}
