//! Tests of the ports over real sockets, with a fake daemon.

mod fake;
mod operator;
