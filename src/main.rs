//! The `sesamelock` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    sl_core::main()
}
