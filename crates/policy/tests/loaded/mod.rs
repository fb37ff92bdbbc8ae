//! A policy with many targets and many requests waiting, for the cost of one decision.
#![allow(dead_code)]

use celeryhaven_policy::{
    Decision, FairPolicy, FairSettings, PolicyEvent, RequestPolicy, TargetKey, TargetProfile,
    Ticket,
};
use celeryhaven_types::{
    Idempotency, ModelName, OrganisationName, Priority, RequestClass, RequestHead, RequestId,
    TimeMs,
};

/// Slots of one target that this node may use.
const SLOTS: u32 = 2;

/// Organisations that the waiting requests belong to.
const ORGANISATIONS: u64 = 10;

/// Far enough ahead that no request here is refused for it.
const LONG_MS: u64 = 100_000_000;

/// One entry node's policy under load.
pub struct Loaded {
    pub policy: FairPolicy,
    now: TimeMs,
    next: u64,
    out: Vec<Decision>,
}

impl Loaded {
    /// So many targets, all slots in use, and so many requests waiting.
    pub fn full(targets: u32, queued: u64) -> Self {
        let mut loaded = Self::idle(targets);
        for _ in 0..u64::from(targets * SLOTS) + queued {
            loaded.arrive(LONG_MS);
        }
        assert_eq!(loaded.policy.queued() as u64, queued);
        loaded
    }

    /// So many targets with nothing to do.
    pub fn idle(targets: u32) -> Self {
        let settings = FairSettings::new(5).with_queue_entries_max(20_000);
        let mut loaded = Self {
            policy: FairPolicy::new(settings),
            now: TimeMs::new(1_000),
            next: 0,
            out: Vec::new(),
        };
        let serves = class();
        for target in 0..targets {
            let profile = TargetProfile { serves: serves.clone(), slots: SLOTS, distance_us: 500 };
            loaded.tell(PolicyEvent::TargetUp { target: TargetKey::new(target), profile });
        }
        loaded
    }

    /// A request arrives; the decisions about it.
    pub fn arrive(&mut self, deadline_in_ms: u64) -> (Ticket, Vec<Decision>) {
        self.next += 1;
        let ticket = Ticket::new(self.next);
        let head = head(self.next, deadline_in_ms + self.next * 617 % 1_000 * 10);
        (ticket, self.tell(PolicyEvent::Arrived { ticket, head: &head }))
    }

    /// Sends one request to a target and takes its answer; the pick is what costs.
    pub fn pick(&mut self) {
        let (ticket, decisions) = self.arrive(LONG_MS);
        assert!(matches!(decisions.as_slice(), [Decision::Dispatch { .. }]), "{decisions:?}");
        self.tell(PolicyEvent::Finished { ticket, output_tokens: 100 });
    }

    /// Admits one request to the queue, and takes it out again.
    pub fn admit(&mut self) {
        let (ticket, decisions) = self.arrive(LONG_MS);
        assert!(decisions.is_empty(), "{decisions:?}");
        self.tell(PolicyEvent::CallerGone { ticket });
    }

    /// Refuses one request on arrival.
    pub fn refuse(&mut self) {
        let (_, decisions) = self.arrive(1);
        assert!(matches!(decisions.as_slice(), [Decision::Refuse { .. }]), "{decisions:?}");
    }

    fn tell(&mut self, event: PolicyEvent<'_>) -> Vec<Decision> {
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
        prompt_tokens: 1_000,
        output_tokens_max: 10_000,
        prefix_hashes: (0..8).map(|block| number * 8 + block).collect(),
    }
}
