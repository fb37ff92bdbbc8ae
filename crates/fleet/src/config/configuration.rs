use celeryhaven_derives::state;
use celeryhaven_types::{ConfigNumber, OrganisationName, ServiceName};

use crate::config::{CallerLimits, EngineProfile, Route};

state! {
    /// An accepted version of the complete configuration.
    pub struct Configuration {
        /// Version number; increases with each version, not necessarily by one.
        pub number: ConfigNumber,
        /// All routes.
        pub routes: Vec<Route>,
        /// All services that routes may reference.
        pub services: Vec<Service>,
        /// Limits on caller requests.
        pub limits: CallerLimits,
        /// The organisations and their keys; `None` if callers need no key.
        pub key_holders: Option<Vec<KeyHolder>>,
    }

    /// Targets that answer the same requests.
    pub struct Service {
        /// The service name.
        pub name: ServiceName,
        /// Maximum number of connections to one target, over all nodes.
        pub connections_max: u32,
        /// Requests a second that a target bears from all nodes while it is cold; `None` for any
        /// number.
        pub cold_rate_per_s: Option<f64>,
        /// The profile of its engines; `None` for a plain service.
        pub engine: Option<EngineProfile>,
    }

    /// An organisation and its API keys.
    pub struct KeyHolder {
        /// The organisation name.
        pub name: OrganisationName,
        /// The API keys.
        pub keys: Vec<String>,
        /// Rank of its requests, 0 first; `None` to use the rank of the route.
        pub rank: Option<u8>,
    }
}

impl Configuration {
    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
