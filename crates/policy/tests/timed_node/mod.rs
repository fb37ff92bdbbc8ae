//! One node's policy before targets that answer after a fixed time, in virtual time.
#![allow(dead_code)]

use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, TargetKey, TargetProfile,
    Ticket,
};
use celeryhaven_types::{
    Idempotency, OrganisationName, Priority, Refusal, RequestClass, RequestHead, RequestId,
    ServiceName, TimeMs, Verdict,
};

const REQUEST_MS: u64 = 40;

pub fn class() -> RequestClass {
    RequestClass::Plain { service: ServiceName::new("portal") }
}

/// One node that sends to targets that answer after a fixed time.
pub struct Node {
    pub policy: FairPolicy,
    ends: Vec<(u64, Ticket)>,
    /// Refusals of targets that are on the way: time, request, target and pause.
    refusals: Vec<(u64, Ticket, TargetKey, u64)>,
    /// How long each target refuses requests, and the pause that it asks for with each refusal.
    pub refusing: Vec<(TargetKey, std::ops::Range<u64>, u64)>,
    pub next: Ticket,
    /// Sends: time and target.
    pub sent: Vec<(u64, TargetKey)>,
    /// Refusals: time and refusal.
    pub refused: Vec<(u64, Refusal)>,
    /// Prompt tokens of each request.
    pub prompt_tokens: u32,
    /// A target that takes a little longer than the others.
    pub slower: Option<TargetKey>,
}

/// How much longer the slower target takes.
const SLOWER_MS: u64 = 2;

impl Node {
    pub fn new(targets: u32) -> Self {
        let mut policy = FairPolicy::new(FairSettings::new(3).with_times(40.0, 0.0, 0.0));
        let mut out = Vec::new();
        for target in (0..targets).map(TargetKey::new) {
            let profile = TargetProfile { serves: class(), slots: 6, distance_us: 0, identity: 0 };
            policy.handle(TimeMs::new(0), PolicyEvent::TargetUp { target, profile }, &mut out);
        }
        Self {
            policy,
            ends: Vec::new(),
            refusals: Vec::new(),
            next: Ticket::new(0),
            sent: Vec::new(),
            refused: Vec::new(),
            refusing: Vec::new(),
            prompt_tokens: 0,
            slower: None,
        }
    }

    pub fn limit(&mut self, ms: u64, target: u32, rate_per_s: Option<f64>) {
        let target = TargetKey::new(target);
        self.handle(ms, PolicyEvent::Limited { target, rate_per_s });
    }

    pub fn handle(&mut self, ms: u64, event: PolicyEvent<'_>) {
        let mut out = Vec::new();
        self.policy.handle(TimeMs::new(ms), event, &mut out);
        for decision in out {
            match decision {
                Decision::Dispatch { ticket, target } => {
                    self.sent.push((ms, target));
                    if let Some(pause_ms) = self.pause_ms(ms, target) {
                        self.refusals.push((ms + 1, ticket, target, pause_ms));
                        continue;
                    }
                    let slower_ms = if self.slower == Some(target) { SLOWER_MS } else { 0 };
                    self.ends.push((ms + REQUEST_MS + slower_ms, ticket));
                }
                Decision::Refuse { refusal, .. } => self.refused.push((ms, refusal)),
                Decision::Cancel { .. }
                | Decision::ReportSlow { .. }
                | Decision::DenyRetry { .. } => {}
            }
        }
    }

    /// Lets a request arrive every `interval_ms`.
    pub fn run(&mut self, from_ms: u64, for_ms: u64, interval_ms: u64) {
        for ms in from_ms..from_ms + for_ms {
            let due: Vec<_> = self.ends.extract_if(.., |(end_ms, _)| *end_ms <= ms).collect();
            for (_, ticket) in due {
                self.handle(ms, PolicyEvent::Started { ticket });
                self.handle(ms, PolicyEvent::Finished { ticket, output_tokens: 1 });
            }
            let due: Vec<_> = self.refusals.extract_if(.., |(at_ms, ..)| *at_ms <= ms).collect();
            for (_, ticket, target, pause_ms) in due {
                let until = TimeMs::new(ms + pause_ms);
                self.handle(ms, PolicyEvent::BackOff { target, until });
                self.handle(ms, PolicyEvent::AttemptFailed { ticket, verdict: Verdict::NotRun });
            }
            if self.policy.next_wake().is_some_and(|at| at.get() <= ms) {
                self.handle(ms, PolicyEvent::Tick);
            }
            if ms.is_multiple_of(interval_ms) {
                let ticket = self.next;
                self.next = ticket.next();
                let head = RequestHead { prompt_tokens: self.prompt_tokens, ..head(ticket) };
                self.handle(ms, PolicyEvent::Arrived { ticket, head: &head });
            }
        }
    }

    fn pause_ms(&self, ms: u64, target: TargetKey) -> Option<u64> {
        let mut refusing = self.refusing.iter();
        let found = refusing.find(|(refuses, time, _)| *refuses == target && time.contains(&ms));
        found.map(|(_, _, pause_ms)| *pause_ms)
    }

    pub fn sent_to(&self, target: u32, from_ms: u64) -> usize {
        let target = TargetKey::new(target);
        self.sent.iter().filter(|(ms, to)| *ms >= from_ms && *to == target).count()
    }
}

pub fn head(ticket: Ticket) -> RequestHead {
    RequestHead {
        id: RequestId::new(ticket.to_string()),
        organisation: OrganisationName::new("o"),
        class: class(),
        priority: Priority::new(1),
        worth: 1,
        idempotency: Idempotency::Idempotent,
        deadline_in_ms: 1_500,
        start_within_ms: Some(300),
        attempts_max: None,
        prompt_tokens: 0,
        output_tokens_max: 1,
        prefix_hashes: Vec::new(),
        choice_key: None,
    }
}
