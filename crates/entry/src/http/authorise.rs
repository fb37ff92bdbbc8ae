use celeryhaven_types::{Organisation, RefusalCode};
use sha2::{Digest, Sha256};
use trillium::Conn;

use crate::control::View;

/// Returns the organisation of the API key in a request.
pub(crate) fn authorise<'a>(view: &'a View, conn: &Conn) -> Result<&'a Organisation, RefusalCode> {
    let header = conn.request_headers().get_str("authorization").unwrap_or_default();
    let key = header.strip_prefix("Bearer ").map(str::trim).filter(|key| !key.is_empty());
    let key = key.ok_or(RefusalCode::Unauthenticated)?;
    // Without a configuration no key can be checked, so the key is not reported as wrong.
    view.config_number().ok_or(RefusalCode::NodeUnavailable)?;
    view.organisation(&sha256_hex(key.as_bytes())).ok_or(RefusalCode::Unauthenticated)
}

fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
