//! Entry point of the `sesamelock` binary; the commands are in `sl_core`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sl_core::main()
}
