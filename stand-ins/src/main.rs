//! Runs a stand-in as a process of its own.

fn main() {}
