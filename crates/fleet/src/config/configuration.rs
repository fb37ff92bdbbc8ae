use celeryhaven_derives::state;
use celeryhaven_types::{ConfigNumber, OrganisationName, ServiceName};

use crate::config::{CallerLimits, EngineProfile, Route};

state! {
    /// One accepted version of the configuration, in full.
    pub struct Configuration {
        /// Grows with each version, in uneven steps.
        pub number: ConfigNumber,
        /// Every route.
        pub routes: Vec<Route>,
        /// Every service that a route may name.
        pub services: Vec<Service>,
        /// What callers may send.
        pub limits: CallerLimits,
        /// Who holds which keys; `None` where callers need none.
        pub key_holders: Option<Vec<KeyHolder>>,
    }

    /// Targets that answer the same requests.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// Connections that one of its targets takes from all nodes together.
        pub connections_max: u32,
        /// What is known of its engines; `None` for a plain service.
        pub engine: Option<EngineProfile>,
    }

    /// An organisation and its keys.
    pub struct KeyHolder {
        /// The organisation.
        pub name: OrganisationName,
        /// Its keys.
        pub keys: Vec<String>,
        /// Rank of its requests where it has one of its own, 0 first.
        pub rank: Option<u8>,
    }
}

impl Configuration {
    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
