//! Paths with two readings: a server may resolve what was routed as it stands.

/// Whether `path` has a segment `.` or `..`, as it stands or after one decoding of its percent
/// escapes. A backslash separates segments like a slash, as some servers read it so.
pub fn has_dot_segment(path: &str) -> bool {
    let decoded = percent_encoding::percent_decode_str(path).collect::<Vec<u8>>();
    let mut segments = decoded.split(|it| matches!(it, b'/' | b'\\'));
    segments.any(|it| matches!(it, b"." | b".."))
}
