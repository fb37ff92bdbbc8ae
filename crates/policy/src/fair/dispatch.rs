use celeryhaven_queue::Waiting;
use celeryhaven_types::{RefusalCode, TimeMs};

use crate::fair::request::{Phase, Pick, RequestState};
use crate::fair::{ClassKey, FairPolicy};
use crate::interface::{Decision, TargetKey, Ticket};
use crate::targets::{Expected, Standing};

/// Uncached prompt tokens from which another request is looked for.
///
/// Load: full slots and middling prompts. Harm: passing requests over for a prefix worth a step or
/// two of prefill makes the order worse for little. Limit: eight chunks of prefill.
const UNCACHED_MIN: f64 = 2_048.0;

/// Time to spare that a request must have to be passed over, in milliseconds.
const SPARE_MS: u64 = 1_000;

impl FairPolicy {
    /// Sends what waits while a target may take it.
    pub(crate) fn pump(&mut self, now: TimeMs, class_key: ClassKey, out: &mut Vec<Decision>) {
        let (look_ahead, sharers) = (self.settings.look_ahead, self.sharers);
        self.refresh_full(now, class_key);
        while self.class(class_key).has_room(sharers) {
            let few = self.class(class_key).queue.next_few(look_ahead);
            let Some(&(first, waiting)) = few.first() else { return };
            if waiting.latest_start < now {
                self.class(class_key).queue.remove(first);
                let code = RefusalCode::DeadlineUnreachable;
                self.refuse_waiting(now, first, &waiting, code, out);
                continue;
            }
            let Some((ticket, pick)) = self.pair(now, &few) else { return };
            self.class(class_key).queue.take(ticket);
            self.dispatch(now, ticket, pick, out);
        }
    }

    /// Pairs one of the next few requests of a flow with a target.
    ///
    /// Load: full slots, and prompts that are mostly prefix. Harm: one target at a time becomes
    /// free, so the request that is next goes there whether its prefix is held or not, and what
    /// was cached for others is pushed out. Another of the next few that has most of its prompt
    /// there goes first instead. Limit: eight of the same organisation, and only while the one
    /// that is passed over has time to spare; it stays the first.
    fn pair(&mut self, now: TimeMs, few: &[(Ticket, Waiting)]) -> Option<(Ticket, Pick)> {
        let &(first, waiting) = few.first()?;
        let request = self.requests.remove(&first)?;
        let pick = self.pick(now, &request);
        let prompt_tokens = f64::from(request.prompt_tokens);
        self.requests.insert(first, request);
        let pick = pick?;
        let spare_ms = waiting.latest_start.since(now);
        if pick.uncached_tokens < UNCACHED_MIN.max(prompt_tokens / 2.0) || spare_ms < SPARE_MS {
            return Some((first, pick));
        }
        let other = few[1..].iter().find_map(|&(ticket, _)| {
            let request = self.requests.get(&ticket)?;
            let (_, other) = self.score_ms(now, request, pick.target)?;
            let most_held = other.uncached_tokens * 2.0 < f64::from(request.prompt_tokens);
            (most_held && request.avoid != Some(pick.target)).then_some((ticket, other))
        });
        other.or(Some((first, pick)))
    }

    fn dispatch(&mut self, now: TimeMs, ticket: Ticket, pick: Pick, out: &mut Vec<Decision>) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let Pick { target, uncached_tokens, loads_adapter } = pick;
        self.learn_prefix_hit(&request, uncached_tokens);
        let cost_ms = request.cost.mean_ms as u64;
        let expected = Expected { sent_ms: now.get(), cost_ms };
        request.attempts += 1;
        request.phase = Phase::Running {
            target,
            sent_at: now,
            started_at: None,
            uncached_tokens,
            loads_adapter,
            expected,
            cancelled: None,
        };
        self.expect_held(now, target, &request);
        self.count_sent(now, ticket, target, expected);
        let start_by = self.start_by(now, &request);
        self.wake_request(ticket, &mut request, start_by);
        out.push(Decision::Dispatch { ticket, target });
        self.requests.insert(ticket, request);
    }

    /// Learns how often a prefix that is held somewhere is held where a request runs.
    ///
    /// Load: full slots. Harm: a cost that supposes every known prefix to be found admits more than
    /// can be done, and what is admitted runs past its deadline.
    fn learn_prefix_hit(&mut self, request: &RequestState, uncached_tokens: f64) {
        let class = &mut self.classes[request.class.get() as usize];
        let known = class.prefixes.known(&request.blocks) as f64;
        if self.settings.learn_prefix_hits && known > 0.0 {
            let held = 1.0 - uncached_tokens / f64::from(request.prompt_tokens.max(1));
            class.prefix_hits.add(held * request.blocks.len() as f64 / known);
        }
    }

    /// Counts on the target to hold what it is about to compute, before any event says so.
    ///
    /// Load: a wall of requests with one prefix. Harm: cache events come seconds later, and until
    /// then the same prefix would be computed on every target.
    fn expect_held(&mut self, now: TimeMs, target: TargetKey, request: &RequestState) {
        let class = &mut self.classes[request.class.get() as usize];
        for &block in &request.blocks {
            class.prefixes.add(target, block);
        }
        if let Some(adapter) = request.adapter
            && let Some(state) = self.targets.get_mut(&target)
            && state.expect_adapter(now, adapter)
        {
            class.adapter_holders.entry(adapter).or_default().push(target);
        }
    }

    fn count_sent(&mut self, now: TimeMs, ticket: Ticket, target: TargetKey, expected: Expected) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.sent(now, ticket, expected);
        let class = state.class;
        self.class(class).in_flight.begin(expected);
        self.class(class).ends.insert((expected.end_ms(), ticket));
        self.refresh(now, target);
    }

    /// Counts the end of an attempt at a target.
    pub(crate) fn count_ended(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        target: TargetKey,
        expected: Expected,
    ) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.ended(now, ticket, expected);
        let class = state.class;
        let (up, empty) = (state.up, state.in_flight.count == 0);
        self.class(class).ends.remove(&(expected.end_ms(), ticket));
        if up {
            self.class(class).in_flight.end(expected);
            self.refresh(now, target);
        } else if empty {
            self.targets.remove(&target);
        }
    }

    /// Looks anew at targets that took no more when they were looked at last, since reports fade.
    fn refresh_full(&mut self, now: TimeMs, class_key: ClassKey) {
        let class = self.class(class_key);
        if class.queue.is_empty() || class.usual().is_none() {
            return;
        }
        let full = class.members.iter().filter(|&&target| !class.available.contains(target));
        let full: Vec<TargetKey> = full.copied().collect();
        full.into_iter().for_each(|target| self.refresh(now, target));
    }

    /// Brings the list of targets that may take requests up to date for one of them.
    pub(crate) fn refresh(&mut self, now: TimeMs, target: TargetKey) {
        let Some(state) = self.targets.get(&target) else { return };
        let class = &mut self.classes[state.class.get() as usize];
        let available = state.may_take(now, self.settings.sharing, class.usual());
        class.available.set(target, available);
        class.sound.set(target, state.up && state.health.standing == Standing::Healthy);
    }
}
