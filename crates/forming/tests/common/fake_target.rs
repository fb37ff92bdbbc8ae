//! A fake target, and the profile of its engine.

use std::net::{Ipv4Addr, SocketAddr};

use celeryhaven_fleet::{
    EngineProfile, MemberState, Membership, ModelProfile, OrderOutcome, TargetEntry, TargetOrder,
    TargetPhase,
};
use celeryhaven_types::{
    DataCentreName, DomainName, Generation, ModelName, ServiceName, TimeMs, VmName,
};

/// The service of all fake targets.
pub const SERVICE: &str = "models";

/// Duration of a join if the target served the model last.
const REJOIN_MS: u64 = 200;

/// A fake target.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    pub entry: TargetEntry,
    pub alive: bool,
    /// Until when a dead target stays listed.
    pub listed_until: Option<TimeMs>,
    pub ready_at: Option<TimeMs>,
    pub open_at: Option<TimeMs>,
    /// The model being staged and the remaining load time in milliseconds at full speed.
    pub staging: Option<(ModelName, f64)>,
    pub highest_generation: Generation,
    /// Orders received, the oldest first.
    pub orders: Vec<TargetOrder>,
}

pub fn model(name: &str, size: usize) -> ModelProfile {
    ModelProfile {
        name: ModelName::new(name),
        size,
        share: 0.5,
        time_factor: 1.0,
        load_ms: 16_000,
        staged_load_ms: 1_600,
    }
}

pub fn profile() -> EngineProfile {
    EngineProfile {
        slots: 17,
        step_ms: 7.8,
        step_ms_per_request: 0.1,
        prefill_tokens_per_ms: 45.9,
        tokens_per_event: 5,
        loads_per_s: 5.0,
        concurrent_loads: 2.0,
        models: vec![model("large", 4), model("small", 2)],
    }
}

pub fn name(number: usize) -> VmName {
    VmName::new(format!("vm-{number:02}"))
}

impl FakeTarget {
    /// Creates an empty target.
    pub fn new(number: usize) -> Self {
        let entry = TargetEntry {
            name: name(number),
            service: ServiceName::new(SERVICE),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + number as u16)),
            data_centre: DataCentreName::new("a"),
            domain: Some(DomainName::new("rack")),
            slots: 17,
            phase: TargetPhase::Ready,
            started_at_ms: Some(1),
            report_number: None,
            cold_ms: 0,
            membership: None,
            model: None,
            staged: Vec::new(),
        };
        Self {
            entry,
            alive: true,
            listed_until: None,
            ready_at: None,
            open_at: None,
            staging: None,
            highest_generation: Generation::new(0),
            orders: Vec::new(),
        }
    }

    /// Executes an order as a live target does.
    pub fn apply(&mut self, now: TimeMs, order: &TargetOrder, refuses_stage: bool) -> OrderOutcome {
        self.orders.push(order.clone());
        match order {
            TargetOrder::Join { replica, generation, model, members } => {
                if *generation < self.highest_generation {
                    return OrderOutcome::Refused;
                }
                self.highest_generation = *generation;
                let load_ms = if self.entry.model.as_ref() == Some(model) {
                    REJOIN_MS
                } else if self.entry.staged.contains(model) {
                    1_600
                } else {
                    self.entry.staged = vec![model.clone()];
                    16_000
                };
                let rank = members
                    .iter()
                    .position(|member| *member == self.entry.name)
                    .unwrap_or_default();
                self.entry.membership = Some(Membership {
                    replica: replica.clone(),
                    generation: *generation,
                    rank: rank as u32,
                    state: MemberState::Joining,
                });
                self.entry.model = Some(model.clone());
                self.ready_at = Some(now.after(load_ms));
                self.open_at = None;
                OrderOutcome::Accepted
            }
            TargetOrder::Open { replica, generation } => {
                let fits = self.entry.membership.as_ref().is_some_and(|member| {
                    member.replica == *replica
                        && member.generation == *generation
                        && member.state == MemberState::Ready
                });
                if fits {
                    self.open_at = Some(now.after(300));
                }
                if fits { OrderOutcome::Accepted } else { OrderOutcome::Refused }
            }
            TargetOrder::Close { replica, generation, .. } => {
                let Some(member) = self.entry.membership.as_mut() else {
                    return OrderOutcome::Refused;
                };
                if member.replica != *replica || member.generation != *generation {
                    return OrderOutcome::Refused;
                }
                member.state = MemberState::Closing;
                OrderOutcome::Accepted
            }
            TargetOrder::Leave { replica, generation } => {
                let member = self.entry.membership.as_ref();
                let fits = member.is_some_and(|member| {
                    member.replica == *replica && member.generation == *generation
                });
                if !fits {
                    return OrderOutcome::Refused;
                }
                self.entry.membership = None;
                self.ready_at = None;
                self.open_at = None;
                OrderOutcome::Accepted
            }
            TargetOrder::Stage { model } => {
                if refuses_stage {
                    return OrderOutcome::Refused;
                }
                self.staging = Some((model.clone(), 16_000.0));
                OrderOutcome::Accepted
            }
        }
    }

    /// Advances by one step, in which a load progresses by `loaded_ms`.
    pub fn advance(&mut self, now: TimeMs, loaded_ms: f64) {
        if let Some(member) = self.entry.membership.as_mut() {
            if self.ready_at.is_some_and(|at| at <= now) {
                self.ready_at = None;
                member.state = MemberState::Ready;
            }
            if self.open_at.is_some_and(|at| at <= now) {
                self.open_at = None;
                member.state = MemberState::Open;
            }
        }
        if let Some((_, remaining_ms)) = self.staging.as_mut() {
            *remaining_ms -= loaded_ms;
        }
        if let Some((model, _)) = self.staging.take_if(|(_, remaining_ms)| *remaining_ms <= 0.0) {
            self.entry.staged = vec![model];
        }
    }
}
