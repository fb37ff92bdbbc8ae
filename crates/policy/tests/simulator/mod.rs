//! Simulates one policy and targets of fixed speed in virtual time.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, TargetKey, TargetLoad,
    TargetProfile, Ticket,
};
use celeryhaven_types::{
    Idempotency, ModelName, Organisation, OrganisationName, Priority, Refusal, RequestClass,
    RequestHead, RequestId, TimeMs, Verdict,
};

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Answered { at_ms: u64 },
    Refused { at_ms: u64, refusal: Refusal },
}

/// The policy of one entry node and its targets.
pub struct Simulator {
    pub policy: FairPolicy,
    pub now_ms: u64,
    pub outcomes: BTreeMap<u64, Outcome>,
    pub dispatched: BTreeMap<u64, Vec<u32>>,
    pub max_running: BTreeMap<u32, u32>,
    pub requests: BTreeMap<u64, (u64, RequestHead)>,
    running: BTreeMap<u64, u32>,
    slowdown: BTreeMap<u32, u64>,
    due: BTreeSet<(u64, u64, bool)>,
}

pub fn class() -> RequestClass {
    RequestClass::Completion { model: ModelName::new("draft"), adapter: None }
}

/// Returns a request that takes `output_tokens` times 10 ms at a healthy target.
pub fn head(organisation: &str, output_tokens: u32, deadline_in_ms: u64) -> RequestHead {
    RequestHead {
        id: RequestId::new("request"),
        organisation: OrganisationName::new(organisation),
        class: class(),
        priority: Priority::new(0),
        worth: 1,
        idempotency: Idempotency::Idempotent,
        deadline_in_ms,
        start_within_ms: None,
        attempts_max: None,
        prompt_tokens: 10,
        output_tokens_max: output_tokens,
        prefix_hashes: Vec::new(),
        choice_key: None,
    }
}

impl Simulator {
    pub fn new(targets: u32, slots: u32) -> Self {
        let settings = FairSettings { decode_ms_per_token: 10.0, ..FairSettings::new(3) };
        Self::with_settings(settings, targets, slots)
    }

    pub fn with_settings(settings: FairSettings, targets: u32, slots: u32) -> Self {
        let mut sim = Self {
            policy: FairPolicy::new(settings),
            now_ms: 0,
            outcomes: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            max_running: BTreeMap::new(),
            requests: BTreeMap::new(),
            running: BTreeMap::new(),
            slowdown: BTreeMap::new(),
            due: BTreeSet::new(),
        };
        for target in 0..targets {
            sim.target_up(target, slots);
        }
        sim
    }

    pub fn target_up(&mut self, target: u32, slots: u32) {
        let profile = TargetProfile { serves: class(), slots, distance_us: 500, identity: 0 };
        self.slowdown.entry(target).or_insert(1);
        self.send_event(PolicyEvent::TargetUp { target: TargetKey::new(target), profile });
    }

    /// Removes a target; its running requests continue.
    pub fn target_down(&mut self, target: u32) {
        self.send_event(PolicyEvent::TargetDown { target: TargetKey::new(target) });
    }

    pub fn slow_down(&mut self, target: u32, factor: u64) {
        self.slowdown.insert(target, factor);
    }

    /// Pauses a target: its running requests make no progress and do not fail.
    pub fn pause(&mut self, target: u32) {
        self.slowdown.insert(target, 1_000_000);
        let running = &self.running;
        self.due.retain(|(_, ticket, _)| running.get(ticket) != Some(&target));
    }

    pub fn organisations(&mut self, worths: &[(&str, u32)]) {
        let organisations: Vec<_> = worths
            .iter()
            .map(|&(name, worth)| Organisation {
                name: OrganisationName::new(name),
                worth,
                priority: Priority::new(0),
                api_key_sha256: Vec::new(),
            })
            .collect();
        self.send_event(PolicyEvent::Organisations { organisations: &organisations });
    }

    pub fn submit(&mut self, ticket: u64, head: &RequestHead) {
        self.requests.insert(ticket, (self.now_ms, head.clone()));
        self.send_event(PolicyEvent::Arrived { ticket: Ticket::new(ticket), head });
    }

    pub fn fail_attempt(&mut self, ticket: u64, verdict: Verdict) {
        self.remove_attempt(ticket);
        self.send_event(PolicyEvent::AttemptFailed { ticket: Ticket::new(ticket), verdict });
    }

    /// Completes a running request at once.
    pub fn complete(&mut self, ticket: u64) {
        self.advance_attempt(ticket, false);
    }

    /// Reports that the target of a running request is silent.
    pub fn stall(&mut self, ticket: u64) {
        self.send_event(PolicyEvent::Stalled { ticket: Ticket::new(ticket) });
    }

    pub fn report_load(&mut self, target: u32, running: u32) {
        let load = TargetLoad {
            age_ms: 0,
            running,
            waiting: 0,
            prefill_tokens_queued: 0,
            kv_used_permille: 0,
            tokens_generated: 0,
            adapters_loaded: Vec::new(),
        };
        self.send_event(PolicyEvent::Reported { target: TargetKey::new(target), load });
    }

    pub fn set_senders(&mut self, nodes: u32) {
        self.send_event(PolicyEvent::Senders { nodes });
    }

    /// Advances the time and processes all events up to then.
    pub fn run_until(&mut self, until_ms: u64) {
        loop {
            let wake = self.policy.next_wake().map(TimeMs::get);
            let due = self.due.first().map(|&(at, _, _)| at);
            let next = wake.into_iter().chain(due).min().filter(|&at| at <= until_ms);
            let Some(next) = next else { break };
            self.now_ms = self.now_ms.max(next);
            if due.is_some_and(|at| at <= self.now_ms) {
                let Some((_, ticket, first)) = self.due.pop_first() else { break };
                self.advance_attempt(ticket, first);
            } else {
                self.send_event(PolicyEvent::Tick);
            }
        }
        self.now_ms = until_ms;
    }

    pub fn target_of(&self, ticket: u64) -> Option<u32> {
        self.running.get(&ticket).copied()
    }

    pub fn answered_count(&self, organisation: &str) -> usize {
        let name = OrganisationName::new(organisation);
        self.outcomes
            .iter()
            .filter(|(ticket, outcome)| {
                matches!(outcome, Outcome::Answered { .. })
                    && self.requests[ticket].1.organisation == name
            })
            .count()
    }

    pub fn refused_count(&self, organisation: &str) -> usize {
        let name = OrganisationName::new(organisation);
        let refused = self.outcomes.iter().filter(|(ticket, outcome)| {
            matches!(outcome, Outcome::Refused { .. })
                && self.requests[ticket].1.organisation == name
        });
        refused.count()
    }

    /// Asserts that every ticket has one outcome, and that every answer was in time.
    pub fn assert_all_finished(&self) {
        for (ticket, (submitted_ms, head)) in &self.requests {
            match self.outcomes.get(ticket) {
                Some(Outcome::Answered { at_ms }) => {
                    assert!(at_ms - submitted_ms <= head.deadline_in_ms, "ticket {ticket} is late");
                }
                Some(Outcome::Refused { .. }) => {}
                None => panic!("ticket {ticket} has no outcome"),
            }
        }
        assert_eq!(self.outcomes.len(), self.requests.len());
        assert_eq!(self.policy.queued(), 0);
    }

    fn advance_attempt(&mut self, ticket: u64, first: bool) {
        let ticket_key = Ticket::new(ticket);
        if first {
            self.send_event(PolicyEvent::Started { ticket: ticket_key });
        } else {
            let tokens = self.requests[&ticket].1.output_tokens_max;
            self.remove_attempt(ticket);
            self.finish(ticket, Outcome::Answered { at_ms: self.now_ms });
            self.send_event(PolicyEvent::Finished { ticket: ticket_key, output_tokens: tokens });
        }
    }

    fn send_event(&mut self, event: PolicyEvent<'_>) {
        let mut out = Vec::new();
        self.policy.handle(TimeMs::new(self.now_ms), event, &mut out);
        for decision in out {
            match decision {
                Decision::Dispatch { ticket, target } => self.start(ticket.get(), target.get()),
                Decision::Refuse { ticket, refusal } => {
                    assert_eq!(self.running.get(&ticket.get()), None, "refused while running");
                    self.finish(ticket.get(), Outcome::Refused { at_ms: self.now_ms, refusal });
                }
                Decision::Cancel { ticket } => self.fail_attempt(ticket.get(), Verdict::MayHaveRun),
                Decision::ReportSlow { .. } | Decision::DenyRetry { .. } => {}
            }
        }
    }

    fn start(&mut self, ticket: u64, target: u32) {
        assert!(!self.outcomes.contains_key(&ticket), "dispatched after its outcome");
        assert_eq!(self.running.insert(ticket, target), None, "dispatched twice");
        self.dispatched.entry(ticket).or_default().push(target);
        let running = self.running.values().filter(|&&at| at == target).count() as u32;
        let most = self.max_running.entry(target).or_default();
        *most = running.max(*most);
        let slowdown = self.slowdown[&target];
        let tokens = u64::from(self.requests[&ticket].1.output_tokens_max);
        self.due.insert((self.now_ms + 60 * slowdown, ticket, true));
        self.due.insert((self.now_ms + (60 + 10 * tokens) * slowdown, ticket, false));
    }

    fn remove_attempt(&mut self, ticket: u64) {
        self.running.remove(&ticket);
        self.due.retain(|&(_, due, _)| due != ticket);
    }

    fn finish(&mut self, ticket: u64, outcome: Outcome) {
        assert_eq!(self.outcomes.insert(ticket, outcome), None, "ticket {ticket} has two outcomes");
    }
}
