use std::net::SocketAddr;

use celeryhaven_types::{Incarnation, NodeName, TimeMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::detector::MembershipAction;
use crate::gossip::GossipQueue;
use crate::member::{Member, MemberPhase, MemberState, MembershipUpdate};
use crate::message::{Message, Probe};
use crate::probing::{PendingProbe, ProbeOrder};
use crate::settings::MembershipSettings;
use crate::table::{MemberKey, Members};

/// One node's view of the members.
///
/// Drive it with [`Membership::tick`] at [`Membership::next_wake`] and
/// [`Membership::receive_message`] for each message; execute the [`MembershipAction`]s that it
/// appends.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) me: MembershipUpdate,
    pub(crate) my_key: MemberKey,
    pub(crate) members: Members,
    pub(crate) gossip_queue: GossipQueue,
    pub(crate) order: ProbeOrder,
    pub(crate) pending_probe: Option<PendingProbe>,
    pub(crate) indirect_pings: Vec<IndirectPing>,
    pub(crate) next_probe: Probe,
    pub(crate) next_probe_at: TimeMs,
    pub(crate) next_gossip_at: TimeMs,
    pub(crate) last_tick: TimeMs,
    pub(crate) last_contact: Option<TimeMs>,
    pub(crate) superseded: bool,
    /// Whether the message being processed reported a wrong state of this node.
    pub(crate) refutation_due: bool,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) rng: SmallRng,
}

/// A ping sent on behalf of another node.
#[derive(Clone, Debug)]
pub(crate) struct IndirectPing {
    pub(crate) own_probe: Probe,
    pub(crate) requester_probe: Probe,
    pub(crate) requester: MemberKey,
    pub(crate) since: TimeMs,
}

/// Construction.
impl Membership {
    /// Creates a view with this node as the only member.
    pub fn new(now: TimeMs, me: Member, settings: MembershipSettings, seed: u64) -> Self {
        let me = MembershipUpdate { member: me, state: MemberState::Alive, refutation: 0 };
        let mut members = Members::default();
        members.apply(now, &me);
        let my_key = members.key(me.member.node()).unwrap_or_default();
        Self {
            settings,
            me,
            my_key,
            members,
            gossip_queue: GossipQueue::default(),
            order: ProbeOrder::default(),
            pending_probe: None,
            indirect_pings: Vec::new(),
            next_probe: Probe::new(1),
            next_probe_at: now,
            next_gossip_at: now,
            last_tick: now,
            last_contact: None,
            superseded: false,
            refutation_due: false,
            seeds: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the peer addresses that receive join requests while no other member is known.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }
}

/// Queries.
impl Membership {
    /// Returns the description of this node.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// Returns the members that are alive or suspect, including this node, by name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|(_, record)| record.update.state.is_live())
            .map(|(_, record)| &record.update.member)
    }

    /// Returns the member with this name and its state.
    pub fn find(&self, node: &NodeName) -> Option<(&Member, MemberState)> {
        self.members.find(node).map(|record| (&record.update.member, record.update.state))
    }

    /// Whether this boot of a node is alive or suspect.
    pub fn is_live(&self, incarnation: &Incarnation) -> bool {
        self.find(&incarnation.node)
            .is_some_and(|(member, state)| member.incarnation == *incarnation && state.is_live())
    }

    /// Returns the number of members that answer, and of those known within `remember_dead_ms`
    /// except members that left; both include this node.
    ///
    /// A node to which at most half of the known members answer considers itself cut off.
    pub fn answering_and_known(&self) -> (usize, usize) {
        self.members.iter().fold((0, 0), |(answering, known), (_, record)| {
            match record.update.state {
                MemberState::Alive => (answering + 1, known + 1),
                MemberState::Suspect | MemberState::Dead => (answering, known + 1),
                MemberState::Left => (answering, known),
            }
        })
    }

    /// Returns when the last message from another node arrived.
    pub fn last_contact(&self) -> Option<TimeMs> {
        self.last_contact
    }

    /// Whether a later boot has replaced this process.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns when [`Membership::tick`] is due.
    pub fn next_wake(&self) -> TimeMs {
        let stage_end = self.pending_probe.as_ref().map(|probe| self.stage_end(probe));
        let gossip = self.gossip_queue.has_fresh().then_some(self.next_gossip_at);
        stage_end.into_iter().chain(gossip).fold(self.next_probe_at, TimeMs::min)
    }
}

/// Changes of this node's own state.
impl Membership {
    /// Announces to all members that this node will stop soon.
    pub fn announce_leaving(&mut self, now: TimeMs) {
        self.me.member.phase = MemberPhase::Leaving;
        self.publish_own_state(now);
    }

    /// Notifies some members that this node stops now; the driver then stops it.
    pub fn leave(&mut self, now: TimeMs, out: &mut Vec<MembershipAction>) {
        self.me.state = MemberState::Left;
        self.publish_own_state(now);
        let receivers = self.random_live_members(self.settings.indirect_probes, None);
        for key in receivers {
            let message = Message::Gossip { rumours: vec![self.me.clone()] };
            self.send_to(key, message, out);
        }
    }

    /// Increments the refutation count, so that this node's own update overrides all others.
    pub(crate) fn publish_own_state(&mut self, now: TimeMs) {
        self.me.refutation = self.me.refutation.saturating_add(1);
        self.members.apply(now, &self.me);
        self.gossip_queue.push(self.my_key);
    }
}

/// Sending.
impl Membership {
    pub(crate) fn send_to(
        &self,
        key: MemberKey,
        message: Message,
        out: &mut Vec<MembershipAction>,
    ) {
        if let Some(record) = self.members.get(key) {
            out.push(MembershipAction::Send { to: record.update.member.address, message });
        }
    }

    /// Returns the updates for one message, including the receiver's own if it has to refute it.
    pub(crate) fn updates_for(&mut self, receiver: Option<MemberKey>) -> Vec<MembershipUpdate> {
        let members = self.members.iter().count();
        let mut keys = self.gossip_queue.take(self.settings.updates_per_message, members);
        if let Some(key) = receiver.filter(|key| self.needs_refutation(*key) && !keys.contains(key))
        {
            keys.push(key);
        }
        keys.into_iter()
            .filter_map(|key| self.members.get(key).map(|record| record.update.clone()))
            .collect()
    }

    /// Returns up to `count` other live members at random.
    pub(crate) fn random_live_members(
        &mut self,
        count: usize,
        except: Option<MemberKey>,
    ) -> Vec<MemberKey> {
        let mut others = self.other_live_members(except);
        others.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    pub(crate) fn other_live_members(&self, except: Option<MemberKey>) -> Vec<MemberKey> {
        self.members
            .iter()
            .filter(|(key, record)| {
                *key != self.my_key && Some(*key) != except && record.update.state.is_live()
            })
            .map(|(key, _)| key)
            .collect()
    }

    fn needs_refutation(&self, key: MemberKey) -> bool {
        self.members.get(key).is_some_and(|record| record.update.state != MemberState::Alive)
    }
}
