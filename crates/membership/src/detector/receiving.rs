use celeryhaven_types::{NodeName, TimeMs};

use crate::detector::membership::IndirectPing;
use crate::detector::{Membership, MembershipAction};
use crate::member::{MemberState, MembershipUpdate};
use crate::message::{Message, Probe};
use crate::table::{MemberKey, UpdateOutcome};

/// Updates in one message of the answer to a join.
const MEMBERS_PER_MESSAGE_MAX: usize = 12;

/// Messages from other nodes.
impl Membership {
    /// Processes a message from `from`, the name in its certificate.
    ///
    /// The sender's own update in the message is ignored unless its name is `from`.
    pub fn receive_message(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        message: Message,
        out: &mut Vec<MembershipAction>,
    ) {
        self.last_contact = Some(now);
        let sender = message.sender().filter(|me| me.member.node() == from);
        if sender.is_some_and(|sender| self.notify_superseded(sender, out)) {
            return;
        }
        let is_new = !matches!(message, Message::Members { .. });
        for update in sender.into_iter().chain(message.updates()) {
            self.handle_update(now, update, is_new, out);
        }
        let Some(key) = self.members.key(from) else { return };
        if std::mem::take(&mut self.refutation_due) {
            // The sender may have missed an earlier refutation.
            self.send_to(key, Message::Gossip { rumours: vec![self.me.clone()] }, out);
        }
        match message {
            Message::Ping { probe, .. } => self.send_ack(key, probe, out),
            Message::Ack { probe, .. } => self.handle_ack(now, probe, out),
            Message::PingFor { probe, target } => self.ping_for_peer(now, key, probe, &target, out),
            Message::Join { .. } => self.send_members(key, out),
            Message::Gossip { .. } | Message::Members { .. } => {}
        }
    }

    /// Applies an update from another source, such as the VM list.
    pub fn apply_update(
        &mut self,
        now: TimeMs,
        update: &MembershipUpdate,
        out: &mut Vec<MembershipAction>,
    ) {
        self.handle_update(now, update, true, out);
    }

    /// Applies an update and forwards it if `is_new`.
    ///
    /// Members listed in the answer to a join are not forwarded; otherwise a fleet that starts
    /// together would send the updates of all members from every node.
    fn handle_update(
        &mut self,
        now: TimeMs,
        update: &MembershipUpdate,
        is_new: bool,
        out: &mut Vec<MembershipAction>,
    ) {
        if update.member.node() == self.me.member.node() {
            return self.handle_update_about_self(now, update, out);
        }
        let was_known = self.members.key(update.member.node()).is_some();
        let UpdateOutcome::Applied(key) = self.members.apply(now, update) else { return };
        if is_new {
            self.gossip_queue.push(key);
        }
        if !was_known {
            self.order.insert(&mut self.rng, key);
        }
        let (member, state) = (update.member.clone(), update.state);
        out.push(MembershipAction::Changed { member, state });
    }

    /// Notifies a sender if a later boot of its node is known; returns whether it is.
    ///
    /// The message goes to the sender's own address, since the table has that of its successor.
    fn notify_superseded(
        &self,
        sender: &MembershipUpdate,
        out: &mut Vec<MembershipAction>,
    ) -> bool {
        let Some(known) = self.members.find(sender.member.node()) else { return false };
        let known = &known.update;
        if known.member.incarnation.boot <= sender.member.incarnation.boot {
            return false;
        }
        let message = Message::Gossip { rumours: vec![known.clone()] };
        out.push(MembershipAction::Send { to: sender.member.address, message });
        true
    }

    /// Refutes an update that reports this node as suspect, dead or left, or detects that the node
    /// has been replaced.
    ///
    /// Prevents a process that resumes after its VM was replaced from serving next to its
    /// successor: the later boot overrides this one on every member.
    fn handle_update_about_self(
        &mut self,
        now: TimeMs,
        update: &MembershipUpdate,
        out: &mut Vec<MembershipAction>,
    ) {
        let by = &update.member.incarnation;
        if by.boot > self.me.member.incarnation.boot {
            self.superseded = true;
            out.push(MembershipAction::Superseded { by: by.clone() });
            return;
        }
        let is_about_this_boot = by.boot == self.me.member.incarnation.boot;
        let is_wrong = update.state != MemberState::Alive && self.me.state == MemberState::Alive;
        if !(is_about_this_boot && is_wrong) {
            return;
        }
        if update.refutation >= self.me.refutation {
            self.me.refutation = update.refutation;
            self.publish_own_state(now);
        }
        self.refutation_due = true;
    }

    fn send_ack(&mut self, sender: MemberKey, probe: Probe, out: &mut Vec<MembershipAction>) {
        let rumours = self.updates_for(Some(sender));
        self.send_to(sender, Message::Ack { probe, rumours }, out);
    }

    fn handle_ack(&mut self, now: TimeMs, probe: Probe, out: &mut Vec<MembershipAction>) {
        if self.pending_probe.as_ref().is_some_and(|pending| pending.probe == probe) {
            self.pending_probe = None;
        }
        let Some(index) = self.indirect_pings.iter().position(|ping| ping.own_probe == probe)
        else {
            return;
        };
        let ping = self.indirect_pings.swap_remove(index);
        if now.since(ping.since) < self.settings.probe_period_ms {
            let message = Message::Ack { probe: ping.requester_probe, rumours: Vec::new() };
            self.send_to(ping.requester, message, out);
        }
    }

    fn ping_for_peer(
        &mut self,
        now: TimeMs,
        requester: MemberKey,
        requester_probe: Probe,
        target: &NodeName,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(key) = self.members.key(target) else { return };
        let own_probe = self.next_probe_number();
        self.indirect_pings.push(IndirectPing {
            own_probe,
            requester_probe,
            requester,
            since: now,
        });
        let rumours = self.updates_for(Some(key));
        let me = self.me.clone();
        self.send_to(key, Message::Ping { probe: own_probe, me, rumours }, out);
    }

    fn send_members(&mut self, joiner: MemberKey, out: &mut Vec<MembershipAction>) {
        let all: Vec<MembershipUpdate> =
            self.members.iter().map(|(_, record)| record.update.clone()).collect();
        for part in all.chunks(MEMBERS_PER_MESSAGE_MAX) {
            self.send_to(joiner, Message::Members { rumours: part.to_vec() }, out);
        }
    }
}
