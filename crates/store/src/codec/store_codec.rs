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
pub struct EncodedCall {
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
pub struct DecodedReply {
    /// The reply; for a list, the objects of this page.
    pub reply: StoreReply,
    /// Token of the next page of a list; `None` on the last page.
    pub next_page: Option<String>,
}

impl DecodedReply {
    /// Returns a reply without further pages.
    pub fn unpaged(reply: StoreReply) -> Self {
        Self { reply, next_page: None }
    }
}

/// Encodes calls to a store and decodes its replies. Implementations are stateless.
pub trait StoreCodec {
    /// Encodes a call; `page` is the [`DecodedReply::next_page`] of the previous page of a list.
    fn encode_call(
        &self,
        request: &StoreRequest,
        freshness: Freshness,
        page: Option<&str>,
    ) -> EncodedCall;

    /// Returns the header in which the store names its era; `None` if it has none.
    fn era_header(&self) -> Option<&'static str> {
        None
    }

    /// Decodes the reply to a call.
    ///
    /// Returns [`StoreReply::Unknown`] for a reply that cannot be decoded, because a write may have
    /// taken effect.
    fn decode_reply(&self, request: &StoreRequest, status: u16, body: &str) -> DecodedReply;
}
