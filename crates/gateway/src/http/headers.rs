use http::HeaderMap;
use http::header::{
    CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes hop-by-hop headers, including those that `Connection` lists.
///
/// See RFC 9110, section 7.6.1.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    named.iter().chain(&HOP_BY_HOP).for_each(|name| {
        headers.remove(name);
    });
    headers.remove("keep-alive");
}
