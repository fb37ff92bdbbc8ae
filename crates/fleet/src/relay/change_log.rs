use std::collections::{BTreeMap, VecDeque};

use celeryhaven_derives::data;
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion};
use celeryhaven_types::{Set, TimeMs};

/// Minimum number of changes retained for incremental answers, in total and for each object. A
/// follower that is further behind gets the complete list.
const RETAINED_CHANGES_MIN: usize = 512;
const RETAINED_CHANGES_PER_OBJECT: usize = 4;

data! {
    /// The answer of a relay to a follower.
    pub enum RelayAnswer {
        /// All objects at a version of the store.
        Listed {
            /// The store version.
            version: ObjectVersion,
            /// All objects.
            objects: Vec<Object>,
            /// The relay's contact with the store.
            store: StoreContact,
        },
        /// The changes since the requested version; may be empty.
        Changes {
            /// The version up to which the changes are complete.
            version: ObjectVersion,
            /// The changes, in order.
            changes: Vec<ObjectChange>,
            /// The relay's contact with the store.
            store: StoreContact,
        },
        /// The relay cannot answer: it was not in contact with the store recently, lacks a complete
        /// list, or is not in direct contact although the follower requires that.
        Stale,
    }

    /// How recently a relay was in contact with the store, and whether the store was unavailable
    /// before.
    #[derive(Copy, Default, Eq)]
    pub struct StoreContact {
        /// Time since the last contact with the store, in milliseconds.
        pub contact_age_ms: u64,
        /// Time since the store became available again after an outage, in milliseconds.
        pub returned_ms_ago: Option<u64>,
    }
}

impl StoreContact {
    /// Returns a contact with the store itself, with or without an outage just before.
    pub fn direct(after_outage: bool) -> Self {
        Self { contact_age_ms: 0, returned_ms_ago: after_outage.then_some(0) }
    }
}

/// The objects of one kind and their most recent changes.
///
/// Versions are those of the store, so a follower can continue at another relay or at the store.
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
    /// The version after which `changes` is complete.
    complete_since: ObjectVersion,
    objects: BTreeMap<ObjectKey, Object>,
    /// The changes, each with the version from which followers have it.
    changes: VecDeque<(ObjectVersion, ObjectChange)>,
    /// Whether `objects` is complete, rather than only what has changed since a gap.
    has_full_list: bool,
    contact_at: Option<TimeMs>,
    returned_at: Option<TimeMs>,
}

/// How long a return of the store is reported, in milliseconds.
///
/// Followers must retain entries that lapsed during the outage until their owners renew them. Those
/// entries are back within some two seconds.
const RETURN_REPORT_MS: u64 = 2_300;

/// Maximum age of the last store contact for an answer, in milliseconds.
///
/// A relay that is cut off from the store must not delay followers that can reach it. A watch of a
/// relay answers at least each second, also while the store is slow.
const CONTACT_AGE_MS_MAX: u64 = 1_500;

impl ChangeLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a complete list from the store.
    pub fn apply_list(&mut self, version: ObjectVersion, objects: &[Object]) {
        self.version = version;
        self.complete_since = version;
        self.has_full_list = true;
        self.changes.clear();
        self.objects = objects.iter().map(|object| (object.key.clone(), object.clone())).collect();
    }

    /// Applies the changes after version `from`, up to `version`.
    ///
    /// If `from` is not the current version, the log has a gap: it drops its earlier changes, and
    /// answers no list until one is applied.
    pub fn apply_changes(
        &mut self,
        from: ObjectVersion,
        version: ObjectVersion,
        changes: &[ObjectChange],
    ) {
        if from != self.version {
            self.has_full_list = false;
            self.changes.clear();
            self.complete_since = from;
        }
        self.version = self.version.max(version);
        let mut included_from = from;
        for change in changes {
            // A removed object may have the version of its last write, which followers have.
            let known_at = change.value.as_ref().map_or(version, |_| change.version);
            included_from = included_from.max(known_at);
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
            self.changes.push_back((included_from, change.clone()));
        }
        let retained_max =
            RETAINED_CHANGES_MIN.max(self.objects.len() * RETAINED_CHANGES_PER_OBJECT);
        while self.changes.len() > retained_max {
            // A dropped change may share its version with a retained one.
            let dropped = self.changes.pop_front().map_or(self.complete_since, |(at, _)| at);
            self.complete_since = self.complete_since.max(dropped);
        }
    }

    /// Records a contact with the store, made by this node or by its upstream relay.
    ///
    /// Ages add up along a chain of relays, so a chain confirms no longer than its first relay.
    pub fn record_contact(&mut self, now: TimeMs, store: StoreContact) {
        let at = now.before(store.contact_age_ms);
        self.contact_at = Some(self.contact_at.map_or(at, |before| before.max(at)));
        if let Some(ago_ms) = store.returned_ms_ago {
            self.returned_at = Some(now.before(ago_ms));
        }
    }

    fn store_contact(&self, now: TimeMs) -> StoreContact {
        let returned_ms_ago = self.returned_at.map(|at| now.since(at));
        StoreContact {
            contact_age_ms: self.contact_at.map_or(u64::MAX, |at| now.since(at)),
            returned_ms_ago: returned_ms_ago.filter(|&ago_ms| ago_ms < RETURN_REPORT_MS),
        }
    }

    /// Whether the complete list is missing.
    pub fn lacks_list(&self) -> bool {
        !self.has_full_list
    }

    /// Whether a contact with the store has been recorded since this node became a relay.
    pub fn has_contact(&self) -> bool {
        self.contact_at.is_some()
    }

    /// Clears the recorded contact when this node stops relaying.
    pub fn clear_contact(&mut self) {
        self.contact_at = None;
    }

    /// Returns the changes after a version, or the complete list if they are not all retained.
    ///
    /// `None` if there are no changes, [`RelayAnswer::Stale`] if the last store contact is too old or
    /// a complete list is needed and missing.
    pub fn changes_since(&self, now: TimeMs, from: Option<ObjectVersion>) -> Option<RelayAnswer> {
        if self.contact_at.is_none_or(|at| now.since(at) > CONTACT_AGE_MS_MAX) {
            return Some(RelayAnswer::Stale);
        }
        let Some(from) = from.filter(|from| *from >= self.complete_since) else {
            if !self.has_full_list {
                return Some(RelayAnswer::Stale);
            }
            let objects = self.objects.values().cloned().collect();
            let (version, store) = (self.version, self.store_contact(now));
            return Some(RelayAnswer::Listed { version, objects, store });
        };
        let changes = self.last_changes(from);
        let (version, store) = (self.version, self.store_contact(now));
        (!changes.is_empty()).then_some(RelayAnswer::Changes { version, changes, store })
    }

    /// Returns the last change of each object after a version, in order.
    fn last_changes(&self, from: ObjectVersion) -> Vec<ObjectChange> {
        let mut seen = Set::default();
        let new = self.changes.iter().rev().take_while(|(included_from, _)| *included_from > from);
        let new = new.map(|(_, change)| change);
        let mut last: Vec<_> = new.filter(|change| seen.insert(&change.key)).cloned().collect();
        last.reverse();
        last
    }

    /// Returns the answer for a follower whose wait has ended, with no changes if there are none.
    pub fn empty_answer(&self, now: TimeMs, from: ObjectVersion) -> RelayAnswer {
        let (version, store) = (self.version.max(from), self.store_contact(now));
        let empty = RelayAnswer::Changes { version, changes: Vec::new(), store };
        self.changes_since(now, Some(from)).unwrap_or(empty)
    }
}
