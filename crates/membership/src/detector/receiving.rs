use celeryhaven_types::{NodeName, TimeMs};

use crate::detector::membership::Relayed;
use crate::detector::{Membership, MembershipAction};
use crate::member::{MemberState, MembershipUpdate};
use crate::message::{Message, Probe};
use crate::table::{Heard, MemberKey};

/// Rumours in one part of the answer to a join.
const MEMBERS_PER_PART: usize = 12;

/// Messages of other nodes.
impl Membership {
    /// Takes a message that came from `from`, the name in its certificate.
    ///
    /// What a message says of its own sender counts only if the names agree.
    pub fn receive_message(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        message: Message,
        out: &mut Vec<MembershipAction>,
    ) {
        self.last_contact = Some(now);
        let sender = message.sender().filter(|me| me.member.node() == from);
        if sender.is_some_and(|sender| self.tell_superseded(sender, out)) {
            return;
        }
        let is_news = !matches!(message, Message::Members { .. });
        for rumour in sender.into_iter().chain(message.updates()) {
            self.take_rumour(now, rumour, is_news, out);
        }
        let Some(key) = self.members.key(from) else { return };
        if std::mem::take(&mut self.refuted) {
            // The sender may have missed the refutation that others have: tell it directly.
            self.send_to(key, Message::Gossip { rumours: vec![self.me.clone()] }, out);
        }
        match message {
            Message::Ping { probe, .. } => self.answer(key, probe, out),
            Message::Ack { probe, .. } => self.answered(now, probe, out),
            Message::PingFor { probe, target } => self.ping_for(now, key, probe, &target, out),
            Message::Join { .. } => self.welcome(key, out),
            Message::Gossip { .. } | Message::Members { .. } => {}
        }
    }

    /// Tells membership of a member that was learnt of elsewhere, such as from the VM list.
    pub fn apply_update(
        &mut self,
        now: TimeMs,
        rumour: &MembershipUpdate,
        out: &mut Vec<MembershipAction>,
    ) {
        self.take_rumour(now, rumour, true, out);
    }

    /// Takes a rumour; `is_news` says whether others may not know it yet.
    ///
    /// The members that a fresh node is told are no news: were each passed on, a fleet that starts
    /// together would send every rumour from every node for ten minutes.
    fn take_rumour(
        &mut self,
        now: TimeMs,
        rumour: &MembershipUpdate,
        is_news: bool,
        out: &mut Vec<MembershipAction>,
    ) {
        if rumour.member.node() == self.me.member.node() {
            return self.hear_of_myself(now, rumour, out);
        }
        let known_before = self.members.key(rumour.member.node()).is_some();
        let Heard::Changed(key) = self.members.hear(now, rumour) else { return };
        if is_news {
            self.rumours.push(key);
        }
        if !known_before {
            self.order.insert(&mut self.rng, key);
        }
        let (member, state) = (rumour.member.clone(), rumour.state);
        out.push(MembershipAction::Changed { member, state });
    }

    /// Tells a sender that a later start of its node is known.
    ///
    /// Answers to it would go to its successor's address, so it is told at its own.
    fn tell_superseded(&self, sender: &MembershipUpdate, out: &mut Vec<MembershipAction>) -> bool {
        let Some(known) = self.members.find(sender.member.node()) else { return false };
        let known = &known.rumour;
        if known.member.incarnation.boot <= sender.member.incarnation.boot {
            return false;
        }
        let message = Message::Gossip { rumours: vec![known.clone()] };
        out.push(MembershipAction::Send { to: sender.member.address, message });
        true
    }

    /// Refutes what others believe of this node, or learns that it has been replaced.
    ///
    /// Failure: a process that was paused past its VM's replacement wakes and serves beside its
    /// successor under the same name. It shows as two nodes answering for one name. The guard
    /// holds since a successor has a later boot, which overrides this node's word everywhere, and
    /// every probe of this node is answered with it.
    fn hear_of_myself(
        &mut self,
        now: TimeMs,
        rumour: &MembershipUpdate,
        out: &mut Vec<MembershipAction>,
    ) {
        let by = &rumour.member.incarnation;
        if by.boot > self.me.member.incarnation.boot {
            self.superseded = true;
            out.push(MembershipAction::Superseded { by: by.clone() });
            return;
        }
        let about_this_boot = by.boot == self.me.member.incarnation.boot;
        let wrong = rumour.state != MemberState::Alive && self.me.state == MemberState::Alive;
        if !(about_this_boot && wrong) {
            return;
        }
        if rumour.refutation >= self.me.refutation {
            self.me.refutation = rumour.refutation;
            self.restate(now);
        }
        self.refuted = true;
    }

    fn answer(&mut self, sender: MemberKey, probe: Probe, out: &mut Vec<MembershipAction>) {
        let rumours = self.rumours_for(Some(sender));
        self.send_to(sender, Message::Ack { probe, rumours }, out);
    }

    fn answered(&mut self, now: TimeMs, probe: Probe, out: &mut Vec<MembershipAction>) {
        if self.under_way.as_ref().is_some_and(|under_way| under_way.probe == probe) {
            self.under_way = None;
        }
        let Some(place) = self.relayed.iter().position(|relayed| relayed.own_probe == probe) else {
            return;
        };
        let relayed = self.relayed.swap_remove(place);
        if now.since(relayed.since) < self.settings.probe_period_ms {
            let message = Message::Ack { probe: relayed.their_probe, rumours: Vec::new() };
            self.send_to(relayed.asker, message, out);
        }
    }

    fn ping_for(
        &mut self,
        now: TimeMs,
        asker: MemberKey,
        their_probe: Probe,
        target: &NodeName,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(key) = self.members.key(target) else { return };
        let own_probe = self.take_probe_number();
        self.relayed.push(Relayed { own_probe, their_probe, asker, since: now });
        let rumours = self.rumours_for(Some(key));
        let me = self.me.clone();
        self.send_to(key, Message::Ping { probe: own_probe, me, rumours }, out);
    }

    fn welcome(&mut self, joiner: MemberKey, out: &mut Vec<MembershipAction>) {
        let all: Vec<MembershipUpdate> =
            self.members.iter().map(|(_, record)| record.rumour.clone()).collect();
        for part in all.chunks(MEMBERS_PER_PART) {
            self.send_to(joiner, Message::Members { rumours: part.to_vec() }, out);
        }
    }
}
