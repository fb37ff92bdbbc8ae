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
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest time that a target may leave bytes unacknowledged.
    pub silence: Duration,
    /// Longest time that a channel is kept idle.
    pub idle: Duration,
    /// Idle channels kept for each target.
    pub idle_max: usize,
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    until: Instant,
}

/// Channels to targets that are idle, by address.
#[derive(Clone, Debug)]
pub struct ChannelPool {
    executor: Rc<LocalExecutor<'static>>,
    settings: PoolSettings,
    idle: Rc<RefCell<Map<SocketAddr, Vec<Idle>>>>,
}

impl ChannelPool {
    /// An empty pool whose channels run on this executor.
    pub fn new(executor: Rc<LocalExecutor<'static>>, settings: PoolSettings) -> Self {
        Self { executor, settings, idle: Rc::default() }
    }

    /// The channel that was used last and still stands, or a new one; true if it is new.
    ///
    /// # Errors
    ///
    /// No connection; nothing was sent.
    pub async fn take(&self, address: SocketAddr) -> Result<(Channel, bool), ChannelError> {
        match self.take_idle(address) {
            Some(channel) => Ok((channel, false)),
            None => Ok((self.connect(address).await?, true)),
        }
    }

    /// A new channel.
    ///
    /// # Errors
    ///
    /// No connection; nothing was sent.
    pub async fn connect(&self, address: SocketAddr) -> Result<Channel, ChannelError> {
        let PoolSettings { connect_timeout, silence, .. } = self.settings;
        Channel::connect(&self.executor, address, connect_timeout, silence).await
    }

    /// Keeps a channel whose exchange ended whole; `keep` is how long the target keeps it.
    pub fn put(&self, address: SocketAddr, channel: Channel, keep: Option<Duration>) {
        let keep = keep.unwrap_or(self.settings.idle).min(self.settings.idle);
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(address).or_default();
        if channels.len() < self.settings.idle_max && !keep.is_zero() {
            channels.push(Idle { channel, until: Instant::now() + keep });
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&address)?;
        let now = Instant::now();
        channels.retain(|kept| kept.until > now && kept.channel.is_idle());
        channels.pop().map(|kept| kept.channel)
    }
}
