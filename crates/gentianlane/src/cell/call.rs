//! Calls about one request or one result, as the leader takes them.

use crate::api::{Finish, Refusal, Reply, Submit, TEXT_LIMIT};
use crate::cell::{Command, Node, Status, Ticket};
use crate::id;
use crate::unit::{Span, Time, Wall};
use crate::verdict::{Outcome, Reason};

/// How many jobs may be open; a new request is refused beyond it.
const MAX_OPEN_JOBS: usize = 32_768;

/// When to come back while too many jobs are open; the longest is twice that.
const OVERLOAD_RETRY: Span = Span::from_millis(1_000);

impl Node {
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

    /// Why no more of a team's requests are taken in, if none are.
    ///
    /// A team may have as many jobs open as there is room left for all teams:
    /// one alone fills half of the room, and the next always finds some.
    fn admission_refusal(&self, team: &id::Team) -> Option<Refusal> {
        let in_flight = self.pending_replies.len() + self.proposals.len();
        let available = MAX_OPEN_JOBS.saturating_sub(self.state.job_count() + in_flight);
        if available == 0 {
            return Some(Refusal::not_run(Reason::Overloaded, "too much waits"));
        }
        if self.state.open_requests(team) >= available {
            let detail = format!("team {team} has as much open as is left for all");
            return Some(Refusal::not_run(Reason::Quota, detail));
        }
        None
    }

    /// Whether nothing has come under this key that could still run.
    fn is_new(&self, key: &id::Key) -> bool {
        let has_waiter = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.has_waiter(key));
        let expired = key.issued() < self.state.horizon();
        self.state.record(key).is_none() && !has_waiter && !expired
    }

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
                let detail = "no request with this key has come here yet".to_owned();
                self.reply(ticket, Reply::Refused(Refusal { outcome, detail }));
            }
        }
    }

    /// Takes up a result whose text is what its length and digest say.
    pub(super) fn finish(&mut self, finish: Finish, ticket: Ticket) {
        if !finish.output.is_whole() {
            let detail = "the output isn't what its length and digest say";
            let refusal = Refusal::not_run(Reason::Malformed, detail);
            return self.reply(ticket, Reply::Refused(refusal));
        }
        self.propose(Command::Finish(finish), Some(ticket));
    }
}
