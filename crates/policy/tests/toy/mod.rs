//! One policy before targets of fixed speed, in virtual time.
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

/// How one request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answered { at_ms: u64 },
    Refused { at_ms: u64, refusal: Refusal },
}

/// One entry node's policy and its targets.
pub struct Toy {
    pub policy: FairPolicy,
    pub now_ms: u64,
    pub ends: BTreeMap<u64, End>,
    pub dispatched: BTreeMap<u64, Vec<u32>>,
    pub max_running: BTreeMap<u32, u32>,
    pub asked: BTreeMap<u64, (u64, RequestHead)>,
    running: BTreeMap<u64, u32>,
    speed: BTreeMap<u32, u64>,
    due: BTreeSet<(u64, u64, bool)>,
}

pub fn class() -> RequestClass {
    RequestClass::Completion { model: ModelName::new("draft"), adapter: None }
}

/// A request that takes `output_tokens` times ten milliseconds at a healthy target.
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
        prompt_tokens: 10,
        output_tokens_max: output_tokens,
        prefix_hashes: Vec::new(),
    }
}

impl Toy {
    pub fn new(targets: u32, slots: u32) -> Self {
        let settings = FairSettings { decode_ms_per_token: 10.0, ..FairSettings::new(3) };
        Self::with_settings(settings, targets, slots)
    }

    pub fn with_settings(settings: FairSettings, targets: u32, slots: u32) -> Self {
        let mut toy = Self {
            policy: FairPolicy::new(settings),
            now_ms: 0,
            ends: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            max_running: BTreeMap::new(),
            asked: BTreeMap::new(),
            running: BTreeMap::new(),
            speed: BTreeMap::new(),
            due: BTreeSet::new(),
        };
        for target in 0..targets {
            toy.up(target, slots);
        }
        toy
    }

    pub fn up(&mut self, target: u32, slots: u32) {
        let profile = TargetProfile { serves: class(), slots, distance_us: 500 };
        self.speed.entry(target).or_insert(1);
        self.tell(PolicyEvent::TargetUp { target: TargetKey::new(target), profile });
    }

    /// Takes a target away without breaking what runs there.
    pub fn down(&mut self, target: u32) {
        self.tell(PolicyEvent::TargetDown { target: TargetKey::new(target) });
    }

    pub fn slow(&mut self, target: u32, times: u64) {
        self.speed.insert(target, times);
    }

    /// Pauses a target for good: what runs there goes no further, and breaks nothing.
    pub fn stall(&mut self, target: u32) {
        self.speed.insert(target, 1_000_000);
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
        self.tell(PolicyEvent::Organisations { organisations: &organisations });
    }

    pub fn ask(&mut self, ticket: u64, head: &RequestHead) {
        self.asked.insert(ticket, (self.now_ms, head.clone()));
        self.tell(PolicyEvent::Arrived { ticket: Ticket::new(ticket), head });
    }

    pub fn broken(&mut self, ticket: u64, verdict: Verdict) {
        self.leave(ticket);
        self.tell(PolicyEvent::Broken { ticket: Ticket::new(ticket), verdict });
    }

    pub fn report(&mut self, target: u32, running: u32) {
        let load = TargetLoad {
            age_ms: 0,
            running,
            waiting: 0,
            prefill_tokens_queued: 0,
            kv_used_permille: 0,
            tokens_generated: 0,
            adapters_loaded: Vec::new(),
        };
        self.tell(PolicyEvent::Reported { target: TargetKey::new(target), load });
    }

    pub fn sharers(&mut self, nodes: u32) {
        self.tell(PolicyEvent::Sharers { nodes });
    }

    /// Runs until nothing is left to happen before this instant.
    pub fn run_until(&mut self, until_ms: u64) {
        loop {
            let wake = self.policy.next_wake().map(TimeMs::get);
            let due = self.due.first().map(|&(at, _, _)| at);
            let next = wake.into_iter().chain(due).min().filter(|&at| at <= until_ms);
            let Some(next) = next else { break };
            self.now_ms = self.now_ms.max(next);
            if due.is_some_and(|at| at <= self.now_ms) {
                let Some((_, ticket, first)) = self.due.pop_first() else { break };
                self.answer(ticket, first);
            } else {
                self.tell(PolicyEvent::Tick);
            }
        }
        self.now_ms = until_ms;
    }

    pub fn target_of(&self, ticket: u64) -> Option<u32> {
        self.running.get(&ticket).copied()
    }

    pub fn answered(&self, organisation: &str) -> usize {
        let name = OrganisationName::new(organisation);
        self.ends
            .iter()
            .filter(|(ticket, end)| {
                matches!(end, End::Answered { .. }) && self.asked[ticket].1.organisation == name
            })
            .count()
    }

    /// Every ticket has ended exactly once, and every answer was in time.
    pub fn assert_all_ended(&self) {
        for (ticket, (asked_ms, head)) in &self.asked {
            match self.ends.get(ticket) {
                Some(End::Answered { at_ms }) => {
                    assert!(at_ms - asked_ms <= head.deadline_in_ms, "ticket {ticket} is late");
                }
                Some(End::Refused { .. }) => {}
                None => panic!("ticket {ticket} has no end"),
            }
        }
        assert_eq!(self.ends.len(), self.asked.len());
        assert_eq!(self.policy.queued(), 0);
    }

    fn answer(&mut self, ticket: u64, first: bool) {
        let ticket_key = Ticket::new(ticket);
        if first {
            self.tell(PolicyEvent::Started { ticket: ticket_key });
        } else {
            let tokens = self.asked[&ticket].1.output_tokens_max;
            self.leave(ticket);
            self.end(ticket, End::Answered { at_ms: self.now_ms });
            self.tell(PolicyEvent::Finished { ticket: ticket_key, output_tokens: tokens });
        }
    }

    fn tell(&mut self, event: PolicyEvent<'_>) {
        let mut out = Vec::new();
        self.policy.handle(TimeMs::new(self.now_ms), event, &mut out);
        for decision in out {
            match decision {
                Decision::Dispatch { ticket, target } => self.begin(ticket.get(), target.get()),
                Decision::Refuse { ticket, refusal } => {
                    assert_eq!(self.running.get(&ticket.get()), None, "refused while it runs");
                    self.end(ticket.get(), End::Refused { at_ms: self.now_ms, refusal });
                }
                Decision::Cancel { ticket } => self.broken(ticket.get(), Verdict::MayHaveRun),
            }
        }
    }

    fn begin(&mut self, ticket: u64, target: u32) {
        assert!(!self.ends.contains_key(&ticket), "dispatched after its end");
        assert_eq!(self.running.insert(ticket, target), None, "dispatched twice");
        self.dispatched.entry(ticket).or_default().push(target);
        let running = self.running.values().filter(|&&at| at == target).count() as u32;
        let most = self.max_running.entry(target).or_default();
        *most = running.max(*most);
        let speed = self.speed[&target];
        let tokens = u64::from(self.asked[&ticket].1.output_tokens_max);
        self.due.insert((self.now_ms + 60 * speed, ticket, true));
        self.due.insert((self.now_ms + (60 + 10 * tokens) * speed, ticket, false));
    }

    fn leave(&mut self, ticket: u64) {
        self.running.remove(&ticket);
        self.due.retain(|&(_, due, _)| due != ticket);
    }

    fn end(&mut self, ticket: u64, end: End) {
        assert_eq!(self.ends.insert(ticket, end), None, "ticket {ticket} ended twice");
    }
}
