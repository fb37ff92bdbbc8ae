use celeryhaven_queue::QueueEntry;
use celeryhaven_types::TimeMs;

use crate::fair::overload::is_late;
use crate::fair::policy::Timer;
use crate::fair::request::{Phase, Pick, RequestState};
use crate::fair::{ClassKey, FairPolicy};
use crate::interface::{Decision, TargetKey, Ticket};
use crate::targets::{AttemptEstimate, HealthState};

/// Least uncached prompt tokens of the first request for which another is preferred.
///
/// For a prefix that saves only a step or two of prefill, a different order gains little.
const REORDER_UNCACHED_TOKENS_MIN: f64 = 2_048.0;

/// Least slack of the first request for which another is preferred, in milliseconds.
const REORDER_SLACK_MIN_MS: u64 = 1_000;

impl FairPolicy {
    /// Sends queued requests while a target may receive them.
    pub(crate) fn dispatch_queued(
        &mut self,
        now: TimeMs,
        class_key: ClassKey,
        out: &mut Vec<Decision>,
    ) {
        let (look_ahead, senders) = (self.settings.look_ahead, self.senders);
        self.refresh_unavailable(now, class_key);
        self.class(class_key).update_window(now, senders);
        while self.class(class_key).has_free_slot(senders) {
            let next = self.class(class_key).queue.next_entries(look_ahead);
            let Some(&(first, entry)) = next.first() else { return };
            if entry.latest_start < now {
                self.class(class_key).queue.remove(first);
                self.resolve_overdue(now, first, &entry, out);
                continue;
            }
            if is_late(&entry) && !self.class(class_key).has_late_slot(senders) {
                return;
            }
            let Some((ticket, pick)) = self.select_next(now, &next) else { return };
            self.class(class_key).queue.take(ticket);
            self.dispatch(now, ticket, pick, out);
        }
    }

    /// Selects one of the next requests of a flow, and a target for it.
    ///
    /// When all slots are in use, targets become free one at a time, and in strict order each would
    /// receive a request whose prefix it does not cache. A later request that has most of its
    /// prompt cached there is preferred while the first one has slack; the first one keeps its
    /// position.
    fn select_next(
        &mut self,
        now: TimeMs,
        next: &[(Ticket, QueueEntry)],
    ) -> Option<(Ticket, Pick)> {
        let &(first, entry) = next.first()?;
        let request = self.requests.remove(&first)?;
        let pick = self.pick(now, &request);
        let prompt_tokens = f64::from(request.prompt_tokens);
        self.requests.insert(first, request);
        let pick = pick?;
        let slack_ms = entry.latest_start.since(now);
        if pick.uncached_tokens < REORDER_UNCACHED_TOKENS_MIN.max(prompt_tokens / 2.0)
            || slack_ms < REORDER_SLACK_MIN_MS
        {
            return Some((first, pick));
        }
        let other = next[1..].iter().find_map(|&(ticket, _)| {
            let request = self.requests.get(&ticket)?;
            let (_, other) = self.score_ms(now, request, pick.target)?;
            let mostly_cached = other.uncached_tokens * 2.0 < f64::from(request.prompt_tokens);
            (mostly_cached && request.avoid != Some(pick.target)).then_some((ticket, other))
        });
        other.or(Some((first, pick)))
    }

    pub(crate) fn dispatch(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        pick: Pick,
        out: &mut Vec<Decision>,
    ) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        let Pick { target, uncached_tokens, loads_adapter } = pick;
        self.learn_prefix_hit(&request, uncached_tokens);
        let cost_ms = request.cost.mean_ms as u64;
        let estimate = AttemptEstimate { sent_ms: now.get(), cost_ms };
        request.attempts += 1;
        request.phase = Phase::Running {
            target,
            sent_at: now,
            started_at: None,
            uncached_tokens,
            loads_adapter,
            estimate,
            cancelled: None,
        };
        self.expect_cached(now, target, &request);
        self.record_sent(now, ticket, target, estimate);
        self.record_in_window(now, ticket, &request);
        let stuck_at = self.stuck_at(now, &request);
        self.schedule_check(ticket, &mut request, stuck_at);
        out.push(Decision::Dispatch { ticket, target });
        self.requests.insert(ticket, request);
    }

    /// Updates the fraction of an indexed prefix that is cached where a request runs.
    ///
    /// Under full load, costs that assume every indexed prefix to be cached are too low, and too
    /// many requests are admitted.
    fn learn_prefix_hit(&mut self, request: &RequestState, uncached_tokens: f64) {
        let class = &mut self.classes[request.class.get() as usize];
        let prefix_len = class.prefixes.prefix_len(&request.blocks) as f64;
        if self.settings.learn_prefix_hits && prefix_len > 0.0 {
            let cached = 1.0 - uncached_tokens / f64::from(request.prompt_tokens.max(1));
            class.prefix_hits.add(cached * request.blocks.len() as f64 / prefix_len);
        }
    }

    /// Records that the target will cache the prefix and load the adapter of a request.
    ///
    /// Cache events arrive seconds later, and a burst of requests with one prefix would until then
    /// be spread over all targets.
    fn expect_cached(&mut self, now: TimeMs, target: TargetKey, request: &RequestState) {
        let class = &mut self.classes[request.class.get() as usize];
        for &block in &request.blocks {
            class.prefixes.add(target, block);
        }
        if let Some(adapter) = request.adapter
            && let Some(state) = self.targets.get_mut(&target)
            && state.expect_adapter(now, adapter)
        {
            class.adapter_targets.entry(adapter).or_default().push(target);
        }
    }

    fn record_sent(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        target: TargetKey,
        estimate: AttemptEstimate,
    ) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.record_sent(now, ticket, estimate);
        let class = state.class;
        self.class(class).in_flight.add(estimate);
        self.class(class).expected_ends.insert((estimate.end_ms(), ticket));
        self.refresh_availability(now, target);
    }

    /// Records a governed request that is sent for the window; a stream that goes on does not count.
    fn record_in_window(&mut self, now: TimeMs, ticket: Ticket, request: &RequestState) {
        if !request.is_governed || request.has_begun {
            return;
        }
        let Some(window) = &mut self.classes[request.class.get() as usize].window else { return };
        match request.start_allowed_ms {
            _ if request.is_late => window.sent_late(ticket, request.waits_since),
            Some(allowed_ms) => window.sent_timely(now, ticket, allowed_ms),
            None => {}
        }
    }

    /// Records that an attempt at a target has completed.
    pub(crate) fn record_completed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        target: TargetKey,
        estimate: AttemptEstimate,
    ) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.record_completed(now, ticket, estimate);
        let class = state.class;
        let (up, empty) = (state.up, state.in_flight.count == 0);
        self.class(class).expected_ends.remove(&(estimate.end_ms(), ticket));
        if let Some(window) = &mut self.class(class).window {
            window.ended(ticket);
        }
        if up {
            self.class(class).in_flight.remove(estimate);
            self.refresh_availability(now, target);
        } else if empty {
            self.targets.remove(&target);
        }
    }

    /// Checks unavailable targets again if old load reports decay towards the average.
    fn refresh_unavailable(&mut self, now: TimeMs, class_key: ClassKey) {
        let class = self.class(class_key);
        if class.queue.is_empty() || class.average().is_none() {
            return;
        }
        let unavailable = class.targets.iter().filter(|&&target| !class.available.contains(target));
        let unavailable: Vec<TargetKey> = unavailable.copied().collect();
        unavailable.into_iter().for_each(|target| self.refresh_availability(now, target));
    }

    /// Updates whether a target is available and healthy.
    pub(crate) fn refresh_availability(&mut self, now: TimeMs, target: TargetKey) {
        let Some(state) = self.targets.get(&target) else { return };
        let class = &mut self.classes[state.class.get() as usize];
        let available = state.can_accept(now, self.settings.sharing, class.average());
        class.available.set(target, available);
        let is_healthy = state.up && state.health.state == HealthState::Healthy;
        class.healthy.set(target, is_healthy && state.is_paced_to_accept(now));
        if let Some(next_at) = state.pace.and_then(|pace| pace.next_send_at(now)) {
            self.timers.insert((next_at, Timer::Pace(target)));
        }
    }
}
