use std::net::SocketAddr;
use std::time::Duration;

use celeryhaven_types::store::{StoreReply, StoreRequest};
use smol::Timer;
use trillium_client::{Client, Conn, Status};

use crate::client::reply::reply_for_error;
use crate::wire::{Freshness, ObjectApiWire, StoreWire, WireCall, WireReply};

/// Maximum length of a value in the store, in bytes.
const VALUE_BYTES_MAX: usize = 1 << 20;

/// Maximum number of pages of one list, which bounds the loop if the store keeps returning the
/// same next page.
const PAGES_MAX: usize = 100;

/// Client of the platform's store.
///
/// Clones share a pool of connections. A call that times out closes its connection, so that a late
/// answer is never read as the answer to another call.
///
/// ```no_run
/// use std::time::Duration;
/// use celeryhaven_store::StoreClient;
/// use celeryhaven_types::store::{ObjectKey, StoreRequest};
///
/// # async fn read() {
/// let client = StoreClient::new(([127, 0, 0, 1], 7000).into(), Duration::from_secs(2));
/// let reply = client.call(&StoreRequest::Get { key: ObjectKey::new("config/current") }).await;
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct StoreClient<W = ObjectApiWire> {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    wire: W,
}

impl StoreClient {
    /// Creates a client of the Object API. The timeout of a watch is extended by its wait.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_wire(address, timeout, ObjectApiWire)
    }
}

impl<W: StoreWire> StoreClient<W> {
    /// Creates a client of a store with another wire format.
    pub fn with_wire(address: SocketAddr, timeout: Duration, wire: W) -> Self {
        let config = trillium_smol::ClientConfig::new().with_nodelay(true);
        // The library sends longer bodies with `Expect: 100-continue` and then waits for a
        // response that the store need not send.
        let client = Client::new(config).with_max_buffered_request_body(VALUE_BYTES_MAX);
        Self { client, address, timeout, wire }
    }

    /// Executes a request.
    ///
    /// Returns [`StoreReply::Unknown`] if a write may have taken effect although its reply was
    /// lost; the caller must read the object back. Returns [`StoreReply::NotDone`] only if nothing
    /// was sent or the store rejected the call.
    pub async fn call(&self, request: &StoreRequest) -> StoreReply {
        self.call_all_pages(request, Freshness::Latest).await
    }

    /// Executes a read whose result may be seconds old.
    pub async fn read_stale(&self, request: &StoreRequest) -> StoreReply {
        self.call_all_pages(request, Freshness::Stale).await
    }

    async fn call_all_pages(&self, request: &StoreRequest, freshness: Freshness) -> StoreReply {
        let mut merged = self.call_page(request, freshness, None).await;
        for _ in 0..PAGES_MAX {
            let Some(page) = merged.next_page.take() else { return merged.reply };
            let next = self.call_page(request, freshness, Some(&page)).await;
            merged = match merge_pages(merged.reply, next) {
                Some(merged) => merged,
                None => return StoreReply::Unknown,
            };
        }
        StoreReply::Unknown
    }

    async fn call_page(
        &self,
        request: &StoreRequest,
        freshness: Freshness,
        page: Option<&str>,
    ) -> WireReply {
        let call = self.wire.call(request, freshness, page);
        if call.body.as_ref().is_some_and(|body| body.len() > VALUE_BYTES_MAX) {
            return WireReply::whole(StoreReply::NotDone);
        }
        let timed_out = async {
            Timer::after(self.timeout_of(request)).await;
            WireReply::whole(StoreReply::Unknown)
        };
        smol::future::or(self.exchange(request, call), timed_out).await
    }

    async fn exchange(&self, request: &StoreRequest, call: WireCall) -> WireReply {
        let mut conn = match self.conn(call).await {
            Ok(conn) => conn,
            Err(error) => return WireReply::whole(reply_for_error(&error)),
        };
        let status = conn.status().unwrap_or(Status::InternalServerError);
        // JSON is UTF-8, but the library's text reader has another default encoding.
        let body = conn.response_body().read_bytes().await.ok();
        match body.and_then(|body| String::from_utf8(body).ok()) {
            Some(body) => self.wire.reply(request, status as u16, &body),
            None => WireReply::whole(StoreReply::Unknown),
        }
    }

    fn conn(&self, call: WireCall) -> Conn {
        let url = format!("http://{}{}", self.address, call.target);
        let conn = self.client.build_conn(call.method, url);
        let conn = match call.precondition {
            Some((name, value)) => conn.with_request_header(name, value),
            None => conn,
        };
        match call.body {
            Some(body) => {
                conn.with_request_header("content-type", "application/json").with_body(body)
            }
            None => conn,
        }
    }

    fn timeout_of(&self, request: &StoreRequest) -> Duration {
        match request {
            StoreRequest::Watch { wait_ms, .. } => self.timeout + Duration::from_millis(*wait_ms),
            _ => self.timeout,
        }
    }
}

/// Merges two pages of a list at the version of the first, so that a watch from there includes
/// every later change.
fn merge_pages(first: StoreReply, next: WireReply) -> Option<WireReply> {
    let StoreReply::Listed { version, mut objects } = first else { return None };
    let StoreReply::Listed { objects: more, .. } = next.reply else { return None };
    objects.extend(more);
    Some(WireReply { reply: StoreReply::Listed { version, objects }, next_page: next.next_page })
}
