//! The leader's handling of calls that submit requests, wait for answers and
//! report the ends of tasks.

use crate::api::{Finish, Refusal, Reply, Submit, TEXT_LIMIT};
use crate::cell::{Command, Node, Status, Ticket};
use crate::id;
use crate::unit::{Span, Time, Wall};
use crate::verdict::{Outcome, Reason};

/// The most open jobs; new requests beyond it are refused.
const MAX_OPEN_JOBS: usize = 32_768;

/// The shortest retry delay while too many jobs are open. The request's key
/// adds up to as much again, so that retries spread.
const OVERLOAD_RETRY: Span = Span::from_millis(1_000);

impl Node {
    /// Proposes a request and lets the call wait for the answer, unless the
    /// payload is too long or the request is refused by admission.
    pub(super) fn submit(
        &mut self,
        submit: Submit,
        ticket: Ticket,
        deadline: Time,
        wall: Wall,
    ) {
        let key = submit.key;
        if submit.payload.len() > TEXT_LIMIT {
            let detail = format!("the payload is longer than {TEXT_LIMIT} bytes");
            let refusal = Refusal::not_run(Reason::Malformed, detail);
            return self.reply(ticket, Reply::Refused(refusal));
        }
        let refusal = self.admission_refusal(&submit.team);
        if let Some(refusal) = refusal.filter(|_| self.is_new(&key)) {
            let spread = key.spread(OVERLOAD_RETRY.as_millis());
            let span = OVERLOAD_RETRY + Span::from_millis(spread);
            let refusal = Reply::Refused(refusal.retry_after(span));
            return self.reply(ticket, refusal);
        }
        if self.add_waiter(key, ticket, deadline) {
            self.propose(Command::Submit { at: wall, submit }, Some(ticket));
        }
    }

    /// Why a team's new requests are refused; `None` while they are accepted.
    ///
    /// A team may have as many jobs open as there is room left for all teams.
    /// One team alone thus takes at most half of the room, and there is always
    /// some left for the next.
    fn admission_refusal(&self, team: &id::Team) -> Option<Refusal> {
        let in_flight = self.pending_replies.len() + self.proposals.len();
        let available = MAX_OPEN_JOBS.saturating_sub(self.state.job_count() + in_flight);
        if available == 0 {
            return Some(Refusal::not_run(
                Reason::Overloaded,
                "too many jobs are open",
            ));
        }
        if self.state.open_requests(team) >= available {
            let detail = format!(
                "team {team} already has as many open jobs as are left for all teams"
            );
            return Some(Refusal::not_run(Reason::Quota, detail));
        }
        None
    }

    /// Whether the key has no record and no waiting call, and hasn't expired.
    /// Only then is it certain that nothing has run, as an admission refusal
    /// states.
    fn is_new(&self, key: &id::Key) -> bool {
        let has_waiter = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.has_waiter(key));
        let expired = key.issued() < self.state.horizon();
        self.state.record(key).is_none() && !has_waiter && !expired
    }

    /// Answers a call for an earlier request, or lets it wait while the request
    /// is open.
    pub(super) fn wait(&mut self, key: id::Key, ticket: Ticket, deadline: Time) {
        match self.state.record(&key).map(|record| &record.status) {
            Some(Status::Closed(answer)) => {
                let reply = Reply::Answer(answer.clone());
                self.reply(ticket, reply);
            }
            Some(Status::Open(_)) => {
                self.add_waiter(key, ticket, deadline);
            }
            None if key.issued() < self.state.horizon() => {
                self.reply(ticket, Reply::Refused(Refusal::key_expired()));
            }
            None => {
                let outcome = Outcome::may_have_run(Reason::UnknownKey);
                let detail = "no request with this key has arrived yet".to_owned();
                self.reply(ticket, Reply::Refused(Refusal { outcome, detail }));
            }
        }
    }

    /// Proposes the end of a task, if its output has the length and digest that
    /// the worker stated.
    pub(super) fn finish(&mut self, finish: Finish, ticket: Ticket) {
        if !finish.output.is_whole() {
            let detail = "the output doesn't match its length or digest";
            let refusal = Refusal::not_run(Reason::Malformed, detail);
            return self.reply(ticket, Reply::Refused(refusal));
        }
        self.propose(Command::Finish(finish), Some(ticket));
    }
}
