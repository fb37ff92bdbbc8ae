use celeryhaven_quarantine::CauseDigest;
use celeryhaven_types::store::{Object, ObjectChange, ObjectKey, ObjectVersion};
use celeryhaven_types::{TimeMs, VmName};

use crate::adapter::Adapter;
use crate::control::Control;
use crate::control::shared_records::parse;

/// Prefix of the advisories in the store: what nodes have seen of causes of crashes and of targets.
pub(super) const ADVISORIES_PREFIX: &str = "advisories/";

/// Starts of the names of advisories, by what they are about.
const CAUSE_NAME: &str = "cause-";
const TARGET_NAME: &str = "target-";

/// What an advisory is about.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Subject {
    Cause(CauseDigest),
    Target(VmName),
}

impl Subject {
    fn parse(key: &ObjectKey) -> Option<Self> {
        let name = key.as_str().strip_prefix(ADVISORIES_PREFIX)?;
        match (name.strip_prefix(CAUSE_NAME), name.strip_prefix(TARGET_NAME)) {
            (Some(digest), _) => digest.parse().ok().map(Self::Cause),
            (None, Some(target)) => Some(Self::Target(VmName::new(target))),
            (None, None) => None,
        }
    }
}

/// Returns the key of the advisory on a cause of crashes.
pub(super) fn cause_key(digest: CauseDigest) -> ObjectKey {
    ObjectKey::new(format!("{ADVISORIES_PREFIX}{CAUSE_NAME}{digest}"))
}

/// Returns the key of the advisory on a target.
pub(super) fn target_key(target: &VmName) -> ObjectKey {
    ObjectKey::new(format!("{ADVISORIES_PREFIX}{TARGET_NAME}{target}"))
}

impl<A: Adapter> Control<A> {
    /// Replaces all advisories by those of a list.
    pub(super) fn replace_advisories(
        &mut self,
        now: TimeMs,
        version: ObjectVersion,
        objects: &[Object],
    ) {
        let (mut causes, mut targets) = (Vec::new(), Vec::new());
        for object in objects {
            match Subject::parse(&object.key) {
                Some(Subject::Cause(digest)) => {
                    let record = parse(&object.value);
                    causes.extend(record.map(|record| (digest, object.version, record)));
                }
                Some(Subject::Target(target)) => {
                    let record = parse(&object.value);
                    targets.extend(record.map(|record| (target, object.version, record)));
                }
                None => {}
            }
        }
        self.quarantine.stored_mut().replace(now, version, causes);
        self.limits.stored_mut().replace(now, version, targets);
        self.advisories_listed = true;
        self.update_standings(now);
        self.update_limits(now);
    }

    /// Applies changes of advisories; returns whether there were any.
    pub(super) fn apply_advisory_changes(&mut self, now: TimeMs, changes: &[ObjectChange]) -> bool {
        for ObjectChange { key, version, value } in changes {
            let (version, value) = (*version, value.as_deref());
            match Subject::parse(key) {
                Some(Subject::Cause(digest)) => match value.and_then(parse) {
                    Some(record) => self.quarantine.stored_mut().put(now, digest, version, record),
                    None => self.quarantine.stored_mut().remove(&digest, version),
                },
                Some(Subject::Target(target)) => match value.and_then(parse) {
                    Some(record) => self.limits.stored_mut().put(now, target, version, record),
                    None => self.limits.stored_mut().remove(&target, version),
                },
                None => {}
            }
        }
        self.update_standings(now);
        self.update_limits(now);
        !changes.is_empty()
    }
}
