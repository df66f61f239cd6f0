//! Benchmarks and the demonstration on loopback.
