//! A policy with many targets and many waiting requests, for the cost of one decision.
#![allow(dead_code)]

use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, TargetKey, TargetProfile,
    Ticket,
};
use celeryhaven_types::{
    Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead, RequestId,
    TimeMs,
};

/// Slots of each target.
const SLOTS: u32 = 2;

/// Organisations of the waiting requests.
const ORGANISATIONS: u64 = 10;

/// A deadline that no request misses.
const LONG_DEADLINE_MS: u64 = 100_000_000;

/// The policy of one entry node under load.
pub struct LoadedPolicy {
    pub policy: FairPolicy,
    now: TimeMs,
    next_id: u64,
    out: Vec<Decision>,
}

impl LoadedPolicy {
    /// Creates targets whose slots are all in use, with this many waiting requests.
    pub fn full(targets: u32, queued: u64) -> Self {
        let mut loaded = Self::idle(targets);
        for _ in 0..u64::from(targets * SLOTS) + queued {
            loaded.submit(LONG_DEADLINE_MS);
        }
        assert_eq!(loaded.policy.queued() as u64, queued);
        loaded
    }

    /// Creates targets without requests.
    pub fn idle(targets: u32) -> Self {
        let settings = FairSettings::new(5).with_queue_entries_max(20_000);
        let mut loaded = Self {
            policy: FairPolicy::new(settings),
            now: TimeMs::new(1_000),
            next_id: 0,
            out: Vec::new(),
        };
        let serves = class();
        for target in 0..targets {
            let profile = TargetProfile {
                serves: serves.clone(),
                slots: SLOTS,
                distance_us: 500,
                identity: 0,
            };
            loaded.send_event(PolicyEvent::TargetUp { target: TargetKey::new(target), profile });
        }
        loaded
    }

    /// Sends a request to the policy and returns the decisions.
    pub fn submit(&mut self, deadline_in_ms: u64) -> (Ticket, Vec<Decision>) {
        self.next_id += 1;
        let ticket = Ticket::new(self.next_id);
        let head = head(self.next_id, deadline_in_ms + self.next_id * 617 % 1_000 * 10);
        (ticket, self.send_event(PolicyEvent::Arrived { ticket, head: &head }))
    }

    /// Dispatches a request and completes it.
    pub fn pick(&mut self) {
        let (ticket, decisions) = self.submit(LONG_DEADLINE_MS);
        assert!(matches!(decisions.as_slice(), [Decision::Dispatch { .. }]), "{decisions:?}");
        self.send_event(PolicyEvent::Finished { ticket, output_tokens: 100 });
    }

    /// Queues a request and removes it again.
    pub fn admit(&mut self) {
        let (ticket, decisions) = self.submit(LONG_DEADLINE_MS);
        assert!(decisions.is_empty(), "{decisions:?}");
        self.send_event(PolicyEvent::CallerDisconnected { ticket });
    }

    /// Refuses a request on arrival.
    pub fn refuse(&mut self) {
        let (_, decisions) = self.submit(1);
        assert!(matches!(decisions.as_slice(), [Decision::Refuse { .. }]), "{decisions:?}");
    }

    fn send_event(&mut self, event: PolicyEvent<'_>) -> Vec<Decision> {
        self.policy.handle(self.now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }
}

fn class() -> RequestClass {
    RequestClass::Completion { model: ModelName::new("draft"), adapter: None }
}

fn head(number: u64, deadline_in_ms: u64) -> RequestHead {
    RequestHead {
        id: RequestId::new("request"),
        organisation: OrganisationName::new(format!("organisation-{}", number % ORGANISATIONS)),
        class: class(),
        priority: Priority::new(0),
        worth: 1,
        idempotency: Idempotency::Idempotent,
        deadline_in_ms,
        start_within_ms: None,
        attempts_max: None,
        prompt_tokens: 1_000,
        output_tokens_max: 10_000,
        prefix_hashes: (0..8).map(|block| number * 8 + block).collect(),
        choice_key: None,
    }
}
