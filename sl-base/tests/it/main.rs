//! Integration tests of `sl-base`.

mod code;
mod hash;
mod time;
