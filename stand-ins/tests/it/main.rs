//! The stand-ins themselves: their limits, their faults, and their admin calls.

mod backends;
mod platform;
mod process;
mod relay;
mod support;
