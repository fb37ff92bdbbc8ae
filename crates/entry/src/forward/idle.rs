use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use celeryhaven_types::{Map, TimeMs};
use smol::future::poll_once;
use smol::net::TcpStream;

use celeryhaven_clock::BootClock;

/// Idle connections kept to one target.
const KEPT_EACH: usize = 32;
/// Age beyond which an idle connection is closed; targets close theirs after some seconds too.
const KEPT_MS: u64 = 4_000;

/// Connections to targets whose last answer came whole.
#[derive(Default)]
pub(crate) struct IdleConnections {
    clock: BootClock,
    by_target: Mutex<Map<SocketAddr, Vec<(TimeMs, TcpStream)>>>,
}

impl IdleConnections {
    /// Keeps a connection for another request.
    pub(crate) fn put(&self, address: SocketAddr, stream: TcpStream) {
        let now = self.clock.now();
        let mut by_target = self.lock();
        let kept = by_target.entry(address).or_default();
        kept.retain(|(since, _)| now.since(*since) < KEPT_MS);
        if kept.len() < KEPT_EACH {
            kept.push((now, stream));
        }
    }

    /// Takes the youngest connection to a target that still stands and has nothing to read.
    pub(crate) async fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let (since, stream) = self.lock().get_mut(&address)?.pop()?;
            let young = self.clock.now().since(since) < KEPT_MS;
            if young && poll_once(stream.peek(&mut [0])).await.is_none() {
                return Some(stream);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Vec<(TimeMs, TcpStream)>>> {
        self.by_target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
