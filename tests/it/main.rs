//! End-to-end tests: real `sesamelock` processes with stand-ins for callers, backend servers
//! and the store.

mod answers;
mod bed;
mod callers;
mod failure;
mod membership;
mod operators;
mod refusals;
mod soak;
mod stop;
mod streams;
