//! One call on its way from an entry VM to whoever leads.

use rand::{Rng, RngExt};

use crate::admit::Budget;
use crate::api::{Call, Refusal, Reply};
use crate::unit::{Span, Time};
use crate::verdict::{Outcome, Reason};

/// How long a call looks for a leader.
const PATIENCE: Span = Span::from_secs(3);

/// The pause before the leader is asked for again; the longest is twice that.
const PAUSE: Span = Span::from_millis(50);

/// When to come back if no leader was found; the longest is twice that.
const COME_BACK: Span = Span::from_millis(500);

/// One call on its way; driven by whoever has the sockets.
#[derive(Debug, Clone)]
pub struct Forward {
    call: Call,
    came: Time,
    /// Whether the call was sent and its reply was lost.
    may_have_arrived: bool,
}

/// How the way to the leader broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// There is no leader to ask, or nothing was sent.
    Unreachable,
    /// The call was sent, and its reply was lost.
    Lost,
}

/// What comes next for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Wait this long, then ask again under the same key.
    Again(Span),
    /// Reply this.
    Reply(Reply),
}

impl Forward {
    /// A call that came at `now`.
    ///
    /// ```
    /// use gentianlane::{admit::Budget, api::{Call, Reply}, unit::Time};
    /// use gentianlane::route::{Forward, Next};
    /// use rand::SeedableRng;
    /// let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// let now = Time::from_millis(0);
    /// let mut forward = Forward::new(Call::Workers, now);
    /// let reply = Reply::Workers(Vec::new());
    /// let next = forward.heard(Ok(reply.clone()), now, &mut Budget::new(1), &mut random);
    /// assert_eq!(next, Next::Reply(reply));
    /// ```
    #[must_use]
    pub fn new(call: Call, now: Time) -> Self {
        Self {
            call,
            came: now,
            may_have_arrived: false,
        }
    }

    /// The call as it has to be sent now: the time that it has left, and that
    /// it may be held, has gone down since it came.
    #[must_use]
    pub fn ask(&self, now: Time) -> Call {
        let gone = now.since(self.came);
        let mut call = self.call.clone();
        match &mut call {
            Call::Submit(submit) => {
                submit.hold = submit.hold.saturating_sub(gone);
                submit.deadline = submit.deadline.map(|left| left.saturating_sub(gone));
            }
            Call::Wait(wait) => wait.hold = wait.hold.saturating_sub(gone),
            Call::Cancel(cancel) => cancel.hold = cancel.hold.saturating_sub(gone),
            _ => {}
        }
        call
    }

    /// What comes next after a reply, or after the way broke.
    ///
    /// A lost reply is never guessed at: the same key is asked for again. Only
    /// that takes from the budget, as only that loads the leader.
    pub fn heard(
        &mut self,
        heard: Result<Reply, Cut>,
        now: Time,
        budget: &mut Budget,
        random: &mut impl Rng,
    ) -> Next {
        let lost = match heard {
            Ok(Reply::Refused(refusal)) if asks_elsewhere(&refusal) => false,
            Ok(reply) => {
                budget.earn();
                return Next::Reply(reply);
            }
            Err(Cut::Unreachable) => false,
            Err(Cut::Lost) => true,
        };
        self.may_have_arrived |= lost;
        let over = now.since(self.came) >= PATIENCE;
        if over || (lost && !budget.spend()) {
            return Next::Reply(self.give_up(random));
        }
        Next::Again(spread(PAUSE, random))
    }

    /// What is said when no answer can be had now.
    ///
    /// An entry doesn't know what was sent under a request's key through other
    /// entries, so it never says that a request has not run.
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
            outcome: outcome.retry_after(spread(COME_BACK, random)),
            detail: "no leader can be reached; ask again under the same key".to_owned(),
        })
    }
}

/// Whether a reply says that another node has to be asked.
fn asks_elsewhere(refusal: &Refusal) -> bool {
    refusal.outcome.reason == Reason::NoQuorum
}

/// Between the span and twice the span.
fn spread(span: Span, random: &mut impl Rng) -> Span {
    let millis = span.as_millis();
    Span::from_millis(random.random_range(millis..=2 * millis))
}
