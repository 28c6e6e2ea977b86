//! The monotonic clock and the wall clock of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gentianlane::unit::{Time, Wall};
use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that starts with the process, and the wall clock.
///
/// The monotonic clock also counts the time while the VM is suspended, so that
/// a leader finds its lease expired after a resume.
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

    /// The time on the wall clock, since the Unix epoch.
    pub(crate) fn wall() -> Wall {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Wall::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

/// The time since the VM's boot, including the time that it was suspended.
///
/// The call can only fail for an unknown clock; Linux has this one since 2.6.39.
fn uptime() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
