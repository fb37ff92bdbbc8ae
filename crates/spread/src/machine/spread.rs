use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::store::{ObjectKey, ObjectVersion};
use celeryhaven_types::{NodeName, TimeMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cache::ObjectCache;
use crate::evidence::{Confirmation, Confirmed};
use crate::feed::Feed;
use crate::machine::{FleetView, Wanted};
use crate::message::{QueryId, Summary};
use crate::settings::SpreadSettings;

/// One node's copy of the spread objects, and what it may say of them.
///
/// Drive it with [`Spread::tick`] at [`Spread::next_wake`], [`Spread::receive_message`] for each message and
/// [`Spread::store_reply`] for each answer of the Object API; carry out the
/// [`SpreadAction`](super::SpreadAction)s it appends.
#[derive(Clone, Debug)]
pub struct Spread {
    pub(crate) settings: SpreadSettings,
    pub(crate) cache: ObjectCache,
    pub(crate) vouched_key: ObjectKey,
    pub(crate) feeds: Vec<Feed>,
    pub(crate) fleet_view: FleetView,
    pub(crate) confirmed: Confirmed,
    pub(crate) agreed: BTreeSet<NodeName>,
    pub(crate) wanted: BTreeMap<ObjectKey, Wanted>,
    pub(crate) asked: BTreeMap<QueryId, (NodeName, TimeMs)>,
    pub(crate) differing: BTreeMap<NodeName, u64>,
    /// Version of the vouched object at each node that has asked.
    pub(crate) held_by_others: BTreeMap<NodeName, ObjectVersion>,
    pub(crate) next_ask: QueryId,
    pub(crate) next_ask_at: TimeMs,
    pub(crate) last_contact: Option<TimeMs>,
    pub(crate) started_at: TimeMs,
    pub(crate) is_primed: bool,
    /// Whether a peer has said that it holds nothing newer, since the start or the last wake.
    pub(crate) has_been_told: bool,
    pub(crate) rng: SmallRng,
}

/// Construction.
impl Spread {
    /// Starts with nothing held.
    ///
    /// `prefixes` are followed at the Object API; `vouched_key`, below one of them, is the object
    /// that the node vouches for.
    pub fn new(
        now: TimeMs,
        settings: SpreadSettings,
        prefixes: Vec<ObjectKey>,
        vouched_key: ObjectKey,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            cache: ObjectCache::default(),
            vouched_key,
            feeds: prefixes.into_iter().map(Feed::new).collect(),
            fleet_view: FleetView::default(),
            confirmed: Confirmed::default(),
            agreed: BTreeSet::new(),
            wanted: BTreeMap::new(),
            asked: BTreeMap::new(),
            differing: BTreeMap::new(),
            held_by_others: BTreeMap::new(),
            next_ask: QueryId::new(1),
            next_ask_at: now,
            last_contact: None,
            started_at: now,
            is_primed: false,
            has_been_told: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

/// What is held.
impl Spread {
    /// The objects.
    pub const fn cache(&self) -> &ObjectCache {
        &self.cache
    }

    /// What this node would tell another one now.
    pub fn summary(&self, now: TimeMs) -> Summary {
        Summary {
            fingerprint: self.cache.fingerprint(),
            vouched: self.confirmed_object_version(),
            proof_age_ms: self.confirmed.age_ms(now),
        }
    }

    /// The lowest version of the vouched object among the nodes of this data centre, this one
    /// included, as each said when it last asked.
    pub fn lowest_data_centre_version(&self) -> ObjectVersion {
        let near = self.fleet_view.peers.iter().filter(|peer| peer.in_same_data_centre);
        let held = near.filter_map(|peer| self.held_by_others.get(&peer.node).copied());
        held.fold(self.confirmed_object_version(), ObjectVersion::min)
    }

    /// Whether this node has once held all that the Object API or another node held.
    pub const fn is_primed(&self) -> bool {
        self.is_primed
    }

    /// Whether this node may vouch for its copy now.
    ///
    /// Failure: a node that is cut off from the Object API and from its peers goes on serving with
    /// a configuration that operators have replaced. It shows as callers who get an old answer from
    /// one address. The guard holds since evidence ages on this node's own clock from the moment
    /// the question for it was sent. The exception for an outage asks for more than half of the
    /// nodes, heard from lately; fresh evidence of any of them would have become this node's own. A
    /// minority that is cut off together does not qualify.
    pub fn confirmation(&self, now: TimeMs) -> Confirmation {
        let vouched = self.confirmed_object_version();
        if vouched == ObjectVersion::default() || !self.has_met_somebody(now) {
            return Confirmation::Withheld;
        }
        let age_ms = self.confirmed.age_ms(now);
        if age_ms.is_some_and(|age_ms| age_ms <= self.settings.vouch_ms) {
            return Confirmation::Confirmed;
        }
        match self.is_outage_for_all(now) {
            true => Confirmation::Outage,
            false => Confirmation::Withheld,
        }
    }

    /// When [`Spread::tick`] is due.
    pub fn next_wake(&self) -> TimeMs {
        let want = self.wanted.values().map(|wanted| wanted.until).min();
        let ask = want.map_or(self.next_ask_at, |want| want.min(self.next_ask_at));
        let due = self.active_feeds().filter_map(|feed| self.feeds[feed].next_wake()).min();
        let read = due.map(|due| due.max(self.follows_store_since()));
        read.map_or(ask, |read| read.min(ask))
    }
}

/// What surrounds the node.
impl Spread {
    /// Notes when the process began, for a node that is made before its clock is read.
    pub fn set_start_time(&mut self, now: TimeMs) {
        self.started_at = now;
        self.next_ask_at = now;
    }

    /// Takes membership's view; call it whenever that changes.
    pub fn set_fleet_view(&mut self, fleet_view: FleetView) {
        let had_nobody = self.fleet_view.peers.is_empty();
        self.fleet_view = fleet_view;
        let peers = &self.fleet_view.peers;
        self.held_by_others.retain(|node, _| peers.iter().any(|peer| peer.node == *node));
        if had_nobody && !self.has_been_told {
            // The first question waited for somebody to ask.
            self.next_ask_at = TimeMs::default();
        }
    }

    /// Forgets all evidence: the process was away and knows nothing of the time between.
    pub fn resume(&mut self, now: TimeMs) {
        self.confirmed.forget();
        self.agreed.clear();
        self.asked.clear();
        self.has_been_told = false;
        self.last_contact = None;
        self.next_ask_at = now;
    }
}

/// Judging.
impl Spread {
    /// Version of the vouched object held here; zero if none.
    pub fn confirmed_object_version(&self) -> ObjectVersion {
        self.cache.version(&self.vouched_key).unwrap_or_default()
    }

    /// Whether another node has said what it holds, unless there is none.
    ///
    /// Failure: a fresh relay gets an old read from the Object API and takes it for current. The
    /// first word of any peer that is ahead corrects it, so it waits for one.
    fn has_met_somebody(&self, now: TimeMs) -> bool {
        let is_alone = self.fleet_view.peers.is_empty();
        let has_waited = now.since(self.started_at) >= self.settings.startup_wait_ms;
        self.has_been_told || (is_alone && has_waited)
    }

    fn is_outage_for_all(&self, now: TimeMs) -> bool {
        let in_contact = |at: TimeMs| now.since(at) <= self.settings.contact_timeout_ms;
        let others = self.fleet_view.known.saturating_sub(1);
        let enough = self.settings.confirmations.min(others);
        self.fleet_view.is_majority()
            && self.agreed.len() >= enough
            && (others == 0 || self.last_contact.is_some_and(in_contact))
    }
}
