use http::HeaderMap;
use http::header::{
    ACCEPT_RANGES, CONNECTION, CONTENT_ENCODING, CONTENT_RANGE, ETAG, HeaderName,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Headers that describe the bytes of a single run of a stream.
const OF_ONE_RUN: [HeaderName; 8] = [
    ACCEPT_RANGES,
    CONTENT_RANGE,
    ETAG,
    HeaderName::from_static("content-md5"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("repr-digest"),
    HeaderName::from_static("last-modified"),
];

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

/// Removes the headers of a stream that would not hold for the events of another run.
pub(crate) fn strip_run_headers(headers: &mut HeaderMap) {
    OF_ONE_RUN.iter().for_each(|name| {
        headers.remove(name);
    });
}

/// Whether a body is in a coding that hides its events.
///
/// See RFC 9110, section 8.4.
pub(crate) fn is_coded(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONTENT_ENCODING);
    values.iter().any(|value| !value.as_bytes().eq_ignore_ascii_case(b"identity"))
}
