use celeryhaven_types::TimeMs;

use crate::fair::FairPolicy;
use crate::fair::class::ClassState;
use crate::fair::policy::Timer;
use crate::fair::request::{CancelReason, Phase, RequestState};
use crate::interface::{Decision, RetryDenial, TargetKey, Ticket};

/// Least time without a first token after which an attempt is stuck, longer than network pauses.
const STUCK_TIMEOUT_MIN_MS: f64 = 1_000.0;

/// Fraction of the estimated remaining time that must fit before the deadline after the first
/// token; many answers are shorter than estimated.
///
/// Answers a third shorter than estimated are common, half are not.
const REMAINING_TIME_FRACTION: f64 = 0.6;

impl FairPolicy {
    /// Returns when a request that is sent now counts as stuck without a first token.
    pub(crate) fn stuck_at(&self, now: TimeMs, request: &RequestState) -> TimeMs {
        let Phase::Running { target, uncached_tokens, loads_adapter, .. } = request.phase else {
            return request.deadline;
        };
        let class = &self.classes[request.class.get() as usize];
        let Some(target) = self.targets.get(&target) else { return request.deadline };
        let prefill_tokens = uncached_tokens + target.prefill_tokens_queued as f64;
        let utilisation = target.utilisation(now, class.average());
        let load_ms = if loads_adapter { class.adapter_load_ms.high() } else { 0.0 };
        let expected_ms = load_ms + class.times.first_token_ms(utilisation, prefill_tokens);
        now.after((expected_ms * self.settings.stuck_ratio).max(STUCK_TIMEOUT_MIN_MS) as u64)
            .min(request.deadline)
    }

    /// Schedules the next check of a running request, if it is idempotent.
    ///
    /// Other requests run to completion: a cancelled attempt may still have run, and its result
    /// would be unknown.
    pub(crate) fn schedule_check(
        &mut self,
        ticket: Ticket,
        request: &mut RequestState,
        check_at: TimeMs,
    ) {
        if let Some(before) = request.check_at.take() {
            self.timers.remove(&(before, Timer::Request(ticket)));
        }
        if request.idempotent {
            request.check_at = Some(check_at);
            self.timers.insert((check_at, Timer::Request(ticket)));
        }
    }

    /// Cancels an attempt after its deadline, or if it is stuck and can be retried elsewhere.
    pub(crate) fn check_running(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.check_at = None;
        let Phase::Running { target, started_at, cancelled: None, .. } = request.phase else {
            return;
        };
        if now >= request.deadline {
            self.cancel(ticket, CancelReason::TooLate, out);
        } else if started_at.is_none() && !self.settings.cancel_slow {
            self.schedule_deadline_check(ticket);
            out.push(Decision::ReportSlow { ticket });
        } else if started_at.is_none() && self.check_move(now, ticket).is_ok() {
            self.cancel(ticket, CancelReason::Stuck, out);
            self.evaluate_failure(now, target, out);
        } else {
            self.schedule_deadline_check(ticket);
        }
    }

    /// Handles the first token: cancels an answer that can't be in time, or schedules the deadline
    /// check.
    pub(crate) fn check_remaining(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let class = &self.classes[request.class.get() as usize];
        let output = class.output_lengths.expected(request.flow, request.output_tokens_max);
        let remaining_ms = class.times.decode_ms(1.0, output) * REMAINING_TIME_FRACTION;
        let too_late = now.after(remaining_ms as u64) > request.deadline;
        if self.settings.cancel_late_rest && request.idempotent && too_late {
            self.cancel(ticket, CancelReason::TooLate, out);
        } else {
            self.schedule_deadline_check(ticket);
        }
    }

    /// Cancels attempts at a target that was just ejected, if they would complete sooner elsewhere.
    ///
    /// A stalled stream produces no event, so its request would wait until the deadline. Each move
    /// is charged to the retry budget.
    pub(crate) fn move_off(&mut self, now: TimeMs, target: TargetKey, out: &mut Vec<Decision>) {
        let Some(state) = self.targets.get(&target) else { return };
        let ratio = state.health.ratio();
        let failing = state.health.is_failing();
        let tickets: Vec<_> = state.tickets.iter().copied().collect();
        for ticket in tickets {
            let Some(request) = self.requests.get(&ticket) else { continue };
            let Phase::Running { sent_at, cancelled: None, .. } = request.phase else { continue };
            let remaining_ms = request.cost.mean_ms * ratio - now.since(sent_at) as f64;
            let sooner = failing || remaining_ms > request.cost.mean_ms;
            if !request.idempotent || !sooner {
                continue;
            }
            if !self.settings.cancel_slow {
                out.push(Decision::ReportSlow { ticket });
            } else if self.check_move(now, ticket).is_ok() {
                self.cancel(ticket, CancelReason::Stuck, out);
            }
        }
    }

    /// Moves a request whose target is silent, if another can take it over.
    ///
    /// A silent target may go on, so a request that cannot be moved is left there.
    pub(crate) fn attempt_stalled(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let is_running = matches!(request.phase, Phase::Running { cancelled: None, .. });
        let class = &self.classes[request.class.get() as usize];
        // Each of the others that are moving takes a slot.
        let has_room = self.free_slots(now, class) > class.moving as f64;
        if is_running && request.idempotent && has_room && self.check_move(now, ticket).is_ok() {
            self.cancel(ticket, CancelReason::Stuck, out);
        }
    }

    /// Decides whether another target can answer a running request in time, and charges the retry budget
    /// if so.
    fn check_move(&mut self, now: TimeMs, ticket: Ticket) -> Result<(), RetryDenial> {
        self.check_room(now, ticket)?;
        match self.retry_budget.try_withdraw() {
            true => Ok(()),
            false => Err(RetryDenial::NoRetryLeft),
        }
    }

    /// Decides whether another target could answer a running request in time.
    pub(crate) fn check_room(&self, now: TimeMs, ticket: Ticket) -> Result<(), RetryDenial> {
        let Some(request) = self.requests.get(&ticket) else { return Err(RetryDenial::TooLate) };
        if request.attempts >= request.attempts_max {
            Err(RetryDenial::NoAttemptLeft)
        } else if now.after(self.needed_ms(request) as u64) > request.deadline {
            Err(RetryDenial::TooLate)
        } else if !self.classes[request.class.get() as usize].has_free_slot(self.senders) {
            Err(RetryDenial::NoFreeTarget)
        } else {
            Ok(())
        }
    }

    /// Returns the free slots of the targets that can accept a request now, at least one of each.
    fn free_slots(&self, now: TimeMs, class: &ClassState) -> f64 {
        let targets = class.available.iter().filter_map(|target| self.targets.get(&target));
        let average = class.average();
        targets.map(|target| (f64::from(target.slots) - target.load(now, average)).max(1.0)).sum()
    }

    fn cancel(&mut self, ticket: Ticket, reason: CancelReason, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Phase::Running { cancelled, .. } = &mut request.phase
            && cancelled.is_none()
        {
            *cancelled = Some(reason);
            if reason == CancelReason::Stuck {
                self.classes[request.class.get() as usize].moving += 1;
            }
            out.push(Decision::Cancel { ticket });
        }
    }

    fn schedule_deadline_check(&mut self, ticket: Ticket) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let deadline = request.deadline;
        self.schedule_check(ticket, &mut request, deadline);
        self.requests.insert(ticket, request);
    }
}
