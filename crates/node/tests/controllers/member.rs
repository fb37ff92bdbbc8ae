use std::net::SocketAddr;

use celeryhaven_node::OrderOutcome;
use celeryhaven_types::{
    Boot, Fence, FencingMode, Formation, MemberReport, ModelVersion, Order, OrderKind, TimeMs,
    VmName,
};

/// Age of the load figures in reports, in milliseconds.
const LOAD_AGE_MS: u64 = 400;

/// A fake engine: loads, joins, drains, releases; checks or ignores fencing numbers.
#[derive(Clone, Debug)]
pub struct FakeMember {
    pub vm: VmName,
    pub address: SocketAddr,
    pub fencing: FencingMode,
    pub load_ms: u64,
    pub boot: Boot,
    pub alive: bool,
    pub formation: Option<Formation>,
    pub members: Vec<SocketAddr>,
    pub is_draining: bool,
    pub fence: Fence,
    /// Completion time of each running request.
    pub running: Vec<TimeMs>,
    /// Running requests that an order interrupted.
    pub interrupted: u32,
    pub orders_refused: u32,
    loaded: Option<(ModelVersion, TimeMs)>,
    last_order: u64,
    history: Vec<(TimeMs, u32)>,
}

impl FakeMember {
    pub fn new(vm: VmName, address: SocketAddr, fencing: FencingMode, load_ms: u64) -> Self {
        Self {
            vm,
            address,
            fencing,
            load_ms,
            boot: Boot::new(u64::from(address.port())),
            alive: true,
            formation: None,
            members: Vec::new(),
            is_draining: false,
            fence: Fence::default(),
            running: Vec::new(),
            interrupted: 0,
            orders_refused: 0,
            loaded: None,
            last_order: 0,
            history: Vec::new(),
        }
    }

    /// Restarts the process at the same address with empty memory.
    pub fn restart(&mut self) {
        self.boot = Boot::new(self.boot.get() + 100_000);
        self.alive = true;
        self.formation = None;
        self.loaded = None;
        self.fence = Fence::default();
        self.running.clear();
        self.history.clear();
        self.last_order = 0;
    }

    pub fn tick(&mut self, now: TimeMs) {
        self.running.retain(|ends_at| *ends_at > now);
        self.history.push((now, self.running.len() as u32));
        self.history.retain(|(at, _)| now.since(*at) <= 2 * LOAD_AGE_MS);
    }

    pub fn has_loaded(&self, now: TimeMs) -> bool {
        self.loaded.as_ref().is_some_and(|(_, at)| *at <= now)
    }

    pub fn is_ready_in(&self, replica: &str, generation: u64) -> bool {
        self.alive
            && self.formation.as_ref().is_some_and(|f| {
                f.replica.as_str() == replica && f.generation.get() == generation && f.ready
            })
    }

    pub fn order(&mut self, now: TimeMs, order: &Order) -> OrderOutcome {
        if self.fencing == FencingMode::Checked {
            if order.fence < self.fence {
                self.orders_refused += 1;
                return OrderOutcome::OldFence { seen: self.fence };
            }
            self.fence = order.fence;
        }
        if self.last_order != order.order_id {
            self.last_order = order.order_id;
            self.execute(now, &order.kind);
        }
        OrderOutcome::Accepted
    }

    fn execute(&mut self, now: TimeMs, kind: &OrderKind) {
        match kind {
            OrderKind::Join { replica, generation, members, version, .. } => {
                self.interrupted += self.running.len() as u32;
                self.running.clear();
                if self.loaded.as_ref().is_none_or(|(loaded, _)| loaded != version) {
                    self.loaded = Some((version.clone(), now.after(self.load_ms)));
                }
                self.is_draining = false;
                self.members = members.clone();
                self.formation = Some(Formation {
                    replica: replica.clone(),
                    generation: *generation,
                    version: version.clone(),
                    member_boots: Vec::new(),
                    ready: false,
                });
            }
            OrderKind::Drain { replica } => {
                self.is_draining |= self.formation.as_ref().is_some_and(|f| f.replica == *replica);
            }
            OrderKind::Release { replica, boot } => {
                let is_it = self.formation.as_ref().is_some_and(|f| f.replica == *replica);
                if is_it && boot.is_none_or(|boot| boot == self.boot) {
                    self.interrupted += self.running.len() as u32;
                    self.running.clear();
                    self.formation = None;
                    self.loaded = None;
                }
            }
            OrderKind::LoadAdapter { .. } => {}
        }
    }

    pub fn report(&self, now: TimeMs) -> MemberReport {
        let past = self.history.iter().rev().find(|(at, _)| now.since(*at) >= LOAD_AGE_MS);
        MemberReport {
            vm: self.vm.clone(),
            boot: self.boot,
            formation: self.formation.clone(),
            fence: self.fence,
            running: past.map_or(self.running.len() as u32, |(_, running)| *running),
            waiting: 0,
            prefill_tokens_queued: 0,
            kv_used_permille: 0,
            tokens_generated: 0,
            load_age_ms: LOAD_AGE_MS + 100,
            adapters_loaded: Vec::new(),
            weights_loaded_bytes: u64::from(self.has_loaded(now)),
        }
    }
}
