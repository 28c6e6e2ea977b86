//! The process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use gentianlane::unit::{Time, Wall};

/// A monotonic clock that starts with the process, and the civil clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time on the monotonic clock.
    pub(crate) fn now(&self) -> Time {
        let millis = self.start.elapsed().as_millis();
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
