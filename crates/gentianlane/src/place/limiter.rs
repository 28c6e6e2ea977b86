//! Limits on how fast the planner does things that could stampede.

use crate::place::queue::Shape;
use crate::unit::{Span, Time};

/// How many replicas of services are placed in one second.
const REPLICAS_PER_SECOND: u64 = 50;

/// How many replicas may be placed at once after a quiet time.
const REPLICA_BURST: u64 = 100;

/// How often everything that waits is tried again, whatever has come open.
const SWEEP_INTERVAL: Span = Span::from_secs(1);

/// How often at most room is set aside for a job that isn't urgent.
const CLAIM_INTERVAL: Span = Span::from_millis(200);

/// What was done when.
#[derive(Debug, Default, Clone)]
pub(crate) struct Limiter {
    started_at: Option<Time>,
    now: Time,
    last_sweep: Option<Time>,
    last_claim: Option<Time>,
    /// The shape of the large job that ended last, until the next round is over.
    last_ended: Option<Shape>,
    /// Replicas that may be placed now, in thousandths, and as of when.
    replica_tokens: Option<(u64, Time)>,
}

impl Limiter {
    /// Says that the planner plans now.
    pub(crate) fn begin_round(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
        self.now = now;
        let (tokens, at) = self.replica_tokens.unwrap_or((REPLICA_BURST * 1_000, now));
        let more = now
            .since(at)
            .as_millis()
            .saturating_mul(REPLICAS_PER_SECOND);
        let tokens = tokens.saturating_add(more).min(REPLICA_BURST * 1_000);
        self.replica_tokens = Some((tokens, now));
    }

    /// Says that a large job has ended.
    pub(crate) fn record_end(&mut self, shape: Shape) {
        self.last_ended = Some(shape);
    }

    /// Says that a round is over.
    pub(crate) fn end_round(&mut self) {
        self.last_ended = None;
    }

    /// Whether a large job of this shape has ended since the last round.
    pub(crate) fn just_ended(&self, shape: &Shape) -> bool {
        self.last_ended.as_ref() == Some(shape)
    }

    /// Whether the planner has planned for this long.
    pub(crate) fn has_run_for(&self, span: Span) -> bool {
        self.started_at
            .is_some_and(|started_at| self.now >= started_at.after(span))
    }

    /// Whether it is time to try all that waits.
    pub(crate) fn try_sweep(&mut self, now: Time) -> bool {
        take_if_due(&mut self.last_sweep, SWEEP_INTERVAL, now)
    }

    /// Whether room may be set aside now.
    pub(crate) fn try_claim(&mut self, now: Time) -> bool {
        take_if_due(&mut self.last_claim, CLAIM_INTERVAL, now)
    }

    /// Whether a replica may be placed now.
    pub(crate) fn has_replica_token(&self) -> bool {
        self.replica_tokens
            .is_some_and(|(tokens, _)| tokens >= 1_000)
    }

    /// Counts a replica that is placed.
    pub(crate) fn take_replica_token(&mut self) {
        if let Some((tokens, _)) = &mut self.replica_tokens {
            *tokens = tokens.saturating_sub(1_000);
        }
    }
}

fn take_if_due(last: &mut Option<Time>, every: Span, now: Time) -> bool {
    let due = last.is_none_or(|last| now >= last.after(every));
    if due {
        *last = Some(now);
    }
    due
}
