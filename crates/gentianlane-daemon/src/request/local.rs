//! A call to this node's own control thread.

use std::time::Duration;

use flume::Receiver;
use gentianlane::api::{Call, Refusal, Reply};
use gentianlane::unit::Span;
use gentianlane::verdict::{Outcome, Reason};
use rand::RngExt;

use crate::channel::{ControlSender, Input, LeasedReply};
use crate::clock::Clock;

/// The longest wait for the control thread; calls are held for less.
const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// When to come back after too much load; the longest is twice that.
const OVERLOAD_RETRY_AFTER: Span = Span::from_millis(500);

/// When to ask again after a reply that came too late to be used.
const PENDING_RETRY_AFTER: Span = Span::from_millis(200);

/// Asks the control thread and waits.
pub(crate) fn call(control: &ControlSender, clock: &Clock, call: Call) -> Reply {
    match send(control, call) {
        Ok(replies) => check_lease(replies.recv_timeout(REPLY_TIMEOUT).ok(), clock),
        Err(refusal) => Reply::Refused(refusal),
    }
}

/// Asks the control thread without holding a thread.
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

/// The reply, if the node still leads now that it is about to leave.
fn check_lease(sealed: Option<LeasedReply>, clock: &Clock) -> Reply {
    match sealed {
        Some(LeasedReply { reply, until })
            if until.is_none_or(|until| clock.now() < until) =>
        {
            reply
        }
        _ => pending(),
    }
}

/// A refusal without a look at the state: what was sent before under the same
/// key may have run.
pub(crate) fn overloaded(detail: &str) -> Refusal {
    let spread = rand::rng().random_range(0..=OVERLOAD_RETRY_AFTER.as_millis());
    let span = OVERLOAD_RETRY_AFTER + Span::from_millis(spread);
    Refusal {
        outcome: Outcome::may_have_run(Reason::Overloaded).retry_after(span),
        detail: detail.to_owned(),
    }
}

/// What is said while the answer isn't known.
pub(crate) fn pending() -> Reply {
    let outcome = Outcome::may_have_run(Reason::Pending).retry_after(PENDING_RETRY_AFTER);
    let detail = "ask again under the same key".to_owned();
    Reply::Refused(Refusal { outcome, detail })
}
