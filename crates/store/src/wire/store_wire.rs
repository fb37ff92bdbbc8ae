use celeryhaven_types::store::{StoreReply, StoreRequest};

/// Required freshness of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The read reflects every write acknowledged before it.
    Latest,
    /// The result may be seconds old; such reads are cheap for the store.
    Stale,
}

/// An encoded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Name and value of the header that makes a write conditional.
    pub precondition: Option<(&'static str, String)>,
    /// JSON body.
    pub body: Option<String>,
}

/// A decoded reply, or one page of it.
#[derive(Clone, Debug, PartialEq)]
pub struct WireReply {
    /// The reply; for a list, the objects of this page.
    pub reply: StoreReply,
    /// Token of the next page of a list; `None` on the last page.
    pub next_page: Option<String>,
}

impl WireReply {
    /// Returns a reply without further pages.
    pub fn whole(reply: StoreReply) -> Self {
        Self { reply, next_page: None }
    }
}

/// Encodes calls to a store and decodes its replies. Implementations are stateless.
pub trait StoreWire {
    /// Encodes a call; `page` is the [`WireReply::next_page`] of the previous page of a list.
    fn call(&self, request: &StoreRequest, freshness: Freshness, page: Option<&str>) -> WireCall;

    /// Decodes the reply to a call.
    ///
    /// Returns [`StoreReply::Unknown`] for a reply that cannot be decoded, because a write may have
    /// taken effect.
    fn reply(&self, request: &StoreRequest, status: u16, body: &str) -> WireReply;
}
