//! Tests of the adapters' parts that need no network.

mod detail;
mod events;
mod lines;
mod overload;
mod portion;
mod roles;
mod unused;
