use celeryhaven_types::{
    Config, ConfigNumber, Map, Organisation, PlainService, ServiceName, VmName,
};

/// Snapshot of the control state for the traffic threads.
#[derive(Default)]
pub(crate) struct View {
    /// Whether the node accepts new requests.
    pub(crate) ready: bool,
    config: Option<Config>,
    by_key_hash: Map<String, usize>,
}

impl View {
    pub(crate) fn new(ready: bool, config: Option<&Config>) -> Self {
        let organisations = config.map_or(&[][..], |config| &config.intent.organisations);
        let keys = organisations.iter().enumerate().flat_map(|(index, organisation)| {
            organisation.api_key_sha256.iter().map(move |hash| (hash.clone(), index))
        });
        Self { ready, by_key_hash: keys.collect(), config: config.cloned() }
    }

    /// Returns the number of the configuration in force.
    pub(crate) fn config_number(&self) -> Option<ConfigNumber> {
        self.config.as_ref().map(|config| config.number)
    }

    /// Returns the organisation of an API key, by its SHA-256 in lowercase hexadecimal.
    pub(crate) fn organisation(&self, key_sha256: &str) -> Option<&Organisation> {
        let index = self.by_key_hash.get(key_sha256)?;
        self.config.as_ref()?.intent.organisations.get(*index)
    }

    /// Whether a VM is a target of a plain service.
    pub(crate) fn is_plain(&self, vm: &VmName) -> bool {
        let services = self.config.iter().flat_map(|config| &config.intent.services);
        services.flat_map(|service| &service.targets).any(|target| target.vm == *vm)
    }

    /// Returns the plain service with this name.
    pub(crate) fn service(&self, name: &ServiceName) -> Option<&PlainService> {
        self.config.as_ref()?.intent.services.iter().find(|service| service.name == *name)
    }
}
