//! The replicated state, and what each command does to it.

mod note;
mod request;
mod rolling_update;
mod run;
mod worker;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::api::{Answer, Ending, NoteReply, Refusal, Reply};
use crate::cell::{Command, Job, Record, Slot};
use crate::id;
use crate::note::{Book, Ruling};
use crate::place::Ledger;
use crate::unit::{Span, Wall};
use crate::verdict::{Outcome, Reason};

/// The state that the log builds.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    book: Book,
    ledger: Ledger,
    jobs: IndexMap<id::Job, Job>,
    /// By key, and so by the time at which the key was issued.
    records: BTreeMap<id::Key, Record>,
    /// The tokens whose room is reserved, by worker.
    reserved_tokens: IndexMap<id::Worker, IndexSet<id::Token>>,
    /// Keys issued before this have no record any more.
    horizon: Wall,
    last_job: id::Job,
    /// Services with replicas that stand as an earlier note had them.
    updating_services: IndexSet<id::Workload>,
    /// What the records weigh together, in bytes.
    records_size: u64,
    /// How many requests' jobs are open, by team.
    open_requests: IndexMap<id::Team, u32>,
}

/// What a command did: what its proposer is told, and what the leader has to
/// follow up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// What the proposer is told.
    pub reply: Reply,
    /// What has changed.
    pub events: Vec<Event>,
}

/// One change that the leader follows up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job waits.
    JobQueued(id::Job),
    /// A job has got its workers.
    JobStarted(id::Job),
    /// A start didn't hold; the job still waits, if it is there at all.
    StartRejected(id::Job),
    /// A task is gone, and its room is free.
    TaskEnded(id::Task, Ending),
    /// A job is over, or was taken out of the queue.
    JobFinished(id::Job),
    /// A request is answered for good.
    RequestAnswered(Answer),
    /// A worker has come or changed.
    WorkerUpdated(id::Worker),
    /// A worker is gone.
    WorkerRemoved(id::Worker),
    /// Another revision is in force.
    NotesChanged,
    /// A worker has new orders waiting.
    OrdersQueued(id::Worker),
}

impl State {
    /// The notes in force.
    #[must_use]
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The workers and what is reserved on them.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The job of this number.
    #[must_use]
    pub fn job(&self, job: id::Job) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// All jobs that aren't over.
    pub fn jobs(&self) -> impl Iterator<Item = (id::Job, &Job)> {
        self.jobs.iter().map(|(&id, job)| (id, job))
    }

    /// The record of this key.
    #[must_use]
    pub fn record(&self, key: &id::Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// How many records are kept.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// What the records weigh together, in bytes.
    #[must_use]
    pub fn records_size(&self) -> u64 {
        self.records_size
    }

    /// All records by the time at which their keys were issued.
    pub fn records(&self) -> impl Iterator<Item = (&id::Key, &Record)> {
        self.records.iter()
    }

    /// How many jobs aren't over.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// How many jobs of a team's requests are open.
    #[must_use]
    pub fn open_requests(&self, team: &id::Team) -> usize {
        self.open_requests
            .get(team)
            .map_or(0, |count| *count as usize)
    }

    /// The oldest key with a record.
    #[must_use]
    pub fn oldest_key(&self) -> Option<&id::Key> {
        self.records.keys().next()
    }

    /// Keys issued before this have no record any more.
    #[must_use]
    pub fn horizon(&self) -> Wall {
        self.horizon
    }

    /// The tokens whose room is reserved on a worker.
    pub fn reserved_tokens(
        &self,
        worker: &id::Worker,
    ) -> impl Iterator<Item = id::Token> {
        self.reserved_tokens
            .get(worker)
            .into_iter()
            .flatten()
            .copied()
    }

    /// Whether a token's room is still reserved.
    #[must_use]
    pub fn is_reserved(&self, token: &id::Token) -> bool {
        let Some(job) = self.jobs.get(&token.task.job) else {
            return false;
        };
        let slot = job.slots.get(token.task.rank as usize);
        job.attempt == token.attempt && matches!(slot, Some(Slot::Reserved(..)))
    }

    /// Does what a command says, the same on every node.
    pub fn apply(&mut self, command: Command) -> Effect {
        let mut events = Vec::new();
        let reply = match command {
            Command::Note(note) => self.apply_note(&note, &mut events),
            Command::Announce(announce) => self.announce(announce, &mut events),
            Command::Leave(leave) => self.leave(&leave, &mut events),
            Command::RemoveWorker {
                worker,
                incarnation,
                unsent,
            } => self.remove_worker(&worker, incarnation, &unsent, &mut events),
            Command::Drain { worker, on } => self.drain(&worker, on, &mut events),
            Command::Submit { at, submit } => self.submit(at, submit, &mut events),
            Command::Cancel { at, key } => self.cancel(at, key, &mut events),
            Command::Start {
                job,
                attempt,
                workers,
            } => self.start(job, attempt, workers, &mut events),
            Command::Finish(finish) => self.finish(finish, &mut events),
            Command::Preempt { job } => {
                self.preempt(job, &mut events);
                Reply::Done
            }
            Command::Close { job, reason } => self.close(job, reason, &mut events),
            Command::Expire { before } => self.expire(before),
        };
        self.continue_rolling_updates(&mut events);
        Effect { reply, events }
    }
    /// What a note that can't be read is told, without the log.
    #[must_use]
    pub fn unreadable_note(text: &str, fault: &crate::note::Faults) -> Reply {
        let digest = crate::digest::Digest::of(text.as_bytes());
        let ruling = Ruling::Unreadable(fault.to_string());
        Reply::Note(NoteReply { digest, ruling })
    }
}

/// What is said while the answer isn't known yet.
pub(crate) fn pending() -> Reply {
    const ASK_AGAIN: Span = Span::from_millis(200);
    let outcome = Outcome::may_have_run(Reason::Pending).retry_after(ASK_AGAIN);
    let detail = "ask again under the same key".to_owned();
    Reply::Refused(Refusal { outcome, detail })
}
