//! One toy target, and what the deciders know of its engine.

use std::net::{Ipv4Addr, SocketAddr};

use celeryhaven_fleet::{
    EngineProfile, MemberState, Membership, ModelProfile, OrderOutcome, TargetEntry, TargetOrder,
    TargetPhase,
};
use celeryhaven_types::{
    DataCentreName, DomainName, Generation, ModelName, ServiceName, TimeMs, VmName,
};

/// The service of all toy targets.
pub const SERVICE: &str = "models";

/// How long a join takes where the model was served last.
const REJOIN_MS: u64 = 200;

/// One toy target.
#[derive(Clone, Debug)]
pub struct Toy {
    pub entry: TargetEntry,
    pub alive: bool,
    /// Listed although it is dead, until then.
    pub listed_until: Option<TimeMs>,
    pub ready_at: Option<TimeMs>,
    pub open_at: Option<TimeMs>,
    /// What it stages, and how much of the load is left, in milliseconds at full speed.
    pub staging: Option<(ModelName, f64)>,
    pub highest: Generation,
    /// Orders it got, in order.
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

impl Toy {
    /// An empty target.
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
            highest: Generation::new(0),
            orders: Vec::new(),
        }
    }

    /// Carries out an order, as a live target does.
    pub fn apply(&mut self, now: TimeMs, order: &TargetOrder, refuses_stage: bool) -> OrderOutcome {
        self.orders.push(order.clone());
        match order {
            TargetOrder::Join { replica, generation, model, members } => {
                if *generation < self.highest {
                    return OrderOutcome::Refused;
                }
                self.highest = *generation;
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

    /// Lets a step pass, in which a load gets on by so much.
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
        if let Some((_, left_ms)) = self.staging.as_mut() {
            *left_ms -= loaded_ms;
        }
        if let Some((model, _)) = self.staging.take_if(|(_, left_ms)| *left_ms <= 0.0) {
            self.entry.staged = vec![model];
        }
    }
}
