use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};

use crate::feed::FeedUpdate;

/// Longest retry delay after failed calls, as a multiple of the first.
const RETRY_FACTOR_MAX: u64 = 16;

/// Follows one prefix of the Object API with a list followed by watches.
///
/// Answers older than the last version received are dropped, so a stale read or a replayed watch
/// neither reverts an object nor confirms a copy.
#[derive(Clone, Debug)]
pub struct Feed {
    prefix: ObjectKey,
    last_version: Option<ObjectVersion>,
    relist: bool,
    pending_since: Option<TimeMs>,
    next_try_at: TimeMs,
    failures: u32,
}

impl Feed {
    /// Creates a follower whose first call is due immediately.
    pub fn new(prefix: ObjectKey) -> Self {
        Self {
            prefix,
            last_version: None,
            relist: true,
            pending_since: None,
            next_try_at: TimeMs::new(0),
            failures: 0,
        }
    }

    /// Returns when the next call is due; `None` while one is pending.
    pub fn next_wake(&self) -> Option<TimeMs> {
        self.pending_since.is_none().then_some(self.next_try_at)
    }

    /// Whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the prefix has been listed once.
    pub const fn is_primed(&self) -> bool {
        self.last_version.is_some()
    }

    /// Returns the prefix that is followed.
    pub const fn prefix(&self) -> &ObjectKey {
        &self.prefix
    }

    /// Returns the call to make now; pass its answer to [`Feed::apply_reply`].
    pub fn request(&mut self, now: TimeMs, wait_ms: u64) -> StoreRequest {
        self.pending_since = Some(now);
        match self.last_version {
            Some(from) if !self.relist => {
                StoreRequest::Watch { prefix: self.prefix.clone(), from, wait_ms }
            }
            _ => StoreRequest::List { prefix: self.prefix.clone() },
        }
    }

    /// Applies the answer to the pending call.
    ///
    /// The first call after a failure is delayed by `retry_ms`; the delay doubles with each
    /// further failure, up to a limit.
    pub fn apply_reply(&mut self, now: TimeMs, reply: StoreReply, retry_ms: u64) -> FeedUpdate {
        let Some(sent_at) = self.pending_since.take() else { return FeedUpdate::Nothing };
        match reply {
            StoreReply::Listed { version, objects } if self.last_version <= Some(version) => {
                self.advance(now, version);
                FeedUpdate::Snapshot { sent_at, version, objects }
            }
            StoreReply::Changes { version, mut changes } if self.last_version <= Some(version) => {
                changes.retain(|change| Some(change.version) > self.last_version);
                self.advance(now, version);
                FeedUpdate::Changes { sent_at, changes }
            }
            StoreReply::TooOld => {
                self.relist = true;
                self.next_try_at = now;
                FeedUpdate::Nothing
            }
            _ => {
                self.back_off(now, retry_ms);
                FeedUpdate::Nothing
            }
        }
    }

    fn advance(&mut self, now: TimeMs, version: ObjectVersion) {
        self.last_version = Some(version);
        self.relist = false;
        self.failures = 0;
        self.next_try_at = now;
    }

    fn back_off(&mut self, now: TimeMs, retry_ms: u64) {
        let factor = (1_u64 << self.failures.min(10)).min(RETRY_FACTOR_MAX);
        self.failures = self.failures.saturating_add(1);
        self.next_try_at = now.after(retry_ms.saturating_mul(factor).max(1));
    }
}
