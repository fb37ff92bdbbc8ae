use std::net::SocketAddr;

use celeryhaven_types::{Incarnation, NodeName, TimeMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::detector::MembershipAction;
use crate::member::{Member, MemberPhase, MemberState, MembershipUpdate};
use crate::message::{Message, Probe};
use crate::probing::{ProbeOrder, UnderWay};
use crate::rumours::RumourQueue;
use crate::settings::MembershipSettings;
use crate::table::{MemberKey, Members};

/// One node's view of who is a member.
///
/// Drive it with [`Membership::tick`] at [`Membership::next_wake`] and [`Membership::receive_message`] for
/// each message; carry out the [`MembershipAction`]s it appends.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) me: MembershipUpdate,
    pub(crate) my_key: MemberKey,
    pub(crate) members: Members,
    pub(crate) rumours: RumourQueue,
    pub(crate) order: ProbeOrder,
    pub(crate) under_way: Option<UnderWay>,
    pub(crate) relayed: Vec<Relayed>,
    pub(crate) next_probe: Probe,
    pub(crate) next_probe_at: TimeMs,
    pub(crate) next_gossip_at: TimeMs,
    pub(crate) last_tick: TimeMs,
    pub(crate) last_contact: Option<TimeMs>,
    pub(crate) superseded: bool,
    /// Whether the message being heard spoke wrongly of this node.
    pub(crate) refuted: bool,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) rng: SmallRng,
}

/// A ping sent for another node.
#[derive(Clone, Debug)]
pub(crate) struct Relayed {
    pub(crate) own_probe: Probe,
    pub(crate) their_probe: Probe,
    pub(crate) asker: MemberKey,
    pub(crate) since: TimeMs,
}

/// Construction.
impl Membership {
    /// Starts with this node as the only member.
    pub fn new(now: TimeMs, me: Member, settings: MembershipSettings, seed: u64) -> Self {
        let me = MembershipUpdate { member: me, state: MemberState::Alive, refutation: 0 };
        let mut members = Members::default();
        members.hear(now, &me);
        let my_key = members.key(me.member.node()).unwrap_or_default();
        Self {
            settings,
            me,
            my_key,
            members,
            rumours: RumourQueue::default(),
            order: ProbeOrder::default(),
            under_way: None,
            relayed: Vec::new(),
            next_probe: Probe::new(1),
            next_probe_at: now,
            next_gossip_at: now,
            last_tick: now,
            last_contact: None,
            superseded: false,
            refuted: false,
            seeds: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the peer addresses that are asked to join while no other member is known.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }
}

/// What is known.
impl Membership {
    /// This node as others see it.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// Members that may run, this node included, by name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|(_, record)| record.rumour.state.is_live())
            .map(|(_, record)| &record.rumour.member)
    }

    /// The member with this name, and what is believed of it.
    pub fn find(&self, node: &NodeName) -> Option<(&Member, MemberState)> {
        self.members.find(node).map(|record| (&record.rumour.member, record.rumour.state))
    }

    /// Whether this very start of a node may still run.
    pub fn is_live(&self, incarnation: &Incarnation) -> bool {
        self.find(&incarnation.node)
            .is_some_and(|(member, state)| member.incarnation == *incarnation && state.is_live())
    }

    /// Members that answer, this node included, and members known within
    /// `remember_dead_ms`, except those that left by themselves.
    ///
    /// A node that sees no more than half of those it knows takes itself for the one cut off.
    pub fn answering_and_known(&self) -> (usize, usize) {
        self.members.iter().fold((0, 0), |(answering, known), (_, record)| {
            match record.rumour.state {
                MemberState::Alive => (answering + 1, known + 1),
                MemberState::Suspect | MemberState::Dead => (answering, known + 1),
                MemberState::Left => (answering, known),
            }
        })
    }

    /// When a message of another node last came in.
    pub fn last_contact(&self) -> Option<TimeMs> {
        self.last_contact
    }

    /// Whether a later start of this node has replaced it.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// When [`Membership::tick`] is due.
    pub fn next_wake(&self) -> TimeMs {
        let stage_end = self.under_way.as_ref().map(|probe| self.stage_end(probe));
        let gossip = self.rumours.has_fresh().then_some(self.next_gossip_at);
        stage_end.into_iter().chain(gossip).fold(self.next_probe_at, TimeMs::min)
    }
}

/// What this node says of itself.
impl Membership {
    /// Tells everybody that this node will stop soon.
    pub fn announce_leaving(&mut self, now: TimeMs) {
        self.me.member.phase = MemberPhase::Leaving;
        self.restate(now);
    }

    /// Tells some members that this node stops now; the driver then stops it.
    pub fn leave(&mut self, now: TimeMs, out: &mut Vec<MembershipAction>) {
        self.me.state = MemberState::Left;
        self.restate(now);
        let told = self.some_others(self.settings.indirect_probes, None);
        for key in told {
            let message = Message::Gossip { rumours: vec![self.me.clone()] };
            self.send_to(key, message, out);
        }
    }

    /// Raises the refutation count, so that this word overrides whatever is said of this node.
    pub(crate) fn restate(&mut self, now: TimeMs) {
        self.me.refutation = self.me.refutation.saturating_add(1);
        self.members.hear(now, &self.me);
        self.rumours.push(self.my_key);
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
            out.push(MembershipAction::Send { to: record.rumour.member.address, message });
        }
    }

    /// Rumours for one message, and what is believed of the receiver if it should refute it.
    pub(crate) fn rumours_for(&mut self, receiver: Option<MemberKey>) -> Vec<MembershipUpdate> {
        let members = self.members.iter().count();
        let mut keys = self.rumours.take(self.settings.updates_per_message, members);
        if let Some(key) = receiver.filter(|key| self.should_refute(*key) && !keys.contains(key)) {
            keys.push(key);
        }
        keys.into_iter()
            .filter_map(|key| self.members.get(key).map(|record| record.rumour.clone()))
            .collect()
    }

    /// Up to `count` other live members at random.
    pub(crate) fn some_others(
        &mut self,
        count: usize,
        except: Option<MemberKey>,
    ) -> Vec<MemberKey> {
        let mut others = self.other_live(except);
        others.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    pub(crate) fn other_live(&self, except: Option<MemberKey>) -> Vec<MemberKey> {
        self.members
            .iter()
            .filter(|(key, record)| {
                *key != self.my_key && Some(*key) != except && record.rumour.state.is_live()
            })
            .map(|(key, _)| key)
            .collect()
    }

    fn should_refute(&self, key: MemberKey) -> bool {
        self.members.get(key).is_some_and(|record| record.rumour.state != MemberState::Alive)
    }
}
