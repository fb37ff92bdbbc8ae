use std::collections::BTreeSet;

use celeryhaven_queue::{FairQueue, Waiting};
use celeryhaven_types::{Map, TimeMs};

use crate::affinity::PrefixIndex;
use crate::estimate::{Mean, OutputTokens, Recent, ServiceTimes};
use crate::fair::{AdapterKey, FairSettings};
use crate::interface::{TargetKey, Ticket};
use crate::retry::ReturnTimes;
use crate::targets::{Available, InFlight, Usual};

/// Targets that serve one model or one plain service, and what waits for them.
#[derive(Clone, Debug)]
pub(crate) struct ClassState {
    pub(crate) queue: FairQueue<Ticket>,
    /// Targets that are up.
    pub(crate) members: BTreeSet<TargetKey>,
    pub(crate) available: Available,
    /// Targets that are up and take more than probes, full or not.
    pub(crate) sound: Available,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) adapter_holders: Map<AdapterKey, Vec<TargetKey>>,
    pub(crate) times: ServiceTimes,
    pub(crate) adapter_load_ms: Mean,
    /// Part of the prompts known to be held somewhere that was held where they ran.
    pub(crate) prefix_hits: Mean,
    /// Time in a slot of late, and what was expected of it when it was queued.
    pub(crate) took_ms: Mean,
    pub(crate) expected_ms: Mean,
    /// Part of its slots that a member reports to be taken.
    pub(crate) reported_fill: Recent,
    wait_feedback: bool,
    pub(crate) outputs: OutputTokens,
    pub(crate) return_times: ReturnTimes,
    /// Sum of the members' slots.
    pub(crate) slots: u32,
    /// Requests of this node at members.
    pub(crate) in_flight: InFlight,
    /// When requests of this node at targets are expected to end, in milliseconds.
    pub(crate) ends: BTreeSet<(u64, Ticket)>,
    /// Sum of the members' ratios of taken to expected time.
    pub(crate) ratio_sum: f64,
    /// Members that take nothing or only probes.
    pub(crate) ejected: usize,
    /// Whether a pass over the queue is due.
    pub(crate) shed_due: bool,
    /// Whether this node's requests at all members together are bounded.
    pooled: bool,
}

/// Times its even part that a node may have of pooled slots, while targets have room on the mean.
///
/// Load: callers spread unevenly over nodes. Harm: held near its part, a node makes callers wait or
/// refuses them while others have room. Limit: twice; a target takes no more than shows room in its
/// last report in any case.
const POOLED_PART: f64 = 2.0;

/// Mean part of their slots that targets report to be taken, from which a node keeps to its even part.
///
/// Load: more work than a model's replicas can do. Harm: let in at twice its part by every node, it
/// waits at the replicas instead, where each request delays all others: everyone is let in and
/// everyone is late, for as long as the load lasts and longer. Limit: full; below it a slot is free
/// on the mean.
const FULL: f64 = 1.0;

impl ClassState {
    pub(crate) fn new(settings: &FairSettings) -> Self {
        Self {
            queue: FairQueue::new(settings.queue_entries_max),
            members: BTreeSet::new(),
            available: Available::default(),
            sound: Available::default(),
            prefixes: PrefixIndex::default(),
            adapter_holders: Map::default(),
            times: ServiceTimes::new(
                settings.base_ms,
                settings.prefill_ms_per_token,
                settings.decode_ms_per_token,
            ),
            adapter_load_ms: Mean::new(settings.adapter_load_ms),
            prefix_hits: Mean::new(1.0),
            took_ms: Mean::new(1_000.0),
            expected_ms: Mean::new(1_000.0),
            reported_fill: Recent::new(0.0),
            wait_feedback: settings.wait_feedback,
            outputs: OutputTokens::default(),
            return_times: ReturnTimes::new(),
            slots: 0,
            in_flight: InFlight::default(),
            ends: BTreeSet::new(),
            ratio_sum: 0.0,
            ejected: 0,
            shed_due: false,
            pooled: false,
        }
    }

    /// What is usual among the members, for those heard of long ago; `None` where each is heard of
    /// often.
    pub(crate) fn usual(&self) -> Option<Usual> {
        let usual = Usual { fill: self.reported_fill.value(), request_ms: self.took_ms.value() };
        self.pooled.then_some(usual)
    }

    /// Bounds this node's requests at all members together, or not.
    pub(crate) fn set_pooled(&mut self, pooled: bool) {
        self.pooled = pooled;
    }

    /// Whether a member may take a request of this node now.
    pub(crate) fn has_room(&self, sharers: u32) -> bool {
        if !self.pooled {
            return !self.available.is_empty();
        }
        let part = f64::from(self.slots) / f64::from(sharers.max(1));
        let is_full = self.reported_fill.value() >= FULL;
        let most = if is_full { part } else { part * POOLED_PART };
        let within = self.in_flight.count < most.ceil() as u32;
        within && (!self.available.is_empty() || self.may_ask())
    }

    /// Whether a request may go to a member although none shows room.
    ///
    /// Guards against a node that refuses for ever: loads are told with answers, so one that sends
    /// nothing hears nothing, and all members stay as full as they were when it heard last. One
    /// request at a time tells.
    fn may_ask(&self) -> bool {
        self.in_flight.count == 0 && !self.sound.is_empty()
    }

    /// Slots that drain this node's queue: its even part, or what it has borrowed if more.
    pub(crate) fn capacity(&self, sharers: u32) -> f64 {
        let healthy = self.members.len().saturating_sub(self.ejected) as f64;
        let part = healthy / self.members.len().max(1) as f64;
        let even = f64::from(self.slots) * part / f64::from(sharers.max(1));
        even.max(f64::from(self.in_flight.count))
    }

    /// How full targets are for a request that arrives now.
    pub(crate) fn fill(&self, sharers: u32) -> f64 {
        if !self.queue.is_empty() || !self.has_room(sharers) {
            return 1.0;
        }
        f64::from(self.in_flight.count) / self.capacity(sharers).max(1.0)
    }

    /// Expected wait of such an entry, in milliseconds, if it joined the queue now.
    ///
    /// It waits for what its own organisation has ahead, served at the part that it gets.
    pub(crate) fn wait_ms(&mut self, now: TimeMs, waiting: &Waiting, sharers: u32) -> f64 {
        let capacity = self.capacity(sharers);
        if capacity <= 0.0 {
            return f64::INFINITY;
        }
        if self.queue.is_empty() && self.has_room(sharers) {
            return 0.0;
        }
        let ahead_ms = self.queue.cost_ahead_ms(waiting) as f64;
        let queued_ms = ahead_ms / self.expected_share(waiting, ahead_ms, capacity);
        self.start_after_ms(now, queued_ms * self.cost_ratio() / capacity)
    }

    /// Part of the slots that this entry's organisation will get.
    ///
    /// Load: one organisation's queue is long while others come and go with short ones. Harm: by
    /// weight alone it is promised too little while they are away and too much when they come
    /// back, and then many of its callers hear late. Its part since it began to wait is therefore
    /// weighed against that promise, which counts as one filling of all slots.
    fn expected_share(&self, waiting: &Waiting, ahead_ms: f64, capacity: f64) -> f64 {
        let all_queued_ms = self.queue.cost_ms().max(1) as f64;
        let promised = self.queue.share(waiting.flow).max(ahead_ms / all_queued_ms);
        let (own_ms, all_ms) = self.queue.taken_ms(waiting.flow);
        let promise_ms = capacity * self.in_flight.mean_cost_ms().max(1.0);
        (own_ms as f64 + promised * promise_ms) / (all_ms as f64 + promise_ms)
    }

    /// How much longer requests take than was expected when they were queued; at least one.
    ///
    /// Load: a wall fills the targets while its requests wait. Harm: costs are those of the moment of
    /// queueing, and a queue that drains slower than that gives its callers up one by one, late.
    fn cost_ratio(&self) -> f64 {
        if !self.wait_feedback {
            return 1.0;
        }
        (self.took_ms.value() / self.expected_ms.value().max(1.0)).max(1.0)
    }

    /// Time until a slot is free for what has this much work of the queue ahead of it.
    ///
    /// Load: full slots, either long in use or all taken at once by a wall. Slots in use for long
    /// end one after another and drain as a fluid does; those taken together end together, in
    /// steps. Harm of counting only as a fluid: what runs would make a lookup wait for half a
    /// draft on paper, though some slot is free within milliseconds, and it would be refused for
    /// nothing. Harm of counting only in steps: the reverse in steady load. How far the earliest
    /// end is from the mean one tells how much is of each.
    fn start_after_ms(&self, now: TimeMs, fluid_ms: f64) -> f64 {
        let first_ms = self.ends.first().map_or(0, |&(end_ms, _)| end_ms.saturating_sub(now.get()));
        let first_ms = first_ms as f64;
        let step_ms = self.in_flight.mean_cost_ms().max(1.0);
        let mean_ms = self.in_flight.remaining_ms(now) / f64::from(self.in_flight.count.max(1));
        let staggered = ((mean_ms - first_ms) * 2.0 / step_ms).clamp(0.0, 1.0);
        let stepped_ms = (fluid_ms / step_ms).floor() * step_ms;
        first_ms + staggered * fluid_ms + (1.0 - staggered) * stepped_ms
    }

    /// Time until all that is queued of this entry's organisation has left the queue.
    pub(crate) fn drain_ms(&self, now: TimeMs, waiting: &Waiting, sharers: u32) -> f64 {
        let own_ms = self.queue.flow_cost_ms(waiting.flow) as f64 / self.queue.share(waiting.flow);
        (self.in_flight.remaining_ms(now) + own_ms.min(self.queue.cost_ms() as f64))
            / self.capacity(sharers).max(1.0)
    }

    /// Mean ratio of the members but for one.
    pub(crate) fn peers_ratio(&self, own_ratio: f64) -> f64 {
        match self.members.len() {
            0 | 1 => own_ratio,
            count => (self.ratio_sum - own_ratio) / (count - 1) as f64,
        }
    }
}
