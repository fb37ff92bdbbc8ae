use std::collections::{BTreeSet, VecDeque};

use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::estimate::Mean;
use crate::fair::{AdapterKey, ClassKey, Sharing};
use crate::interface::{TargetLoad, TargetProfile, Ticket};
use crate::targets::{Expected, Health, HeldAdapter, InFlight, Standing};

/// Sends and ends remembered since the last report.
///
/// Load: a target whose reports stopped. Harm: memory that grows with every request. Limit: more
/// than a few times the slots of any engine; beyond it the oldest are forgotten.
const SINCE_REPORT_MAX: usize = 512;

state! {
    /// One target as this node sees it.
    pub(crate) struct TargetState {
        pub(crate) class: ClassKey,
        pub(crate) slots: u32,
        pub(crate) distance_ms: f64,
        pub(crate) up: bool,
        /// Requests of this node at the target.
        pub(crate) in_flight: InFlight,
        /// Which those are.
        pub(crate) tickets: BTreeSet<Ticket>,
        /// Slots that this node may use whatever the others do.
        pub(crate) share: u32,
        /// Slots that this node may use until the next report.
        pub(crate) cap: u32,
        pub(crate) health: Health,
        pub(crate) adapters: Vec<HeldAdapter>,
        pub(crate) prefill_tokens_queued: u64,
        /// When its silence is looked at.
        pub(crate) silent_at: Option<TimeMs>,
        report_interval_ms: Mean,
        reported: Option<Reported>,
        sends: VecDeque<TimeMs>,
        ends: VecDeque<TimeMs>,
    }
}

state! {
    /// The last report of a target's load.
    #[derive(Copy)]
    struct Reported {
        total: u32,
        /// When it was made.
        at: TimeMs,
        heard_at: TimeMs,
    }

    /// What is usual among the targets of a class.
    #[derive(Copy)]
    pub(crate) struct Usual {
        /// Part of a target's slots that is taken.
        pub(crate) fill: f64,
        /// Time of a request in a slot, in milliseconds.
        pub(crate) request_ms: f64,
    }
}

/// Time between reports supposed before any was seen, in milliseconds.
const REPORT_INTERVAL_MS: f64 = 1_000.0;

/// Usual times between reports after which a target counts as silent, and the least such time.
///
/// Load: a paused VM all of whose slots are taken by streams. Harm: nothing more is sent there
/// that could show the pause, and the streams stall until their deadlines. Limit: of six reports
/// in a row not all are lost on the way; below three seconds a network that hesitates is enough.
const SILENT_INTERVALS: f64 = 6.0;
const SILENT_MIN_MS: f64 = 3_000.0;

impl TargetState {
    pub(crate) fn new(class: ClassKey, profile: &TargetProfile) -> Self {
        Self {
            class,
            slots: profile.slots,
            distance_ms: f64::from(profile.distance_us) / 1_000.0,
            up: true,
            in_flight: InFlight::default(),
            tickets: BTreeSet::new(),
            share: 0,
            cap: 0,
            health: Health::new(),
            adapters: Vec::new(),
            prefill_tokens_queued: 0,
            silent_at: None,
            report_interval_ms: Mean::new(REPORT_INTERVAL_MS),
            reported: None,
            sends: VecDeque::new(),
            ends: VecDeque::new(),
        }
    }

    pub(crate) fn sent(&mut self, now: TimeMs, ticket: Ticket, expected: Expected) {
        self.tickets.insert(ticket);
        self.in_flight.begin(expected);
        remember(&mut self.sends, now);
    }

    pub(crate) fn ended(&mut self, now: TimeMs, ticket: Ticket, expected: Expected) {
        self.tickets.remove(&ticket);
        self.in_flight.end(expected);
        remember(&mut self.ends, now);
    }

    /// Takes over a report and forgets what it already shows; true total at that instant.
    pub(crate) fn reported(&mut self, now: TimeMs, load: &TargetLoad) -> u32 {
        let at = now.before(load.age_ms);
        self.sends.retain(|&sent| sent > at);
        self.ends.retain(|&ended| ended > at);
        let total = load.running + load.waiting;
        if let Some(before) = self.reported.replace(Reported { total, heard_at: now, at }) {
            self.report_interval_ms.add(now.since(before.heard_at) as f64);
        }
        self.prefill_tokens_queued = load.prefill_tokens_queued;
        total
    }

    /// Whether the target has this adapter in memory, or will before the request reaches it.
    pub(crate) fn has_adapter(&self, now: TimeMs, key: AdapterKey, load_ms: f64) -> bool {
        let held = self.adapters.iter().find(|held| held.key == key);
        held.is_some_and(|held| now.since(held.since) as f64 >= load_ms)
    }

    /// Counts on an adapter that a request just sent makes the target load.
    pub(crate) fn expect_adapter(&mut self, now: TimeMs, key: AdapterKey) -> bool {
        let new = self.adapters.iter().all(|held| held.key != key);
        if new {
            self.adapters.push(HeldAdapter { key, since: now });
        }
        new
    }

    /// Takes over the adapters of a report, and keeps those expected since it was made.
    pub(crate) fn report_adapters(&mut self, now: TimeMs, age_ms: u64, keys: &[AdapterKey]) {
        let at = now.before(age_ms);
        self.adapters.retain(|held| held.since >= at || keys.contains(&held.key));
        for &key in keys {
            self.expect_adapter(TimeMs::new(0), key);
        }
    }

    /// How long its reports may stay away.
    pub(crate) fn silence_ms(&self) -> u64 {
        (self.report_interval_ms.value() * SILENT_INTERVALS).max(SILENT_MIN_MS) as u64
    }

    /// Requests that this node sent since its last report was made.
    pub(crate) fn sends_since_report(&self) -> u32 {
        self.sends.len() as u32
    }

    /// Requests at the target now: the last report plus own sends less own ends since, or what is
    /// usual where that report is old.
    ///
    /// Load: many nodes before many targets, so that a node hears of each every few seconds. Harm: a
    /// target that was full when it was heard of last counts as full until it is heard of again,
    /// which never happens, since nothing is sent there; and one that has just come counts as empty
    /// for every node at once. Limit: a report fades within the time that a request takes, since by
    /// then other requests run there than those it told of. Without `usual` it holds until the next.
    pub(crate) fn load(&self, now: TimeMs, usual: Option<Usual>) -> f64 {
        let told = self.reported.map(|reported| {
            let since = self.sends.len() as f64 - self.ends.len() as f64;
            (f64::from(reported.total) + since).max(0.0)
        });
        let load = match usual {
            Some(usual) => self.faded(now, told, usual),
            None => told.unwrap_or(self.sends.len() as f64 - self.ends.len() as f64),
        };
        load.max(f64::from(self.in_flight.count))
    }

    fn faded(&self, now: TimeMs, told: Option<f64>, usual: Usual) -> f64 {
        let usual_load = usual.fill * f64::from(self.slots);
        let (Some(told), Some(reported)) = (told, self.reported) else { return usual_load };
        let age = now.since(reported.at) as f64 / usual.request_ms.max(1.0);
        let weight = (-age).exp();
        told * weight + usual_load * (1.0 - weight)
    }

    /// Its load as a part of its slots.
    pub(crate) fn fill(&self, now: TimeMs, usual: Option<Usual>) -> f64 {
        self.load(now, usual) / f64::from(self.slots.max(1))
    }

    pub(crate) fn may_take(&self, now: TimeMs, sharing: Sharing, usual: Option<Usual>) -> bool {
        let is_full = || self.load(now, usual) >= f64::from(self.slots);
        let room = match sharing {
            Sharing::Shares | Sharing::Owner { .. } => self.in_flight.count < self.share,
            Sharing::Sampling | Sharing::Pooled => !is_full(),
            Sharing::Borrowing => {
                self.in_flight.count < self.share || (self.in_flight.count < self.cap && !is_full())
            }
        };
        match self.health.standing {
            Standing::Healthy => self.up && room,
            Standing::Ejected { .. } => false,
            Standing::Probing => self.up && room && self.in_flight.count == 0,
        }
    }
}

fn remember(times: &mut VecDeque<TimeMs>, now: TimeMs) {
    if times.len() == SINCE_REPORT_MAX {
        times.pop_front();
    }
    times.push_back(now);
}
