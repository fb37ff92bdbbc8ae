use std::net::SocketAddr;

use celeryhaven_policy::RequestPolicy;
use celeryhaven_types::{
    Config, ConfigNumber, DataCentreName, NodeName, Organisation, OrganisationName, PlainService,
    ServiceName, TimeMs, VmPhase, VmRole,
};

use crate::entry::{
    AddressAnswer, EntryNode, EntrySettings, EntryStatus, KeyAnswer, ReplicaStatus,
};

/// Queries of the driver.
impl<P: RequestPolicy> EntryNode<P> {
    /// Returns the startup settings.
    pub fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Whether the node accepts new requests.
    pub(crate) fn is_serving(&self) -> bool {
        self.catalogue.config().is_some() && self.fleet.may_serve() && !self.has_expired
    }

    /// Whether the node accepts new requests and may be named in address answers.
    pub fn is_ready(&self) -> bool {
        self.is_serving() && self.leaving_since.is_none()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Config> {
        self.catalogue.config()
    }

    /// Returns the number of the configuration in force.
    pub fn config_number(&self) -> Option<ConfigNumber> {
        self.config().map(|config| config.number)
    }

    /// Returns the organisation that owns an API key, by the key's SHA-256 in lowercase
    /// hexadecimal.
    pub fn organisation_by_key_hash(&self, sha256_hex: &str) -> Option<&Organisation> {
        let mut organisations = self.config()?.intent.organisations.iter();
        organisations.find(|known| known.api_key_sha256.iter().any(|hash| hash == sha256_hex))
    }

    /// Returns the plain service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&PlainService> {
        self.config()?.intent.services.iter().find(|service| service.name == *name)
    }

    /// Returns the entries that a caller should use, those of its data centre first.
    ///
    /// The order within a data centre rotates with each answer, which distributes synchronized
    /// callers over the nodes. Leaving and drained nodes are omitted.
    pub fn addresses(&mut self, data_centre: Option<&DataCentreName>) -> AddressAnswer {
        let near = data_centre.unwrap_or(&self.settings.data_centre).clone();
        let turn = usize::try_from(self.address_answers).unwrap_or_default();
        self.address_answers = self.address_answers.wrapping_add(1);
        let entries = self.live_entries();
        let addresses_of = |here: bool| -> Vec<SocketAddr> {
            let placed = entries.iter().filter(|(place, _)| (*place == near) == here);
            placed.map(|(_, address)| *address).collect()
        };
        let (mut addresses, mut far) = (addresses_of(true), addresses_of(false));
        rotate(&mut addresses, turn);
        rotate(&mut far, turn);
        addresses.append(&mut far);
        AddressAnswer {
            addresses,
            ttl_ms: self.answer_ttl_ms(),
            config_number: self.config_number().unwrap_or_default(),
        }
    }

    /// Issues request keys to an organisation.
    pub fn issue_keys(
        &mut self,
        now: TimeMs,
        organisation: &OrganisationName,
        count: u64,
    ) -> KeyAnswer {
        let keys = self.once.issue(now, organisation, count);
        let keys = keys.iter().map(ToString::to_string).collect();
        KeyAnswer { keys, ttl_ms: self.once.key_life_ms() }
    }

    /// Returns the status for metrics and logs.
    pub fn status(&self, now: TimeMs) -> EntryStatus {
        let wanted = self.targets.iter().filter(|target| target.wanted);
        let replicas = wanted.filter_map(|target| {
            let (replica, generation) = target.formation()?;
            let flaw = target.flaw(now);
            Some(ReplicaStatus { replica, generation, is_up: target.is_up(), flaw })
        });
        EntryStatus {
            ready: self.is_ready(),
            config_number: self.config_number(),
            requests: self.requests.len(),
            targets_up: self.targets.iter().filter(|target| target.is_up()).count(),
            objects_unreadable: self.catalogue.unreadable(),
            replicas: replicas.collect(),
        }
    }

    /// Returns data centre and caller address of every entry that accepts new requests, by name.
    pub(crate) fn live_entries(&self) -> Vec<(DataCentreName, SocketAddr)> {
        let drained = self.config().map_or(&[][..], |config| &config.drained_nodes);
        let own = self.settings.incarnation.node.as_str();
        let own_entry = (self.settings.data_centre.clone(), self.settings.caller_address);
        let others = self.vms.values().filter(|entry| {
            let name = entry.vm.as_str();
            entry.role == VmRole::Entry
                && entry.phase == VmPhase::Live
                && name != own
                && !drained.iter().any(|node| node.as_str() == name)
                && self.fleet.may_be_named(&NodeName::new(name))
        });
        let is_own_live = self.is_ready() && !drained.iter().any(|node| node.as_str() == own);
        is_own_live
            .then_some(own_entry)
            .into_iter()
            .chain(others.map(|entry| (entry.data_centre.clone(), entry.address)))
            .collect()
    }
}

fn rotate(addresses: &mut [SocketAddr], turn: usize) {
    if !addresses.is_empty() {
        addresses.rotate_left(turn % addresses.len());
    }
}
