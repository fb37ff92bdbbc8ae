use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryhaven_membership::{Member, MemberPhase, Membership};
use celeryhaven_spread::Spread;
use celeryhaven_types::store::{ObjectKey, StoreCallId};
use celeryhaven_types::{NodeName, TimeMs};

use crate::entry::catalogue::{CONFIG_KEY, CONFIG_PREFIX, PLACEMENT_PREFIX};
use crate::entry::fleet::Reporter;
use crate::entry::fleet::relays::{is_reporter, surroundings};
use crate::entry::{EntrySettings, PeerEntry};

/// Membership and spread of one node, and whether it may vouch for its configuration.
pub(crate) struct Fleet {
    pub(crate) membership: Membership,
    pub(crate) spread: Spread,
    pub(crate) calls: BTreeMap<StoreCallId, usize>,
    pub(crate) is_vouched: bool,
    pub(crate) reporter: Reporter,
    has_begun: bool,
}

impl Fleet {
    /// A node that knows nobody yet but where to ask.
    pub(crate) fn new(settings: &EntrySettings, seed: [u8; 32]) -> Self {
        let now = TimeMs::default();
        let seeds = seeds(settings);
        let mut spread_settings = settings.spread;
        if seeds.is_empty() {
            // A fleet of one has nobody to wait for.
            spread_settings.startup_wait_ms = 0;
        }
        let prefixes = vec![ObjectKey::new(CONFIG_PREFIX), ObjectKey::new(PLACEMENT_PREFIX)];
        let [one, two] = [0, 8].map(|at| part(seed, at));
        let membership = Membership::new(now, me(settings), settings.membership, one);
        let key = ObjectKey::new(CONFIG_KEY);
        Self {
            membership: membership.with_seeds(seeds),
            spread: Spread::new(now, spread_settings, prefixes, key, two),
            calls: BTreeMap::new(),
            is_vouched: false,
            reporter: Reporter::default(),
            has_begun: false,
        }
    }

    /// Notes when the process began, at its first event.
    pub(crate) fn begin(&mut self, now: TimeMs) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.spread.set_start_time(now);
            self.reporter.begin(now);
            self.surround();
        }
    }

    /// Gives membership's view to the spread.
    pub(crate) fn surround(&mut self) {
        self.spread.set_fleet_view(surroundings(&self.membership));
        self.reporter.set_reporting(is_reporter(&self.membership));
    }

    /// When a tick is due.
    pub(crate) fn next_wake(&self) -> TimeMs {
        let report = self.reporter.next_wake();
        self.membership.next_wake().min(self.spread.next_wake()).min(report)
    }

    /// Whether this node may take new requests, as far as the fleet is concerned.
    pub(crate) fn may_serve(&self) -> bool {
        self.is_vouched && self.spread.is_primed() && !self.membership.is_superseded()
    }

    /// Whether a node may be named in address answers, as far as its own word and probes tell.
    ///
    /// A node that membership has not met yet may be: the VM list alone speaks for it.
    pub(crate) fn may_be_named(&self, node: &NodeName) -> bool {
        self.membership
            .find(node)
            .is_none_or(|(member, state)| state.is_live() && member.phase == MemberPhase::Live)
    }

    /// The other live entries.
    pub(crate) fn others(&self) -> impl Iterator<Item = PeerEntry> {
        let me = self.membership.me().node();
        let others = self.membership.live().filter(move |member| member.node() != me);
        others.map(|member| PeerEntry {
            node: member.node().clone(),
            boot: Some(member.incarnation.boot),
            data_centre: member.data_centre.clone(),
            peer_address: member.address,
        })
    }
}

fn me(settings: &EntrySettings) -> Member {
    let incarnation = settings.incarnation.clone();
    let data_centre = settings.data_centre.clone();
    Member::new(incarnation, settings.peer_address, data_centre)
        .with_http_address(settings.caller_address)
}

fn seeds(settings: &EntrySettings) -> Vec<SocketAddr> {
    let named = settings.peers.iter().map(|peer| peer.peer_address);
    let mut seeds: Vec<_> = settings.seeds.iter().copied().chain(named).collect();
    seeds.retain(|seed| *seed != settings.peer_address);
    seeds
}

fn part(seed: [u8; 32], at: usize) -> u64 {
    let bytes = seed.iter().skip(at).take(8);
    bytes.fold(0, |number, byte| (number << 8) | u64::from(*byte))
}
