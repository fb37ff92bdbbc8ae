use celeryhaven_types::{TimeMs, Verdict};

use crate::fair::FairPolicy;
use crate::fair::request::{Phase, Pick, RequestState};
use crate::interface::{Decision, RetryDenial, TargetKey, Ticket};

/// Number of random candidates of a second attempt, of which those that may be silent are left out.
const SECOND_CANDIDATES: usize = 8;

impl FairPolicy {
    /// Begins a second attempt of a running request at another target, if there is room and a retry.
    ///
    /// When many targets fall silent at once, no retry is spent on those that are `excluded`: requests
    /// whose targets have ended need them.
    pub(crate) fn start_second_attempt(
        &mut self,
        now: TimeMs,
        (ticket, second): (Ticket, Ticket),
        excluded: &[TargetKey],
        out: &mut Vec<Decision>,
    ) {
        match self.pick_second(now, ticket, excluded) {
            Err(denial) => out.push(Decision::DenyRetry { ticket, denial }),
            Ok(pick) => {
                let Some(first) = self.requests.get_mut(&ticket) else { return };
                first.partner = Some(second);
                let has_started = matches!(first.phase, Phase::Running { started_at: Some(_), .. });
                let (avoid, phase) = (first.target(), Phase::Queued);
                let request = RequestState {
                    avoid,
                    phase,
                    partner: Some(ticket),
                    check_at: None,
                    ..first.clone()
                };
                first.attempts += 1;
                self.requests.insert(second, request);
                self.dispatch(now, second, pick, out);
                if let Some(target) = avoid.filter(|_| !has_started) {
                    self.evaluate_failure(now, target, out);
                }
            }
        }
    }

    /// Ends one of two attempts; the request goes on as the other.
    pub(crate) fn partner_failed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Decision>,
    ) {
        let Some(request) = self.remove_request(ticket) else { return };
        let Phase::Running { target, cancelled, estimate, .. } = request.phase else { return };
        if let Some(other) = request.partner.and_then(|other| self.requests.get_mut(&other)) {
            other.has_begun |= request.has_begun;
            other.record_attempt_end(verdict);
            other.avoid = Some(target);
        }
        self.record_completed(now, ticket, target, estimate);
        if cancelled.is_none() {
            self.evaluate_failure(now, target, out);
        }
        self.dispatch_queued(now, request.class, out);
    }

    /// Picks the target of a second attempt, and charges the retry budget.
    fn pick_second(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        excluded: &[TargetKey],
    ) -> Result<Pick, RetryDenial> {
        let request = self.requests.get(&ticket).ok_or(RetryDenial::TooLate)?;
        let is_running = matches!(request.phase, Phase::Running { cancelled: None, .. });
        if !request.idempotent || !is_running {
            return Err(RetryDenial::MayHaveRun);
        }
        if request.partner.is_some() {
            return Err(RetryDenial::NoAttemptLeft);
        }
        self.check_room(now, ticket)?;
        let (class, avoid) = (request.class, request.target());
        let available = &self.classes[class.get() as usize].available;
        let candidates: Vec<TargetKey> = match request.choice_key {
            Some(key) => self.first_ranked(available, key, avoid).collect(),
            None => {
                let samples = 0..SECOND_CANDIDATES;
                samples.filter_map(|_| available.sample(&mut self.rng, avoid)).collect()
            }
        };
        let request = self.requests.get(&ticket).ok_or(RetryDenial::TooLate)?;
        let is_eligible = |target: &TargetKey| Some(*target) != avoid && !excluded.contains(target);
        let scored = candidates.into_iter().filter(is_eligible);
        let scored = scored.filter_map(|target| self.score_ms(now, request, target));
        let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
        let (_, pick) = best.ok_or(RetryDenial::NoFreeTarget)?;
        match self.retry_budget.try_withdraw() {
            true => Ok(pick),
            false => Err(RetryDenial::NoRetryLeft),
        }
    }
}

impl RequestState {
    /// Records how an attempt of the request has ended.
    ///
    /// A refused attempt has run nowhere. Once the answer has begun it is not counted: the caller can't
    /// come back with what it has.
    pub(crate) fn record_attempt_end(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::NotRun if self.has_begun => self.attempts = self.attempts.saturating_sub(1),
            Verdict::NotRun => {}
            _ => self.may_have_run = true,
        }
    }

    /// Returns the target at which the request runs.
    fn target(&self) -> Option<TargetKey> {
        match self.phase {
            Phase::Running { target, .. } => Some(target),
            Phase::Queued => None,
        }
    }
}
