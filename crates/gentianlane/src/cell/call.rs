//! Calls about one request or one result, as the leader takes them.

use crate::api::{Finish, Refusal, Reply, Submit, TEXT_LIMIT};
use crate::cell::{Command, Node, Status, Ticket};
use crate::id;
use crate::unit::{Span, Time, Wall};
use crate::verdict::{Outcome, Reason};

/// How many jobs may be open; a new request is refused beyond it.
const JOB_LIMIT: usize = 32_768;

/// When to come back while too many jobs are open.
const OVERLOAD_RETRY: Span = Span::from_millis(1_000);

impl Node {
    pub(super) fn submit(
        &mut self,
        submit: Submit,
        ticket: Ticket,
        until: Time,
        wall: Wall,
    ) {
        let key = submit.key;
        if submit.payload.len() > TEXT_LIMIT {
            let detail = format!("the payload is longer than {TEXT_LIMIT} bytes");
            let refusal = Refusal::not_run(Reason::Malformed, detail);
            return self.reply(ticket, Reply::Refused(refusal));
        }
        if self.is_full() && self.is_new(&key) {
            let refusal = Refusal::not_run(Reason::Overloaded, "too much waits");
            let refusal = refusal.retry_after(OVERLOAD_RETRY);
            return self.reply(ticket, Reply::Refused(refusal));
        }
        if self.hold(key, ticket, until) {
            self.propose(Command::Submit { at: wall, submit }, Some(ticket));
        }
    }

    /// Whether so many jobs are open or on their way that no more are taken.
    fn is_full(&self) -> bool {
        self.state.job_count() + self.asked.len() + self.proposals.len() >= JOB_LIMIT
    }

    /// Whether nothing has come under this key that could still run.
    fn is_new(&self, key: &id::Key) -> bool {
        let awaited = self.lead.as_ref().is_some_and(|lead| lead.awaits(key));
        let expired = key.issued() < self.state.horizon();
        self.state.record(key).is_none() && !awaited && !expired
    }

    pub(super) fn wait(&mut self, key: id::Key, ticket: Ticket, until: Time) {
        match self.state.record(&key).map(|record| &record.status) {
            Some(Status::Closed(answer)) => {
                let reply = Reply::Answer(answer.clone());
                self.reply(ticket, reply);
            }
            Some(Status::Open(_)) => {
                self.hold(key, ticket, until);
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
