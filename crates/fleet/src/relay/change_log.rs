use std::collections::{BTreeMap, VecDeque};

use celeryhaven_derives::data;
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion};
use celeryhaven_types::{Set, TimeMs};

/// Changes kept for those who ask for what is new, at least, and for each object; who is further
/// behind gets the whole list.
const CHANGES_MIN: usize = 512;
const CHANGES_PER_OBJECT: usize = 4;

data! {
    /// What a relay answers.
    pub enum RelayAnswer {
        /// Every object, at a version of the store.
        Listed {
            /// The version.
            version: ObjectVersion,
            /// The objects.
            objects: Vec<Object>,
            /// What is known of the store itself.
            store: StoreContact,
        },
        /// What has changed since the version asked for, perhaps nothing.
        Changes {
            /// The version up to which nothing is missing.
            version: ObjectVersion,
            /// The changes in order.
            changes: Vec<ObjectChange>,
            /// What is known of the store itself.
            store: StoreContact,
        },
        /// The relay has not heard of the store lately, or not as directly as was asked for.
        Stale,
    }

    /// When a relay has heard of the store, and whether that was away.
    #[derive(Copy, Default, Eq)]
    pub struct StoreContact {
        /// How long ago the store was heard of, in milliseconds.
        pub contact_age_ms: u64,
        /// How long ago the store came back, in milliseconds, if it was away just before.
        pub returned_ms_ago: Option<u64>,
    }
}

impl StoreContact {
    /// An answer of the store itself, which was away just before or not.
    pub fn direct(after_outage: bool) -> Self {
        Self { contact_age_ms: 0, returned_ms_ago: after_outage.then_some(0) }
    }
}

/// The objects of one kind and their last changes, as the store told them.
///
/// Versions are the store's own, so a node can go on at another relay, or at the store, where it
/// stopped at this one.
///
/// ```
/// use celeryhaven_fleet::{ChangeLog, RelayAnswer};
/// use celeryhaven_types::TimeMs;
/// use celeryhaven_types::store::ObjectVersion;
///
/// let mut log = ChangeLog::new();
/// let version = ObjectVersion::new(7);
/// assert_eq!(log.changes_since(TimeMs::new(0), None), Some(RelayAnswer::Stale));
/// log.apply_list(version, &[]);
/// log.record_contact(TimeMs::new(0), Default::default());
/// assert_eq!(log.changes_since(TimeMs::new(1), Some(version)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    version: ObjectVersion,
    /// Changes up to this version are not kept one by one.
    kept_from: ObjectVersion,
    objects: BTreeMap<ObjectKey, Object>,
    changes: VecDeque<ObjectChange>,
    /// Whether `objects` are all there are, and not only what has changed since a gap.
    is_whole: bool,
    contact_at: Option<TimeMs>,
    returned_at: Option<TimeMs>,
}

/// How long after the store's return its answers count as those after an outage, in milliseconds.
///
/// Entries that lapsed meanwhile are back within some two seconds, and a follower that heard of no
/// outage must keep them as long.
const RETURN_MS: u64 = 2_300;

/// How long a relay may not have heard of the store before it vouches for nothing, in milliseconds.
///
/// A watch of a relay answers at least each second, also while the store is slow; a relay that is cut
/// off from the store must not hold those that are not.
const CONTACT_MAX_MS: u64 = 1_500;

impl ChangeLog {
    /// Knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over a whole list of the store.
    pub fn apply_list(&mut self, version: ObjectVersion, objects: &[Object]) {
        self.version = version;
        self.kept_from = version;
        self.is_whole = true;
        self.changes.clear();
        self.objects = objects.iter().map(|object| (object.key.clone(), object.clone())).collect();
    }

    /// Takes over what has changed since a version, up to another.
    ///
    /// Guards against a log with a gap: a node that follows a relay keeps no log, and may become one
    /// itself. Were it to go on from its last list, followers that are a little behind would miss what
    /// it heard in between, such as a target that leaves, and keep it for good.
    pub fn apply_changes(
        &mut self,
        from: ObjectVersion,
        version: ObjectVersion,
        changes: &[ObjectChange],
    ) {
        if from != self.version {
            self.is_whole = false;
            self.changes.clear();
            self.kept_from = from;
        }
        self.version = self.version.max(version);
        for change in changes {
            let (key, version) = (change.key.clone(), change.version);
            match &change.value {
                Some(value) => {
                    let object = Object { key: key.clone(), version, value: value.clone() };
                    self.objects.insert(key, object);
                }
                None => {
                    self.objects.remove(&key);
                }
            }
            self.changes.push_back(change.clone());
        }
        let kept_max = CHANGES_MIN.max(self.objects.len() * CHANGES_PER_OBJECT);
        while self.changes.len() > kept_max {
            // What was dropped may share its version with what is kept.
            let dropped = self.changes.pop_front().map_or(self.kept_from, |change| change.version);
            self.kept_from = self.kept_from.max(dropped);
        }
    }

    /// Takes over when the store was heard of, by this node or by a relay that this one follows.
    ///
    /// Times add up along a chain of relays, so that the last one vouches no longer than the first.
    pub fn record_contact(&mut self, now: TimeMs, store: StoreContact) {
        let at = now.before(store.contact_age_ms);
        self.contact_at = Some(self.contact_at.map_or(at, |before| before.max(at)));
        if let Some(ago_ms) = store.returned_ms_ago {
            self.returned_at = Some(now.before(ago_ms));
        }
    }

    fn store(&self, now: TimeMs) -> StoreContact {
        let returned_ms_ago = self.returned_at.map(|at| now.since(at));
        StoreContact {
            contact_age_ms: self.contact_at.map_or(u64::MAX, |at| now.since(at)),
            returned_ms_ago: returned_ms_ago.filter(|&ago_ms| ago_ms < RETURN_MS),
        }
    }

    /// Whether it lacks a list of all objects, which some of those who ask would need.
    pub fn lacks_list(&self) -> bool {
        !self.is_whole
    }

    /// Whether the store was heard of since this node relays.
    pub fn has_contact(&self) -> bool {
        self.contact_at.is_some()
    }

    /// Forgets that the store was heard of: this node relays no more.
    pub fn clear_contact(&mut self) {
        self.contact_at = None;
    }

    /// What is new for a node that has everything up to a version; `None` if nothing is yet.
    pub fn changes_since(&self, now: TimeMs, from: Option<ObjectVersion>) -> Option<RelayAnswer> {
        if self.contact_at.is_none_or(|at| now.since(at) > CONTACT_MAX_MS) {
            return Some(RelayAnswer::Stale);
        }
        let Some(from) = from.filter(|from| *from >= self.kept_from) else {
            if !self.is_whole {
                return Some(RelayAnswer::Stale);
            }
            let objects = self.objects.values().cloned().collect();
            let (version, store) = (self.version, self.store(now));
            return Some(RelayAnswer::Listed { version, objects, store });
        };
        let changes = self.last_changes(from);
        let (version, store) = (self.version, self.store(now));
        (!changes.is_empty()).then_some(RelayAnswer::Changes { version, changes, store })
    }

    /// The last change of each object after a version, in order.
    ///
    /// Load: replicas form, and each of their targets changes several times a second. Harm: a follower
    /// that asks once a second gets all of that. Limit: what an object has come to is enough.
    fn last_changes(&self, from: ObjectVersion) -> Vec<ObjectChange> {
        let mut seen = Set::default();
        let new = self.changes.iter().rev().take_while(|change| change.version > from);
        let mut last: Vec<_> = new.filter(|change| seen.insert(&change.key)).cloned().collect();
        last.reverse();
        last
    }

    /// The answer to a node for which nothing new has come.
    pub fn empty_answer(&self, now: TimeMs, from: ObjectVersion) -> RelayAnswer {
        let (version, store) = (self.version.max(from), self.store(now));
        let nothing = RelayAnswer::Changes { version, changes: Vec::new(), store };
        self.changes_since(now, Some(from)).unwrap_or(nothing)
    }
}
