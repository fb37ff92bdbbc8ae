use std::collections::{BTreeMap, VecDeque};

use celeryhaven_types::store::{Object, ObjectKey, ObjectVersion, StoreReply, StoreRequest};
use celeryhaven_types::{OrganisationName, TimeMs};

use crate::claims::claim::CLAIM_PREFIX;
use crate::guard::OnceCall;

/// Maximum number of recorded list versions per shard.
const CHECKPOINTS_MAX: usize = 8;
/// Maximum number of claims deleted after one list; later lists cover the rest.
const DELETES_MAX: usize = 32;

/// Deletes claims that their owners left behind, on the node that is assigned this task.
///
/// Age is measured by local elapsed time: a claim whose version is not newer than that of a list
/// made `orphan_life_ms` ago is at least that old. Claims are listed by organisation and first hex
/// digit, to keep each list within the limit of one call.
#[derive(Clone, Debug)]
pub(crate) struct Sweep {
    interval_ms: u64,
    orphan_life_ms: u64,
    shards: Vec<ObjectKey>,
    next_shard: usize,
    next_at: TimeMs,
    listing: Option<(OnceCall, ObjectKey)>,
    checkpoints: BTreeMap<ObjectKey, VecDeque<(TimeMs, ObjectVersion)>>,
}

impl Sweep {
    pub(crate) const fn new(interval_ms: u64, orphan_life_ms: u64) -> Self {
        Self {
            interval_ms,
            orphan_life_ms,
            shards: Vec::new(),
            next_shard: 0,
            next_at: TimeMs::new(0),
            listing: None,
            checkpoints: BTreeMap::new(),
        }
    }

    /// Sets the organisations whose claims are swept; an empty list stops the sweep.
    pub(crate) fn set_organisations(&mut self, organisations: &[OrganisationName]) {
        let digits = || (0..16_u8).map(|digit| format!("{digit:x}"));
        let shards = organisations.iter().flat_map(|organisation| {
            digits()
                .map(move |digit| ObjectKey::new(format!("{CLAIM_PREFIX}{organisation}/{digit}")))
        });
        self.shards = shards.collect();
        let shards = &self.shards;
        self.checkpoints.retain(|shard, _| shards.contains(shard));
    }

    pub(crate) fn next_wake(&self) -> Option<TimeMs> {
        (!self.shards.is_empty()).then_some(self.next_at)
    }

    /// Returns the list request that is due, as the call that `next_call` numbers.
    pub(crate) fn next_list(
        &mut self,
        now: TimeMs,
        next_call: impl FnOnce() -> OnceCall,
    ) -> Option<(OnceCall, StoreRequest)> {
        if self.next_wake()? > now {
            return None;
        }
        self.next_at = now.after(self.interval_ms);
        self.next_shard = (self.next_shard + 1) % self.shards.len();
        let prefix = self.shards.get(self.next_shard)?.clone();
        let call = next_call();
        self.listing = Some((call, prefix.clone()));
        Some((call, StoreRequest::List { prefix }))
    }

    /// Applies the reply to a list; returns the claims to delete, at their listed versions.
    pub(crate) fn reply(
        &mut self,
        now: TimeMs,
        call: OnceCall,
        reply: &StoreReply,
    ) -> Vec<(ObjectKey, ObjectVersion)> {
        let Some((_, shard)) = self.listing.take_if(|(listing, _)| *listing == call) else {
            return Vec::new();
        };
        let StoreReply::Listed { version, objects } = reply else { return Vec::new() };
        let life_ms = self.orphan_life_ms;
        let checkpoints = self.checkpoints.entry(shard).or_default();
        let old = checkpoints.iter().filter(|(at, _)| now.since(*at) >= life_ms);
        let cutoff = old.map(|(_, version)| *version).max();
        let spacing_ms = life_ms / (CHECKPOINTS_MAX as u64 - 2);
        if checkpoints.back().is_none_or(|(at, _)| now.since(*at) >= spacing_ms) {
            checkpoints.push_back((now, *version));
        }
        if checkpoints.len() > CHECKPOINTS_MAX {
            checkpoints.pop_front();
        }
        let is_old = |object: &&Object| cutoff.is_some_and(|cutoff| object.version <= cutoff);
        let orphans = objects.iter().filter(is_old).take(DELETES_MAX);
        orphans.map(|object| (object.key.clone(), object.version)).collect()
    }
}
