use celeryhaven_types::{OrganisationName, TimeMs};

/// A request that carries a key.
#[derive(Clone, Debug)]
pub struct KeyedRequest<'a, T> {
    /// Identifies the request.
    pub ticket: T,
    /// Organisation of the caller; each organisation has its own key namespace.
    pub organisation: &'a OrganisationName,
    /// Key as sent by the caller.
    pub key: &'a str,
    /// Hash that identifies the content of the request.
    pub fingerprint: u64,
    /// Time after which an answer is useless.
    pub deadline_at: TimeMs,
    /// Whether another node delegated the request to this one as the owner of the key.
    pub delegated: bool,
}
