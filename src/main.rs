//! The `sesamelock` binary.

fn main() {}
