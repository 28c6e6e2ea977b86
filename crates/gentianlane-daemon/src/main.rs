//! The `gentianlaned` binary.

use std::process::ExitCode;

use tikv_jemallocator::Jemalloc;

/// A leader allocates for each order and each answer, and the system's allocator
/// merges its free lists whenever a large buffer of the journal or of a link is freed.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

fn main() -> ExitCode {
    gentianlane_daemon::run()
}
