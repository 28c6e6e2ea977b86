//! Requests and the records that deduplicate them.

use crate::api::{Answer, Refusal, Reply, Submit, TASK_LIMIT, TRACE_LIMIT};
use crate::cell::state::pending_reply;
use crate::cell::{AfterStop, Event, Record, Spec, State, Status};
use crate::digest::Digest;
use crate::id;
use crate::note::Workload;
use crate::place::Kind;
use crate::unit::{Span, Wall};
use crate::verdict::{Outcome, Reason};

/// How far the time in a key may be ahead of the leader's wall clock.
const MAX_KEY_LEAD: Span = Span::from_secs(300);

impl State {
    /// Opens a job for a request that hasn't come before. A request that can't
    /// run is closed at once, and a resend gets the same reply.
    pub(super) fn submit(
        &mut self,
        at: Wall,
        submit: Submit,
        events: &mut Vec<Event>,
    ) -> Reply {
        let digest = submit.digest();
        if let Some(reply) = self.duplicate_reply(&submit.key, &digest) {
            return reply;
        }
        if let Some(refusal) = self.refusal_for(at, &submit) {
            return Reply::Refused(refusal);
        }
        let workload = self.catalog.workload(&submit.workload);
        let Some(workload) = workload.filter(|workload| accepts_requests(workload))
        else {
            let outcome = Outcome::not_run(Reason::UnknownWorkload);
            return self.close_without_job(submit.key, Some(digest), outcome);
        };
        if submit.deadline == Some(Span::ZERO) {
            let outcome = Outcome::not_run(Reason::Deadline);
            return self.close_without_job(submit.key, Some(digest), outcome);
        }
        let Submit {
            key,
            team,
            workload: name,
            payload,
            count,
            deadline,
            trace,
            ..
        } = submit;
        let spec = Spec::new(&name, workload, &team);
        let spec = Spec {
            payload,
            trace,
            count: count.unwrap_or(spec.count),
            ..spec
        };
        let deadline = deadline.map(|span| at.after(span));
        let job = self.open_job(Some(key), spec, deadline, events);
        let status = Status::Open(job);
        self.insert_record(
            key,
            Record {
                digest: Some(digest),
                status,
            },
        );
        pending_reply()
    }

    /// The reply to a request whose key has a record.
    fn duplicate_reply(&self, key: &id::Key, digest: &Digest) -> Option<Reply> {
        let record = self.records.get(key)?;
        if record.digest.is_some_and(|known| known != *digest) {
            let detail = "the key was used before with a different request";
            let refusal = Refusal::not_run(Reason::KeyReused, detail);
            return Some(Reply::Refused(refusal));
        }
        Some(match &record.status {
            Status::Open(_) => pending_reply(),
            Status::Closed(answer) => Reply::Answer(answer.clone()),
        })
    }

    /// Why a request is refused without a record.
    ///
    /// Without a record, a request may be refused for good only for its own
    /// content, so that a copy which arrives later is refused as well.
    fn refusal_for(&self, at: Wall, submit: &Submit) -> Option<Refusal> {
        self.key_refusal(at, &submit.key)
            .or_else(|| malformed_refusal(submit))
    }

    /// Why a key without a record is refused: it has expired, or it is too far
    /// ahead of the leader's wall clock.
    fn key_refusal(&self, at: Wall, key: &id::Key) -> Option<Refusal> {
        if key.issued() < self.horizon {
            return Some(Refusal::key_expired());
        }
        let ahead = key.issued().since(at);
        if ahead > MAX_KEY_LEAD {
            let detail = "the key's time is too far ahead of the cell's clock";
            let refusal = Refusal::not_run(Reason::KeyAhead, detail);
            return Some(refusal.retry_after(ahead.saturating_sub(MAX_KEY_LEAD)));
        }
        None
    }

    /// Cancels a request. A key without a record gets a closed one, so that a
    /// request that arrives later doesn't run.
    pub(super) fn cancel(
        &mut self,
        at: Wall,
        key: id::Key,
        events: &mut Vec<Event>,
    ) -> Reply {
        let job = match self.records.get(&key).map(|record| &record.status) {
            Some(Status::Closed(answer)) => return Reply::Answer(answer.clone()),
            Some(Status::Open(job)) => *job,
            None => {
                if let Some(refusal) = self.key_refusal(at, &key) {
                    return Reply::Refused(refusal);
                }
                let outcome = Outcome::not_run(Reason::Cancelled);
                return self.close_without_job(key, None, outcome);
            }
        };
        self.stop(job, AfterStop::Close(Reason::Cancelled), events);
        match self.records.get(&key).map(|record| &record.status) {
            Some(Status::Closed(answer)) => Reply::Answer(answer.clone()),
            Some(Status::Open(_)) | None => pending_reply(),
        }
    }

    /// Records the final answer to a request for which no job was opened.
    fn close_without_job(
        &mut self,
        key: id::Key,
        digest: Option<Digest>,
        outcome: Outcome,
    ) -> Reply {
        let answer = Answer {
            key,
            job: None,
            outcome,
            outputs: Vec::new(),
        };
        let status = Status::Closed(answer.clone());
        self.insert_record(key, Record { digest, status });
        Reply::Answer(answer)
    }

    fn insert_record(&mut self, key: id::Key, record: Record) {
        self.records_size += record.approximate_size();
        self.records.insert(key, record);
    }

    /// Records the final answer to a request.
    pub(super) fn close_record(&mut self, answer: Answer) {
        let Some(record) = self.records.get_mut(&answer.key) else {
            return;
        };
        self.records_size = self.records_size.saturating_sub(record.approximate_size());
        record.status = Status::Closed(answer);
        self.records_size += record.approximate_size();
    }

    /// Moves the expiry horizon forward and removes the closed records before
    /// it.
    pub(super) fn expire(&mut self, before: Wall) -> Reply {
        self.horizon = self.horizon.max(before);
        let horizon = self.horizon;
        let closed_size = |(key, record): (&id::Key, &Record)| {
            let closed = matches!(record.status, Status::Closed(_));
            closed.then_some((*key, record.approximate_size()))
        };
        let before_horizon = self
            .records
            .iter()
            .take_while(|(key, _)| key.issued() < horizon);
        let expired: Vec<(id::Key, u64)> =
            before_horizon.filter_map(closed_size).collect();
        for (key, size) in expired {
            self.records.remove(&key);
            self.records_size = self.records_size.saturating_sub(size);
        }
        Reply::Done
    }
}

/// Why a request is refused for its own content, independent of the state.
fn malformed_refusal(submit: &Submit) -> Option<Refusal> {
    if submit
        .trace
        .as_ref()
        .is_some_and(|trace| trace.len() > TRACE_LIMIT)
    {
        let detail = format!("the traceparent is longer than {TRACE_LIMIT} bytes");
        return Some(Refusal::not_run(Reason::Malformed, detail));
    }
    let count = submit.count?;
    if (1..=TASK_LIMIT).contains(&count) {
        return None;
    }
    let detail = format!("the request's task count isn't within 1 to {TASK_LIMIT}");
    Some(Refusal::not_run(Reason::Malformed, detail))
}

/// Whether requests may run the workload; services are run by notes only.
fn accepts_requests(workload: &Workload) -> bool {
    workload.kind != Kind::Service && (1..=TASK_LIMIT).contains(&workload.count)
}
