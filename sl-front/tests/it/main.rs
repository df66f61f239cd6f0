//! The front against a fake daemon, over real sockets.

mod door;
mod fake;
mod operator;
mod stream;
