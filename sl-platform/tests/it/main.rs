//! The client against the stand-in platform and its faults.

mod calls;
mod faults;
mod list;
mod support;
