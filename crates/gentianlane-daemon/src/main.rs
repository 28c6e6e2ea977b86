//! The `gentianlaned` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    gentianlane_daemon::run()
}
