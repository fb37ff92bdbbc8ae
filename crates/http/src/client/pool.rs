use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use celeryhaven_types::Map;
use smol::{LocalExecutor, Timer};

use crate::client::{Connection, ConnectionError};

/// Settings of a [`ConnectionPool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Maximum time to connect.
    pub connect_timeout: Duration,
    /// Maximum time that sent bytes may stay unacknowledged.
    pub tcp_user_timeout: Duration,
    /// Maximum time that a connection stays in the pool.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections per target.
    pub idle_max: usize,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// A pool of idle connections to targets, by address.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    settings: PoolSettings,
    idle: Rc<RefCell<Map<SocketAddr, Vec<IdleConnection>>>>,
}

impl ConnectionPool {
    /// Creates an empty pool whose connections run on this executor.
    pub fn new(executor: Rc<LocalExecutor<'static>>, settings: PoolSettings) -> Self {
        Self { executor, settings, idle: Rc::default() }
    }

    /// Returns the most recently pooled connection that is still open, or a new one, and whether it
    /// is new.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established.
    pub async fn take(&self, address: SocketAddr) -> Result<(Connection, bool), ConnectionError> {
        match self.take_idle(address) {
            Some(connection) => Ok((connection, false)),
            None => Ok((self.connect(address).await?, true)),
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectionError> {
        let PoolSettings { connect_timeout, tcp_user_timeout, .. } = self.settings;
        Connection::connect(&self.executor, address, connect_timeout, tcp_user_timeout).await
    }

    /// Opens a new connection, and tries a second time beside the first after `delay`.
    ///
    /// A lost packet delays an attempt by a second, which says nothing of the target.
    ///
    /// # Errors
    ///
    /// Returns the error of the attempt that ends first.
    pub async fn connect_twice(
        &self,
        address: SocketAddr,
        delay: Duration,
    ) -> Result<Connection, ConnectionError> {
        let second = async {
            Timer::after(delay).await;
            self.connect(address).await
        };
        smol::future::or(self.connect(address), second).await
    }

    /// Returns a connection whose exchange is complete to the pool.
    ///
    /// `keep_alive` is the time after which the target closes an idle connection, if known.
    pub fn put(&self, address: SocketAddr, connection: Connection, keep_alive: Option<Duration>) {
        let lifetime =
            keep_alive.unwrap_or(self.settings.idle_timeout).min(self.settings.idle_timeout);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.settings.idle_max && !lifetime.is_zero() {
            connections.push(IdleConnection { connection, expires_at: Instant::now() + lifetime });
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|idle| idle.expires_at > now && idle.connection.is_idle());
        connections.pop().map(|idle| idle.connection)
    }
}
