//! `hash` prints the BLAKE3 hash of a secret.

use sl_core::{OutputFormat, hash};

#[test]
fn the_trailing_line_break_is_not_hashed() {
    let outcome = hash::hash("a-credential-of-32-bytes-or-more\n".as_bytes()).unwrap();
    let expected = blake3::hash(b"a-credential-of-32-bytes-or-more").to_hex();
    assert_eq!(outcome.hash, expected.as_str());
    let mut out = Vec::new();
    outcome.write(OutputFormat::Text, &mut out).unwrap();
    assert_eq!(out, format!("{expected}\n").into_bytes());
}

#[test]
fn a_short_secret_is_rejected() {
    let error = hash::hash("hunter2\n".as_bytes()).unwrap_err();
    assert!(matches!(error, hash::Error::TooShort(7)), "{error}");
}
