use std::fmt::Write as _;

use celeryhaven_types::{ConfigNumber, Intent, PlanId};
use sha2::{Digest as _, Sha256};

/// Short enough for operators to type.
const DIGITS: usize = 12;

/// Derives the identity of a plan from its base and its intent.
pub(crate) fn plan_id(base: ConfigNumber, intent: &Intent) -> PlanId {
    let intent = serde_json::to_string(intent).unwrap_or_default();
    let digest = Sha256::digest(format!("{base}\n{intent}").as_bytes());
    let mut id = digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    });
    id.truncate(DIGITS);
    PlanId::new(id)
}
