use std::net::SocketAddr;
use std::sync::Arc;

use celeryhaven_types::{Map, TimeMs};
use smol::lock::Mutex;

use crate::endpoint::LinkEndpoint;
use crate::error::LinkError;
use crate::pool::Backoff;
use crate::wire::{FrameStream, Link};

/// Time without a received packet after which a link in use is replaced, in milliseconds.
///
/// A node that was replaced at the same address does not answer packets of the old link, and QUIC
/// closes it only after the idle timeout.
const UNANSWERED_TIMEOUT_MS: u64 = 1_500;

/// Links to nodes by address: opened on first use, reused, and reopened after failures.
#[derive(Clone, Debug)]
pub struct LinkPool {
    endpoint: LinkEndpoint,
    slots: Arc<Mutex<Map<SocketAddr, Arc<Mutex<Slot>>>>>,
}

#[derive(Debug, Default)]
struct Slot {
    link: Option<Link>,
    backoff: Backoff,
    unanswered: Option<Unanswered>,
}

#[derive(Debug)]
struct Unanswered {
    since: TimeMs,
    packets: u64,
}

impl LinkPool {
    /// Creates an empty pool.
    pub fn new(endpoint: LinkEndpoint) -> Self {
        Self { endpoint, slots: Arc::default() }
    }

    /// Sends an encoded message to the node at an address; it may be lost.
    pub async fn send_bytes(
        &self,
        now: TimeMs,
        address: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), LinkError> {
        self.link(now, address).await?.send_bytes(bytes).await
    }

    /// Opens a stream for one request and its answer to the node at an address.
    pub async fn open(&self, now: TimeMs, address: SocketAddr) -> Result<FrameStream, LinkError> {
        self.link(now, address).await?.open().await
    }

    /// Returns the link to the node at an address, opening one if necessary.
    ///
    /// Concurrent callers for one address wait for a single connection attempt.
    pub async fn link(&self, now: TimeMs, address: SocketAddr) -> Result<Link, LinkError> {
        let slot = self.slots.lock().await.entry(address).or_default().clone();
        let mut slot = slot.lock().await;
        if let Some(link) = slot.usable_link(now) {
            return Ok(link);
        }
        let retry_ms = slot.backoff.remaining_ms(now);
        if retry_ms > 0 {
            return Err(LinkError::BackingOff { address, retry_ms });
        }
        match self.endpoint.connect(address).await {
            Ok(link) => Ok(slot.set_link(link)),
            Err(error) => {
                slot.backoff.record_failure(now);
                Err(error)
            }
        }
    }

    /// Drops the links to all addresses except those listed.
    pub async fn retain(&self, addresses: &[SocketAddr]) {
        self.slots.lock().await.retain(|address, _| addresses.contains(address));
    }
}

impl Slot {
    fn set_link(&mut self, link: Link) -> Link {
        self.backoff.record_success();
        self.unanswered = None;
        self.link = Some(link.clone());
        link
    }

    fn usable_link(&mut self, now: TimeMs) -> Option<Link> {
        let link = self.link.take_if(|link| link.is_open())?;
        let packets = link.received_packets();
        let waiting = self.unanswered.as_ref().filter(|unanswered| unanswered.packets == packets);
        match waiting {
            Some(unanswered) if now.since(unanswered.since) > UNANSWERED_TIMEOUT_MS => {
                link.close();
                self.unanswered = None;
                return None;
            }
            Some(_) => {}
            None => self.unanswered = Some(Unanswered { since: now, packets }),
        }
        self.link = Some(link.clone());
        Some(link)
    }
}
