//! One call on its way from an entry VM to the current leader.

use rand::{Rng, RngExt};

use crate::admit::Budget;
use crate::api::{Call, Refusal, Reply};
use crate::unit::{Span, Time};
use crate::verdict::{Outcome, Reason};

/// How long after its arrival a call is retried.
const RETRY_PERIOD: Span = Span::from_secs(3);

/// The shortest delay between two tries; the longest is twice that.
const RETRY_DELAY: Span = Span::from_millis(50);

/// The shortest delay that a caller is told to wait if no leader was reached;
/// the longest is twice that.
const RETRY_AFTER: Span = Span::from_millis(500);

/// A call that is being forwarded; its owner does the sending and waiting.
#[derive(Debug, Clone)]
pub struct Forward {
    call: Call,
    received_at: Time,
    /// Whether the call was sent at least once without getting a reply.
    may_have_arrived: bool,
}

/// Why a try got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// No leader is known, or the call couldn't be sent.
    Unreachable,
    /// The call was sent, but no reply came.
    ReplyLost,
}

/// What to do next with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Wait this long, then send the call again under the same key.
    Retry(Span),
    /// Send this reply to the caller.
    Reply(Reply),
}

impl Forward {
    /// A call that arrived from its caller at `now`.
    ///
    /// ```
    /// use gentianlane::{admit::Budget, api::{Call, Reply}, unit::Time};
    /// use gentianlane::route::{Forward, Next};
    /// use rand::SeedableRng;
    /// let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// let now = Time::from_millis(0);
    /// let mut forward = Forward::new(Call::Workers, now);
    /// let reply = Reply::Workers(Vec::new());
    /// let mut budget = Budget::new(1);
    /// let result = Ok(reply.clone());
    /// let next = forward.handle_reply(result, now, &mut budget, &mut random);
    /// assert_eq!(next, Next::Reply(reply));
    /// ```
    #[must_use]
    pub fn new(call: Call, now: Time) -> Self {
        Self {
            call,
            received_at: now,
            may_have_arrived: false,
        }
    }

    /// The call to send now, with the time since its arrival subtracted from
    /// its deadline and from how long it may be held.
    #[must_use]
    pub fn current_call(&self, now: Time) -> Call {
        let elapsed = now.since(self.received_at);
        let mut call = self.call.clone();
        match &mut call {
            Call::Submit(submit) => {
                submit.hold = submit.hold.saturating_sub(elapsed);
                submit.deadline =
                    submit.deadline.map(|left| left.saturating_sub(elapsed));
            }
            Call::Wait(wait) => wait.hold = wait.hold.saturating_sub(elapsed),
            Call::Cancel(cancel) => cancel.hold = cancel.hold.saturating_sub(elapsed),
            _ => {}
        }
        call
    }

    /// Handles the result of one try.
    ///
    /// If the reply was lost, the call is sent again under the same key, as its
    /// effect isn't known. Only such retries take from the budget, as only they
    /// add to the leader's load.
    pub fn handle_reply(
        &mut self,
        result: Result<Reply, LinkError>,
        now: Time,
        budget: &mut Budget,
        random: &mut impl Rng,
    ) -> Next {
        let lost = match result {
            Ok(Reply::Refused(refusal)) if is_from_non_leader(&refusal) => false,
            Ok(reply) => {
                budget.earn();
                return Next::Reply(reply);
            }
            Err(LinkError::Unreachable) => false,
            Err(LinkError::ReplyLost) => true,
        };
        self.may_have_arrived |= lost;
        let timed_out = now.since(self.received_at) >= RETRY_PERIOD;
        if timed_out || (lost && !budget.spend()) {
            return Next::Reply(self.give_up(random));
        }
        Next::Retry(with_jitter(RETRY_DELAY, random))
    }

    /// The refusal for a call that isn't retried any more.
    ///
    /// The same request may have been sent under its key through other entries,
    /// so an entry never says that a request has not run.
    fn give_up(&self, random: &mut impl Rng) -> Reply {
        let is_request =
            matches!(self.call, Call::Submit(_) | Call::Wait(_) | Call::Cancel(_));
        let reason = match self.may_have_arrived {
            true => Reason::Pending,
            false => Reason::NoQuorum,
        };
        let outcome = match is_request || self.may_have_arrived {
            true => Outcome::may_have_run(reason),
            false => Outcome::not_run(reason),
        };
        Reply::Refused(Refusal {
            outcome: outcome.retry_after(with_jitter(RETRY_AFTER, random)),
            detail: "no leader can be reached; retry with the same key".to_owned(),
        })
    }
}

/// Whether the node that refused isn't a leader with a quorum, so that the call
/// has to go to another node.
fn is_from_non_leader(refusal: &Refusal) -> bool {
    refusal.outcome.reason == Reason::NoQuorum
}

/// A random time between `span` and twice `span`.
fn with_jitter(span: Span, random: &mut impl Rng) -> Span {
    let millis = span.as_millis();
    Span::from_millis(random.random_range(millis..=2 * millis))
}
