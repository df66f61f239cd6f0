//! End-to-end tests: real `sesamelock` processes with stand-ins for callers, backend servers
//! and the store.

mod callers;
mod endless;
mod failure;
mod membership;
mod notices;
mod operators;
mod refusals;
mod responses;
mod restore;
mod shutdown;
mod soak;
mod streams;
mod testbed;
mod unframed;
