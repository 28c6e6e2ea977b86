//! Rate limits of the planner, which prevent stampedes such as many replicas
//! that start at once, and what it remembers from round to round.

use crate::place::queue::Shape;
use crate::unit::{Span, Time};

/// The replicas of services that may be placed per second.
const REPLICAS_PER_SECOND: u64 = 50;

/// The replicas that may be placed at once after an idle time.
const REPLICA_BURST: u64 = 100;

/// How often all lanes are tried again, whatever has become available.
const SWEEP_INTERVAL: Span = Span::from_secs(1);

/// The shortest time between two claims that are made without preemption.
const CLAIM_INTERVAL: Span = Span::from_millis(200);

/// When the planner last did what is limited.
#[derive(Debug, Default, Clone)]
pub(crate) struct Limiter {
    /// The time of the first round.
    started_at: Option<Time>,
    /// The time of the current or last round.
    now: Time,
    last_sweep: Option<Time>,
    last_claim: Option<Time>,
    /// The shape of the last job of several tasks that has ended since the end
    /// of the last round.
    last_ended: Option<Shape>,
    /// The token bucket for replicas: its level in thousandths of a replica,
    /// and when it was last filled.
    replica_tokens: Option<(u64, Time)>,
}

impl Limiter {
    /// Begins a round and refills the token bucket.
    pub(crate) fn begin_round(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
        self.now = now;
        let (tokens, at) = self.replica_tokens.unwrap_or((REPLICA_BURST * 1_000, now));
        let refill = now
            .since(at)
            .as_millis()
            .saturating_mul(REPLICAS_PER_SECOND);
        let tokens = tokens.saturating_add(refill).min(REPLICA_BURST * 1_000);
        self.replica_tokens = Some((tokens, now));
    }

    /// Records the end of a job of several tasks.
    pub(crate) fn record_end(&mut self, shape: Shape) {
        self.last_ended = Some(shape);
    }

    /// Ends a round.
    pub(crate) fn end_round(&mut self) {
        self.last_ended = None;
    }

    /// Whether the last job of several tasks that ended since the last round
    /// had this shape.
    pub(crate) fn just_ended(&self, shape: &Shape) -> bool {
        self.last_ended.as_ref() == Some(shape)
    }

    /// Whether the first round was at least this long ago.
    pub(crate) fn has_run_for(&self, span: Span) -> bool {
        self.started_at
            .is_some_and(|started_at| self.now >= started_at.after(span))
    }

    /// Whether a sweep of all lanes is due; if so, counts it as done now.
    pub(crate) fn try_sweep(&mut self, now: Time) -> bool {
        take_if_due(&mut self.last_sweep, SWEEP_INTERVAL, now)
    }

    /// Whether a claim is allowed now; if so, counts it as made.
    pub(crate) fn try_claim(&mut self, now: Time) -> bool {
        take_if_due(&mut self.last_claim, CLAIM_INTERVAL, now)
    }

    /// Whether a replica may be placed now.
    pub(crate) fn has_replica_token(&self) -> bool {
        self.replica_tokens
            .is_some_and(|(tokens, _)| tokens >= 1_000)
    }

    /// Counts one replica as placed.
    pub(crate) fn take_replica_token(&mut self) {
        if let Some((tokens, _)) = &mut self.replica_tokens {
            *tokens = tokens.saturating_sub(1_000);
        }
    }
}

/// Whether `every` has passed since `last`; if so, sets `last` to `now`.
fn take_if_due(last: &mut Option<Time>, every: Span, now: Time) -> bool {
    let due = last.is_none_or(|last| now >= last.after(every));
    if due {
        *last = Some(now);
    }
    due
}
