//! The process's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gentianlane::unit::{Time, Wall};
use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that starts with the process, and the civil clock.
///
/// The monotonic clock goes on while the VM is suspended, so that a leader that
/// wakes finds its lease over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { start: uptime() }
    }

    /// The time on the monotonic clock.
    pub(crate) fn now(&self) -> Time {
        let millis = uptime().saturating_sub(self.start).as_millis();
        Time::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// The civil time.
    pub(crate) fn wall() -> Wall {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Wall::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

/// The time since the VM started, suspension included.
///
/// The call can only fail for a clock that the system doesn't have; every Linux
/// since 2.6.39 has this one.
fn uptime() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
