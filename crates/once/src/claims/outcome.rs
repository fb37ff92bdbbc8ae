use celeryhaven_types::Incarnation;
use celeryhaven_types::store::ObjectKey;

/// Owner of a claimed key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClaimOutcome {
    /// This incarnation owns the key.
    Owned,
    /// Another incarnation owns the key.
    Foreign(Incarnation),
    /// The key may have run, and its outcome is not recorded.
    Spent,
}

/// Result of starting a claim.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClaimStart {
    /// The owner is already known.
    Resolved(ClaimOutcome),
    /// Calls to the Object API that determine the owner are in progress.
    Pending,
    /// The limit of claims per second or of recorded claims is reached.
    LimitReached,
}

/// A claim whose owner has been determined, with the requests that waited for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ResolvedClaim<T> {
    pub(crate) key: ObjectKey,
    pub(crate) waiting: Vec<T>,
    pub(crate) outcome: ClaimOutcome,
}
