use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use celeryhaven_types::{Map, TimeMs};
use smol::future::poll_once;
use smol::net::TcpStream;

use celeryhaven_clock::BootClock;

/// Maximum number of idle connections per target.
const IDLE_PER_TARGET_MAX: usize = 32;
/// Time after which an idle connection is discarded, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 4_000;

/// Pool of idle connections to targets.
#[derive(Default)]
pub(crate) struct IdleConnections {
    clock: BootClock,
    by_target: Mutex<Map<SocketAddr, Vec<(TimeMs, TcpStream)>>>,
}

impl IdleConnections {
    /// Returns a connection to the pool.
    pub(crate) fn put(&self, address: SocketAddr, stream: TcpStream) {
        let now = self.clock.now();
        let mut by_target = self.lock();
        let pool = by_target.entry(address).or_default();
        pool.retain(|(idle_since, _)| now.since(*idle_since) < IDLE_TIMEOUT_MS);
        if pool.len() < IDLE_PER_TARGET_MAX {
            pool.push((now, stream));
        }
    }

    /// Takes the most recently used connection to a target that is open and has no unread bytes.
    pub(crate) async fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let (idle_since, stream) = self.lock().get_mut(&address)?.pop()?;
            let fresh = self.clock.now().since(idle_since) < IDLE_TIMEOUT_MS;
            if fresh && poll_once(stream.peek(&mut [0])).await.is_none() {
                return Some(stream);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Vec<(TimeMs, TcpStream)>>> {
        self.by_target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
