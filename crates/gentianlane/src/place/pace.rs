//! Limits on how fast the planner does things that could stampede.

use crate::place::queue::Shape;
use crate::unit::{Span, Time};

/// How many replicas of services are placed in one second.
const REPLICAS: u64 = 50;

/// How many replicas may be placed at once after a quiet time.
const BURST: u64 = 100;

/// How often everything that waits is tried again, whatever has come open.
const SWEEP: Span = Span::from_secs(1);

/// How often at most room is set aside for a job that isn't urgent.
const RESERVING: Span = Span::from_millis(200);

/// What was done when.
#[derive(Debug, Default, Clone)]
pub(crate) struct Pace {
    begun: Option<Time>,
    now: Time,
    swept: Option<Time>,
    reserved: Option<Time>,
    /// The shape of the large job that ended last, until the next round is over.
    ended: Option<Shape>,
    /// Replicas that may be placed now, in thousandths, and as of when.
    replicas: Option<(u64, Time)>,
}

impl Pace {
    /// Says that the planner plans now.
    pub(crate) fn tick(&mut self, now: Time) {
        self.begun.get_or_insert(now);
        self.now = now;
        let (level, at) = self.replicas.unwrap_or((BURST * 1_000, now));
        let more = now.since(at).as_millis().saturating_mul(REPLICAS);
        let level = level.saturating_add(more).min(BURST * 1_000);
        self.replicas = Some((level, now));
    }

    /// Says that a large job has ended.
    pub(crate) fn ends(&mut self, shape: Shape) {
        self.ended = Some(shape);
    }

    /// Says that a round is over.
    pub(crate) fn tock(&mut self) {
        self.ended = None;
    }

    /// Whether a large job of this shape has ended since the last round.
    pub(crate) fn is_followed(&self, shape: &Shape) -> bool {
        self.ended.as_ref() == Some(shape)
    }

    /// Whether the planner has planned for this long.
    pub(crate) fn is_settled(&self, span: Span) -> bool {
        self.begun
            .is_some_and(|begun| self.now >= begun.after(span))
    }

    /// Whether it is time to try all that waits.
    pub(crate) fn sweeps(&mut self, now: Time) -> bool {
        due(&mut self.swept, SWEEP, now)
    }

    /// Whether room may be set aside now.
    pub(crate) fn reserves(&mut self, now: Time) -> bool {
        due(&mut self.reserved, RESERVING, now)
    }

    /// Whether a replica may be placed now.
    pub(crate) fn has_replica(&self) -> bool {
        self.replicas.is_some_and(|(level, _)| level >= 1_000)
    }

    /// Counts a replica that is placed.
    pub(crate) fn take_replica(&mut self) {
        if let Some((level, _)) = &mut self.replicas {
            *level = level.saturating_sub(1_000);
        }
    }
}

fn due(last: &mut Option<Time>, every: Span, now: Time) -> bool {
    let due = last.is_none_or(|last| now >= last.after(every));
    if due {
        *last = Some(now);
    }
    due
}
