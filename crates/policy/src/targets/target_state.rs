use std::collections::{BTreeSet, VecDeque};

use celeryhaven_derives::state;
use celeryhaven_types::TimeMs;

use crate::estimate::Mean;
use crate::fair::{AdapterKey, ClassKey, Sharing};
use crate::interface::{TargetLoad, TargetProfile, Ticket};
use crate::targets::{AttemptEstimate, Health, HealthState, InFlight, LoadedAdapter, Pace};

/// Maximum number of sends, and of completions, recorded since the last report. It bounds the
/// memory of a target that stops reporting; the oldest are dropped.
const EVENTS_SINCE_REPORT_MAX: usize = 512;

state! {
    /// The state of a target as seen by this node.
    pub(crate) struct TargetState {
        pub(crate) class: ClassKey,
        pub(crate) slots: u32,
        /// Slots that count towards the capacity of the class; fewer while the target is limited.
        pub(crate) counted_slots: f64,
        /// How often this node may send, while the target is limited or has just been.
        pub(crate) pace: Option<Pace>,
        pub(crate) distance_ms: f64,
        pub(crate) identity: u64,
        pub(crate) up: bool,
        /// Requests of this node at the target.
        pub(crate) in_flight: InFlight,
        /// The tickets of these requests.
        pub(crate) tickets: BTreeSet<Ticket>,
        /// Slots reserved for this node.
        pub(crate) share: u32,
        /// Slots that this node may use until the next report.
        pub(crate) slot_limit: u32,
        pub(crate) health: Health,
        pub(crate) adapters: Vec<LoadedAdapter>,
        pub(crate) prefill_tokens_queued: u64,
        /// When the target counts as silent unless a report is received before.
        pub(crate) silent_at: Option<TimeMs>,
        report_interval_ms: Mean,
        last_report: Option<LoadReport>,
        sends: VecDeque<TimeMs>,
        completions: VecDeque<TimeMs>,
    }
}

state! {
    /// The last load report of a target.
    #[derive(Copy)]
    struct LoadReport {
        total: u32,
        /// When the target made the report.
        measured_at: TimeMs,
        received_at: TimeMs,
    }

    /// Average load of the targets of a class.
    #[derive(Copy)]
    pub(crate) struct ClassAverage {
        /// Fraction of a target's slots in use.
        pub(crate) utilisation: f64,
        /// Time of a request in a slot, in milliseconds.
        pub(crate) request_ms: f64,
    }
}

/// Assumed time between reports until the first two are received.
const INITIAL_REPORT_INTERVAL_MS: f64 = 1_000.0;

/// A target is silent after this many report intervals without a report, and not before the minimum.
///
/// A paused VM whose slots are all in use receives no new requests that could fail there; only the
/// missing reports show it. Of six reports in a row not all are lost on the way; below three
/// seconds, a network that hesitates is enough.
const SILENCE_TIMEOUT_INTERVALS: f64 = 6.0;
const SILENCE_TIMEOUT_MIN_MS: f64 = 3_000.0;

impl TargetState {
    pub(crate) fn new(class: ClassKey, profile: &TargetProfile) -> Self {
        Self {
            class,
            slots: profile.slots,
            counted_slots: f64::from(profile.slots),
            pace: None,
            distance_ms: f64::from(profile.distance_us) / 1_000.0,
            identity: profile.identity,
            up: true,
            in_flight: InFlight::default(),
            tickets: BTreeSet::new(),
            share: 0,
            slot_limit: 0,
            health: Health::new(),
            adapters: Vec::new(),
            prefill_tokens_queued: 0,
            silent_at: None,
            report_interval_ms: Mean::new(INITIAL_REPORT_INTERVAL_MS),
            last_report: None,
            sends: VecDeque::new(),
            completions: VecDeque::new(),
        }
    }

    pub(crate) fn record_sent(&mut self, now: TimeMs, ticket: Ticket, estimate: AttemptEstimate) {
        self.tickets.insert(ticket);
        self.in_flight.add(estimate);
        if let Some(pace) = &mut self.pace {
            pace.record_sent(now);
        }
        push_bounded(&mut self.sends, now);
    }

    pub(crate) fn record_completed(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        estimate: AttemptEstimate,
    ) {
        self.tickets.remove(&ticket);
        self.in_flight.remove(estimate);
        push_bounded(&mut self.completions, now);
    }

    /// Applies a load report, drops own events that it already includes, and returns the reported
    /// total.
    pub(crate) fn apply_report(&mut self, now: TimeMs, load: &TargetLoad) -> u32 {
        let measured_at = now.before(load.age_ms);
        self.sends.retain(|&sent| sent > measured_at);
        self.completions.retain(|&completed| completed > measured_at);
        let total = load.running.saturating_add(load.waiting);
        if let Some(previous) =
            self.last_report.replace(LoadReport { total, received_at: now, measured_at })
        {
            self.report_interval_ms.add(now.since(previous.received_at) as f64);
        }
        self.prefill_tokens_queued = load.prefill_tokens_queued;
        total
    }

    /// Whether the target has the adapter in memory, or will have it before a request needs it.
    pub(crate) fn has_adapter(&self, now: TimeMs, key: AdapterKey, load_ms: f64) -> bool {
        let adapter = self.adapters.iter().find(|adapter| adapter.key == key);
        adapter.is_some_and(|adapter| now.since(adapter.since) as f64 >= load_ms)
    }

    /// Records that a request just sent makes the target load this adapter; returns whether it is
    /// new.
    pub(crate) fn expect_adapter(&mut self, now: TimeMs, key: AdapterKey) -> bool {
        let new = self.adapters.iter().all(|adapter| adapter.key != key);
        if new {
            self.adapters.push(LoadedAdapter { key, since: now });
        }
        new
    }

    /// Applies the adapters of a report; those expected since it was made stay.
    pub(crate) fn apply_adapters(&mut self, now: TimeMs, age_ms: u64, keys: &[AdapterKey]) {
        let measured_at = now.before(age_ms);
        self.adapters.retain(|adapter| adapter.since >= measured_at || keys.contains(&adapter.key));
        for &key in keys {
            self.expect_adapter(TimeMs::new(0), key);
        }
    }

    /// Time without a report after which the target counts as silent.
    pub(crate) fn silence_timeout_ms(&self) -> u64 {
        (self.report_interval_ms.value() * SILENCE_TIMEOUT_INTERVALS).max(SILENCE_TIMEOUT_MIN_MS)
            as u64
    }

    /// Requests that this node sent since the last report was made.
    pub(crate) fn sends_since_report(&self) -> u32 {
        self.sends.len() as u32
    }

    /// Returns the estimated number of requests at the target.
    ///
    /// The last report plus own sends less own completions since. With `average`, an old report
    /// decays towards it within the time of a request: a target last reported as full receives no
    /// requests and therefore sends no further reports, and would count as full until the process
    /// ends.
    pub(crate) fn load(&self, now: TimeMs, average: Option<ClassAverage>) -> f64 {
        let reported = self.last_report.map(|report| {
            let own_change = self.sends.len() as f64 - self.completions.len() as f64;
            (f64::from(report.total) + own_change).max(0.0)
        });
        let load = match average {
            Some(average) => self.blend_with_average(now, reported, average),
            None => reported.unwrap_or(self.sends.len() as f64 - self.completions.len() as f64),
        };
        load.max(f64::from(self.in_flight.count))
    }

    fn blend_with_average(&self, now: TimeMs, load: Option<f64>, average: ClassAverage) -> f64 {
        let average_load = average.utilisation * f64::from(self.slots);
        let (Some(load), Some(report)) = (load, self.last_report) else { return average_load };
        let age = now.since(report.measured_at) as f64 / average.request_ms.max(1.0);
        let weight = (-age).exp();
        load * weight + average_load * (1.0 - weight)
    }

    /// The load as a fraction of the slots.
    pub(crate) fn utilisation(&self, now: TimeMs, average: Option<ClassAverage>) -> f64 {
        self.load(now, average) / f64::from(self.slots.max(1))
    }

    /// Whether the pace of a limited target lets this node send now.
    pub(crate) fn is_paced_to_accept(&self, now: TimeMs) -> bool {
        self.pace.is_none_or(|pace| pace.may_send(now))
    }

    pub(crate) fn can_accept(
        &self,
        now: TimeMs,
        sharing: Sharing,
        average: Option<ClassAverage>,
    ) -> bool {
        if !self.is_paced_to_accept(now) {
            return false;
        }
        let is_full = || self.load(now, average) >= f64::from(self.slots);
        let has_capacity = match sharing {
            Sharing::Shares | Sharing::Owner { .. } => self.in_flight.count < self.share,
            Sharing::Sampling | Sharing::Pooled => !is_full(),
            Sharing::Borrowing => {
                self.in_flight.count < self.share
                    || (self.in_flight.count < self.slot_limit && !is_full())
            }
        };
        match self.health.state {
            HealthState::Healthy => self.up && has_capacity,
            HealthState::Ejected { .. } => false,
            HealthState::Probing => self.up && has_capacity && self.in_flight.count == 0,
        }
    }
}

fn push_bounded(times: &mut VecDeque<TimeMs>, now: TimeMs) {
    if times.len() == EVENTS_SINCE_REPORT_MAX {
        times.pop_front();
    }
    times.push_back(now);
}
