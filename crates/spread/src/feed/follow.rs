use celeryhaven_types::TimeMs;
use celeryhaven_types::store::{ObjectKey, ObjectVersion, StoreReply, StoreRequest};

use crate::feed::FeedUpdate;

/// Longest pause after failed calls, as a multiple of the first.
const RETRY_FACTOR_MAX: u64 = 16;

/// Follows one prefix of the Object API: lists it once, then waits on watches.
///
/// An answer from before the version already seen is dropped, so an old read or a replayed watch
/// brings nothing back and proves nothing.
#[derive(Clone, Debug)]
pub struct Feed {
    prefix: ObjectKey,
    seen: Option<ObjectVersion>,
    relist: bool,
    pending_since: Option<TimeMs>,
    next_try_at: TimeMs,
    failures: u32,
}

impl Feed {
    /// Starts without knowing anything; its first call is due at once.
    pub fn new(prefix: ObjectKey) -> Self {
        Self {
            prefix,
            seen: None,
            relist: true,
            pending_since: None,
            next_try_at: TimeMs::new(0),
            failures: 0,
        }
    }

    /// When the next call is due; `None` while one is out.
    pub fn next_wake(&self) -> Option<TimeMs> {
        self.pending_since.is_none().then_some(self.next_try_at)
    }

    /// Whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the prefix has been listed once.
    pub const fn is_primed(&self) -> bool {
        self.seen.is_some()
    }

    /// The prefix followed.
    pub const fn prefix(&self) -> &ObjectKey {
        &self.prefix
    }

    /// The call to make now; [`Feed::apply_reply`] is due for it.
    pub fn request(&mut self, now: TimeMs, wait_ms: u64) -> StoreRequest {
        self.pending_since = Some(now);
        match self.seen {
            Some(from) if !self.relist => {
                StoreRequest::Watch { prefix: self.prefix.clone(), from, wait_ms }
            }
            _ => StoreRequest::List { prefix: self.prefix.clone() },
        }
    }

    /// Takes the answer to the call that is out; the next call after a failure waits for
    /// `retry_ms`, doubled with each failure.
    pub fn apply_reply(&mut self, now: TimeMs, reply: StoreReply, retry_ms: u64) -> FeedUpdate {
        let Some(sent_at) = self.pending_since.take() else { return FeedUpdate::Nothing };
        match reply {
            StoreReply::Listed { version, objects } if self.seen <= Some(version) => {
                self.progress(now, version);
                FeedUpdate::Snapshot { sent_at, version, objects }
            }
            StoreReply::Changes { version, mut changes } if self.seen <= Some(version) => {
                changes.retain(|change| Some(change.version) > self.seen);
                self.progress(now, version);
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

    fn progress(&mut self, now: TimeMs, version: ObjectVersion) {
        self.seen = Some(version);
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
