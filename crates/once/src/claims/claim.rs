use std::fmt::Write;

use celeryhaven_derives::data;
use celeryhaven_types::store::ObjectKey;
use celeryhaven_types::{Incarnation, OrganisationName};
use sha2::{Digest, Sha256};

/// Key prefix of claim objects.
pub(crate) const CLAIM_PREFIX: &str = "once/";

data! {
    /// The value of a claim object.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Claim {
        /// The only incarnation that may run the key.
        pub owner: Incarnation,
        /// Identifies the claim among those of its owner, to detect whether a create whose reply
        /// was lost took effect.
        pub claim_id: u64,
    }
}

/// Returns the key of the claim object of a caller-chosen key.
pub(crate) fn claim_key(organisation: &OrganisationName, key: &str) -> ObjectKey {
    let digest = Sha256::digest(key.as_bytes());
    let mut name = format!("{CLAIM_PREFIX}{organisation}/");
    for byte in digest {
        let _ = write!(name, "{byte:02x}");
    }
    ObjectKey::new(name)
}
