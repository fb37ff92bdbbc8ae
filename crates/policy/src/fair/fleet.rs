use celeryhaven_types::TimeMs;
use rand::Rng;

use crate::fair::policy::Timer;
use crate::fair::{AdapterKey, FairPolicy, Sharing};
use crate::interface::{Decision, TargetKey, TargetLoad, TargetProfile};
use crate::targets::{Health, HealthState, TargetState};

/// At most one in this many targets may be ejected, and always one if the class is large enough, so
/// that the load of ejected targets does not make the others slow in turn.
///
/// A fifth more load on the rest is what their spare slots can take.
const TARGETS_PER_EJECTION: usize = 5;

/// Least number of targets in a class from which a target may be ejected.
const EJECTION_TARGETS_MIN: usize = 3;

/// At most one in this many of the targets of a class receives no requests because it is quiet.
const QUIET_MAX_PART: usize = 2;

impl FairPolicy {
    pub(crate) fn target_up(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        profile: &TargetProfile,
        out: &mut Vec<Decision>,
    ) {
        if self.targets.get(&target).is_some_and(|state| state.up) {
            self.target_down(target);
        }
        let class_key = self.intern_class(&profile.serves);
        let mut state = TargetState::new(class_key, profile);
        if let Some(before) = self.targets.get(&target) {
            state.in_flight = before.in_flight;
            state.tickets = before.tickets.clone();
        }
        let in_flight = state.in_flight;
        state.share = self.share_of(target, profile.slots);
        state.pace = self.take_announced_pace(now, target);
        let ratio = state.health.ratio();
        self.targets.insert(target, state);
        let class = self.class(class_key);
        class.targets.insert(target);
        class.slots += f64::from(profile.slots);
        class.in_flight.merge(in_flight);
        class.ratio_sum += ratio;
        self.count_slots(target);
        self.apply_announced_back_off(now, target);
        self.refresh_availability(now, target);
        self.dispatch_queued(now, class_key, out);
    }

    pub(crate) fn target_down(&mut self, target: TargetKey) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        if !state.up {
            return;
        }
        state.up = false;
        if let Some(silent_at) = state.silent_at.take() {
            self.timers.remove(&(silent_at, Timer::Silence(target)));
        }
        let (class_key, in_flight) = (state.class, state.in_flight);
        let (slots, ratio) = (state.counted_slots, state.health.ratio());
        let ejected = state.health.state != HealthState::Healthy;
        let adapters = std::mem::take(&mut state.adapters);
        let class = &mut self.classes[class_key.get() as usize];
        class.targets.remove(&target);
        class.slots = (class.slots - slots).max(0.0);
        class.in_flight.subtract(in_flight);
        class.ratio_sum -= ratio;
        class.ejected -= usize::from(ejected);
        class.available.set(target, false);
        class.healthy.set(target, false);
        class.prefixes.remove_target(target);
        for adapter in adapters {
            remove_adapter_target(&mut class.adapter_targets, adapter.key, target);
        }
        if in_flight.count == 0 {
            self.targets.remove(&target);
        }
    }

    /// Applies a load report: slot limit, utilisation and loaded adapters.
    pub(crate) fn apply_report(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        load: &TargetLoad,
        out: &mut Vec<Decision>,
    ) {
        let adapters: Vec<_> =
            load.adapters_loaded.iter().map(|name| self.intern_adapter(name)).collect();
        let random: f64 = self.rng.random();
        let Some(state) = self.targets.get_mut(&target) else { return };
        let total = state.apply_report(now, load);
        let utilisation = f64::from(total) / f64::from(state.slots.max(1));
        let silent_at = now.after(state.silence_timeout_ms());
        if let Some(before) = state.silent_at.replace(silent_at) {
            self.timers.remove(&(before, Timer::Silence(target)));
        }
        self.timers.insert((silent_at, Timer::Silence(target)));
        state.slot_limit = slot_limit(state, total, self.senders, random);
        let class_key = state.class;
        let before = state.adapters.clone();
        state.apply_adapters(now, load.age_ms, &adapters);
        let class = &mut self.classes[class_key.get() as usize];
        class.reported_utilisation.add(now, utilisation);
        for adapter in before {
            remove_adapter_target(&mut class.adapter_targets, adapter.key, target);
        }
        for adapter in &state.adapters {
            class.adapter_targets.entry(adapter.key).or_default().push(target);
        }
        self.refresh_availability(now, target);
        self.dispatch_queued(now, class_key, out);
    }

    pub(crate) fn cache_changed(&mut self, target: TargetKey, added: &[u64], removed: &[u64]) {
        let Some(state) = self.targets.get(&target).filter(|state| state.up) else { return };
        let prefixes = &mut self.classes[state.class.get() as usize].prefixes;
        for &block in removed {
            prefixes.remove(target, block);
        }
        for &block in added {
            prefixes.add(target, block);
        }
    }

    pub(crate) fn set_senders(&mut self, now: TimeMs, nodes: u32, out: &mut Vec<Decision>) {
        self.senders = nodes.max(1);
        for index in 0..self.classes.len() {
            let targets: Vec<_> = self.classes[index].targets.iter().copied().collect();
            for target in targets {
                let slots = self.targets.get(&target).map_or(0, |state| state.slots);
                let share = self.share_of(target, slots);
                if let Some(state) = self.targets.get_mut(&target) {
                    state.share = share;
                }
                self.refresh_availability(now, target);
            }
            self.dispatch_queued(now, crate::fair::ClassKey::new(index as u32), out);
        }
    }

    /// Ejects a target that has stopped reporting while it has requests of this node.
    pub(crate) fn check_silence(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        out: &mut Vec<Decision>,
    ) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.silent_at = None;
        if state.in_flight.count > 0 && self.settings.eject_silent {
            self.evaluate_health(now, target, Health::record_silence, out);
        }
    }

    /// Sends no requests to a target while its streams have paused.
    ///
    /// Lost members do not stop most targets at once, but slow passes, or a pause of this node, may:
    /// then the targets stay in use, as nothing shows that others are better.
    pub(crate) fn set_quiet(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        is_quiet: bool,
        out: &mut Vec<Decision>,
    ) {
        let Some(state) = self.targets.get(&target).filter(|state| state.up) else { return };
        let class = state.class;
        if is_quiet {
            let targets = &self.classes[class.get() as usize].targets;
            let is_other =
                |other: &&TargetKey| self.targets.get(other).is_some_and(|at| at.is_quiet);
            let quiet = targets.iter().filter(is_other).count() + 1;
            if quiet * QUIET_MAX_PART > targets.len() {
                return;
            }
        }
        if let Some(state) = self.targets.get_mut(&target) {
            state.is_quiet = is_quiet;
        }
        self.refresh_availability(now, target);
        if !is_quiet {
            self.dispatch_queued(now, class, out);
        }
    }

    /// Sends one request to an ejected target to check whether it has recovered.
    pub(crate) fn probe(&mut self, now: TimeMs, target: TargetKey, out: &mut Vec<Decision>) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        let HealthState::Ejected { until } = state.health.state else { return };
        if until > now || !state.up {
            return;
        }
        let class_key = state.class;
        let before = state.health.ratio();
        state.health.start_probing();
        let after = state.health.ratio();
        self.class(class_key).ratio_sum += after - before;
        self.refresh_availability(now, target);
        self.dispatch_queued(now, class_key, out);
    }

    /// Applies a sample to the health of a target, and ejects it if it is worse than its peers.
    pub(crate) fn evaluate_health(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        sample: impl FnOnce(&mut Health),
        out: &mut Vec<Decision>,
    ) {
        let Some(state) = self.targets.get_mut(&target).filter(|state| state.up) else { return };
        let class_key = state.class;
        let class = &mut self.classes[class_key.get() as usize];
        let (ratio, was_ejected) =
            (state.health.ratio(), state.health.state != HealthState::Healthy);
        sample(&mut state.health);
        class.ratio_sum += state.health.ratio() - ratio;
        let healed = was_ejected && state.health.state == HealthState::Healthy;
        class.ejected -= usize::from(healed);
        let peers_ratio = class.peers_ratio(state.health.ratio());
        let can_eject = was_ejected || may_eject(class.targets.len(), class.ejected);
        if can_eject && state.health.should_eject(peers_ratio) {
            class.ejected += usize::from(!was_ejected);
            let until = state.health.eject(now);
            self.timers.insert((until, Timer::Ejection(target)));
            if self.settings.move_off_ejected {
                self.move_off(now, target, out);
            }
        }
        self.refresh_availability(now, target);
        self.dispatch_queued(now, class_key, out);
    }

    /// Slots of a target that are reserved for this node.
    ///
    /// Even shares prevent overload when all entries send in a synchronized burst, before any
    /// report shows it. A remainder of less than one slot per node is assigned by hash.
    fn share_of(&self, target: TargetKey, slots: u32) -> u32 {
        if let Sharing::Owner { index } = self.settings.sharing {
            let owner = splitmix64(u64::from(target.get())) % u64::from(self.senders);
            return if owner == u64::from(index) { slots } else { 0 };
        }
        let remainder = slots % self.senders;
        let hash = splitmix64(self.settings.seed ^ splitmix64(u64::from(target.get())));
        let extra = hash % u64::from(self.senders) < u64::from(remainder);
        slots / self.senders + u32::from(extra)
    }
}

/// Returns the slots that a node may use until the next report: its share, or the slots it uses
/// plus an even part of the free ones.
///
/// The free slots of the report are reduced by the sends of this node since then, times the number of
/// senders, because in a burst all nodes send alike. The even part is rounded at random. If the
/// target has more requests than slots, the limit shrinks in proportion.
fn slot_limit(state: &TargetState, total: u32, senders: u32, random: f64) -> u32 {
    let unreported = state.sends_since_report().saturating_mul(senders);
    let limit = if total > state.slots {
        state.in_flight.count * state.slots / total
    } else {
        let free = (state.slots - total).saturating_sub(unreported);
        let share = f64::from(free) / f64::from(senders);
        state.in_flight.count + share as u32 + u32::from(random < share.fract())
    };
    limit.max(state.share)
}

fn may_eject(targets: usize, ejected: usize) -> bool {
    targets >= EJECTION_TARGETS_MIN && ejected < (targets / TARGETS_PER_EJECTION).max(1)
}

fn remove_adapter_target(
    targets_by_adapter: &mut celeryhaven_types::Map<AdapterKey, Vec<TargetKey>>,
    adapter: AdapterKey,
    target: TargetKey,
) {
    if let Some(targets) = targets_by_adapter.get_mut(&adapter) {
        targets.retain(|&other| other != target);
        if targets.is_empty() {
            targets_by_adapter.remove(&adapter);
        }
    }
}

/// Hashes small keys evenly (the finaliser of SplitMix64).
pub(crate) fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
