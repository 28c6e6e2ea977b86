//! In which order waiting steps get room.
//!
//! Answers the load at which more waits than fits. Urgent queues go before
//! others, and within a queue's urgency whatever runs out of time first: a job
//! that can be in time has until its goal, one that will be late until it is
//! worth nothing. So a late job isn't passed by new ones until it is lost. What
//! is worth nothing any more gives way to all others, but still ends.

use crate::fleet::dispatch::stage::Stage;
use crate::unit::{Span, Time};

/// A place in the order; lower goes first.
pub(crate) type Rank = (bool, u32, i64);

/// What a job can still be worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Hope {
    /// It can be in time.
    Whole,
    /// It will be late, and still worth something.
    Late,
    /// It's worth nothing any more.
    Lost,
}

/// A step's place in the order.
pub(crate) fn rank(stage: &Stage, now: Time) -> Rank {
    let (hope, slack) = outlook(stage, now);
    (hope == Hope::Lost, stage.queue.priority, slack)
}

/// What a step's job can still be worth, and how many milliseconds the step can
/// wait before that is less.
pub(crate) fn outlook(stage: &Stage, now: Time) -> (Hope, i64) {
    let ready = stage.waited(now) + stage.rest;
    let (goal, last_call) = (stage.goal(), stage.last_call());
    match () {
        () if ready <= goal => (Hope::Whole, slack(goal, ready)),
        () if ready <= last_call => (Hope::Late, slack(last_call, ready)),
        () => (Hope::Lost, slack(last_call, ready)),
    }
}

fn slack(limit: Span, ready: Span) -> i64 {
    let millis = |span: Span| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    millis(limit) - millis(ready)
}
