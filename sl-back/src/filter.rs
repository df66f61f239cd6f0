//! Headers that must not pass, in either direction: those that concern one connection
//! only (RFC 9110, 7.6.1) and the system's own.

use reqwest::header::{CONNECTION, HeaderMap, HeaderName};

/// The header that carries the attempt's id to the backend server and back.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-sesamelock-attempt");

/// What the names of the system's own headers begin with.
pub const INTERNAL_PREFIX: &str = "x-sesamelock-";

/// Headers that concern one connection only, whether or not `Connection` names them.
pub const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes what must not go to a backend server. The message's framing and the host are
/// set anew for the connection that is used.
pub fn clean_request(headers: &mut HeaderMap) {
    strip(headers);
    for name in ["host", "content-length", "expect"] {
        headers.remove(name);
    }
}

/// Removes what must not go back to a caller.
pub fn clean_answer(headers: &mut HeaderMap) {
    strip(headers);
}

/// Whether a header of this name stays behind even if `Connection` does not name it.
pub fn is_private(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    name.starts_with(INTERNAL_PREFIX) || HOP_BY_HOP.contains(&name.as_str())
}

fn strip(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    let private: Vec<HeaderName> =
        headers.keys().filter(|name| is_private(name.as_str())).cloned().collect();
    for name in private {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|&b| b == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .collect()
}
