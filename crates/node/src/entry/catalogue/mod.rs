//! Configuration and placements, parsed from the distributed objects.

mod objects;

pub(crate) use objects::{CONFIG_KEY, CONFIG_PREFIX, Catalogue, CatalogueChange, PLACEMENT_PREFIX};
