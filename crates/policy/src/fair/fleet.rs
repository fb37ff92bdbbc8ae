use celeryhaven_types::TimeMs;
use rand::Rng;

use crate::fair::policy::Timer;
use crate::fair::{AdapterKey, FairPolicy, Sharing};
use crate::interface::{Decision, TargetKey, TargetLoad, TargetProfile};
use crate::targets::{Health, Standing, TargetState};

/// One target in this many may be ejected, and one whatever their number if there are three.
///
/// Load: all targets slow at once, as when every batch is full. Harm: ejecting many moves their
/// load to the rest, which then look slow too, until none is left. Limit: a fifth more load on
/// the rest is what their spare slots can take.
const EJECTED_ONE_IN: usize = 5;

/// Targets below which none is ejected for being slow.
const EJECT_MEMBERS_MIN: usize = 3;

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
        let ratio = state.health.ratio();
        self.targets.insert(target, state);
        let class = self.class(class_key);
        class.members.insert(target);
        class.slots += profile.slots;
        class.in_flight.join(in_flight);
        class.ratio_sum += ratio;
        self.refresh(now, target);
        self.pump(now, class_key, out);
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
        let (slots, ratio) = (state.slots, state.health.ratio());
        let ejected = state.health.standing != Standing::Healthy;
        let adapters = std::mem::take(&mut state.adapters);
        let class = &mut self.classes[class_key.get() as usize];
        class.members.remove(&target);
        class.slots -= slots;
        class.in_flight.leave(in_flight);
        class.ratio_sum -= ratio;
        class.ejected -= usize::from(ejected);
        class.available.set(target, false);
        class.sound.set(target, false);
        class.prefixes.forget(target);
        for held in adapters {
            drop_holder(&mut class.adapter_holders, held.key, target);
        }
        if in_flight.count == 0 {
            self.targets.remove(&target);
        }
    }

    /// Takes over a load report: what is free, what is lent, which adapters are in memory.
    pub(crate) fn reported(
        &mut self,
        now: TimeMs,
        target: TargetKey,
        load: &TargetLoad,
        out: &mut Vec<Decision>,
    ) {
        let adapters: Vec<_> =
            load.adapters_loaded.iter().map(|name| self.intern_adapter(name)).collect();
        let lent_random: f64 = self.rng.random();
        let Some(state) = self.targets.get_mut(&target) else { return };
        let total = state.reported(now, load);
        let fill = f64::from(total) / f64::from(state.slots.max(1));
        let silent_at = now.after(state.silence_ms());
        if let Some(before) = state.silent_at.replace(silent_at) {
            self.timers.remove(&(before, Timer::Silence(target)));
        }
        self.timers.insert((silent_at, Timer::Silence(target)));
        state.cap = lend(state, total, self.sharers, lent_random);
        let class_key = state.class;
        let before = state.adapters.clone();
        state.report_adapters(now, load.age_ms, &adapters);
        let class = &mut self.classes[class_key.get() as usize];
        class.reported_fill.add(now, fill);
        for held in before {
            drop_holder(&mut class.adapter_holders, held.key, target);
        }
        for held in &state.adapters {
            class.adapter_holders.entry(held.key).or_default().push(target);
        }
        self.refresh(now, target);
        self.pump(now, class_key, out);
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

    pub(crate) fn set_sharers(&mut self, now: TimeMs, nodes: u32, out: &mut Vec<Decision>) {
        self.sharers = nodes.max(1);
        for index in 0..self.classes.len() {
            let members: Vec<_> = self.classes[index].members.iter().copied().collect();
            for target in members {
                let slots = self.targets.get(&target).map_or(0, |state| state.slots);
                let share = self.share_of(target, slots);
                if let Some(state) = self.targets.get_mut(&target) {
                    state.share = share;
                }
                self.refresh(now, target);
            }
            self.pump(now, crate::fair::ClassKey::new(index as u32), out);
        }
    }

    /// Ejects a target whose reports have stayed away, and moves what runs there.
    pub(crate) fn silent(&mut self, now: TimeMs, target: TargetKey, out: &mut Vec<Decision>) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.silent_at = None;
        if state.in_flight.count > 0 && self.settings.eject_silent {
            self.judge(now, target, Health::fell_silent, out);
        }
    }

    /// Lets a target that was ejected show with one request whether it has healed.
    pub(crate) fn probe(&mut self, now: TimeMs, target: TargetKey, out: &mut Vec<Decision>) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        let Standing::Ejected { until } = state.health.standing else { return };
        if until > now || !state.up {
            return;
        }
        let class_key = state.class;
        let before = state.health.ratio();
        state.health.probe();
        let after = state.health.ratio();
        self.class(class_key).ratio_sum += after - before;
        self.refresh(now, target);
        self.pump(now, class_key, out);
    }

    /// Applies a sample to a target's health and ejects it if it stands out among its peers.
    pub(crate) fn judge(
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
            (state.health.ratio(), state.health.standing != Standing::Healthy);
        sample(&mut state.health);
        class.ratio_sum += state.health.ratio() - ratio;
        let healed = was_ejected && state.health.standing == Standing::Healthy;
        class.ejected -= usize::from(healed);
        let peers_ratio = class.peers_ratio(state.health.ratio());
        let room = was_ejected || may_eject(class.members.len(), class.ejected);
        if room && state.health.is_bad(peers_ratio) {
            class.ejected += usize::from(!was_ejected);
            let until = state.health.eject(now);
            self.timers.insert((until, Timer::Target(target)));
            if self.settings.move_off_ejected {
                self.move_off(now, target, out);
            }
        }
        self.refresh(now, target);
        self.pump(now, class_key, out);
    }

    /// Slots of a target that this node may use whatever the others do.
    ///
    /// Load: entries that all wake at once, before any report shows it. Harm: each takes every
    /// slot it believes free, and the targets are over-full as many times as there are entries.
    /// Limit: an even part; what is less than one slot falls by hash to some of the entries.
    fn share_of(&self, target: TargetKey, slots: u32) -> u32 {
        if let Sharing::Owner { index } = self.settings.sharing {
            let owner = scatter(u64::from(target.get())) % u64::from(self.sharers);
            return if owner == u64::from(index) { slots } else { 0 };
        }
        let remainder = slots % self.sharers;
        let place = scatter(self.settings.seed ^ scatter(u64::from(target.get())));
        let extra = place % u64::from(self.sharers) < u64::from(remainder);
        slots / self.sharers + u32::from(extra)
    }
}

/// Slots that a node may use until the next report: its own and a part of those free.
///
/// Load: one entry has more callers than the others. Harm: with fixed parts it refuses while slots
/// stand idle; if each took all that is free, they would overfill it. Limit: an even part of what
/// the report shows free, rounded at random so that less than one slot still goes to someone.
/// What this node has sent since the report was made, the others are taken to have sent too: at
/// the wall all do, and their sends show only in the next report. Above its slots, a target is given up in the measure that it is over.
fn lend(state: &TargetState, total: u32, sharers: u32, random: f64) -> u32 {
    let unseen = state.sends_since_report().saturating_mul(sharers);
    let cap = if total > state.slots {
        state.in_flight.count * state.slots / total
    } else {
        let free = (state.slots - total).saturating_sub(unseen);
        let part = f64::from(free) / f64::from(sharers);
        state.in_flight.count + part as u32 + u32::from(random < part.fract())
    };
    cap.max(state.share)
}

fn may_eject(members: usize, ejected: usize) -> bool {
    members >= EJECT_MEMBERS_MIN && ejected < (members / EJECTED_ONE_IN).max(1)
}

fn drop_holder(
    holders: &mut celeryhaven_types::Map<AdapterKey, Vec<TargetKey>>,
    adapter: AdapterKey,
    target: TargetKey,
) {
    if let Some(targets) = holders.get_mut(&adapter) {
        targets.retain(|&holder| holder != target);
        if targets.is_empty() {
            holders.remove(&adapter);
        }
    }
}

/// Spreads small keys evenly (the finaliser of SplitMix64).
fn scatter(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
