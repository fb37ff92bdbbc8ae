use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use celeryhaven_types::Map;
use smol::LocalExecutor;

use crate::client::{Channel, ChannelError};

/// Settings of a [`ChannelPool`].
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
    channel: Channel,
    expires_at: Instant,
}

/// A pool of idle connections to targets, by address.
#[derive(Clone, Debug)]
pub struct ChannelPool {
    executor: Rc<LocalExecutor<'static>>,
    settings: PoolSettings,
    idle: Rc<RefCell<Map<SocketAddr, Vec<IdleConnection>>>>,
}

impl ChannelPool {
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
    pub async fn take(&self, address: SocketAddr) -> Result<(Channel, bool), ChannelError> {
        match self.take_idle(address) {
            Some(channel) => Ok((channel, false)),
            None => Ok((self.connect(address).await?, true)),
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established.
    pub async fn connect(&self, address: SocketAddr) -> Result<Channel, ChannelError> {
        let PoolSettings { connect_timeout, tcp_user_timeout, .. } = self.settings;
        Channel::connect(&self.executor, address, connect_timeout, tcp_user_timeout).await
    }

    /// Returns a connection whose exchange is complete to the pool.
    ///
    /// `keep_alive` is the time after which the target closes an idle connection, if known.
    pub fn put(&self, address: SocketAddr, channel: Channel, keep_alive: Option<Duration>) {
        let lifetime =
            keep_alive.unwrap_or(self.settings.idle_timeout).min(self.settings.idle_timeout);
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(address).or_default();
        if channels.len() < self.settings.idle_max && !lifetime.is_zero() {
            channels.push(IdleConnection { channel, expires_at: Instant::now() + lifetime });
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&address)?;
        let now = Instant::now();
        channels.retain(|idle| idle.expires_at > now && idle.channel.is_idle());
        channels.pop().map(|idle| idle.channel)
    }
}
