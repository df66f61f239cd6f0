//! Which headers pass the door. What concerns one connection, and what only this system
//! may set, is taken out on the way to backend servers, in `sl-back`.

use rocket::Request;

/// Headers of a request that end here: the credential is between caller and system.
const ENDS_HERE: [&str; 1] = ["authorization"];

/// Headers of an answer that are set anew: the body is framed by this server.
const SET_ANEW: [&str; 2] = ["content-length", "transfer-encoding"];

/// The headers of a caller's request that go on.
pub(crate) fn request_headers(req: &Request<'_>) -> Vec<(String, String)> {
    req.headers()
        .iter()
        .filter(|it| !is_in(&ENDS_HERE, it.name.as_str()))
        .map(|it| (it.name.to_string(), it.value.into_owned()))
        .collect()
}

/// The headers of a backend server's answer that go on.
pub(crate) fn answer_headers(all: &[(String, String)]) -> impl Iterator<Item = &(String, String)> {
    all.iter().filter(|(name, _)| !is_in(&SET_ANEW, name))
}

/// The size of all headers as they stood on the wire, in bytes.
pub(crate) fn size(req: &Request<'_>) -> usize {
    req.headers().iter().map(|it| it.name.len() + it.value.len() + SEPARATORS).sum()
}

/// Bytes around a header: a colon, a space and the line's end.
const SEPARATORS: usize = 4;

fn is_in(names: &[&str], name: &str) -> bool {
    names.iter().any(|it| it.eq_ignore_ascii_case(name))
}
