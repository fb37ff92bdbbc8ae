use celeryhaven_membership::{MembershipAction, Message};
use celeryhaven_policy::{PolicyEvent, RequestPolicy};
use celeryhaven_spread::{SpreadAction, SpreadMessage};
use celeryhaven_types::store::{ObjectChange, StoreCallId, StoreReply, StoreRequest};
use celeryhaven_types::{NodeName, TimeMs};

use crate::entry::catalogue::CatalogueChange;
use crate::entry::{EntryAction, EntryNode, PeerMessage};

/// Membership and configuration distribution of an entry node.
impl<P: RequestPolicy> EntryNode<P> {
    pub(crate) fn tick_fleet(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        let mut actions = Vec::new();
        if self.fleet.membership.next_wake() <= now {
            self.fleet.membership.tick(now, &mut actions);
            self.apply_membership(now, actions, out);
        }
        if self.fleet.spread.next_wake() <= now {
            let mut actions = Vec::new();
            self.fleet.spread.tick(now, &mut actions);
            self.apply_spread(now, actions, out);
        }
        self.report(now, out);
    }

    pub(crate) fn receive_membership(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        message: Message,
        out: &mut Vec<EntryAction>,
    ) {
        let mut actions = Vec::new();
        self.fleet.membership.receive_message(now, from, message, &mut actions);
        self.apply_membership(now, actions, out);
    }

    pub(crate) fn receive_spread(
        &mut self,
        now: TimeMs,
        from: &NodeName,
        message: SpreadMessage,
        out: &mut Vec<EntryAction>,
    ) {
        let mut actions = Vec::new();
        self.fleet.spread.receive_message(now, from, message, &mut actions);
        self.apply_spread(now, actions, out);
    }

    /// Processes a store reply; returns whether it belongs to distribution or status reporting.
    pub(crate) fn spread_reply(
        &mut self,
        now: TimeMs,
        call: StoreCallId,
        reply: &StoreReply,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        if self.fleet.reporter.awaits(call) {
            self.fleet.reporter.reply(now, reply);
            self.report(now, out);
            return true;
        }
        let Some(feed) = self.fleet.calls.remove(&call) else { return false };
        let mut actions = Vec::new();
        self.fleet.spread.store_reply(now, feed, reply.clone(), &mut actions);
        self.apply_spread(now, actions, out);
        true
    }

    /// Updates eligibility when the local copy of the configuration becomes confirmed or
    /// unconfirmed.
    ///
    /// Runs on every event, so that a node that is cut off stops at the first event after
    /// `vouch_ms`.
    pub(crate) fn check_confirmed(&mut self, now: TimeMs, out: &mut Vec<EntryAction>) {
        let is_confirmed = self.fleet.spread.confirmation(now).allows_serving();
        if std::mem::replace(&mut self.fleet.is_confirmed, is_confirmed) == is_confirmed {
            return;
        }
        if is_confirmed && self.pause.config_read() {
            return self.reconcile(now, out);
        }
        self.announce_all(now, out);
    }

    pub(crate) fn apply_membership(
        &mut self,
        now: TimeMs,
        actions: Vec<MembershipAction>,
        out: &mut Vec<EntryAction>,
    ) {
        let mut has_changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => out.push(EntryAction::SendPeer {
                    address: to,
                    message: PeerMessage::Membership(message),
                }),
                MembershipAction::Changed { .. } | MembershipAction::Superseded { .. } => {
                    has_changed = true;
                }
            }
        }
        if has_changed {
            self.fleet.update_surroundings();
            self.peers.set(self.fleet.others());
            self.observe_due_at = now;
        }
    }

    fn apply_spread(
        &mut self,
        now: TimeMs,
        actions: Vec<SpreadAction>,
        out: &mut Vec<EntryAction>,
    ) {
        let mut changed = CatalogueChange::default();
        for action in actions {
            match action {
                SpreadAction::Send { to, message } => self.send_spread(&to, message, out),
                SpreadAction::Store { feed, request } => self.call_for_spread(feed, request, out),
                SpreadAction::Changed(change) => self.apply_object(&change, &mut changed),
            }
        }
        self.apply_catalogue_change(now, changed, out);
    }

    fn send_spread(&self, to: &NodeName, message: SpreadMessage, out: &mut Vec<EntryAction>) {
        let Some((member, _)) = self.fleet.membership.find(to) else { return };
        let message = PeerMessage::Spread(message);
        out.push(EntryAction::SendPeer { address: member.address, message });
    }

    fn call_for_spread(&mut self, feed: usize, request: StoreRequest, out: &mut Vec<EntryAction>) {
        let call = self.next_call();
        self.fleet.calls.insert(call, feed);
        out.push(EntryAction::Store { call, request });
    }

    fn apply_object(&mut self, change: &ObjectChange, changed: &mut CatalogueChange) {
        let this = self.catalogue.apply(change);
        changed.config |= this.config;
        changed.placement |= this.placement;
    }

    /// Applies a newer configuration or placement.
    fn apply_catalogue_change(
        &mut self,
        now: TimeMs,
        changed: CatalogueChange,
        out: &mut Vec<EntryAction>,
    ) {
        if changed.config
            && let Some(config) = self.catalogue.config()
        {
            let version = self.fleet.spread.confirmed_object_version();
            self.fleet.reporter.in_force(version, config.number);
            let organisations = config.intent.organisations.clone();
            self.notify_policy(
                now,
                PolicyEvent::Organisations { organisations: &organisations },
                out,
            );
        }
        if changed != CatalogueChange::default() {
            self.reconcile(now, out);
        }
    }
}
