use std::collections::BTreeSet;

use celeryhaven_derives::state;
use celeryhaven_queue::FlowKey;
use celeryhaven_types::{
    AdapterName, Map, Organisation, OrganisationName, Refusal, RequestClass, TimeMs,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fair::class::ClassState;
use crate::fair::request::{CancelReason, Phase, RequestState};
use crate::fair::{AdapterKey, ClassKey, FairSettings, Sharing};
use crate::interface::{Decision, PolicyEvent, RequestPolicy, TargetKey, Ticket};
use crate::retry::RetryBudget;
use crate::targets::TargetState;

state! {
    /// A pending timer.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) enum Timer {
        /// The next check of a running request.
        Request(Ticket),
        /// A target has not reported for too long.
        Silence(TargetKey),
        /// The end of an ejection.
        Ejection(TargetKey),
        /// A limited target may receive its next request.
        Pace(TargetKey),
        /// The next check of the queue of a class.
        Shed(ClassKey),
    }
}

/// Admits by deadline, queues by fair share, and shares targets with the other entry nodes.
///
/// ```
/// use celeryhaven_policy::{FairPolicy, FairSettings, PolicyEvent, RequestPolicy};
/// use celeryhaven_types::TimeMs;
///
/// let mut policy = FairPolicy::new(FairSettings::new(7));
/// let mut decisions = Vec::new();
/// policy.handle(TimeMs::new(0), PolicyEvent::Senders { nodes: 8 }, &mut decisions);
/// assert!(decisions.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct FairPolicy {
    pub(crate) settings: FairSettings,
    pub(crate) rng: SmallRng,
    pub(crate) senders: u32,
    pub(crate) classes: Vec<ClassState>,
    pub(crate) targets: Map<TargetKey, TargetState>,
    pub(crate) requests: Map<Ticket, RequestState>,
    pub(crate) timers: BTreeSet<(TimeMs, Timer)>,
    /// Limits of targets that are not up yet.
    pub(crate) announced_limits: Map<TargetKey, f64>,
    /// Ends of the pauses that targets have asked for that are not up yet.
    pub(crate) announced_back_offs: Map<TargetKey, TimeMs>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) pick_visits: u64,
    class_keys: Map<RequestClass, ClassKey>,
    flow_keys: Map<OrganisationName, FlowKey>,
    adapter_keys: Map<AdapterName, AdapterKey>,
    weights: Vec<u32>,
}

impl FairPolicy {
    /// Creates a policy without targets.
    pub fn new(settings: FairSettings) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            retry_budget: RetryBudget::new(settings.retry_earned, settings.retry_saved_max),
            settings,
            senders: 1,
            classes: Vec::new(),
            targets: Map::default(),
            requests: Map::default(),
            timers: BTreeSet::new(),
            announced_limits: Map::default(),
            announced_back_offs: Map::default(),
            pick_visits: 0,
            class_keys: Map::default(),
            flow_keys: Map::default(),
            adapter_keys: Map::default(),
            weights: Vec::new(),
        }
    }

    /// Returns the number of candidates scored and queue entries visited since the policy was
    /// created.
    pub fn visits(&self) -> u64 {
        self.pick_visits + self.classes.iter().map(|class| class.queue.visits()).sum::<u64>()
    }

    /// Whether the retry budget, which is charged, allows an attempt that the policy does not send.
    pub fn try_withdraw_retry(&mut self) -> bool {
        self.retry_budget.try_withdraw()
    }

    /// Sets the most retries that the budget may save.
    pub fn set_retry_saved_max(&mut self, saved_max: f64) {
        self.retry_budget.set_saved_max(saved_max);
    }

    /// Sets how slots are shared, such as after a change of the number of nodes.
    pub fn set_sharing(&mut self, sharing: Sharing) {
        self.settings.sharing = sharing;
        for class in &mut self.classes {
            class.set_pooled(sharing == Sharing::Pooled);
        }
    }

    /// Returns the number of requests that wait for a target.
    pub fn queued(&self) -> usize {
        self.classes.iter().map(|class| class.queue.len()).sum()
    }

    pub(crate) fn class(&mut self, key: ClassKey) -> &mut ClassState {
        &mut self.classes[key.get() as usize]
    }

    pub(crate) fn find_class(&self, serves: &RequestClass) -> Option<ClassKey> {
        self.class_keys.get(&without_adapter(serves)).copied()
    }

    pub(crate) fn intern_class(&mut self, serves: &RequestClass) -> ClassKey {
        let next = ClassKey::new(self.classes.len() as u32);
        let key = *self.class_keys.entry(without_adapter(serves)).or_insert(next);
        if key == next {
            let is_plain = matches!(serves, RequestClass::Plain { .. });
            let mut class = ClassState::new(&self.settings, is_plain);
            class.set_pooled(self.settings.sharing == Sharing::Pooled);
            for (flow, &weight) in self.weights.iter().enumerate() {
                class.queue.set_weight(FlowKey::new(flow as u32), weight);
            }
            self.classes.push(class);
        }
        key
    }

    pub(crate) fn intern_flow(&mut self, organisation: &OrganisationName) -> FlowKey {
        let next = FlowKey::new(self.weights.len() as u32);
        let key = *self.flow_keys.entry(organisation.clone()).or_insert(next);
        if key == next {
            self.weights.push(1);
        }
        key
    }

    pub(crate) fn intern_adapter(&mut self, adapter: &AdapterName) -> AdapterKey {
        let next = AdapterKey::new(self.adapter_keys.len() as u32);
        *self.adapter_keys.entry(adapter.clone()).or_insert(next)
    }

    /// Removes a request and refuses it.
    pub(crate) fn refuse(&mut self, ticket: Ticket, refusal: Refusal, out: &mut Vec<Decision>) {
        self.remove_request(ticket);
        out.push(Decision::Refuse { ticket, refusal });
    }

    pub(crate) fn remove_request(&mut self, ticket: Ticket) -> Option<RequestState> {
        let request = self.requests.remove(&ticket)?;
        if let Some(check_at) = request.check_at {
            self.timers.remove(&(check_at, Timer::Request(ticket)));
        }
        if let Some(partner) = request.partner.and_then(|partner| self.requests.get_mut(&partner)) {
            partner.partner = None;
        }
        let class = self.class(request.class);
        class.queue.remove(ticket);
        if matches!(request.phase, Phase::Running { cancelled: Some(CancelReason::Stuck), .. }) {
            class.moving -= 1;
        }
        Some(request)
    }

    fn set_organisations(&mut self, organisations: &[Organisation]) {
        for organisation in organisations {
            let flow = self.intern_flow(&organisation.name);
            self.weights[flow.get() as usize] = organisation.worth;
            for class in &mut self.classes {
                class.queue.set_weight(flow, organisation.worth);
            }
        }
    }

    fn tick(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        while let Some(&(at, timer)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Request(ticket) => self.check_running(now, ticket, out),
                Timer::Silence(target) => self.check_silence(now, target, out),
                Timer::Ejection(target) => self.probe(now, target, out),
                Timer::Pace(target) => self.pace_target(now, target, out),
                Timer::Shed(class) => self.shed(now, class, out),
            }
        }
    }
}

impl RequestPolicy for FairPolicy {
    fn handle(&mut self, now: TimeMs, event: PolicyEvent<'_>, out: &mut Vec<Decision>) {
        match event {
            PolicyEvent::Tick => self.tick(now, out),
            PolicyEvent::Arrived { ticket, head } => self.admit(now, ticket, head, out),
            PolicyEvent::Started { ticket } => self.attempt_started(now, ticket, out),
            PolicyEvent::Stalled { ticket } => self.attempt_stalled(now, ticket, out),
            PolicyEvent::SecondAttempt { ticket, second, excluded } => {
                self.start_second_attempt(now, (ticket, second), excluded, out);
            }
            PolicyEvent::Finished { ticket, output_tokens } => {
                self.request_finished(now, ticket, output_tokens, out);
            }
            PolicyEvent::ChoiceKey { ticket, key } => {
                if let Some(request) = self.requests.get_mut(&ticket) {
                    request.choice_key = key;
                }
            }
            PolicyEvent::AttemptFailed { ticket, verdict } => {
                self.attempt_failed(now, ticket, verdict, out);
            }
            PolicyEvent::CallerDisconnected { ticket } => {
                self.caller_disconnected(now, ticket, out);
            }
            PolicyEvent::TargetUp { target, profile } => {
                self.target_up(now, target, &profile, out);
            }
            PolicyEvent::TargetDown { target } => self.target_down(target),
            PolicyEvent::Reported { target, load } => self.apply_report(now, target, &load, out),
            PolicyEvent::Limited { target, rate_per_s } => {
                self.limit_target(now, target, rate_per_s, out);
            }
            PolicyEvent::BackOff { target, until } => self.back_off(now, target, until),
            PolicyEvent::Quiet { target, is_quiet } => {
                self.set_quiet(now, target, is_quiet, out);
            }
            PolicyEvent::CacheChanged { target, added, removed } => {
                self.cache_changed(target, added, removed);
            }
            PolicyEvent::Senders { nodes } => self.set_senders(now, nodes, out),
            PolicyEvent::Organisations { organisations } => self.set_organisations(organisations),
        }
    }

    fn next_wake(&self) -> Option<TimeMs> {
        self.timers.first().map(|&(at, _)| at)
    }
}

fn without_adapter(serves: &RequestClass) -> RequestClass {
    match serves {
        RequestClass::Completion { model, .. } => {
            RequestClass::Completion { model: model.clone(), adapter: None }
        }
        RequestClass::Plain { .. } => serves.clone(),
    }
}
