//! In which order waiting steps get room.
//!
//! Answers the load at which more waits than fits: what can still be in time
//! goes first, urgent queues before others, the least slack before more. What
//! can't be in time any more gives way, but still ends.

use crate::fleet::dispatch::stage::Stage;
use crate::unit::{Span, Time};

/// A place in the order; lower goes first.
pub(crate) type Rank = (Hope, u32, i64);

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
    let ready = now.after(stage.rest);
    let hope = match () {
        () if ready <= stage.goal() => Hope::Whole,
        () if ready <= stage.last_call() => Hope::Late,
        () => Hope::Lost,
    };
    (hope, stage.queue.priority, slack(stage.goal(), ready))
}

/// How long a step can still wait and be in time, in milliseconds.
fn slack(goal: Time, ready: Time) -> i64 {
    let millis = |span: Span| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    millis(goal.since(ready)) - millis(ready.since(goal))
}
