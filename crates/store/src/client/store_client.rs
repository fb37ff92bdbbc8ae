use std::net::SocketAddr;
use std::time::Duration;

use celeryhaven_types::store::{StoreReply, StoreRequest};
use smol::Timer;
use trillium_client::{Client, Conn, Status};

use crate::client::reply::reply_without_answer;
use crate::wire::{Freshness, ObjectApiWire, StoreWire, WireCall, WireReply};

/// Longest value that the store holds, in bytes.
const VALUE_BYTES_MAX: usize = 1 << 20;

/// Pages of one list at most.
///
/// Guards against a store that names the same page as the next for ever. At 500 objects a page it
/// is fifty times the servers of the largest fleet that is planned for.
const PAGES_MAX: usize = 100;

/// Sends calls to the platform's store.
///
/// Connections are kept and shared among clones. A call that ends by its timeout closes its
/// connection, so a late answer is never read as the answer to another call.
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
    /// Calls the Object API at an address; a watch may take its own wait longer than the timeout.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_wire(address, timeout, ObjectApiWire)
    }
}

impl<W: StoreWire> StoreClient<W> {
    /// Calls a store that speaks another form.
    pub fn with_wire(address: SocketAddr, timeout: Duration, wire: W) -> Self {
        let config = trillium_smol::ClientConfig::new().with_nodelay(true);
        // A longer body is announced first and waits for leave, which no store has to give: writes
        // over the library's kilobyte took a second more than a call may.
        let client = Client::new(config).with_max_buffered_request_body(VALUE_BYTES_MAX);
        Self { client, address, timeout, wire }
    }

    /// Carries out a call; [`StoreReply::Unknown`] if it may have been carried out unanswered.
    ///
    /// Guards against a write that takes effect while its answer is lost: any end without a whole
    /// answer after the connection stood is [`StoreReply::Unknown`], so the caller reads the
    /// object back. [`StoreReply::NotDone`] is said only when no byte can have left, or when the
    /// store refused.
    pub async fn call(&self, request: &StoreRequest) -> StoreReply {
        self.pages(request, Freshness::Latest).await
    }

    /// Carries out a read whose answer may be seconds old.
    pub async fn read_stale(&self, request: &StoreRequest) -> StoreReply {
        self.pages(request, Freshness::Stale).await
    }

    async fn pages(&self, request: &StoreRequest, freshness: Freshness) -> StoreReply {
        let mut first = self.page(request, freshness, None).await;
        for _ in 0..PAGES_MAX {
            let Some(page) = first.next_page.take() else { return first.reply };
            let next = self.page(request, freshness, Some(&page)).await;
            first = match joined(first.reply, next) {
                Some(joined) => joined,
                None => return StoreReply::Unknown,
            };
        }
        StoreReply::Unknown
    }

    async fn page(
        &self,
        request: &StoreRequest,
        freshness: Freshness,
        page: Option<&str>,
    ) -> WireReply {
        let call = self.wire.call(request, freshness, page);
        if call.body.as_ref().is_some_and(|body| body.len() > VALUE_BYTES_MAX) {
            return WireReply::whole(StoreReply::NotDone);
        }
        let late = async {
            Timer::after(self.timeout_of(request)).await;
            WireReply::whole(StoreReply::Unknown)
        };
        smol::future::or(self.exchange(request, call), late).await
    }

    async fn exchange(&self, request: &StoreRequest, call: WireCall) -> WireReply {
        let mut conn = match self.conn(call).await {
            Ok(conn) => conn,
            Err(error) => return WireReply::whole(reply_without_answer(&error)),
        };
        let status = conn.status().unwrap_or(Status::InternalServerError);
        // JSON is UTF-8; the library's own text reader takes another encoding when none is named.
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

/// Two pages of one list as one, at the version of the first: what changed since is watched for.
fn joined(first: StoreReply, next: WireReply) -> Option<WireReply> {
    let StoreReply::Listed { version, mut objects } = first else { return None };
    let StoreReply::Listed { objects: more, .. } = next.reply else { return None };
    objects.extend(more);
    Some(WireReply { reply: StoreReply::Listed { version, objects }, next_page: next.next_page })
}
