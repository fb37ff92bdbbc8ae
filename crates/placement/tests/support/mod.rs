//! One fabric domain with small fake engines, in virtual time.

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
/// Weights of one VM when the store has a rate.
pub const WEIGHTS_BYTES: f64 = 100.0e9;

/// An engine that loads, joins, drains and forgets.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub boot: Boot,
    pub formation: Option<Formation>,
    pub loaded: Option<ModelVersion>,
    pub ready_at: TimeMs,
    /// Bytes still to be loaded when the weights store has a rate.
    pub missing_bytes: f64,
    pub running: u32,
    pub silent: bool,
    pub listed: bool,
}

/// The domain, its planner and its clock.
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
    /// Summed over deployments: wanted replicas that were not whole, in milliseconds.
    pub downtime_ms: BTreeMap<DeploymentName, u64>,
    /// Accelerators not in a whole replica, times milliseconds.
    pub stranded_accelerator_ms: u64,
    /// Members whose last poll has not ended yet.
    pub slow_polls: BTreeSet<VmName>,
    /// Rate of the weights store, shared by all loads; without one each load takes `LOAD_MS`.
    pub weights_bytes_per_ms: Option<f64>,
    /// What one VM can load at most.
    pub vm_bytes_per_ms: f64,
    /// Formations begun.
    pub formations: u64,
    /// Whether planned steps took a replica with running requests away.
    pub cut_off: u32,
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
            slow_polls: BTreeSet::new(),
            weights_bytes_per_ms: None,
            vm_bytes_per_ms: f64::INFINITY,
            formations: 0,
            cut_off: 0,
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

    pub fn run_until(&mut self, what: &str, mut is_so: impl FnMut(&Self) -> bool) -> u64 {
        let from = self.now;
        while !is_so(self) {
            self.step();
            assert!(self.now.since(from) < 3_600_000, "never: {what}\n{:#?}", self.placement);
        }
        self.now.since(from)
    }

    pub fn step(&mut self) {
        self.now = self.now.after(STEP_MS);
        self.load();
        self.join();
        self.poll();
        let view = DomainView {
            placement: &self.placement,
            vms: &self.vms,
            wanted: &self.wanted,
            objective: self.objective,
        };
        let next = self.planner.revise(self.now, view);
        let due = orders(self.now, &self.settings, view);
        for order in due {
            if self.engines[&order.vm].listed && !self.engines[&order.vm].silent {
                self.carry_out(&order.vm, &order.kind);
            }
        }
        if let Some(next) = next {
            self.check(&next);
            self.placement = next;
        }
        self.count();
    }

    fn poll(&mut self) {
        for (name, engine) in &self.engines {
            let state = self.vms.get_mut(name).expect("known");
            state.listed = engine.listed;
            if self.slow_polls.contains(name) {
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

    pub fn carry_out(&mut self, vm: &VmName, kind: &OrderKind) {
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

    /// Shares the weights store's rate among all that load.
    fn load(&mut self) {
        let Some(rate) = self.weights_bytes_per_ms else { return };
        let loads = |e: &&mut FakeEngine| e.missing_bytes > 0.0 && !e.silent && e.listed;
        let count = self.engines.values_mut().filter(loads).count().max(1);
        let part = (rate / count as f64).min(self.vm_bytes_per_ms) * STEP_MS as f64;
        for engine in self.engines.values_mut().filter(loads) {
            engine.missing_bytes = (engine.missing_bytes - part).max(0.0);
        }
    }

    /// A new process at the same address, with empty memory.
    pub fn restart(&mut self, vm: &VmName) {
        let engine = self.engines.get_mut(vm).expect("known");
        engine.boot = engine.boot.next();
        engine.formation = None;
        engine.loaded = None;
        engine.missing_bytes = 0.0;
        engine.running = 0;
        engine.silent = false;
    }

    /// Members of one formation that have loaded meet one another.
    fn join(&mut self) {
        for replica in self.placement.replicas.clone() {
            let ready = replica.vms.iter().all(|vm| {
                let engine = &self.engines[vm];
                engine.listed
                    && !engine.silent
                    && engine.ready_at <= self.now
                    && engine.missing_bytes <= 0.0
                    && is_in(engine, &replica)
            });
            self.notice_missing(&replica);
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

    /// Members notice by themselves that one is gone; only a new formation mends that.
    fn notice_missing(&mut self, replica: &Replica) {
        let is_gone = |engine: &FakeEngine| engine.silent || !engine.listed;
        if replica.vms.iter().any(|vm| is_gone(&self.engines[vm])) {
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

    /// Whether its members, by themselves, are one whole formation.
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
        let of = self.placement.replicas.iter().filter(|r| r.deployment.as_str() == deployment);
        of.filter(|r| r.phase == ReplicaPhase::Serving && self.is_whole(r)).count()
    }

    pub fn in_phase(&self, deployment: &str, phase: ReplicaPhase) -> usize {
        let of = self.placement.replicas.iter().filter(|r| r.deployment.as_str() == deployment);
        of.filter(|r| r.phase == phase).count()
    }

    /// The users' objective over what was counted: downtime by worth, and idle accelerators.
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

    /// Begins to count anew.
    pub fn reset_counts(&mut self) {
        self.downtime_ms.clear();
        self.stranded_accelerator_ms = 0;
        self.formations = 0;
    }

    fn count(&mut self) {
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
        let held = self.engines.values().filter(|e| e.listed && !e.silent).count();
        self.stranded_accelerator_ms += (held - useful.min(held)) as u64 * 4 * STEP_MS;
    }

    /// What must hold of each step: no VM twice, and no running request taken away by choice.
    fn check(&mut self, next: &DomainPlacement) {
        let mut seen: Vec<&VmName> = next.replicas.iter().flat_map(|r| &r.vms).collect();
        seen.extend(next.releasing.iter().map(|r| &r.vm));
        let count = seen.len();
        seen.sort();
        seen.dedup();
        assert_eq!(seen.len(), count, "a VM stands twice: {next:#?}");
        for before in &self.placement.replicas {
            let after = next.replicas.iter().find(|r| r.name == before.name);
            let goes_on = after.is_some_and(|after| after.generation == before.generation);
            let runs = before.vms.iter().any(|vm| self.engines[vm].running > 0);
            if !goes_on && runs && self.is_whole(before) {
                self.cut_off += 1;
            }
            self.formations += u64::from(!goes_on && after.is_some());
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
