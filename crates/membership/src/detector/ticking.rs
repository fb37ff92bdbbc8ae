use celeryhaven_types::TimeMs;

use crate::detector::{Membership, MembershipAction};
use crate::member::MemberState;
use crate::message::{Message, Probe};
use crate::probing::{PendingProbe, ProbeStage};
use crate::table::MemberKey;

/// Probe periods after which a ping on behalf of another node is dropped.
const INDIRECT_PING_TIMEOUT_PERIODS: u64 = 2;

/// Timers.
impl Membership {
    /// Processes timers that are due: probes, suspicions and gossip.
    pub fn tick(&mut self, now: TimeMs, out: &mut Vec<MembershipAction>) {
        self.handle_own_pause(now, out);
        self.last_tick = now;
        self.advance_probe(now, out);
        self.expire_suspicions(now, out);
        self.gossip_updates(now, out);
        if now >= self.next_probe_at {
            self.next_probe_at = now.after(self.settings.probe_period_ms);
            self.begin_probe(now, out);
            self.remove_expired(now);
        }
    }

    pub(crate) fn stage_end(&self, probe: &PendingProbe) -> TimeMs {
        match probe.stage {
            ProbeStage::Direct => probe.since.after(self.settings.ack_timeout_ms),
            ProbeStage::Indirect => probe.since.after(self.settings.probe_period_ms),
        }
    }

    /// Drops the pending probe and restarts all suspicions after a pause of this process.
    ///
    /// Prevents a resumed process from declaring healthy members dead before it has read their
    /// answers. Refutations sent during the pause may be lost, so each suspect is asked again.
    fn handle_own_pause(&mut self, now: TimeMs, out: &mut Vec<MembershipAction>) {
        if now.since(self.last_tick) <= self.settings.own_pause_ms {
            return;
        }
        self.pending_probe = None;
        let suspects: Vec<MemberKey> = self.with_state(MemberState::Suspect);
        for key in suspects {
            self.members.set_state(now, key, MemberState::Suspect);
            self.request_refutation(key, out);
        }
    }

    fn advance_probe(&mut self, now: TimeMs, out: &mut Vec<MembershipAction>) {
        let Some(probe) = self.pending_probe.clone() else { return };
        if now < self.stage_end(&probe) {
            return;
        }
        match probe.stage {
            ProbeStage::Direct => self.send_indirect_probes(probe, out),
            ProbeStage::Indirect => {
                self.pending_probe = None;
                self.suspect(now, probe.target, out);
            }
        }
    }

    fn send_indirect_probes(&mut self, mut probe: PendingProbe, out: &mut Vec<MembershipAction>) {
        let Some(target) = self.members.get(probe.target) else { return };
        let target = target.update.member.node().clone();
        for helper in self.random_live_members(self.settings.indirect_probes, Some(probe.target)) {
            let message = Message::PingFor { probe: probe.probe, target: target.clone() };
            self.send_to(helper, message, out);
        }
        probe.stage = ProbeStage::Indirect;
        self.pending_probe = Some(probe);
    }

    fn suspect(&mut self, now: TimeMs, key: MemberKey, out: &mut Vec<MembershipAction>) {
        if self.members.get(key).is_some_and(|r| r.update.state == MemberState::Alive) {
            self.set_state(now, key, MemberState::Suspect, out);
        }
    }

    fn request_refutation(&self, key: MemberKey, out: &mut Vec<MembershipAction>) {
        let rumours = self.members.get(key).map(|record| record.update.clone());
        let message = Message::Gossip { rumours: rumours.into_iter().collect() };
        self.send_to(key, message, out);
    }

    fn expire_suspicions(&mut self, now: TimeMs, out: &mut Vec<MembershipAction>) {
        let suspect_ms = self.settings.suspect_ms;
        for key in self.with_state(MemberState::Suspect) {
            let due = self.members.get(key).is_some_and(|r| now.since(r.since) >= suspect_ms);
            if due {
                self.set_state(now, key, MemberState::Dead, out);
            }
        }
    }

    fn set_state(
        &mut self,
        now: TimeMs,
        key: MemberKey,
        state: MemberState,
        out: &mut Vec<MembershipAction>,
    ) {
        self.members.set_state(now, key, state);
        self.gossip_queue.push(key);
        if let Some(record) = self.members.get(key) {
            let member = record.update.member.clone();
            out.push(MembershipAction::Changed { member, state });
        }
    }

    /// Sends updates that have not been sent yet to `gossip_fanout` members.
    ///
    /// Piggybacked on probes alone, a refutation can take longer than the suspicion timeout. The
    /// interval limits the load when many members change.
    fn gossip_updates(&mut self, now: TimeMs, out: &mut Vec<MembershipAction>) {
        if now < self.next_gossip_at || !self.gossip_queue.has_fresh() {
            return;
        }
        self.next_gossip_at = now.after(self.settings.gossip_interval_ms);
        let receivers = self.random_live_members(self.settings.gossip_fanout, None);
        let rumours = self.updates_for(None);
        for receiver in receivers {
            self.send_to(receiver, Message::Gossip { rumours: rumours.clone() }, out);
        }
    }

    fn begin_probe(&mut self, now: TimeMs, out: &mut Vec<MembershipAction>) {
        let Some(target) = self.next_target() else {
            // A lost join request must not cost a new node a whole period.
            self.next_probe_at = now.after(self.settings.ack_timeout_ms);
            return self.send_join(out);
        };
        let probe = self.next_probe_number();
        self.pending_probe =
            Some(PendingProbe { probe, target, since: now, stage: ProbeStage::Direct });
        let rumours = self.updates_for(Some(target));
        let me = self.me.clone();
        self.send_to(target, Message::Ping { probe, me, rumours }, out);
    }

    fn next_target(&mut self) -> Option<MemberKey> {
        let members = &self.members;
        let my_key = self.my_key;
        let is_eligible = |key: MemberKey| {
            key != my_key && members.get(key).is_some_and(|r| r.update.state.is_live())
        };
        let refill =
            || members.iter().map(|(key, _)| key).filter(|key| is_eligible(*key)).collect();
        self.order.next(&mut self.rng, refill, is_eligible)
    }

    fn send_join(&mut self, out: &mut Vec<MembershipAction>) {
        let me = &self.me;
        let own = me.member.address;
        out.extend(self.seeds.iter().filter(|seed| **seed != own).map(|seed| {
            MembershipAction::Send { to: *seed, message: Message::Join { me: me.clone() } }
        }));
    }

    pub(crate) fn next_probe_number(&mut self) -> Probe {
        let probe = self.next_probe;
        self.next_probe = probe.next();
        probe
    }

    fn remove_expired(&mut self, now: TimeMs) {
        let ping_timeout_ms = INDIRECT_PING_TIMEOUT_PERIODS * self.settings.probe_period_ms;
        self.indirect_pings.retain(|ping| now.since(ping.since) < ping_timeout_ms);
        let remember_ms = self.settings.remember_dead_ms;
        if now.get() > remember_ms {
            self.members.remove_ended(TimeMs::new(now.get() - remember_ms));
        }
    }

    fn with_state(&self, state: MemberState) -> Vec<MemberKey> {
        let in_state = self.members.iter().filter(|(_, record)| record.update.state == state);
        in_state.map(|(key, _)| key).collect()
    }
}
