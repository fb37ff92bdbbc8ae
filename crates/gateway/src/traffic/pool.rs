use std::collections::BTreeSet;
use std::sync::Arc;

use celeryhaven_fleet::{EngineProfile, ModelProfile};
use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PassProfile, PolicyEvent, RequestPolicy, Sharing,
    TargetKey, TargetLoad, TargetProfile, TargetSubset, Ticket,
};
use celeryhaven_types::{Map, RequestClass, RequestHead, TimeMs, Verdict, VmName};

use crate::adapter::ReportedLoad;
use crate::traffic::{Destination, DestinationName, Senders, TargetLimitMap, TargetNotices};

/// Initial estimate of the time for a plain answer, in milliseconds.
const INITIAL_PLAIN_ANSWER_MS: f64 = 40.0;

/// Assumed fraction of a replica's slots in use, for initial estimates.
const ASSUMED_BATCH_FILL: f64 = 0.5;

/// Assumed fraction of the allowed output that answers hold, until the first answer.
const ASSUMED_OUTPUT_FRACTION: f64 = 0.5;

/// Decay factor applied to earlier answers with each new one.
const OUTPUT_DECAY: f64 = 0.98;

/// Initial estimate of the time to the first token, in decode steps.
const INITIAL_FIRST_TOKEN_STEPS: f64 = 4.0;

/// Maximum number of prompt tokens that an engine prefills in one step.
const PREFILL_STEP_TOKENS: f64 = 2_048.0;

/// Assumed age of a load report that came with an answer, in milliseconds.
const REPORTED_LOAD_AGE_MS: u64 = 1;

/// Slots of the largest target for each sending node, below which all slots are pooled.
///
/// With fewer than two slots each, a node would refuse requests while slots of other nodes are
/// free.
const SLOTS_PER_NODE_MIN: u32 = 2;

/// Destinations that serve the same requests, and the policy that chooses among them.
#[derive(Debug)]
pub(crate) struct Pool {
    serves: RequestClass,
    policy: FairPolicy,
    target_keys: Map<DestinationName, TargetKey>,
    destinations: Map<TargetKey, Destination>,
    next_key: TargetKey,
    /// All eligible destinations, of which this node may use a subset.
    all_destinations: Vec<Destination>,
    subset: TargetSubset,
    /// Limits of targets, and this node's parts of them.
    limits: Arc<TargetLimitMap>,
    /// What targets have told this node about themselves.
    notices: Arc<TargetNotices>,
    /// Targets that are in a pause.
    backing_off: BTreeSet<VmName>,
    senders: u32,
    /// Tokens that one event of a stream holds.
    pub(crate) tokens_per_event: u32,
    /// Times of the passes of its replicas; `None` if they are not known.
    pub(crate) pass_profile: Option<PassProfile>,
    /// Estimated times of a request, used for the offered load.
    request_times: RequestTimes,
    output: OutputFraction,
    /// Load that has arrived since it was last taken, in slot milliseconds.
    offered_slot_ms: f64,
}

/// Service times of a request at any load, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RequestTimes {
    prompt_token_ms: f64,
    event_ms: f64,
}

/// Ratio of produced to allowed output, weighted towards recent answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct OutputFraction {
    events: f64,
    events_allowed: f64,
}

impl RequestTimes {
    fn request_ms(&self, head: &RequestHead, output: OutputFraction) -> f64 {
        f64::from(head.prompt_tokens) * self.prompt_token_ms
            + f64::from(head.output_tokens_max) * output.value() * self.event_ms
    }
}

impl OutputFraction {
    fn record(&mut self, events: u32, allowed: u32) {
        self.events = self.events * OUTPUT_DECAY + f64::from(events);
        self.events_allowed = self.events_allowed * OUTPUT_DECAY + f64::from(allowed);
    }

    fn value(self) -> f64 {
        match self.events_allowed > 0.0 {
            true => self.events / self.events_allowed,
            false => ASSUMED_OUTPUT_FRACTION,
        }
    }
}

/// Retry limits of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimits {
    /// Retries earned by each arrival.
    pub(crate) earned_per_arrival: f64,
    /// Maximum number of saved retries.
    pub(crate) saved_max: f64,
}

impl Pool {
    /// Creates a pool without destinations; the engine profile gives the initial estimates.
    pub(crate) fn new(
        serves: RequestClass,
        seed: u64,
        engine: Option<(&EngineProfile, &ModelProfile)>,
        retries: RetryLimits,
    ) -> Self {
        let tokens_per_event = engine.map_or(1, |(engine, _)| engine.tokens_per_event);
        let settings = FairSettings::new(seed)
            .with_eject_silent(false)
            .with_cancel_late_rest(false)
            .with_cancel_slow(false)
            .with_cost_margin(0.0)
            .with_retries(retries.earned_per_arrival, retries.saved_max, true);
        let mut request_times = RequestTimes::default();
        let settings = match engine {
            None => settings.with_times(INITIAL_PLAIN_ANSWER_MS, 0.0, 0.0),
            Some((engine, model)) => {
                let batch = f64::from(engine.slots) * ASSUMED_BATCH_FILL;
                let token_ms = engine.token_ms(model, batch);
                let prefill_ms = model.time_factor / engine.prefill_tokens_per_ms.max(f64::EPSILON);
                let event_ms = token_ms * f64::from(tokens_per_event);
                request_times = RequestTimes { prompt_token_ms: prefill_ms, event_ms };
                settings.with_times(token_ms * INITIAL_FIRST_TOKEN_STEPS, prefill_ms, event_ms)
            }
        };
        Self {
            serves,
            policy: FairPolicy::new(settings),
            target_keys: Map::default(),
            destinations: Map::default(),
            next_key: TargetKey::default(),
            all_destinations: Vec::new(),
            subset: TargetSubset::new(0, 1),
            limits: Arc::default(),
            notices: Arc::default(),
            backing_off: BTreeSet::new(),
            senders: 1,
            tokens_per_event,
            pass_profile: engine.and_then(pass_profile),
            request_times,
            output: OutputFraction::default(),
            offered_slot_ms: 0.0,
        }
    }

    /// Returns and clears the load that has arrived, in slot milliseconds.
    pub(crate) fn take_offered_slot_ms(&mut self) -> f64 {
        std::mem::take(&mut self.offered_slot_ms)
    }

    /// Returns the destination with this key.
    pub(crate) fn destination(&self, key: TargetKey) -> Option<&Destination> {
        self.destinations.get(&key)
    }

    /// Replaces the eligible destinations.
    pub(crate) fn set_targets(
        &mut self,
        now: TimeMs,
        destinations: &[Destination],
        out: &mut Vec<Decision>,
    ) {
        self.all_destinations = destinations.to_vec();
        self.update_targets(now, out);
    }

    /// Chooses this node's subset, and notifies the policy of added and removed targets.
    fn update_targets(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        let all = std::mem::take(&mut self.all_destinations);
        let sharing = self.sharing(&all);
        let selected: Vec<&Destination> = match sharing {
            Sharing::Pooled => self.choose_subset(&all),
            _ => all.iter().collect(),
        };
        let senders = TargetSubset::senders_per_target(self.senders, selected.len(), all.len());
        self.policy.set_sharing(sharing);
        self.policy.handle(now, PolicyEvent::Senders { nodes: senders }, out);
        let current: Map<&DestinationName, &Destination> =
            selected.iter().map(|destination| (&destination.name, *destination)).collect();
        // A restarted target keeps its name but may have another address.
        let removed = self
            .destinations
            .values()
            .filter(|previous| current.get(&previous.name) != Some(previous));
        let removed: Vec<_> = removed.map(|destination| destination.name.clone()).collect();
        for name in &removed {
            if let Some(key) = self.target_keys.remove(name) {
                self.destinations.remove(&key);
                self.policy.handle(now, PolicyEvent::TargetDown { target: key }, out);
            }
        }
        for destination in selected {
            if !self.target_keys.contains_key(&destination.name) {
                self.add_target(now, destination, out);
            }
        }
        self.all_destinations = all;
        self.apply_limits(now, out);
    }

    /// Chooses the targets that this node sends to: of the limited ones, those that it has a part
    /// of.
    fn choose_subset<'a>(&self, all: &'a [Destination]) -> Vec<&'a Destination> {
        let node_rate_per_s = |destination: &&Destination| {
            self.limits.get(&destination.target).map(|limit| limit.node_rate_per_s)
        };
        let unlimited: Vec<&Destination> = all
            .iter()
            .filter(|destination| node_rate_per_s(destination).is_none())
            .filter(|destination| !self.backing_off.contains(&destination.target))
            .collect();
        let chosen = self.subset.choose(&unlimited, |destination| destination.name.as_str());
        let limited = all.iter().filter(|destination| node_rate_per_s(destination) > Some(0.0));
        let selected: Vec<&Destination> = chosen.into_iter().copied().chain(limited).collect();
        match selected.is_empty() {
            true => all.iter().collect(),
            false => selected,
        }
    }

    /// Sets the pauses of targets, and applies those that have begun or ended.
    pub(crate) fn set_notices(
        &mut self,
        now: TimeMs,
        notices: &Arc<TargetNotices>,
        out: &mut Vec<Decision>,
    ) {
        self.notices = notices.clone();
        let back_offs = &notices.back_offs;
        let is_held = |destination: &&Destination| {
            back_offs.holds(now, &destination.target, destination.started_at_ms)
        };
        let held = self.all_destinations.iter().filter(is_held);
        let held: BTreeSet<VmName> = held.map(|destination| destination.target.clone()).collect();
        let mut targets: Vec<_> = self.destinations.iter().collect();
        targets.sort_unstable_by_key(|(target, _)| **target);
        for (&target, destination) in targets {
            let until = back_offs.until(&destination.target, destination.started_at_ms);
            if let Some(until) = until.filter(|until| now < *until) {
                self.policy.handle(now, PolicyEvent::BackOff { target, until }, out);
            }
        }
        if std::mem::replace(&mut self.backing_off, held) != self.backing_off {
            self.update_targets(now, out);
        }
    }

    /// Sets the limits of targets.
    pub(crate) fn set_limits(
        &mut self,
        now: TimeMs,
        limits: &Arc<TargetLimitMap>,
        out: &mut Vec<Decision>,
    ) {
        self.limits = limits.clone();
        self.update_targets(now, out);
    }

    fn apply_limits(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        let mut targets: Vec<_> = self.destinations.iter().collect();
        targets.sort_unstable_by_key(|(target, _)| **target);
        for (&target, destination) in targets {
            let limit = self.limits.get(&destination.target);
            let rate_per_s = limit.map(|limit| limit.node_rate_per_s);
            self.policy.handle(now, PolicyEvent::Limited { target, rate_per_s }, out);
        }
    }

    fn sharing(&self, all: &[Destination]) -> Sharing {
        let slots = all.iter().map(|destination| destination.slots).max().unwrap_or(0);
        match slots / self.senders < SLOTS_PER_NODE_MIN {
            true => Sharing::Pooled,
            false => Sharing::Borrowing,
        }
    }

    fn add_target(&mut self, now: TimeMs, destination: &Destination, out: &mut Vec<Decision>) {
        let target = self.next_key;
        self.next_key = target.next();
        self.target_keys.insert(destination.name.clone(), target);
        self.destinations.insert(target, destination.clone());
        // A queue would otherwise go to the target at once, whatever its limit.
        if let Some(limit) = self.limits.get(&destination.target) {
            let rate_per_s = Some(limit.node_rate_per_s);
            self.policy.handle(now, PolicyEvent::Limited { target, rate_per_s }, out);
        }
        if let Some(until) =
            self.notices.back_offs.until(&destination.target, destination.started_at_ms)
        {
            self.policy.handle(now, PolicyEvent::BackOff { target, until }, out);
        }
        let profile = TargetProfile {
            serves: self.serves.clone(),
            slots: destination.slots,
            distance_us: 0,
            identity: TargetProfile::identity_of(destination.name.as_str()),
        };
        self.policy.handle(now, PolicyEvent::TargetUp { target, profile }, out);
    }

    /// Sets the sending nodes and the retry limits of this one.
    pub(crate) fn set_senders(
        &mut self,
        now: TimeMs,
        senders: Senders,
        retries: RetryLimits,
        out: &mut Vec<Decision>,
    ) {
        self.senders = senders.nodes.max(1);
        self.subset = TargetSubset::new(senders.rank as usize, senders.nodes as usize);
        self.policy.set_retry_saved_max(retries.saved_max);
        self.update_targets(now, out);
    }

    /// Handles the arrival of a request; `is_counted` tells whether another node counts its load.
    pub(crate) fn arrived(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        head: &RequestHead,
        is_counted: bool,
        out: &mut Vec<Decision>,
    ) {
        if !is_counted {
            self.offered_slot_ms += self.request_times.request_ms(head, self.output);
        }
        self.policy.handle(now, PolicyEvent::Arrived { ticket, head }, out);
    }

    pub(crate) fn started(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        self.policy.handle(now, PolicyEvent::Started { ticket }, out);
    }

    pub(crate) fn completed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        (events, events_allowed): (u32, u32),
        out: &mut Vec<Decision>,
    ) {
        self.output.record(events, events_allowed);
        let event = PolicyEvent::Finished { ticket, output_tokens: events };
        self.policy.handle(now, event, out);
    }

    /// Whether the retry budget, which is charged, allows another attempt.
    pub(crate) fn try_withdraw_retry(&mut self) -> bool {
        self.policy.try_withdraw_retry()
    }

    /// Asks for a second attempt of a running request, not at the `silent` destinations.
    pub(crate) fn start_second(
        &mut self,
        now: TimeMs,
        (ticket, second): (Ticket, Ticket),
        silent: &[DestinationName],
        out: &mut Vec<Decision>,
    ) {
        let excluded = silent.iter().filter_map(|name| self.target_keys.get(name).copied());
        let excluded: Vec<TargetKey> = excluded.collect();
        let event = PolicyEvent::SecondAttempt { ticket, second, excluded: &excluded };
        self.policy.handle(now, event, out);
    }

    /// Keeps new requests off a destination while its streams have paused.
    pub(crate) fn set_quiet(
        &mut self,
        now: TimeMs,
        name: &DestinationName,
        is_quiet: bool,
        out: &mut Vec<Decision>,
    ) {
        if let Some(&target) = self.target_keys.get(name) {
            self.policy.handle(now, PolicyEvent::Quiet { target, is_quiet }, out);
        }
    }

    /// Handles a failed attempt; a further one follows the choice key.
    pub(crate) fn attempt_failed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        (verdict, choice_key): (Verdict, Option<u64>),
        out: &mut Vec<Decision>,
    ) {
        self.policy.handle(now, PolicyEvent::ChoiceKey { ticket, key: choice_key }, out);
        self.policy.handle(now, PolicyEvent::AttemptFailed { ticket, verdict }, out);
    }

    pub(crate) fn abandoned(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        self.policy.handle(now, PolicyEvent::CallerDisconnected { ticket }, out);
    }

    pub(crate) fn load_reported(
        &mut self,
        now: TimeMs,
        name: &DestinationName,
        load: ReportedLoad,
        out: &mut Vec<Decision>,
    ) {
        let Some(&target) = self.target_keys.get(name) else { return };
        let load = TargetLoad {
            age_ms: REPORTED_LOAD_AGE_MS,
            running: load.running,
            waiting: load.waiting,
            prefill_tokens_queued: 0,
            kv_used_permille: 0,
            tokens_generated: 0,
            adapters_loaded: Vec::new(),
        };
        self.policy.handle(now, PolicyEvent::Reported { target, load }, out);
    }

    /// Whether a timer of the policy is due.
    pub(crate) fn is_due(&self, now: TimeMs) -> bool {
        self.policy.next_wake().is_some_and(|at| at <= now)
    }

    pub(crate) fn tick(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        self.policy.handle(now, PolicyEvent::Tick, out);
    }

    /// Returns the number of queued requests.
    pub(crate) fn queued(&self) -> usize {
        self.policy.queued()
    }
}

/// Returns the times of the passes of a model's replicas; `None` if the profile does not hold them.
fn pass_profile((engine, model): (&EngineProfile, &ModelProfile)) -> Option<PassProfile> {
    let pass_ms = |batch| engine.token_ms(model, batch) * f64::from(engine.tokens_per_event);
    let prefill_ms = PREFILL_STEP_TOKENS * model.time_factor / engine.prefill_tokens_per_ms;
    let full_ms = pass_ms(f64::from(engine.slots));
    let is_known = full_ms.is_finite() && full_ms > 0.0 && prefill_ms.is_finite();
    is_known.then_some(PassProfile { full_ms, idle_ms: pass_ms(1.0), prefill_ms })
}
