//! The command functions behind the binary.
