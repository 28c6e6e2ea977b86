//! The daemon's binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    gentianlane_daemon::run()
}
