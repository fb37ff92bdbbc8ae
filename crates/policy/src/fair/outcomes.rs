use celeryhaven_types::{Refusal, RefusalCode, TimeMs, Verdict};

use crate::fair::FairPolicy;
use crate::fair::request::{CancelReason, Phase, RequestState};
use crate::interface::{Decision, TargetKey, Ticket};

/// Attempts of one request at most.
///
/// Load: targets that refuse all they get. Harm: one request goes round them all and takes a slot
/// at each. Limit: three that refuse in a row are no chance, and the deadline has mostly passed.
pub(crate) const ATTEMPTS_MAX: u32 = 4;

/// Time within which a request that broke at its target must go on elsewhere, in milliseconds.
///
/// Load: a replica that dies with its requests. Harm: counted from arrival, the time to be sent is
/// over for every stream older than that, and none of them would go on. Limit: callers leave a stream
/// that gives nothing for two seconds.
const RESUME_MS: u64 = 1_500;

/// Added to both sides of a ratio of first token delays, so that tiny ones do not look slow.
const RATIO_FLOOR_MS: f64 = 200.0;

impl FairPolicy {
    /// Learns from a first token.
    pub(crate) fn start(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Phase::Running { target, sent_at, started_at, uncached_tokens, loads_adapter, .. } =
            &mut request.phase
        else {
            return;
        };
        if started_at.replace(now).is_some() {
            return;
        }
        let (target, uncached, took_ms) = (*target, *uncached_tokens, now.since(*sent_at) as f64);
        let loads_adapter = *loads_adapter;
        let class_key = request.class;
        self.watch_rest(now, ticket, out);
        let class = &mut self.classes[class_key.get() as usize];
        let fill = self.targets.get(&target).map_or(1.0, |state| state.fill(now, class.usual()));
        let expected_ms = class.times.first_token_ms(fill, uncached);
        // Harm of one mean for both: a load counted as prefill makes every prompt look slow, and
        // then no target looks better for holding the adapter.
        if loads_adapter {
            class.adapter_load_ms.add((took_ms - expected_ms).max(0.0));
            return;
        }
        class.times.learn_first_token(fill, uncached, took_ms);
        let ratio = (took_ms + RATIO_FLOOR_MS) / (expected_ms + RATIO_FLOOR_MS);
        self.judge_answer(now, target, ratio, out);
    }

    /// Learns from a whole answer and gives its slot on.
    pub(crate) fn finish(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        output_tokens: u32,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.forget(ticket) else { return };
        if let Phase::Running {
            target,
            sent_at,
            started_at,
            uncached_tokens,
            loads_adapter,
            expected,
            ..
        } = request.phase
        {
            let class = &mut self.classes[request.class.get() as usize];
            let fill =
                self.targets.get(&target).map_or(1.0, |state| state.fill(now, class.usual()));
            let output = f64::from(output_tokens);
            let load_ms = if loads_adapter { class.adapter_load_ms.value() } else { 0.0 };
            let expected_ms = load_ms + class.times.service_ms(fill, uncached_tokens, output);
            let took_ms = now.since(sent_at) as f64;
            class.outputs.learn(request.flow, request.output_tokens_max, output_tokens);
            let rest_ms = now.since(started_at.unwrap_or(now)) as f64;
            class.times.learn_rest(fill, output_tokens, rest_ms);
            class.took_ms.add(took_ms);
            class.expected_ms.add(request.cost.mean_ms);
            let beyond_ms = (took_ms - request.cost.mean_ms).max(0.0);
            class.queue.charge(request.flow, beyond_ms as u64);
            self.count_ended(now, ticket, target, expected);
            let ratio = (took_ms + RATIO_FLOOR_MS) / (expected_ms + RATIO_FLOOR_MS);
            self.judge_answer(now, target, ratio, out);
        }
        self.pump(now, request.class, out);
    }

    /// Sends a broken attempt elsewhere where that is safe and of use, else refuses at once.
    pub(crate) fn broke(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Phase::Running { target, cancelled, expected, .. } = request.phase else {
            return;
        };
        request.send_by = request.send_by.map(|send_by| send_by.max(now.after(RESUME_MS)));
        let class = request.class;
        let not_run = verdict == Verdict::NotRun;
        request.may_have_run |= !not_run;
        request.avoid = Some(target);
        request.phase = Phase::Queued;
        self.count_ended(now, ticket, target, expected);
        if cancelled.is_none() {
            self.judge_break(now, target, out);
        }
        // A move has taken its retry from the budget when it was decided.
        let free = not_run && !self.settings.charge_refused;
        let paid = free || cancelled == Some(CancelReason::Stuck);
        if self.should_retry(now, ticket, paid) {
            self.enqueue(now, ticket, out);
        } else {
            self.refuse_broken(now, ticket, out);
        }
        self.pump(now, class, out);
    }

    /// Forgets a request whose caller went away; the driver has ended the attempt.
    pub(crate) fn caller_gone(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.forget(ticket) else { return };
        if let Phase::Running { target, expected, .. } = request.phase {
            self.count_ended(now, ticket, target, expected);
        }
        self.pump(now, request.class, out);
    }

    fn should_retry(&mut self, now: TimeMs, ticket: Ticket, paid: bool) -> bool {
        let Some(request) = self.requests.get(&ticket) else { return false };
        let RequestState { idempotent, attempts, may_have_run, .. } = *request;
        let safe = idempotent || !may_have_run;
        let useful = now.get() as f64 + request.cost.mean_ms <= request.deadline.get() as f64;
        // What no target ran has cost no target anything, so only real repeats use the budget.
        safe && useful && attempts < ATTEMPTS_MAX && (paid || self.retry_budget.take())
    }

    fn refuse_broken(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.may_have_run {
            self.refuse(ticket, Refusal::may_have_run(RefusalCode::AnswerLost), out);
        } else {
            let waiting = self.waiting(request);
            self.refuse_waiting(now, ticket, &waiting, RefusalCode::Overloaded, out);
        }
    }

    fn judge_answer(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        ratio: f64,
        out: &mut Vec<Decision>,
    ) {
        self.judge(now, target, |health| health.answered(ratio), out);
    }

    pub(crate) fn judge_break(&mut self, now: TimeMs, target: TargetKey, out: &mut Vec<Decision>) {
        self.judge(now, target, crate::targets::Health::broke, out);
    }
}
