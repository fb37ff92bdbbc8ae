use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use celeryhaven_fair_io::FairConnector;
use celeryhaven_types::store::{StoreReply, StoreRequest};
use smol::Timer;
use trillium_client::{Client, Conn, Status};

use crate::client::reply::reply_for_error;
use crate::codec::{DecodedReply, EncodedCall, Freshness, ObjectApiCodec, StoreCodec};
use crate::json_text::json_text;

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
pub struct StoreClient<W = ObjectApiCodec> {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    codec: W,
    /// The latest era of the store that an answer has named.
    era: Arc<AtomicU64>,
}

impl StoreClient {
    /// Creates a client of the Object API. The timeout of a watch is extended by its wait.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_codec(address, timeout, ObjectApiCodec)
    }
}

impl<W: StoreCodec> StoreClient<W> {
    /// Creates a client that uses the given codec.
    pub fn with_codec(address: SocketAddr, timeout: Duration, codec: W) -> Self {
        // The library sends longer bodies with `Expect: 100-continue` and then waits for a
        // response that the store need not send.
        let client =
            Client::new(FairConnector::new()).with_max_buffered_request_body(VALUE_BYTES_MAX);
        Self { client, address, timeout, codec, era: Arc::default() }
    }

    /// Executes a request.
    ///
    /// Returns [`StoreReply::Unknown`] if a write may have taken effect although its reply was
    /// lost; the caller must read the object back. Returns [`StoreReply::Rejected`] only if nothing
    /// was sent or the store rejected the call.
    pub async fn call(&self, request: &StoreRequest) -> StoreReply {
        self.call_all_pages(request, Freshness::Latest).await
    }

    /// Executes a read whose result may be seconds old.
    pub async fn read_stale(&self, request: &StoreRequest) -> StoreReply {
        self.call_all_pages(request, Freshness::Stale).await
    }

    /// Reads the first page of a list; returns whether there are more.
    pub async fn read_first_page(
        &self,
        request: &StoreRequest,
        freshness: Freshness,
    ) -> (StoreReply, bool) {
        let page = self.call_page(request, freshness, None).await;
        (page.reply, page.next_page.is_some())
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
    ) -> DecodedReply {
        if request.is_write() && request.version().is_some_and(|version| version.era() < self.era())
        {
            // The store may have given the same number to another write since.
            return DecodedReply::unpaged(StoreReply::Conflict);
        }
        let call = self.codec.encode_call(&request.without_era(), freshness, page);
        if call.body.as_ref().is_some_and(|body| body.len() > VALUE_BYTES_MAX) {
            return DecodedReply::unpaged(StoreReply::Rejected);
        }
        let timed_out = async {
            Timer::after(self.timeout_of(request)).await;
            DecodedReply::unpaged(StoreReply::Unknown)
        };
        smol::future::or(self.exchange(request, call), timed_out).await
    }

    async fn exchange(&self, request: &StoreRequest, call: EncodedCall) -> DecodedReply {
        let mut conn = match self.conn(call).await {
            Ok(conn) => conn,
            Err(error) => return DecodedReply::unpaged(reply_for_error(&error)),
        };
        let status = conn.status().unwrap_or(Status::InternalServerError);
        let era = self.codec.era_header().and_then(|name| {
            conn.response_headers().get_str(name).and_then(|era| era.trim().parse().ok())
        });
        // An answer that names none does not come from the store itself, such as a refusal.
        let era = era.unwrap_or_else(|| self.era());
        // JSON is UTF-8, but the library's text reader has another default encoding.
        match conn.response_body().read_bytes().await {
            Ok(body) => {
                let body = json_text(&body);
                let decoded = self.codec.decode_reply(&request.without_era(), status as u16, &body);
                DecodedReply { reply: self.reply_in_era(request, era, decoded.reply), ..decoded }
            }
            Err(_) => DecodedReply::unpaged(StoreReply::Unknown),
        }
    }

    /// Returns the latest era of the store that an answer has named.
    fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Returns the reply that a call has in an era of the store.
    fn reply_in_era(&self, request: &StoreRequest, era: u64, reply: StoreReply) -> StoreReply {
        let latest = self.era.fetch_max(era, Ordering::Relaxed).max(era);
        let is_watch = matches!(request, StoreRequest::Watch { .. });
        let is_of_era = request.version().is_none_or(|version| version.era() == era);
        if era < latest {
            // What it says was lost meanwhile.
            StoreReply::Unknown
        } else if is_watch && !is_of_era && reply.is_processed() {
            // Changes below the requested version would be missing.
            StoreReply::TooOld
        } else {
            reply.in_era(era)
        }
    }

    fn conn(&self, call: EncodedCall) -> Conn {
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
fn merge_pages(first: StoreReply, next: DecodedReply) -> Option<DecodedReply> {
    let StoreReply::Listed { version, mut objects } = first else { return None };
    let StoreReply::Listed { version: next_version, objects: more } = next.reply else {
        return None;
    };
    if next_version.era() != version.era() {
        return None;
    }
    objects.extend(more);
    Some(DecodedReply { reply: StoreReply::Listed { version, objects }, next_page: next.next_page })
}
