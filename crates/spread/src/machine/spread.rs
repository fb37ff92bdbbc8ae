use std::collections::{BTreeMap, BTreeSet};

use celeryhaven_types::store::{ObjectKey, ObjectVersion};
use celeryhaven_types::{NodeName, TimeMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cache::ObjectCache;
use crate::evidence::{Confirmation, LastConfirmed};
use crate::feed::Feed;
use crate::machine::{FleetView, PendingFetch};
use crate::message::{QueryId, Summary};
use crate::settings::SpreadSettings;

/// One node's copy of the replicated objects, and whether it is current.
///
/// Drive it with [`Spread::tick`] at [`Spread::next_wake`], [`Spread::receive_message`] for each
/// message and [`Spread::store_reply`] for each answer of the Object API; execute the
/// [`SpreadAction`](super::SpreadAction)s that it appends.
#[derive(Clone, Debug)]
pub struct Spread {
    pub(crate) settings: SpreadSettings,
    pub(crate) cache: ObjectCache,
    pub(crate) confirmed_key: ObjectKey,
    pub(crate) feeds: Vec<Feed>,
    pub(crate) fleet_view: FleetView,
    pub(crate) last_confirmed: LastConfirmed,
    pub(crate) agreeing_peers: BTreeSet<NodeName>,
    pub(crate) pending_fetches: BTreeMap<ObjectKey, PendingFetch>,
    pub(crate) pending_queries: BTreeMap<QueryId, (NodeName, TimeMs)>,
    pub(crate) mismatch_counts: BTreeMap<NodeName, u64>,
    /// Version of the confirmed object at each node, from its last query.
    pub(crate) peer_versions: BTreeMap<NodeName, ObjectVersion>,
    pub(crate) next_query: QueryId,
    pub(crate) next_query_at: TimeMs,
    pub(crate) last_contact: Option<TimeMs>,
    pub(crate) started_at: TimeMs,
    pub(crate) is_primed: bool,
    /// Whether a peer has agreed that nothing newer exists, since the start or the last pause.
    pub(crate) has_peer_agreement: bool,
    pub(crate) rng: SmallRng,
}

/// Construction.
impl Spread {
    /// Creates a node with an empty cache.
    ///
    /// `prefixes` are followed at the Object API; `confirmed_key`, under one of them, is the object
    /// whose copy the node confirms.
    pub fn new(
        now: TimeMs,
        settings: SpreadSettings,
        prefixes: Vec<ObjectKey>,
        confirmed_key: ObjectKey,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            cache: ObjectCache::default(),
            confirmed_key,
            feeds: prefixes.into_iter().map(Feed::new).collect(),
            fleet_view: FleetView::default(),
            last_confirmed: LastConfirmed::default(),
            agreeing_peers: BTreeSet::new(),
            pending_fetches: BTreeMap::new(),
            pending_queries: BTreeMap::new(),
            mismatch_counts: BTreeMap::new(),
            peer_versions: BTreeMap::new(),
            next_query: QueryId::new(1),
            next_query_at: now,
            last_contact: None,
            started_at: now,
            is_primed: false,
            has_peer_agreement: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

/// Queries.
impl Spread {
    /// Returns the cached objects.
    pub const fn cache(&self) -> &ObjectCache {
        &self.cache
    }

    /// Returns the summary that this node sends to its peers.
    pub fn summary(&self, now: TimeMs) -> Summary {
        Summary {
            fingerprint: self.cache.fingerprint(),
            vouched: self.confirmed_object_version(),
            proof_age_ms: self.last_confirmed.age_ms(now),
        }
    }

    /// Returns the lowest version of the confirmed object among the nodes of this data centre,
    /// including this one, from the last query of each.
    pub fn lowest_data_centre_version(&self) -> ObjectVersion {
        let local_peers = self.fleet_view.peers.iter().filter(|peer| peer.in_same_data_centre);
        let versions = local_peers.filter_map(|peer| self.peer_versions.get(&peer.node).copied());
        versions.fold(self.confirmed_object_version(), ObjectVersion::min)
    }

    /// Whether this node has held every object that the Object API or another node held.
    pub const fn is_primed(&self) -> bool {
        self.is_primed
    }

    /// Returns whether this node confirms its copy now.
    ///
    /// Prevents a node that is cut off from the Object API and its peers from serving with a
    /// configuration that has been replaced. During an outage of the Object API the copy stays
    /// confirmed if a majority of the nodes answers, a peer was in contact recently, and enough
    /// peers hold nothing newer; a minority that is cut off together does not qualify.
    pub fn confirmation(&self, now: TimeMs) -> Confirmation {
        let version = self.confirmed_object_version();
        if version == ObjectVersion::default() || !self.is_past_startup(now) {
            return Confirmation::Withheld;
        }
        let age_ms = self.last_confirmed.age_ms(now);
        if age_ms.is_some_and(|age_ms| age_ms <= self.settings.vouch_ms) {
            return Confirmation::Confirmed;
        }
        match self.is_fleet_wide_outage(now) {
            true => Confirmation::Outage,
            false => Confirmation::Withheld,
        }
    }

    /// Returns when [`Spread::tick`] is due.
    pub fn next_wake(&self) -> TimeMs {
        let fetch = self.pending_fetches.values().map(|fetch| fetch.retry_at).min();
        let query = fetch.map_or(self.next_query_at, |fetch| fetch.min(self.next_query_at));
        let due = self.active_feeds().filter_map(|feed| self.feeds[feed].next_wake()).min();
        let read = due.map(|due| due.max(self.store_reads_from()));
        read.map_or(query, |read| read.min(query))
    }
}

/// Changes of the node and its fleet.
impl Spread {
    /// Sets when the process started, for a node that is created before its clock is read.
    pub fn set_start_time(&mut self, now: TimeMs) {
        self.started_at = now;
        self.next_query_at = now;
    }

    /// Applies the view of the fleet from membership; call it at every change.
    pub fn set_fleet_view(&mut self, fleet_view: FleetView) {
        let had_no_peers = self.fleet_view.peers.is_empty();
        self.fleet_view = fleet_view;
        let peers = &self.fleet_view.peers;
        self.peer_versions.retain(|node, _| peers.iter().any(|peer| peer.node == *node));
        if had_no_peers && !self.has_peer_agreement {
            // The first query was waiting for a peer.
            self.next_query_at = TimeMs::default();
        }
    }

    /// Discards all evidence after a pause of the process.
    pub fn resume(&mut self, now: TimeMs) {
        self.last_confirmed.clear();
        self.agreeing_peers.clear();
        self.pending_queries.clear();
        self.has_peer_agreement = false;
        self.last_contact = None;
        self.next_query_at = now;
    }
}

/// Confirmation.
impl Spread {
    /// Returns the version of the confirmed object in the cache; zero if there is none.
    pub fn confirmed_object_version(&self) -> ObjectVersion {
        self.cache.version(&self.confirmed_key).unwrap_or_default()
    }

    /// Whether a peer has agreed, or the node has waited long enough without peers.
    ///
    /// Prevents a relay that has just started from confirming a stale read of the Object API.
    fn is_past_startup(&self, now: TimeMs) -> bool {
        let is_alone = self.fleet_view.peers.is_empty();
        let has_waited = now.since(self.started_at) >= self.settings.startup_wait_ms;
        self.has_peer_agreement || (is_alone && has_waited)
    }

    fn is_fleet_wide_outage(&self, now: TimeMs) -> bool {
        let in_contact = |at: TimeMs| now.since(at) <= self.settings.contact_timeout_ms;
        let others = self.fleet_view.known.saturating_sub(1);
        let enough = self.settings.confirmations.min(others);
        self.fleet_view.is_majority()
            && self.agreeing_peers.len() >= enough
            && (others == 0 || self.last_contact.is_some_and(in_contact))
    }
}
