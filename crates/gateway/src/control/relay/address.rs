use std::net::SocketAddr;

/// A relay as its record names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayAddress {
    pub(crate) address: SocketAddr,
    /// Shows that the asker has read the store.
    pub(crate) token: String,
}
