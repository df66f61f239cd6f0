//! Attempts against stand-ins and against bare sockets.

mod cost;
mod filter;
mod run;
mod seeds;
mod support;
mod target;
mod wire;
