use std::net::SocketAddr;
use std::time::Duration;

use celeryhaven_derives::data;
use celeryhaven_fair_io::FairConnector;
use celeryhaven_node::{OrderOutcome, PollOutcome};
use celeryhaven_store::VmList;
use celeryhaven_types::{Fence, Order, TimeMs};
use serde::de::DeserializeOwned;
use smol::Timer;
use trillium_client::{Client, Status};

use crate::members::run_before;
use celeryhaven_clock::BootClock;

/// Longest answer of a member that is read, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 * 1024;

/// Longest VM list that is read, in bytes; enough for some 4,000 VMs.
const VM_LIST_BYTES_MAX: u64 = 4 * 1024 * 1024;

data! {
    /// Body of a member's refusal of an order.
    struct OrderRefusal {
        error: OrderRefusalError,
    }

    struct OrderRefusalError {
        code: String,
        seen: Option<Fence>,
    }
}

/// HTTP client for members and the VM list.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    /// Reuses connections, since each member is polled several times a second.
    polls: Client,
    /// Opens a connection per order, so that an order does not wait on one left in use by a
    /// timeout.
    orders: Client,
    vm_list: SocketAddr,
    timeout_ms: u64,
}

impl Members {
    pub(crate) fn new(vm_list: SocketAddr, timeout_ms: u64) -> Self {
        let connector = FairConnector::new();
        Self {
            polls: Client::new(connector),
            orders: Client::new(connector).without_keepalive(),
            vm_list,
            timeout_ms,
        }
    }

    /// Returns a member's report and the duration of the poll in milliseconds.
    pub(crate) async fn poll(&self, address: SocketAddr) -> (u64, PollOutcome) {
        let asked_at = BootClock.now();
        let report = self.get(format!("http://{address}/status"), self.timeout_ms).await;
        let outcome = report.map_or(PollOutcome::Failed, PollOutcome::Reported);
        (BootClock.now().since(asked_at), outcome)
    }

    /// Returns the platform's VM list; `None` if the request failed.
    pub(crate) async fn vm_list(&self) -> Option<VmList> {
        let url = format!("http://{}/vms", self.vm_list);
        VmList::parse(&self.get_bytes(url, self.timeout_ms.max(1_000), VM_LIST_BYTES_MAX).await?)
    }

    /// Sends an order, unless `send_before` has passed.
    pub(crate) async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        send_before: TimeMs,
    ) -> OrderOutcome {
        let Ok(body) = serde_json::to_string(order) else { return OrderOutcome::NotSent };
        if BootClock.now() >= send_before {
            return OrderOutcome::NotSent;
        }
        let exchange = async {
            let url = format!("http://{address}/orders");
            let conn = self.orders.post(url).with_body(body);
            let conn = conn.with_request_header("content-type", "application/json");
            let mut conn = conn.await.ok()?;
            match conn.status()? {
                Status::Ok => Some(OrderOutcome::Accepted),
                Status::Conflict => {
                    let body = conn.response_body().with_max_len(ANSWER_BYTES_MAX);
                    let body = body.read_bytes().await.ok()?;
                    let refusal: OrderRefusal = serde_json::from_slice(&body).ok()?;
                    let seen = refusal.error.seen.filter(|_| refusal.error.code == "old_fence")?;
                    Some(OrderOutcome::OldFence { seen })
                }
                _ => None,
            }
        };
        run_before(send_before, exchange).await.flatten().unwrap_or(OrderOutcome::Unknown)
    }

    async fn get<T: DeserializeOwned>(&self, url: String, timeout_ms: u64) -> Option<T> {
        serde_json::from_slice(&self.get_bytes(url, timeout_ms, ANSWER_BYTES_MAX).await?).ok()
    }

    async fn get_bytes(&self, url: String, timeout_ms: u64, limit: u64) -> Option<Vec<u8>> {
        let exchange = async {
            let mut conn = self.polls.get(url).await.ok()?;
            if conn.status()? != Status::Ok {
                return None;
            }
            conn.response_body().with_max_len(limit).read_bytes().await.ok()
        };
        let timeout = async {
            Timer::after(Duration::from_millis(timeout_ms)).await;
            None
        };
        smol::future::or(exchange, timeout).await
    }
}
