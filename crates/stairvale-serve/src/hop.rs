//! Hop-by-hop headers, which are not forwarded.

use http::{HeaderMap, header};

/// Headers that concern a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
];

/// Removes all hop-by-hop headers, including those that `Connection` names.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> =
        named.flat_map(|value| value.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP) {
        headers.remove(name);
    }
}
