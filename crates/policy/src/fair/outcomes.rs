use celeryhaven_types::{Refusal, RefusalCode, TimeMs, Verdict};

use crate::fair::FairPolicy;
use crate::fair::request::{CancelReason, Phase, RequestState};
use crate::interface::{Decision, RetryDenial, TargetKey, Ticket};

/// Maximum number of attempts of one request.
pub(crate) const ATTEMPTS_MAX: u32 = 4;

/// Time within which a request whose attempt failed must be sent again. It replaces the time to the
/// first send, which has passed for most streams when a replica fails.
///
/// Callers leave a stream that gives nothing for two seconds.
const RESUME_WINDOW_MS: u64 = 1_500;

/// Added to both sides of a latency ratio, so that short delays do not count as slow.
const RATIO_OFFSET_MS: f64 = 200.0;

impl FairPolicy {
    /// Updates the estimates and the health of the target from a first token.
    pub(crate) fn attempt_started(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Phase::Running { target, sent_at, started_at, uncached_tokens, loads_adapter, .. } =
            &mut request.phase
        else {
            return;
        };
        if started_at.replace(now).is_some() {
            return;
        }
        request.has_begun = !self.settings.cancel_late_rest;
        let (target, uncached_tokens, elapsed_ms) =
            (*target, *uncached_tokens, now.since(*sent_at) as f64);
        let loads_adapter = *loads_adapter;
        let class_key = request.class;
        let senders = self.senders;
        self.class(class_key).record_started(now, ticket, senders);
        self.check_remaining(now, ticket, out);
        let class = &mut self.classes[class_key.get() as usize];
        let utilisation =
            self.targets.get(&target).map_or(1.0, |state| state.utilisation(now, class.average()));
        let expected_ms = class.times.first_token_ms(utilisation, uncached_tokens);
        // Counted as prefill, the loading time would make all prompts seem slow.
        if loads_adapter {
            class.adapter_load_ms.add((elapsed_ms - expected_ms).max(0.0));
            return;
        }
        class.times.learn_first_token(utilisation, uncached_tokens, elapsed_ms);
        let ratio = (elapsed_ms + RATIO_OFFSET_MS) / (expected_ms + RATIO_OFFSET_MS);
        self.evaluate_answer(now, target, ratio, out);
    }

    /// Updates the estimates from a whole answer, and reuses its slot.
    pub(crate) fn request_finished(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        output_tokens: u32,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.remove_request(ticket) else { return };
        if let Phase::Running {
            target,
            sent_at,
            started_at,
            uncached_tokens,
            loads_adapter,
            estimate,
            ..
        } = request.phase
        {
            let class = &mut self.classes[request.class.get() as usize];
            let utilisation = self
                .targets
                .get(&target)
                .map_or(1.0, |state| state.utilisation(now, class.average()));
            let output = f64::from(output_tokens);
            let load_ms = if loads_adapter { class.adapter_load_ms.value() } else { 0.0 };
            let expected_ms =
                load_ms + class.times.service_ms(utilisation, uncached_tokens, output);
            let elapsed_ms = now.since(sent_at) as f64;
            class.output_lengths.learn(request.flow, request.output_tokens_max, output_tokens);
            let decode_ms = now.since(started_at.unwrap_or(now)) as f64;
            class.times.learn_decode(utilisation, output_tokens, decode_ms);
            class.actual_ms.add(elapsed_ms);
            class.expected_ms.add(request.cost.mean_ms);
            let excess_ms = (elapsed_ms - request.cost.mean_ms).max(0.0);
            let tier = self.tier(&request);
            let class = &mut self.classes[request.class.get() as usize];
            class.queue.charge(tier, request.flow, excess_ms as u64);
            self.record_completed(now, ticket, target, estimate);
            let ratio = (elapsed_ms + RATIO_OFFSET_MS) / (expected_ms + RATIO_OFFSET_MS);
            self.evaluate_answer(now, target, ratio, out);
        }
        self.dispatch_queued(now, request.class, out);
    }

    /// Retries a failed attempt if that is safe and can be in time, otherwise refuses the request.
    pub(crate) fn attempt_failed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Phase::Running { target, cancelled, estimate, .. } = request.phase else {
            return;
        };
        if request.partner.is_some() {
            return self.partner_failed(now, ticket, verdict, out);
        }
        if !request.is_governed || request.has_begun {
            request.send_by =
                request.send_by.map(|send_by| send_by.max(now.after(RESUME_WINDOW_MS)));
        }
        // An answer that has begun would be broken off by a refusal, however late it began.
        request.is_late &= !request.has_begun;
        request.waits_since = now;
        let class = request.class;
        let not_run = verdict == Verdict::NotRun;
        request.record_attempt_end(verdict);
        request.avoid = Some(target);
        request.phase = Phase::Queued;
        self.record_completed(now, ticket, target, estimate);
        if cancelled == Some(CancelReason::Stuck) {
            self.class(class).moving -= 1;
        }
        if cancelled.is_none() {
            self.evaluate_failure(now, target, out);
        }
        // The retry of a stuck attempt was paid from the budget when it was cancelled.
        let free = not_run && !self.settings.charge_refused;
        let prepaid = free || cancelled == Some(CancelReason::Stuck);
        match self.check_retry(now, ticket, prepaid) {
            Ok(()) => self.enqueue(now, ticket, out),
            Err(denial) => {
                out.push(Decision::DenyRetry { ticket, denial });
                self.refuse_failed(now, ticket, out);
            }
        }
        self.dispatch_queued(now, class, out);
    }

    /// Removes a request whose caller disconnected; the driver has stopped the attempt.
    pub(crate) fn caller_disconnected(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.remove_request(ticket) else { return };
        if let Phase::Running { target, estimate, .. } = request.phase {
            self.record_completed(now, ticket, target, estimate);
        }
        self.dispatch_queued(now, request.class, out);
    }

    /// Decides whether a failed request is sent again, and charges the retry budget if it is.
    fn check_retry(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        prepaid: bool,
    ) -> Result<(), RetryDenial> {
        let Some(request) = self.requests.get(&ticket) else { return Err(RetryDenial::TooLate) };
        let RequestState { idempotent, attempts, attempts_max, may_have_run, .. } = *request;
        let in_time = now.get() as f64 + self.needed_ms(request) <= request.deadline.get() as f64;
        if !idempotent && may_have_run {
            Err(RetryDenial::MayHaveRun)
        } else if attempts >= attempts_max {
            Err(RetryDenial::NoAttemptLeft)
        } else if !in_time {
            Err(RetryDenial::TooLate)
        } else if !prepaid && !self.retry_budget.try_withdraw() {
            Err(RetryDenial::NoRetryLeft)
        } else {
            Ok(())
        }
    }

    fn refuse_failed(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.may_have_run {
            self.refuse(ticket, Refusal::may_have_run(RefusalCode::AnswerLost), out);
        } else {
            let queue_entry = self.queue_entry(request);
            self.refuse_queued(now, ticket, &queue_entry, RefusalCode::Overloaded, out);
        }
    }

    fn evaluate_answer(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        ratio: f64,
        out: &mut Vec<Decision>,
    ) {
        self.evaluate_health(now, target, |health| health.record_answer(ratio), out);
    }

    pub(crate) fn evaluate_failure(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        out: &mut Vec<Decision>,
    ) {
        self.evaluate_health(now, target, crate::targets::Health::record_failure, out);
    }
}
