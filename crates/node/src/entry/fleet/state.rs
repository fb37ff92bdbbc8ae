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

/// Membership and distribution state of one node, and whether its configuration is confirmed.
pub(crate) struct Fleet {
    pub(crate) membership: Membership,
    pub(crate) spread: Spread,
    pub(crate) calls: BTreeMap<StoreCallId, usize>,
    pub(crate) is_confirmed: bool,
    pub(crate) reporter: Reporter,
    has_begun: bool,
}

impl Fleet {
    /// Creates the state with the seeds as the only contacts.
    pub(crate) fn new(settings: &EntrySettings, seed: [u8; 32]) -> Self {
        let now = TimeMs::default();
        let seeds = seeds(settings);
        let mut spread_settings = settings.spread;
        if seeds.is_empty() {
            // A single node has no peers to wait for.
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
            is_confirmed: false,
            reporter: Reporter::default(),
            has_begun: false,
        }
    }

    /// Starts the timers at the first event of the process.
    pub(crate) fn begin(&mut self, now: TimeMs) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.spread.set_start_time(now);
            self.reporter.begin(now);
            self.update_surroundings();
        }
    }

    /// Passes the current membership view to distribution and status reporting.
    pub(crate) fn update_surroundings(&mut self) {
        self.spread.set_fleet_view(surroundings(&self.membership));
        self.reporter.set_reporting(is_reporter(&self.membership));
    }

    /// Returns when the next tick is due.
    pub(crate) fn next_wake(&self) -> TimeMs {
        let report = self.reporter.next_wake();
        self.membership.next_wake().min(self.spread.next_wake()).min(report)
    }

    /// Whether membership and distribution allow new requests.
    pub(crate) fn may_serve(&self) -> bool {
        self.is_confirmed && self.spread.is_primed() && !self.membership.is_superseded()
    }

    /// Whether address answers may name a node, according to membership.
    ///
    /// A node that membership has not discovered yet may be named; the VM list alone decides.
    pub(crate) fn may_be_named(&self, node: &NodeName) -> bool {
        self.membership
            .find(node)
            .is_none_or(|(member, state)| state.is_live() && member.phase == MemberPhase::Live)
    }

    /// Returns the other live entries.
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
