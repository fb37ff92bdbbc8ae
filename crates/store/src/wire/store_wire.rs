use celeryhaven_types::store::{StoreReply, StoreRequest};

/// How fresh a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It shows every write that was acknowledged before it.
    Latest,
    /// It may be seconds old, and costs the store little.
    Stale,
}

/// One call as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireCall {
    /// Its HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// The header that makes a write conditional, where one does.
    pub precondition: Option<(&'static str, String)>,
    /// JSON text, where the call carries any.
    pub body: Option<String>,
}

/// One answer as it is understood.
#[derive(Clone, Debug, PartialEq)]
pub struct WireReply {
    /// What it says.
    pub reply: StoreReply,
    /// Where the list goes on, if it does.
    pub next_page: Option<String>,
}

impl WireReply {
    /// An answer without further pages.
    pub fn whole(reply: StoreReply) -> Self {
        Self { reply, next_page: None }
    }
}

/// Writes calls to a store and reads its answers; holds nothing and decides nothing.
pub trait StoreWire {
    /// A call as it is sent; `page` is where a list goes on.
    fn call(&self, request: &StoreRequest, freshness: Freshness, page: Option<&str>) -> WireCall;

    /// What an answer says of the call it answers.
    ///
    /// Anything that cannot be read is [`StoreReply::Unknown`]: a write may have taken effect.
    fn reply(&self, request: &StoreRequest, status: u16, body: &str) -> WireReply;
}
