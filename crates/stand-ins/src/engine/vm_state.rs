use std::sync::Arc;
use std::time::{Duration, Instant};

use celeryhaven_types::{
    AdapterName, Boot, Fence, MemberReport, ModelName, ModelVersion, Set, VmName,
};

use crate::engine::{Batch, EngineFaults, EngineSettings, JoinedFormation, MemberView, RunLog};

/// The weights that a VM loads or has loaded.
#[derive(Clone, Debug)]
pub(crate) struct Weights {
    pub(crate) model: ModelName,
    pub(crate) version: ModelVersion,
    pub(crate) bytes: u64,
    pub(crate) loaded_bytes: u64,
}

/// The load figures of the last refresh.
#[derive(Clone, Copy, Debug)]
struct LoadFigures {
    refreshed_at: Instant,
    running: u32,
    waiting: u32,
    prefill_tokens: u64,
    kv_used_permille: u32,
    tokens_generated: u64,
}

/// The in-memory state of an engine VM. It is lost when the VM stops.
#[derive(Debug)]
pub(crate) struct VmState {
    pub(crate) boot: Boot,
    pub(crate) fence: Fence,
    pub(crate) executed_orders: Set<u64>,
    pub(crate) formation: Option<JoinedFormation>,
    pub(crate) weights: Option<Weights>,
    pub(crate) adapters: Vec<AdapterName>,
    pub(crate) batch: Batch,
    pub(crate) faults: EngineFaults,
    load: LoadFigures,
}

impl VmState {
    pub(crate) fn new(boot: Boot, settings: EngineSettings, runs: Arc<RunLog>) -> Self {
        let batch = Batch::new(settings, runs);
        Self {
            boot,
            fence: Fence::new(0),
            executed_orders: Set::default(),
            formation: None,
            weights: None,
            adapters: Vec::new(),
            load: LoadFigures::measure(&batch, Instant::now()),
            batch,
            faults: EngineFaults::default(),
        }
    }

    /// Whether the assigned weights are fully loaded.
    pub(crate) fn loaded(&self) -> bool {
        self.weights.as_ref().is_some_and(|weights| weights.loaded_bytes >= weights.bytes)
    }

    pub(crate) fn member_view(&self) -> MemberView {
        let formation = self.formation.as_ref();
        MemberView {
            boot: self.boot,
            formation: formation.map(|joined| (joined.replica.clone(), joined.generation)),
            loaded: self.loaded(),
            broken: formation.is_some_and(|joined| joined.broken),
        }
    }

    pub(crate) fn report(&self, vm: &VmName, now: Instant) -> MemberReport {
        let load = self.load;
        MemberReport {
            vm: vm.clone(),
            boot: self.boot,
            formation: self.formation.as_ref().map(JoinedFormation::report),
            fence: self.fence,
            running: load.running,
            waiting: load.waiting,
            prefill_tokens_queued: load.prefill_tokens,
            kv_used_permille: load.kv_used_permille,
            tokens_generated: load.tokens_generated,
            load_age_ms: now.saturating_duration_since(load.refreshed_at).as_millis() as u64,
            adapters_loaded: self.adapters.clone(),
            weights_loaded_bytes: self.weights.as_ref().map_or(0, |weights| weights.loaded_bytes),
        }
    }

    /// Refreshes the reported load figures if they are older than `lag`.
    pub(crate) fn refresh_load(&mut self, now: Instant, lag: Duration) {
        if now.saturating_duration_since(self.load.refreshed_at) >= lag {
            self.load = LoadFigures::measure(&self.batch, now);
        }
    }
}

impl LoadFigures {
    fn measure(batch: &Batch, now: Instant) -> Self {
        Self {
            refreshed_at: now,
            running: batch.running() as u32,
            waiting: batch.waiting() as u32,
            prefill_tokens: batch.prefill_tokens(),
            kv_used_permille: batch.kv_used_permille(),
            tokens_generated: batch.tokens_generated(),
        }
    }
}
