//! The `gentianlaned` binary.

use std::process::ExitCode;

use mimalloc::MiMalloc;

/// A leader allocates for each order and each answer, and the system's allocator
/// merges its free lists whenever a large buffer of the journal or of a link is freed.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    gentianlane_daemon::run()
}
