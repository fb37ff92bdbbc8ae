use std::collections::BTreeMap;

use celeryhaven_types::store::{ObjectChange, ObjectKey};
use celeryhaven_types::{Config, DomainPlacement};

/// Prefix of configuration objects.
pub(crate) const CONFIG_PREFIX: &str = "config/";
/// Key of the configuration in force.
pub(crate) const CONFIG_KEY: &str = "config/current";
/// Prefix of placement objects.
pub(crate) const PLACEMENT_PREFIX: &str = "placement/";

/// Which contents an object update changed.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) struct CatalogueChange {
    /// A newer configuration is in force.
    pub(crate) config: bool,
    /// A placement changed.
    pub(crate) placement: bool,
}

/// The newest configuration and placements received.
///
/// Objects are delivered with increasing versions only, so the state never reverts.
#[derive(Default)]
pub(crate) struct Catalogue {
    config: Option<Config>,
    placements: BTreeMap<ObjectKey, DomainPlacement>,
    unreadable: u64,
}

impl Catalogue {
    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Iterates over all placements.
    pub(crate) fn placements(&self) -> impl Iterator<Item = &DomainPlacement> {
        self.placements.values()
    }

    /// Number of objects that could not be parsed.
    pub(crate) fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Applies a newer version of an object.
    pub(crate) fn apply(&mut self, change: &ObjectChange) -> CatalogueChange {
        let key = change.key.as_str();
        let mut changed = CatalogueChange::default();
        if key == CONFIG_KEY {
            changed.config = change.value.as_deref().is_some_and(|text| self.apply_config(text));
        } else if key.starts_with(PLACEMENT_PREFIX) {
            changed.placement = self.apply_placement(&change.key, change.value.as_deref());
        }
        changed
    }

    /// Applies a configuration unless it is older than the one in force.
    fn apply_config(&mut self, text: &str) -> bool {
        let Ok(config) = serde_json::from_str::<Config>(text) else {
            self.unreadable += 1;
            return false;
        };
        if self.config.as_ref().is_some_and(|current| current.number >= config.number) {
            return false;
        }
        self.config = Some(config);
        true
    }

    fn apply_placement(&mut self, key: &ObjectKey, text: Option<&str>) -> bool {
        let Some(text) = text else { return self.placements.remove(key).is_some() };
        match serde_json::from_str::<DomainPlacement>(text) {
            Ok(placement) => {
                self.placements.insert(key.clone(), placement);
                true
            }
            Err(_) => {
                self.unreadable += 1;
                false
            }
        }
    }
}
