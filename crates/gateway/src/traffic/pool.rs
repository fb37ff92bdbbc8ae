use celeryhaven_fleet::{EngineProfile, ModelProfile};
use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, Sharing, TargetKey, TargetLoad,
    TargetProfile, TargetSubset, Ticket,
};
use celeryhaven_types::{Map, RequestClass, RequestHead, TimeMs, Verdict};

use crate::adapter::ReportedLoad;
use crate::traffic::{Destination, DestinationName};

/// Time that a plain answer is supposed to take until some were seen, in milliseconds.
const PLAIN_MS: f64 = 40.0;

/// Part of a replica's slots that is supposed to be taken until some answers were seen.
const SUPPOSED_FILL: f64 = 0.5;

/// Part of the allowed output that answers are supposed to hold until some were seen.
const SUPPOSED_OUTPUT: f64 = 0.5;

/// Weight that an answer keeps with each one after it.
const OUTPUT_MEMORY: f64 = 0.98;

/// Decode steps until a first token comes, until some answers were seen.
const FIRST_TOKEN_STEPS: f64 = 4.0;

/// The policy's supposed age of a load that came with an answer, in milliseconds.
const LOAD_AGE_MS: u64 = 1;

/// Slots of a target for each node from which fixed parts are shared out.
///
/// Load: many nodes before targets with few slots. Harm: with less than two slots each, a node
/// refuses while the parts of others stand idle; a fifth of the plain requests of a calm day was
/// refused by 63 nodes before targets of six slots. Below it, each node has a part of all targets'
/// slots together.
const SLOTS_PER_NODE_MIN: u32 = 2;

/// Targets that serve the same requests, and the policy that decides among them.
#[derive(Debug)]
pub(crate) struct Pool {
    serves: RequestClass,
    policy: FairPolicy,
    keys: Map<DestinationName, TargetKey>,
    routables: Map<TargetKey, Destination>,
    next_key: TargetKey,
    /// Everything that takes its requests, of which this node may use a subset.
    routables_all: Vec<Destination>,
    subset: TargetSubset,
    sharers: u32,
    /// Tokens that one event of a stream holds.
    pub(crate) tokens_per_event: u32,
    /// Times of one request, by which offered work is reckoned.
    work: WorkTimes,
    output: OutputPart,
    /// Work that has arrived since it was taken last, in milliseconds of a slot.
    offered_ms: f64,
}

/// What a request of a pool takes, in milliseconds, whatever the load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct WorkTimes {
    prompt_token_ms: f64,
    event_ms: f64,
}

/// What answers hold of the output that their callers allow, the recent ones weighing most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct OutputPart {
    events: f64,
    events_allowed: f64,
}

impl WorkTimes {
    fn request_ms(&self, head: &RequestHead, output: OutputPart) -> f64 {
        f64::from(head.prompt_tokens) * self.prompt_token_ms
            + f64::from(head.output_tokens_max) * output.part() * self.event_ms
    }
}

impl OutputPart {
    fn learn(&mut self, events: u32, allowed: u32) {
        self.events = self.events * OUTPUT_MEMORY + f64::from(events);
        self.events_allowed = self.events_allowed * OUTPUT_MEMORY + f64::from(allowed);
    }

    fn part(self) -> f64 {
        match self.events_allowed > 0.0 {
            true => self.events / self.events_allowed,
            false => SUPPOSED_OUTPUT,
        }
    }
}

/// Limits of a pool's repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimits {
    /// Earned by each arrival.
    pub(crate) earned: f64,
    /// Saved up at most.
    pub(crate) saved_max: f64,
}

impl Pool {
    /// A pool without targets; times are supposed from the engines' profile.
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
            .with_cost_margin(0.0)
            .with_retries(retries.earned, retries.saved_max, true);
        let mut work = WorkTimes::default();
        let settings = match engine {
            None => settings.with_times(PLAIN_MS, 0.0, 0.0),
            Some((engine, model)) => {
                let batch = f64::from(engine.slots) * SUPPOSED_FILL;
                let token_ms = engine.token_ms(model, batch);
                let prefill_ms = model.pace / engine.prefill_tokens_per_ms.max(f64::EPSILON);
                let event_ms = token_ms * f64::from(tokens_per_event);
                work = WorkTimes { prompt_token_ms: prefill_ms, event_ms };
                settings.with_times(token_ms * FIRST_TOKEN_STEPS, prefill_ms, event_ms)
            }
        };
        Self {
            serves,
            policy: FairPolicy::new(settings),
            keys: Map::default(),
            routables: Map::default(),
            next_key: TargetKey::default(),
            routables_all: Vec::new(),
            subset: TargetSubset::new(seed),
            sharers: 1,
            tokens_per_event,
            work,
            output: OutputPart::default(),
            offered_ms: 0.0,
        }
    }

    /// Work that has arrived since the last time, in milliseconds of a slot.
    pub(crate) fn take_offered_ms(&mut self) -> f64 {
        std::mem::take(&mut self.offered_ms)
    }

    /// The routable that a key stands for.
    pub(crate) fn routable(&self, key: TargetKey) -> Option<&Destination> {
        self.routables.get(&key)
    }

    /// Takes requests to these and no others from now on.
    pub(crate) fn set_targets(
        &mut self,
        now: TimeMs,
        routables: &[Destination],
        out: &mut Vec<Decision>,
    ) {
        self.routables_all = routables.to_vec();
        self.use_targets(now, out);
    }

    /// Sends to what this node is to use of all, and tells the policy how many nodes do.
    fn use_targets(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        let all = std::mem::take(&mut self.routables_all);
        let sharing = self.sharing(&all);
        let used: Vec<&Destination> = match sharing {
            Sharing::Pooled => self.subset.choose(&all, |routable| routable.name.as_str()),
            _ => all.iter().collect(),
        };
        let sharers = TargetSubset::sharers(self.sharers, used.len(), all.len());
        self.policy.set_sharing(sharing);
        self.policy.handle(now, PolicyEvent::Sharers { nodes: sharers }, out);
        let up: Map<&DestinationName, &Destination> =
            used.iter().map(|routable| (&routable.name, *routable)).collect();
        // A target that starts again keeps its name and may have another address.
        let gone = self.routables.values().filter(|known| up.get(&known.name) != Some(known));
        let gone: Vec<_> = gone.map(|routable| routable.name.clone()).collect();
        for name in &gone {
            if let Some(key) = self.keys.remove(name) {
                self.routables.remove(&key);
                self.policy.handle(now, PolicyEvent::TargetDown { target: key }, out);
            }
        }
        for routable in used {
            if !self.keys.contains_key(&routable.name) {
                self.target_up(now, routable, out);
            }
        }
        self.routables_all = all;
    }

    fn sharing(&self, all: &[Destination]) -> Sharing {
        let slots = all.iter().map(|routable| routable.slots).max().unwrap_or(0);
        match slots / self.sharers < SLOTS_PER_NODE_MIN {
            true => Sharing::Pooled,
            false => Sharing::Borrowing,
        }
    }

    fn target_up(&mut self, now: TimeMs, routable: &Destination, out: &mut Vec<Decision>) {
        let target = self.next_key;
        self.next_key = target.next();
        self.keys.insert(routable.name.clone(), target);
        self.routables.insert(target, routable.clone());
        let profile =
            TargetProfile { serves: self.serves.clone(), slots: routable.slots, distance_us: 0 };
        self.policy.handle(now, PolicyEvent::TargetUp { target, profile }, out);
    }

    /// Takes over how many nodes send here, and how many repeated sends this one may save up.
    pub(crate) fn set_sharers(
        &mut self,
        now: TimeMs,
        nodes: u32,
        retries: RetryLimits,
        out: &mut Vec<Decision>,
    ) {
        self.sharers = nodes.max(1);
        self.policy.set_retry_saved_max(retries.saved_max);
        self.use_targets(now, out);
    }

    pub(crate) fn arrived(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        head: &RequestHead,
        out: &mut Vec<Decision>,
    ) {
        self.offered_ms += self.work.request_ms(head, self.output);
        self.policy.handle(now, PolicyEvent::Arrived { ticket, head }, out);
    }

    pub(crate) fn started(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        self.policy.handle(now, PolicyEvent::Started { ticket }, out);
    }

    pub(crate) fn finished(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        (events, events_allowed): (u32, u32),
        out: &mut Vec<Decision>,
    ) {
        self.output.learn(events, events_allowed);
        let event = PolicyEvent::Finished { ticket, output_tokens: events };
        self.policy.handle(now, event, out);
    }

    pub(crate) fn broken(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        verdict: Verdict,
        out: &mut Vec<Decision>,
    ) {
        self.policy.handle(now, PolicyEvent::Broken { ticket, verdict }, out);
    }

    pub(crate) fn gone(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<Decision>) {
        self.policy.handle(now, PolicyEvent::CallerGone { ticket }, out);
    }

    pub(crate) fn reported(
        &mut self,
        now: TimeMs,
        name: &DestinationName,
        load: ReportedLoad,
        out: &mut Vec<Decision>,
    ) {
        let Some(&target) = self.keys.get(name) else { return };
        let load = TargetLoad {
            age_ms: LOAD_AGE_MS,
            running: load.running,
            waiting: load.waiting,
            prefill_tokens_queued: 0,
            kv_used_permille: 0,
            tokens_generated: 0,
            adapters_loaded: Vec::new(),
        };
        self.policy.handle(now, PolicyEvent::Reported { target, load }, out);
    }

    /// Whether time alone has something to decide.
    pub(crate) fn is_due(&self, now: TimeMs) -> bool {
        self.policy.next_wake().is_some_and(|at| at <= now)
    }

    pub(crate) fn tick(&mut self, now: TimeMs, out: &mut Vec<Decision>) {
        self.policy.handle(now, PolicyEvent::Tick, out);
    }

    /// Requests that wait.
    pub(crate) fn queued(&self) -> usize {
        self.policy.queued()
    }
}
