use std::collections::BTreeMap;

use celeryhaven_types::TimeMs;

use crate::CauseDigest;

/// Time from a crash until it is reported, in milliseconds.
///
/// Most of the requests on a target that ends are innocent and complete elsewhere meanwhile.
const SETTLE_MS: u64 = 800;

/// The same for a request that is streaming from another target, in milliseconds.
const SETTLE_STREAMING_MS: u64 = 1_500;

/// The same for a request that has been streaming for at least `LONG_STREAMING_MS`: it has not ended
/// that target, although it began to run there.
const SETTLE_LONG_STREAMING_MS: u64 = 8_000;
const LONG_STREAMING_MS: u64 = 1_000;

/// Maximum number of causes with crashes that are not reported yet.
const PENDING_MAX: usize = 1_024;

/// A crash that a node has seen, with what it reports of it.
pub trait PendingCrash {
    /// Returns what was running.
    fn digest(&self) -> CauseDigest;

    /// Whether another crash of the same cause is the end of the same process.
    fn is_same_as(&self, other: &Self) -> bool;

    /// Returns when the target ended.
    fn ended_at(&self) -> TimeMs;

    /// Records that earlier runs of the cause do not excuse it.
    fn clear_excuse(&mut self);
}

/// Crashes that one node has seen and not reported yet.
///
/// Where many targets end at once, a request that runs everywhere is on several of them. It
/// completes on the targets that remain before its crashes are reported.
///
/// ```
/// use celeryhaven_quarantine::{PendingCrash, PendingCrashes, CauseDigest};
/// use celeryhaven_types::TimeMs;
///
/// struct Crash(CauseDigest, &'static str);
///
/// impl PendingCrash for Crash {
///     fn digest(&self) -> CauseDigest {
///         self.0
///     }
///
///     fn is_same_as(&self, other: &Self) -> bool {
///         self.1 == other.1
///     }
///
///     fn ended_at(&self) -> TimeMs {
///         TimeMs::new(0)
///     }
///
///     fn clear_excuse(&mut self) {}
/// }
///
/// let digest = CauseDigest::of_request(["POST"], b"");
/// let mut pending = PendingCrashes::new();
/// pending.record(TimeMs::new(0), Crash(digest, "vm-1"), false);
/// pending.completed(digest);
/// assert!(pending.take_due(TimeMs::new(10_000), |_| None).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct PendingCrashes<C> {
    by_cause: BTreeMap<CauseDigest, Pending<C>>,
}

#[derive(Clone, Debug)]
struct Pending<C> {
    crashes: Vec<(TimeMs, C)>,
    /// Whether the crashes are reported without waiting.
    is_urgent: bool,
}

impl<C: PendingCrash> PendingCrashes<C> {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { by_cause: BTreeMap::new() }
    }

    /// Records that a target ended while it ran a cause.
    ///
    /// Several requests that hold it on the same target count once. A crash is not recorded if
    /// too many causes have pending ones; returns whether it is.
    ///
    /// If `is_urgent`, all crashes of the cause are due at once.
    pub fn record(&mut self, now: TimeMs, crash: C, is_urgent: bool) -> bool {
        let digest = crash.digest();
        if self.by_cause.len() >= PENDING_MAX && !self.by_cause.contains_key(&digest) {
            return false;
        }
        let pending = self.by_cause.entry(digest);
        let pending = pending.or_insert_with(|| Pending { crashes: Vec::new(), is_urgent });
        if !pending.crashes.iter().any(|(_, known)| known.is_same_as(&crash)) {
            pending.crashes.push((now, crash));
        }
        pending.is_urgent |= is_urgent;
        true
    }

    /// Whether crashes of a cause are pending.
    pub fn contains(&self, digest: CauseDigest) -> bool {
        self.by_cause.contains_key(&digest)
    }

    /// Whether another crash of the same cause is pending.
    pub fn has_other(&self, crash: &C) -> bool {
        let pending = self.by_cause.get(&crash.digest());
        pending.is_some_and(|pending| {
            pending.crashes.iter().any(|(_, known)| !known.is_same_as(crash))
        })
    }

    /// Whether a run of a cause that began at `sent_at` began after a pending crash of it.
    pub fn precede(&self, digest: CauseDigest, sent_at: TimeMs) -> bool {
        let pending = self.by_cause.get(&digest);
        pending.is_some_and(|pending| {
            pending.crashes.iter().any(|(_, crash)| crash.ended_at() <= sent_at)
        })
    }

    /// Records that earlier runs do not excuse the pending crashes of a cause.
    pub fn clear_excuses(&mut self, digest: CauseDigest) {
        let pending = self.by_cause.get_mut(&digest).into_iter();
        pending
            .flat_map(|pending| &mut pending.crashes)
            .for_each(|(_, crash)| crash.clear_excuse());
    }

    /// Records that a target has completed a request that holds a cause, which acquits it of the
    /// crashes so far; returns these.
    pub fn completed(&mut self, digest: CauseDigest) -> Vec<C> {
        let crashes = self.by_cause.remove(&digest).map(|pending| pending.crashes);
        crashes.into_iter().flatten().map(|(_, crash)| crash).collect()
    }

    /// Removes and returns the crashes that are due to be reported.
    ///
    /// `streaming_ms` returns how long a request has been streaming from a target by now, if it is.
    pub fn take_due(
        &mut self,
        now: TimeMs,
        mut streaming_ms: impl FnMut(CauseDigest) -> Option<u64>,
    ) -> Vec<C> {
        let mut due = Vec::new();
        self.by_cause.retain(|digest, Pending { crashes, is_urgent }| {
            if *is_urgent {
                due.extend(crashes.drain(..).map(|(_, crash)| crash));
                return false;
            }
            let is_settled = |at: TimeMs| now.since(at) >= SETTLE_MS;
            if !crashes.iter().any(|(at, _)| is_settled(*at)) {
                return true;
            }
            let settle_ms = match streaming_ms(*digest) {
                None => SETTLE_MS,
                Some(ms) if ms < LONG_STREAMING_MS => SETTLE_STREAMING_MS,
                Some(_) => SETTLE_LONG_STREAMING_MS,
            };
            let is_due = |(at, _): &mut (TimeMs, C)| now.since(*at) >= settle_ms;
            due.extend(crashes.extract_if(.., is_due).map(|(_, crash)| crash));
            !crashes.is_empty()
        });
        due
    }
}

impl<C: PendingCrash> Default for PendingCrashes<C> {
    fn default() -> Self {
        Self::new()
    }
}
