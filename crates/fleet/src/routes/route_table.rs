use celeryhaven_derives::number;
use celeryhaven_types::{Map, OrganisationName};

use crate::config::{Configuration, Route};

number! {
    /// Identifies a route within a [`RouteTable`].
    RouteKey(u32)
}

/// Looks up routes by host and path, and organisations by key.
///
/// ```
/// use celeryhaven_fleet::{CallerLimits, Configuration, RouteTable};
/// use celeryhaven_types::ConfigNumber;
///
/// let limits = CallerLimits {
///     header_bytes_max: 8_192,
///     body_bytes_max: 1_024,
///     header_timeout_ms: 1_000,
///     idle_timeout_ms: 5_000,
/// };
/// let number = ConfigNumber::new(1);
/// let empty =
///     Configuration { number, routes: vec![], services: vec![], limits, key_holders: None };
/// assert!(RouteTable::new(empty).route("host.example", "/a/b").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: Configuration,
    hosts: Map<String, Map<String, RouteKey>>,
    keys: Map<String, u32>,
}

impl RouteTable {
    /// Builds the lookup tables for a configuration.
    pub fn new(config: Configuration) -> Self {
        let mut hosts: Map<String, Map<String, RouteKey>> = Map::default();
        for (index, route) in config.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), RouteKey::new(index as u32));
        }
        let holders = config.key_holders.iter().flatten().enumerate();
        let keys = holders
            .flat_map(|(index, holder)| {
                holder.keys.iter().map(move |key| (key.clone(), index as u32))
            })
            .collect();
        Self { config, hosts, keys }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Configuration {
        &self.config
    }

    /// Returns the route of the host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let prefixes = self.hosts.get(&host)?;
        let slashes = path.char_indices().rev().filter(|&(_, character)| character == '/');
        let key = slashes.filter_map(|(index, _)| prefixes.get(&path[..=index])).next()?;
        self.config.routes.get(key.get() as usize)
    }

    /// Whether callers need a key.
    pub fn needs_keys(&self) -> bool {
        self.config.key_holders.is_some()
    }

    /// Returns the organisation that holds a key, and its rank if it has one.
    pub fn holder(&self, key: &str) -> Option<(&OrganisationName, Option<u8>)> {
        let index = *self.keys.get(key)? as usize;
        let holder = self.config.key_holders.as_ref()?.get(index)?;
        Some((&holder.name, holder.rank))
    }
}
