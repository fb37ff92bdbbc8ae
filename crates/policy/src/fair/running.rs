use celeryhaven_types::TimeMs;

use crate::fair::FairPolicy;
use crate::fair::outcomes::ATTEMPTS_MAX;
use crate::fair::policy::Timer;
use crate::fair::request::{CancelReason, Phase, RequestState};
use crate::interface::{Decision, TargetKey, Ticket};

/// Least time after which an attempt without a first token counts as stuck.
///
/// Load: lookups, whose first token is expected within a few steps. Harm: a pause of the network
/// alone would move them. Limit: below a second, delays of the way and of one step count.
const STUCK_MIN_MS: f64 = 1_000.0;

/// Part of the expected rest that must fit before the deadline once the first token has come.
///
/// Load: first tokens that came late. Harm: an answer that will be late takes a slot from one that
/// would be in time. Limit: answers shorter than expected by a third are common, by half are not.
const REST_PART: f64 = 0.6;

impl FairPolicy {
    /// When a request that is sent now should have its first token.
    pub(crate) fn start_by(&self, now: TimeMs, request: &RequestState) -> TimeMs {
        let Phase::Running { target, uncached_tokens, loads_adapter, .. } = request.phase else {
            return request.deadline;
        };
        let class = &self.classes[request.class.get() as usize];
        let Some(target) = self.targets.get(&target) else { return request.deadline };
        let prefill_tokens = uncached_tokens + target.prefill_tokens_queued as f64;
        let fill = target.fill(now, class.usual());
        let load_ms = if loads_adapter { class.adapter_load_ms.high() } else { 0.0 };
        let expected_ms = load_ms + class.times.first_token_ms(fill, prefill_tokens);
        now.after((expected_ms * self.settings.stuck_ratio).max(STUCK_MIN_MS) as u64)
            .min(request.deadline)
    }

    /// Looks at a running request again at this time, if that could change anything.
    ///
    /// A request that must run at most once is left alone: a cancel proves nothing, and knowing how
    /// it ended is worth more than the slot.
    pub(crate) fn wake_request(
        &mut self,
        ticket: Ticket,
        request: &mut RequestState,
        wake_at: TimeMs,
    ) {
        if let Some(before) = request.wake_at.take() {
            self.timers.remove(&(before, Timer::Request(ticket)));
        }
        if request.idempotent {
            request.wake_at = Some(wake_at);
            self.timers.insert((wake_at, Timer::Request(ticket)));
        }
    }

    /// Cancels an attempt whose deadline has passed, or that is stuck while others have room.
    pub(crate) fn check_running(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.wake_at = None;
        let Phase::Running { target, started_at, cancelled: None, .. } = request.phase else {
            return;
        };
        if now >= request.deadline {
            self.cancel(ticket, CancelReason::TooLate, out);
        } else if started_at.is_none() && self.may_move(now, ticket) {
            self.cancel(ticket, CancelReason::Stuck, out);
            self.judge_break(now, target, out);
        } else {
            self.rewake_at_deadline(ticket);
        }
    }

    /// After the first token: waits for the rest, or cancels at once what will not be in time.
    pub(crate) fn watch_rest(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let class = &self.classes[request.class.get() as usize];
        let output = class.outputs.expected(request.flow, request.output_tokens_max);
        let rest_ms = class.times.decode_ms(1.0, output) * REST_PART;
        let too_late = now.after(rest_ms as u64) > request.deadline;
        if self.settings.cancel_late_rest && request.idempotent && too_late {
            self.cancel(ticket, CancelReason::TooLate, out);
        } else {
            self.rewake_at_deadline(ticket);
        }
    }

    /// Moves what runs at a target that was just ejected, where another is sooner done with it.
    ///
    /// Load: a straggler or a paused VM with many streams. Harm: they were sent before it showed,
    /// would end after their deadlines, and no event tells of a stream that stalls. Limit: the retry
    /// budget, room elsewhere, and only what would take longer here than anew there.
    pub(crate) fn move_off(&mut self, now: TimeMs, target: TargetKey, out: &mut Vec<Decision>) {
        let Some(state) = self.targets.get(&target) else { return };
        let ratio = state.health.ratio();
        let broken = state.health.is_broken();
        let tickets: Vec<_> = state.tickets.iter().copied().collect();
        for ticket in tickets {
            let Some(request) = self.requests.get(&ticket) else { continue };
            let Phase::Running { sent_at, cancelled: None, .. } = request.phase else { continue };
            let left_ms = request.cost.mean_ms * ratio - now.since(sent_at) as f64;
            let sooner = broken || left_ms > request.cost.mean_ms;
            if request.idempotent && sooner && self.may_move(now, ticket) {
                self.cancel(ticket, CancelReason::Stuck, out);
            }
        }
    }

    /// Whether another target could still answer in time, and the retry budget allows it.
    fn may_move(&mut self, now: TimeMs, ticket: Ticket) -> bool {
        let Some(request) = self.requests.get(&ticket) else { return false };
        let room = self.classes[request.class.get() as usize].has_room(self.sharers);
        let useful = now.after(request.cost.mean_ms as u64) <= request.deadline;
        room && useful && request.attempts < ATTEMPTS_MAX && self.retry_budget.take()
    }

    fn cancel(&mut self, ticket: Ticket, reason: CancelReason, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Phase::Running { cancelled, .. } = &mut request.phase
            && cancelled.is_none()
        {
            *cancelled = Some(reason);
            out.push(Decision::Cancel { ticket });
        }
    }

    fn rewake_at_deadline(&mut self, ticket: Ticket) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let deadline = request.deadline;
        self.wake_request(ticket, &mut request, deadline);
        self.requests.insert(ticket, request);
    }
}
