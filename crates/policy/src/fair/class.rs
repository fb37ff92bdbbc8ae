use std::collections::BTreeSet;

use celeryhaven_queue::{QueueEntry, TieredQueue};
use celeryhaven_types::{Map, TimeMs};

use crate::affinity::PrefixIndex;
use crate::estimate::{Mean, OutputTokenEstimates, RecentMean, ServiceTimes};
use crate::fair::overload::is_late;
use crate::fair::slot_part::SlotPart;
use crate::fair::{AdapterKey, FairSettings};
use crate::interface::{TargetKey, Ticket};
use crate::overload::StartWindow;
use crate::retry::RetrySchedule;
use crate::targets::{ClassAverage, InFlight, TargetSet};

/// The targets that serve one model or one plain service, and the requests queued for them.
#[derive(Clone, Debug)]
pub(crate) struct ClassState {
    pub(crate) queue: TieredQueue<Ticket>,
    /// Targets that are up.
    pub(crate) targets: BTreeSet<TargetKey>,
    /// Targets that can accept a request of this node now.
    pub(crate) available: TargetSet,
    /// Targets that are up and healthy, whether or not they have a free slot.
    pub(crate) healthy: TargetSet,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) adapter_targets: Map<AdapterKey, Vec<TargetKey>>,
    pub(crate) times: ServiceTimes,
    pub(crate) adapter_load_ms: Mean,
    /// Fraction of the indexed prefix of a prompt that was cached at the target it was sent to.
    pub(crate) prefix_hits: Mean,
    /// Actual slot time of completed requests, and the estimates made when they were queued.
    pub(crate) actual_ms: Mean,
    pub(crate) expected_ms: Mean,
    /// Fraction of their slots that targets report as in use.
    pub(crate) reported_utilisation: RecentMean,
    /// Whether estimated waits are corrected by the ratio of actual to estimated slot times.
    wait_feedback: bool,
    pub(crate) output_lengths: OutputTokenEstimates,
    pub(crate) retry_schedule: RetrySchedule,
    /// Slots of the targets that count towards its capacity.
    pub(crate) slots: f64,
    /// This node's part of the slots, in place of an even one.
    pub(crate) slot_part: SlotPart,
    /// Requests of this node at the targets.
    pub(crate) in_flight: InFlight,
    /// Expected completion times of the requests at the targets, in milliseconds.
    pub(crate) expected_ends: BTreeSet<(u64, Ticket)>,
    /// Sum of the latency ratios of the targets.
    pub(crate) ratio_sum: f64,
    /// Requests that are cancelled at their targets in order to be sent to others.
    pub(crate) moving: usize,
    /// Number of targets that are ejected or being probed.
    pub(crate) ejected: usize,
    /// Whether a `Timer::Shed` is pending.
    pub(crate) shed_scheduled: bool,
    /// Whether the requests of this node at all targets together are limited.
    pooled: bool,
    /// Whether the targets serve a plain service rather than a model.
    pub(crate) is_plain: bool,
    /// Bounds the requests in flight; `None` without overload control.
    pub(crate) window: Option<StartWindow>,
}

/// Limit of a node's requests at pooled targets, relative to its even share, while these have
/// capacity.
///
/// Callers are spread unevenly over nodes: at its even share, a node would refuse some while others
/// have room.
const POOLED_SHARE_FACTOR: f64 = 2.0;

/// Mean reported utilisation from which a node is limited to its even share. Without this limit the
/// excess would wait at the targets, where it delays all requests.
const FULL_UTILISATION: f64 = 1.0;

impl ClassState {
    pub(crate) fn new(settings: &FairSettings, is_plain: bool) -> Self {
        Self {
            queue: TieredQueue::new(settings.queue_entries_max),
            targets: BTreeSet::new(),
            available: TargetSet::default(),
            healthy: TargetSet::default(),
            prefixes: PrefixIndex::default(),
            adapter_targets: Map::default(),
            times: ServiceTimes::new(
                settings.base_ms,
                settings.prefill_ms_per_token,
                settings.decode_ms_per_token,
            ),
            adapter_load_ms: Mean::new(settings.adapter_load_ms),
            prefix_hits: Mean::new(1.0),
            actual_ms: Mean::new(1_000.0),
            expected_ms: Mean::new(1_000.0),
            reported_utilisation: RecentMean::new(0.0),
            wait_feedback: settings.wait_feedback,
            output_lengths: OutputTokenEstimates::default(),
            retry_schedule: RetrySchedule::new(),
            slots: 0.0,
            slot_part: SlotPart::default(),
            in_flight: InFlight::default(),
            expected_ends: BTreeSet::new(),
            ratio_sum: 0.0,
            moving: 0,
            ejected: 0,
            shed_scheduled: false,
            pooled: false,
            is_plain,
            window: (settings.overload_control && !is_plain).then(StartWindow::new),
        }
    }

    /// Average load, towards which old load reports decay; `None` if slots are not pooled.
    pub(crate) fn average(&self) -> Option<ClassAverage> {
        let average = ClassAverage {
            utilisation: self.reported_utilisation.value(),
            request_ms: self.actual_ms.value(),
        };
        self.pooled.then_some(average)
    }

    /// Sets whether the requests of this node at all targets together are limited.
    pub(crate) fn set_pooled(&mut self, pooled: bool) {
        self.pooled = pooled;
    }

    /// Share of this node of the slots: by demand if that is known, or an even one.
    fn even_share(&self, senders: u32) -> f64 {
        self.slots / self.equal_senders(senders)
    }

    /// The smaller of a limit of the window and of the part of the slots that this node may use.
    fn bounded_by_part(&self, limit: f64) -> f64 {
        let slots_max = self.slot_part.slots_max(self.slots).filter(|_| self.pooled);
        slots_max.map_or(limit, |slots_max| limit.min(f64::from(slots_max)))
    }

    /// Whether a target may receive a request of this node now.
    pub(crate) fn has_free_slot(&self, senders: u32) -> bool {
        if !self.pooled {
            return !self.available.is_empty();
        }
        if let Some(window) = &self.window {
            let counted = self.in_flight.count.saturating_sub(window.late_unstarted());
            let limit = window.limit(self.even_share(senders), self.slots);
            return self.is_below(self.bounded_by_part(limit), counted);
        }
        let below_limit = self.in_flight.count < self.slots_max(senders);
        below_limit && (!self.available.is_empty() || self.can_probe_load())
    }

    /// Maximum number of requests of this node at pooled targets, without overload control.
    fn slots_max(&self, senders: u32) -> u32 {
        if let Some(slots_max) = self.slot_part.slots_max(self.slots) {
            return slots_max;
        }
        let share = self.even_share(senders);
        let is_full = self.reported_utilisation.value() >= FULL_UTILISATION;
        let limit = if is_full { share } else { share * POOLED_SHARE_FACTOR };
        limit.ceil() as u32
    }

    /// Number of nodes like this one that would use all slots together.
    pub(crate) fn equal_senders(&self, senders: u32) -> f64 {
        let fraction = self.slot_part.fraction().filter(|_| self.pooled);
        fraction.map_or(f64::from(senders.max(1)), |fraction| 1.0 / fraction.max(f64::EPSILON))
    }

    /// Whether a target may receive a late request of this node now.
    ///
    /// Late requests that wait at the engines don't count against the window of the others, as engines
    /// admit those first.
    pub(crate) fn has_late_slot(&self, senders: u32) -> bool {
        match &self.window {
            Some(window) if self.pooled => {
                let share = self.even_share(senders);
                let limit = window.late_limit(share, self.slots);
                self.is_below(self.bounded_by_part(limit), self.in_flight.count)
            }
            _ => self.has_free_slot(senders),
        }
    }

    /// The engines' own queues see the requests of all nodes, so targets that appear full get requests
    /// while the window allows.
    fn is_below(&self, limit: f64, in_flight: u32) -> bool {
        in_flight < limit.ceil() as u32 && !(self.available.is_empty() && self.healthy.is_empty())
    }

    /// Counts overdue first events for the window, and relaxes it if the engines are not full.
    pub(crate) fn update_window(&mut self, now: TimeMs, senders: u32) {
        let (use_of, utilisation) = (self.window_use(senders), self.reported_utilisation.value());
        if let Some(window) = &mut self.window {
            window.count_overdue(now, use_of);
            window.relax(now, utilisation);
        }
    }

    /// Records the first event of a request for the window.
    pub(crate) fn record_started(&mut self, now: TimeMs, ticket: Ticket, senders: u32) {
        let use_of = self.window_use(senders);
        if let Some(window) = &mut self.window {
            window.started(now, ticket, use_of);
        }
    }

    /// Returns the requests of this node that may be in flight; `None` without overload control.
    pub(crate) fn window_limit(&self, senders: u32) -> Option<f64> {
        let share = self.even_share(senders);
        let window = self.window.as_ref()?;
        Some(self.bounded_by_part(window.limit(share, self.slots)))
    }

    /// Returns the requests in flight that count for the window, and the share of the slots.
    fn window_use(&self, senders: u32) -> (f64, f64) {
        let late = self.window.as_ref().map_or(0, StartWindow::late_unstarted);
        let in_flight = self.in_flight.count.saturating_sub(late);
        (f64::from(in_flight), self.even_share(senders))
    }

    /// Whether one request may be sent although no target shows a free slot.
    ///
    /// Load reports come with answers, so a node without requests in flight would not learn that a
    /// target has free slots again.
    fn can_probe_load(&self) -> bool {
        self.in_flight.count == 0 && !self.healthy.is_empty()
    }

    /// Slots that serve the queue of this node: its share, or the slots in use if more.
    pub(crate) fn capacity(&self, senders: u32) -> f64 {
        let healthy_count = self.targets.len().saturating_sub(self.ejected) as f64;
        let healthy_fraction = healthy_count / self.targets.len().max(1) as f64;
        let even = 1.0 / f64::from(senders.max(1));
        let part = self.slot_part.expected_fraction().filter(|_| self.pooled).unwrap_or(even);
        let share = self.slots * healthy_fraction * part;
        share.max(f64::from(self.in_flight.count))
    }

    /// Expected utilisation of the targets for a request that arrives now.
    pub(crate) fn utilisation(&self, senders: u32) -> f64 {
        if !self.queue.is_empty() || !self.has_free_slot(senders) {
            return 1.0;
        }
        f64::from(self.in_flight.count) / self.capacity(senders).max(1.0)
    }

    /// Estimates the wait of a new queue entry, in milliseconds.
    ///
    /// It waits for the entries ahead of it in its own flow, served at the expected share of the
    /// flow.
    pub(crate) fn wait_ms(&mut self, now: TimeMs, entry: &QueueEntry, senders: u32) -> f64 {
        let is_free = match is_late(entry) {
            true => self.has_late_slot(senders),
            false => self.has_free_slot(senders),
        };
        if self.queue.is_empty() && is_free {
            return 0.0;
        }
        let capacity = self.capacity(senders);
        if capacity <= 0.0 {
            return f64::INFINITY;
        }
        let before_ms = self.queue.cost_before_ms(entry.tier) as f64;
        let ahead_ms = self.queue.tier(entry.tier).cost_ahead_ms(entry) as f64;
        let queued_ms = before_ms + ahead_ms / self.expected_share(entry, ahead_ms, capacity);
        self.next_slot_ms(now, queued_ms * self.cost_ratio() / capacity)
    }

    /// Estimates the share of the slots that the flow of this entry receives.
    ///
    /// Weights alone are inaccurate while other flows come and go. The share observed since the
    /// flow became active is therefore averaged with the nominal share, which weighs as much as one
    /// request per slot.
    fn expected_share(&mut self, entry: &QueueEntry, ahead_ms: f64, capacity: f64) -> f64 {
        let prior_ms = capacity * self.in_flight.mean_cost_ms().max(1.0);
        let queue = self.queue.tier(entry.tier);
        let all_queued_ms = queue.cost_ms().max(1) as f64;
        let nominal_share = queue.share(entry.flow).max(ahead_ms / all_queued_ms);
        let (own_ms, all_ms) = queue.served_ms(entry.flow);
        (own_ms as f64 + nominal_share * prior_ms) / (all_ms as f64 + prior_ms)
    }

    /// Ratio of actual to estimated slot time; at least one.
    ///
    /// Estimates are made when a request is queued and are too low when the targets fill up
    /// afterwards.
    fn cost_ratio(&self) -> f64 {
        if !self.wait_feedback {
            return 1.0;
        }
        (self.actual_ms.value() / self.expected_ms.value().max(1.0)).max(1.0)
    }

    /// Estimates the time until a slot is free after queued work of `work_ms` per slot.
    ///
    /// Slots taken at different times become free continuously, those taken in a burst all at once.
    /// The result interpolates between both, by the distance between the earliest and the mean
    /// remaining time.
    fn next_slot_ms(&self, now: TimeMs, work_ms: f64) -> f64 {
        let first_ms =
            self.expected_ends.first().map_or(0, |&(end_ms, _)| end_ms.saturating_sub(now.get()));
        let first_ms = first_ms as f64;
        let step_ms = self.in_flight.mean_cost_ms().max(1.0);
        let mean_ms = self.in_flight.remaining_ms(now) / f64::from(self.in_flight.count.max(1));
        let staggered = ((mean_ms - first_ms) * 2.0 / step_ms).clamp(0.0, 1.0);
        let stepped_ms = (work_ms / step_ms).floor() * step_ms;
        first_ms + staggered * work_ms + (1.0 - staggered) * stepped_ms
    }

    /// Estimates the time until the queue of this entry's flow is empty.
    pub(crate) fn drain_ms(&mut self, now: TimeMs, entry: &QueueEntry, senders: u32) -> f64 {
        let queue = self.queue.tier(entry.tier);
        let own_ms = queue.flow_cost_ms(entry.flow) as f64 / queue.share(entry.flow);
        (self.in_flight.remaining_ms(now) + own_ms.min(queue.cost_ms() as f64))
            / self.capacity(senders).max(1.0)
    }

    /// Mean latency ratio of the other targets.
    pub(crate) fn peers_ratio(&self, own_ratio: f64) -> f64 {
        match self.targets.len() {
            0 | 1 => own_ratio,
            count => (self.ratio_sum - own_ratio) / (count - 1) as f64,
        }
    }
}
