//! A fabric domain with fake engines, in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use celeryhaven_placement::{
    DomainPlanner, DomainView, PlacementSettings, VmState, WantedDeployment, empty_placement,
    orders,
};
use celeryhaven_types::{
    Boot, DataCentreName, Deployment, DeploymentName, DomainName, DomainPlacement, Fence,
    FencingMode, Formation, MemberReport, ModelName, ModelVersion, Objective, OrderKind, Priority,
    Replica, ReplicaPhase, TimeMs, VmName,
};

pub const STEP_MS: u64 = 250;
pub const LOAD_MS: u64 = 20_000;
/// Weights that each VM loads if the weights store has a rate.
pub const WEIGHTS_BYTES: f64 = 100.0e9;

/// A fake engine that executes orders.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub boot: Boot,
    pub formation: Option<Formation>,
    pub loaded: Option<ModelVersion>,
    pub ready_at: TimeMs,
    /// Bytes left to load if the weights store has a rate.
    pub missing_bytes: f64,
    pub running: u32,
    pub silent: bool,
    pub listed: bool,
}

/// A fabric domain with its planner and clock.
#[derive(Debug)]
pub struct FakeDomain {
    pub now: TimeMs,
    pub placement: DomainPlacement,
    pub planner: DomainPlanner,
    pub settings: PlacementSettings,
    pub vms: BTreeMap<VmName, VmState>,
    pub engines: BTreeMap<VmName, FakeEngine>,
    pub wanted: Vec<WantedDeployment>,
    pub objective: Objective,
    /// By deployment: number of wanted replicas that were not whole, times milliseconds.
    pub downtime_ms: BTreeMap<DeploymentName, u64>,
    /// Accelerators not in a whole replica, times milliseconds.
    pub stranded_accelerator_ms: u64,
    /// Members whose last poll has not completed.
    pub pending_polls: BTreeSet<VmName>,
    /// Rate of the weights store, shared by all loads; if `None`, each load takes `LOAD_MS`.
    pub weights_bytes_per_ms: Option<f64>,
    /// Maximum rate of one VM.
    pub vm_bytes_per_ms: f64,
    /// Number of restarted formations.
    pub formations: u64,
    /// Number of whole replicas that a step stopped or formed again while requests were running.
    pub interrupted_replicas: u32,
}

pub fn deployment(name: &str, vms_per_replica: u32, priority: u8) -> Deployment {
    Deployment {
        name: DeploymentName::new(name),
        model: ModelName::new(name),
        version: ModelVersion::new("1"),
        adapters: Vec::new(),
        weights_bytes: 1_000,
        replicas: 0,
        vms_per_replica,
        slots_per_replica: 8,
        priority: Priority::new(priority),
        organisations: Vec::new(),
        data_centres: Vec::new(),
        fencing: FencingMode::Checked,
    }
}

pub fn wanted(deployment: Deployment, replicas: u32) -> WantedDeployment {
    WantedDeployment { deployment, replicas }
}

pub fn vm(number: usize) -> VmName {
    VmName::new(format!("vm-{number:02}"))
}

impl FakeDomain {
    pub fn new(vms: usize, wanted: Vec<WantedDeployment>) -> Self {
        let now = TimeMs::new(0);
        let address = |i: usize| SocketAddr::from(([127, 0, 0, 1], 9_000 + i as u16));
        let engine = |i: usize| FakeEngine {
            boot: Boot::new(1_000 + i as u64),
            formation: None,
            loaded: None,
            ready_at: now,
            missing_bytes: 0.0,
            running: 0,
            silent: false,
            listed: true,
        };
        let objective = Objective { group_downtime_weight: 1.0, stranded_accelerator_weight: 0.01 };
        let settings = PlacementSettings::default();
        Self {
            now,
            placement: empty_placement(DomainName::new("f"), DataCentreName::new("dc")),
            planner: DomainPlanner::new(settings),
            settings,
            vms: (0..vms).map(|i| (vm(i), VmState::new(now, address(i), 4))).collect(),
            engines: (0..vms).map(|i| (vm(i), engine(i))).collect(),
            wanted,
            objective,
            downtime_ms: BTreeMap::new(),
            stranded_accelerator_ms: 0,
            pending_polls: BTreeSet::new(),
            weights_bytes_per_ms: None,
            vm_bytes_per_ms: f64::INFINITY,
            formations: 0,
            interrupted_replicas: 0,
        }
    }

    pub fn with_settings(mut self, settings: PlacementSettings) -> Self {
        self.settings = settings;
        self.planner = DomainPlanner::new(settings);
        self
    }

    pub fn with_objective(mut self, group_downtime: f64, stranded_accelerator: f64) -> Self {
        self.objective = Objective {
            group_downtime_weight: group_downtime,
            stranded_accelerator_weight: stranded_accelerator,
        };
        self
    }

    pub fn run_ms(&mut self, span_ms: u64) {
        let until = self.now.after(span_ms);
        while self.now < until {
            self.step();
        }
    }

    pub fn run_until(&mut self, what: &str, mut condition: impl FnMut(&Self) -> bool) -> u64 {
        let from = self.now;
        while !condition(self) {
            self.step();
            assert!(self.now.since(from) < 3_600_000, "not reached: {what}\n{:#?}", self.placement);
        }
        self.now.since(from)
    }

    pub fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        self.advance_loads();
        self.complete_joins();
        self.poll_members();
        let view = DomainView {
            placement: &self.placement,
            vms: &self.vms,
            wanted: &self.wanted,
            objective: self.objective,
        };
        let next = self.planner.revise(self.now, view);
        let due_orders = orders(self.now, &self.settings, view);
        for order in due_orders {
            if self.engines[&order.vm].listed && !self.engines[&order.vm].silent {
                self.execute(&order.vm, &order.kind);
            }
        }
        if let Some(next) = next {
            self.check_step(&next);
            self.placement = next;
        }
        self.record_costs();
    }

    fn poll_members(&mut self) {
        for (name, engine) in &self.engines {
            let state = self.vms.get_mut(name).expect("known");
            state.listed = engine.listed;
            if self.pending_polls.contains(name) {
                continue;
            }
            if engine.silent || !engine.listed {
                state.record_poll_failure(self.now);
                continue;
            }
            let report = MemberReport {
                vm: name.clone(),
                boot: engine.boot,
                formation: engine.formation.clone(),
                fence: Fence::new(1),
                running: engine.running,
                waiting: 0,
                prefill_tokens_queued: 0,
                kv_used_permille: 0,
                tokens_generated: 0,
                load_age_ms: 500,
                adapters_loaded: Vec::new(),
                weights_loaded_bytes: loaded_bytes(engine),
            };
            state.apply_report(self.now, report);
        }
    }

    pub fn execute(&mut self, vm: &VmName, kind: &OrderKind) {
        let now = self.now;
        let engine = self.engines.get_mut(vm).expect("known");
        match kind {
            OrderKind::Join { replica, generation, version, .. } => {
                if engine.loaded.as_ref() != Some(version) {
                    engine.loaded = Some(version.clone());
                    match self.weights_bytes_per_ms {
                        Some(_) => engine.missing_bytes = WEIGHTS_BYTES,
                        None => engine.ready_at = now.after(LOAD_MS),
                    }
                }
                engine.formation = Some(Formation {
                    replica: replica.clone(),
                    generation: *generation,
                    version: version.clone(),
                    member_boots: Vec::new(),
                    ready: false,
                });
            }
            OrderKind::Release { replica, .. } => {
                if engine.formation.as_ref().is_some_and(|f| f.replica == *replica) {
                    engine.formation = None;
                    engine.loaded = None;
                    engine.missing_bytes = 0.0;
                }
            }
            OrderKind::Drain { .. } | OrderKind::LoadAdapter { .. } => {}
        }
    }

    /// Divides the rate of the weights store among the engines that are loading.
    fn advance_loads(&mut self) {
        let Some(rate) = self.weights_bytes_per_ms else { return };
        let is_loading = |e: &&mut FakeEngine| e.missing_bytes > 0.0 && !e.silent && e.listed;
        let count = self.engines.values_mut().filter(is_loading).count().max(1);
        let bytes_per_step = (rate / count as f64).min(self.vm_bytes_per_ms) * STEP_MS as f64;
        for engine in self.engines.values_mut().filter(is_loading) {
            engine.missing_bytes = (engine.missing_bytes - bytes_per_step).max(0.0);
        }
    }

    /// Restarts an engine at the same address, with empty memory.
    pub fn restart(&mut self, vm: &VmName) {
        let engine = self.engines.get_mut(vm).expect("known");
        engine.boot = engine.boot.next();
        engine.formation = None;
        engine.loaded = None;
        engine.missing_bytes = 0.0;
        engine.running = 0;
        engine.silent = false;
    }

    /// Completes formations whose members have all loaded.
    fn complete_joins(&mut self) {
        for replica in self.placement.replicas.clone() {
            let ready = replica.vms.iter().all(|vm| {
                let engine = &self.engines[vm];
                engine.listed
                    && !engine.silent
                    && engine.ready_at <= self.now
                    && engine.missing_bytes <= 0.0
                    && is_in(engine, &replica)
            });
            self.detect_lost_members(&replica);
            let boots: Vec<Boot> = replica.vms.iter().map(|vm| self.engines[vm].boot).collect();
            for vm in replica.vms.iter().filter(|_| ready) {
                let formation = self.engines.get_mut(vm).and_then(|e| e.formation.as_mut());
                let joins = |f: &&mut Formation| !f.ready && f.member_boots.is_empty();
                if let Some(formation) = formation.filter(joins) {
                    formation.ready = true;
                    formation.member_boots = boots.clone();
                }
            }
        }
    }

    /// Marks members as not ready if another member is unreachable.
    fn detect_lost_members(&mut self, replica: &Replica) {
        let is_unreachable = |engine: &FakeEngine| engine.silent || !engine.listed;
        if replica.vms.iter().any(|vm| is_unreachable(&self.engines[vm])) {
            for vm in &replica.vms {
                let engine = self.engines.get_mut(vm).expect("known");
                if let Some(formation) =
                    engine.formation.as_mut().filter(|_| engine.listed && !engine.silent)
                {
                    formation.ready = false;
                }
            }
        }
    }

    /// Whether all members are reachable and ready in the current formation, with matching boots.
    pub fn is_whole(&self, replica: &Replica) -> bool {
        let boots: Vec<Boot> = replica.vms.iter().map(|vm| self.engines[vm].boot).collect();
        replica.vms.iter().all(|vm| {
            let engine = &self.engines[vm];
            let formation = engine.formation.as_ref();
            engine.listed
                && !engine.silent
                && is_in(engine, replica)
                && formation.is_some_and(|f| f.ready && f.member_boots == boots)
        })
    }

    pub fn serving(&self, deployment: &str) -> usize {
        let matching =
            self.placement.replicas.iter().filter(|r| r.deployment.as_str() == deployment);
        matching.filter(|r| r.phase == ReplicaPhase::Serving && self.is_whole(r)).count()
    }

    pub fn in_phase(&self, deployment: &str, phase: ReplicaPhase) -> usize {
        let matching =
            self.placement.replicas.iter().filter(|r| r.deployment.as_str() == deployment);
        matching.filter(|r| r.phase == phase).count()
    }

    /// Returns the weighted cost of the recorded downtime and stranded accelerators.
    pub fn cost(&self) -> f64 {
        let worth = |name: &DeploymentName| {
            let wanted = self.wanted.iter().find(|wanted| wanted.deployment.name == *name);
            wanted.map_or(0.0, |wanted| f64::from(wanted.deployment.priority.get()) + 1.0)
        };
        let downtime: f64 =
            self.downtime_ms.iter().map(|(name, ms)| worth(name) * *ms as f64 / 1_000.0).sum();
        let stranded = self.stranded_accelerator_ms as f64 / 1_000.0;
        self.objective.group_downtime_weight * downtime
            + self.objective.stranded_accelerator_weight * stranded
    }

    /// Resets the recorded costs.
    pub fn reset_counts(&mut self) {
        self.downtime_ms.clear();
        self.stranded_accelerator_ms = 0;
        self.formations = 0;
    }

    fn record_costs(&mut self) {
        for wanted in &self.wanted {
            let name = wanted.deployment.name.clone();
            let missing = (wanted.replicas as usize).saturating_sub(self.serving(name.as_str()));
            *self.downtime_ms.entry(name).or_insert(0) += missing as u64 * STEP_MS;
        }
        let useful: usize = self
            .placement
            .replicas
            .iter()
            .filter(|r| r.phase == ReplicaPhase::Serving && self.is_whole(r))
            .map(|r| r.vms.len())
            .sum();
        let available = self.engines.values().filter(|e| e.listed && !e.silent).count();
        self.stranded_accelerator_ms += (available - useful.min(available)) as u64 * 4 * STEP_MS;
    }

    /// Asserts that no VM is placed twice, and counts interrupted replicas and new formations.
    fn check_step(&mut self, next: &DomainPlacement) {
        let mut vms_in_use: Vec<&VmName> = next.replicas.iter().flat_map(|r| &r.vms).collect();
        vms_in_use.extend(next.releasing.iter().map(|r| &r.vm));
        let count = vms_in_use.len();
        vms_in_use.sort();
        vms_in_use.dedup();
        assert_eq!(vms_in_use.len(), count, "a VM is placed twice: {next:#?}");
        for before in &self.placement.replicas {
            let after = next.replicas.iter().find(|r| r.name == before.name);
            let continues = after.is_some_and(|after| after.generation == before.generation);
            let has_running_requests = before.vms.iter().any(|vm| self.engines[vm].running > 0);
            if !continues && has_running_requests && self.is_whole(before) {
                self.interrupted_replicas += 1;
            }
            self.formations += u64::from(!continues && after.is_some());
        }
    }
}

fn loaded_bytes(engine: &FakeEngine) -> u64 {
    if engine.loaded.is_some() { (WEIGHTS_BYTES - engine.missing_bytes) as u64 } else { 0 }
}

fn is_in(engine: &FakeEngine, replica: &Replica) -> bool {
    engine.formation.as_ref().is_some_and(|formation| {
        formation.replica == replica.name && formation.generation == replica.generation
    })
}
