use std::net::SocketAddr;

use celeryhaven_checks::{Observation, Piece};
use celeryhaven_node::{EntryEvent, PollOutcome};
use celeryhaven_types::{Boot, Fence, Formation, MemberReport, TimeMs, VmEntry, VmName};
use rand::Rng;

use super::events::{Event, Exchange, Process, RunningVms, Step};
use super::world::World;

/// Timeout of a poll.
const POLL_TIMEOUT_MS: u64 = 400;
/// Time until the first piece, and between pieces.
const SERVICE_MS: u64 = 8;
const SLOW_FACTOR: u64 = 150;

/// A target VM.
pub struct FakeVm {
    pub address: SocketAddr,
    pub boot: Boot,
    pub formation: Option<Formation>,
    pub alive: bool,
    pub silent_until: u64,
    pub reports_late_ms: u64,
    pub listed: VmEntry,
}

impl World {
    pub fn vm_at(&self, address: SocketAddr) -> Option<VmName> {
        let mut vms = self.vms.iter();
        vms.find(|(_, vm)| vm.address == address).map(|(name, _)| name.clone())
    }

    pub fn answers(&self, name: &VmName) -> bool {
        self.vms.get(name).is_some_and(|vm| vm.alive && vm.silent_until <= self.now)
    }

    /// Requests the status of a member.
    pub fn poll_arrive(&mut self, process: Process, name: &VmName) {
        let reachable = self.answers(name) && !self.is_cut(process.entry, name);
        let Some(vm) = self.vms.get(name) else { return };
        let late_ms = vm.reports_late_ms;
        let report = MemberReport {
            vm: name.clone(),
            boot: vm.boot,
            formation: vm.formation.clone(),
            fence: Fence::new(1),
            running: 0,
            waiting: 0,
            prefill_tokens_queued: 0,
            kv_used_permille: 0,
            tokens_generated: 0,
            load_age_ms: 0,
            adapters_loaded: Vec::new(),
            weights_loaded_bytes: 0,
        };
        let in_time = reachable && late_ms < POLL_TIMEOUT_MS;
        let took_ms = if in_time { 1 + late_ms } else { POLL_TIMEOUT_MS };
        let outcome = if in_time { PollOutcome::Reported(report) } else { PollOutcome::Failed };
        let event = EntryEvent::Polled { vm: name.clone(), took_ms, outcome };
        self.schedule(took_ms, Event::ToEntry(process, event));
    }

    /// Processes a request at a target.
    pub fn reach_target(&mut self, exchange: &Exchange) {
        let Some(name) = self.vm_at(exchange.address) else { return };
        if !self.answers(&name) || self.is_cut(exchange.process.entry, &name) {
            return;
        }
        let Some(vm) = self.vms.get(&name) else { return };
        let is_member = exchange.replica.as_ref().is_none_or(|(replica, generation)| {
            vm.formation.as_ref().is_some_and(|formation| {
                formation.replica == *replica && formation.generation == *generation
            })
        });
        let faults = self.target_faults;
        let mut roll = self.rng.random_range(0..1_000_u32);
        let mut hit = |permille: u32| {
            let is_hit = roll < permille;
            roll = roll.saturating_sub(permille).saturating_add(u32::from(is_hit) * 1_000);
            is_hit
        };
        if !is_member || hit(faults.refuse) {
            return self.step(1, exchange, Step::Refused);
        }
        if hit(faults.reset_before_run) {
            return self.step(1, exchange, Step::Reset);
        }
        let (lost, cut) = (hit(faults.answer_lost), hit(faults.cut_mid_stream));
        let (slow, hang) = (hit(faults.slow), hit(faults.hang));
        let at = TimeMs::new(self.now);
        let operation = exchange.operation;
        self.checks.observe(Observation::Ran { at, operation, vm: name });
        if hang {
            return;
        }
        let step_ms = if slow { SERVICE_MS * SLOW_FACTOR } else { SERVICE_MS };
        if lost {
            return self.step(step_ms, exchange, Step::Reset);
        }
        self.stream(exchange, step_ms, cut);
    }

    fn stream(&mut self, exchange: &Exchange, step_ms: u64, cut: bool) {
        let mut delay_ms = step_ms;
        self.step(delay_ms, exchange, Step::Head);
        // A plain service cannot resume: it answers from the start each time.
        let from = if exchange.replica.is_some() { exchange.resume_from } else { 0 };
        let left = exchange.pieces.saturating_sub(from);
        let until = if cut { from + left / 2 } else { exchange.pieces };
        for index in from..until {
            delay_ms += SERVICE_MS;
            let piece = Piece { operation: exchange.operation, index };
            self.step(delay_ms, exchange, Step::Piece(piece));
        }
        let end = if cut { Step::Reset } else { Step::End };
        self.step(delay_ms + 1, exchange, end);
    }

    fn step(&mut self, delay_ms: u64, exchange: &Exchange, step: Step) {
        let Exchange { process, ticket, attempt, .. } = *exchange;
        let running_vms = self.running_vms(exchange);
        self.schedule(delay_ms, Event::FromTarget { process, ticket, attempt, step, running_vms });
    }

    /// Returns the VMs that run a request: all members of a replica, or the VM of a plain service.
    fn running_vms(&self, exchange: &Exchange) -> RunningVms {
        let front = self.vm_at(exchange.address);
        let members = exchange.replica.as_ref().map(|(replica, _)| self.members(replica));
        let vms = members.unwrap_or_else(|| front.into_iter().collect());
        vms.into_iter().filter_map(|vm| Some((vm.clone(), self.vms.get(&vm)?.boot))).collect()
    }

    /// Whether all these VMs still have the same boots; the loss of one ends the request on all.
    pub fn are_running(&self, running_vms: &RunningVms) -> bool {
        let mut running_vms = running_vms.iter();
        running_vms
            .all(|(name, boot)| self.vms.get(name).is_some_and(|vm| vm.alive && vm.boot == *boot))
    }
}
