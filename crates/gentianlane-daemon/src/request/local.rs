//! Calls to this node's own control thread.

use std::time::Duration;

use flume::Receiver;
use gentianlane::api::{Call, Refusal, Reply};
use gentianlane::unit::Span;
use gentianlane::verdict::{Outcome, Reason};
use rand::RngExt;

use crate::channel::{ControlSender, Input, LeasedReply};
use crate::clock::Clock;

/// The longest wait for the control thread's reply. It is longer than any time
/// for which a call may be held.
const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// The shortest retry delay after an overload; a random part of up to the same
/// length is added.
const OVERLOAD_RETRY_AFTER: Span = Span::from_millis(500);

/// The retry delay while the outcome isn't known.
const PENDING_RETRY_AFTER: Span = Span::from_millis(200);

/// Sends a call to the control thread and blocks until it replies.
pub(crate) fn call(control: &ControlSender, clock: &Clock, call: Call) -> Reply {
    match send(control, call) {
        Ok(replies) => check_lease(replies.recv_timeout(REPLY_TIMEOUT).ok(), clock),
        Err(refusal) => Reply::Refused(refusal),
    }
}

/// Sends a call to the control thread and awaits its reply.
pub(crate) async fn call_async(
    control: &ControlSender,
    clock: &Clock,
    call: Call,
) -> Reply {
    match send(control, call) {
        Ok(replies) => check_lease(replies.recv_async().await.ok(), clock),
        Err(refusal) => Reply::Refused(refusal),
    }
}

fn send(control: &ControlSender, call: Call) -> Result<Receiver<LeasedReply>, Refusal> {
    let (sender, replies) = flume::bounded(1);
    match control.try_send(Input::Call(call, sender)) {
        Ok(()) => Ok(replies),
        Err(_) => Err(overloaded("the control thread is busy")),
    }
}

/// The reply, unless it is missing or the leader lease under which it was made
/// is over.
fn check_lease(reply: Option<LeasedReply>, clock: &Clock) -> Reply {
    match reply {
        Some(LeasedReply { reply, until })
            if until.is_none_or(|until| clock.now() < until) =>
        {
            reply
        }
        _ => pending(),
    }
}

/// A refusal for overload. It is made without looking up the request's key, and
/// an earlier request with the same key may have run.
pub(crate) fn overloaded(detail: &str) -> Refusal {
    let jitter = rand::rng().random_range(0..=OVERLOAD_RETRY_AFTER.as_millis());
    let delay = OVERLOAD_RETRY_AFTER + Span::from_millis(jitter);
    Refusal {
        outcome: Outcome::may_have_run(Reason::Overloaded).retry_after(delay),
        detail: detail.to_owned(),
    }
}

/// The reply while the outcome of a call isn't known.
pub(crate) fn pending() -> Reply {
    let outcome = Outcome::may_have_run(Reason::Pending).retry_after(PENDING_RETRY_AFTER);
    let detail = "retry with the same key".to_owned();
    Reply::Refused(Refusal { outcome, detail })
}
