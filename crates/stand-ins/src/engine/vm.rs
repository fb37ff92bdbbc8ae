use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use celeryhaven_types::{Boot, ModelVersion, VmName};
use smol::Timer;
use trillium_client::Client;

use crate::engine::directory::Directory;
use crate::engine::vm_state::VmState;
use crate::engine::{EngineFaults, EngineSettings, MemberView, RunLog};

/// Interval at which a frozen VM checks whether it may resume, in milliseconds.
const FROZEN_POLL_MS: u64 = 20;

/// An engine VM, from start to stop of its process.
#[derive(Debug)]
pub struct EngineVm {
    name: VmName,
    settings: EngineSettings,
    directory: Arc<Directory>,
    state: Mutex<VmState>,
    wakeup: (Sender<()>, Receiver<()>),
}

impl EngineVm {
    pub(crate) fn new(
        name: VmName,
        boot: Boot,
        settings: EngineSettings,
        directory: Arc<Directory>,
        runs: Arc<RunLog>,
    ) -> Self {
        let state = Mutex::new(VmState::new(boot, settings.clone(), runs));
        Self { name, settings, directory, state, wakeup: async_channel::bounded(1) }
    }

    /// Replaces the set of active faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
        self.wake();
    }

    /// Aborts all requests, as a stop of the VM does.
    pub(crate) fn abort_all(&self) {
        self.lock().batch.abort_all();
    }

    /// Runs the batch until the VM stops.
    pub(crate) async fn run_batch(self: Arc<Self>) {
        loop {
            self.wait_while_frozen().await;
            let step = {
                let mut state = self.lock();
                state.batch.admit();
                let slowdown = match state.faults.slow_permille {
                    0 => 1.0,
                    permille => f64::from(permille) / 1_000.0,
                };
                state.batch.step_time().map(|time| time.mul_f64(slowdown))
            };
            let Some(step) = step else {
                let _ = self.wakeup.1.recv().await;
                continue;
            };
            Timer::after(step).await;
            self.wait_while_frozen().await;
            self.lock().batch.step(Instant::now());
        }
    }

    /// Refreshes the reported load figures until the VM stops.
    pub(crate) async fn run_load_refresh(self: Arc<Self>) {
        let interval = Duration::from_millis(self.settings.report_lag_ms.max(1));
        loop {
            Timer::after(interval).await;
            self.lock().refresh_load(Instant::now(), interval);
        }
    }

    /// Returns the state reported to other members, or `None` while the VM is frozen.
    pub(crate) fn member_view(&self) -> Option<MemberView> {
        let state = self.lock();
        (!state.faults.frozen).then(|| state.member_view())
    }

    pub(crate) fn name(&self) -> &VmName {
        &self.name
    }

    pub(crate) fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    pub(crate) fn client(&self) -> &Client {
        self.directory.client()
    }

    pub(crate) fn members(&self) -> Option<Vec<SocketAddr>> {
        let state = self.lock();
        let joined = state.formation.as_ref().filter(|_| !state.faults.frozen)?;
        Some(joined.members.clone())
    }

    pub(crate) async fn fetch_view(&self, member: SocketAddr) -> Option<MemberView> {
        self.directory.fetch_view(member).await
    }

    pub(crate) fn apply_member_views(&self, views: &[Option<MemberView>]) {
        let mut state = self.lock();
        let Some(joined) = state.formation.as_mut() else { return };
        if joined.members.len() == views.len() && joined.observe(views) {
            state.batch.abort_all();
        }
    }

    /// Returns the version and the length of the next piece of weights to load.
    pub(crate) fn next_piece(&self) -> Option<(ModelVersion, u64)> {
        let state = self.lock();
        let weights = state.weights.as_ref().filter(|_| !state.faults.frozen)?;
        let left = weights.bytes.saturating_sub(weights.loaded_bytes);
        let piece = weights.bytes.div_ceil(self.settings.weights_pieces.max(1));
        (left > 0).then(|| (weights.version.clone(), piece.min(left)))
    }

    pub(crate) fn record_loaded_piece(&self, version: &ModelVersion, bytes: u64) {
        let mut state = self.lock();
        if let Some(weights) = state.weights.as_mut().filter(|weights| weights.version == *version)
        {
            weights.loaded_bytes += bytes;
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, VmState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn wake(&self) {
        let _ = self.wakeup.0.try_send(());
    }

    pub(crate) async fn wait_while_frozen(&self) {
        while self.lock().faults.frozen {
            Timer::after(Duration::from_millis(FROZEN_POLL_MS)).await;
        }
    }
}
