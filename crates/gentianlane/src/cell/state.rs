//! The replicated state machine that the log's commands drive.

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
use crate::note::{Catalog, Ruling};
use crate::place::Ledger;
use crate::unit::{Span, Wall};
use crate::verdict::{Outcome, Reason};

/// The replicated state: the catalog of workloads and teams, the workers, the
/// jobs and the records of requests.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    catalog: Catalog,
    ledger: Ledger,
    jobs: IndexMap<id::Job, Job>,
    /// The records by key. Keys sort by the time at which they were issued.
    records: BTreeMap<id::Key, Record>,
    /// The tokens of tasks with reserved resources, by worker.
    reserved_tokens: IndexMap<id::Worker, IndexSet<id::Token>>,
    /// Keys without a record that were issued before this are refused as
    /// expired.
    horizon: Wall,
    /// The number of the job that was opened last.
    last_job: id::Job,
    /// Services that may have replicas of an earlier note's specification.
    updating_services: IndexSet<id::Workload>,
    /// The approximate memory of all records, in bytes.
    records_size: u64,
    /// The number of open jobs that answer a request, by team.
    open_requests: IndexMap<id::Team, u32>,
}

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// The reply to the call that proposed it.
    pub reply: Reply,
    /// The changes that the leader has to handle, in order.
    pub events: Vec<Event>,
}

/// A change of the state that the leader has to handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job is new or waits again.
    JobQueued(id::Job),
    /// A job has started, with resources reserved for all its tasks.
    JobStarted(id::Job),
    /// A start command had no effect, as a worker or the job has changed since
    /// it was proposed. The job still waits, unless it has ended.
    StartRejected(id::Job),
    /// A task has ended, and its resources are released.
    TaskEnded(id::Task, Ending),
    /// A job has ended, or was closed while it waited.
    JobFinished(id::Job),
    /// A request has its final answer.
    RequestAnswered(Answer),
    /// A worker was registered, or its draining flag was set or cleared.
    WorkerUpdated(id::Worker),
    /// A worker was removed.
    WorkerRemoved(id::Worker),
    /// Another revision of the notes is in force.
    NotesChanged,
    /// There are new orders for a worker.
    OrdersQueued(id::Worker),
}

impl State {
    /// The workloads, teams and settings that release notes have put in force.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The workers and the resources reserved on them.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// A job that hasn't ended.
    #[must_use]
    pub fn job(&self, job: id::Job) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// All jobs that haven't ended.
    pub fn jobs(&self) -> impl Iterator<Item = (id::Job, &Job)> {
        self.jobs.iter().map(|(&id, job)| (id, job))
    }

    /// The record of the request with this key.
    #[must_use]
    pub fn record(&self, key: &id::Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// The number of records.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// The approximate memory of all records, in bytes.
    #[must_use]
    pub fn records_size(&self) -> u64 {
        self.records_size
    }

    /// All records, in the order in which their keys were issued.
    pub fn records(&self) -> impl Iterator<Item = (&id::Key, &Record)> {
        self.records.iter()
    }

    /// The number of jobs that haven't ended.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// The number of a team's open jobs, without replicas of services.
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

    /// The expiry horizon: keys without a record that were issued before it are
    /// refused as expired.
    #[must_use]
    pub fn horizon(&self) -> Wall {
        self.horizon
    }

    /// The tokens of the tasks with resources reserved on a worker.
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

    /// Whether resources are still reserved for a token: its attempt is the
    /// job's current one, and its task hasn't ended.
    #[must_use]
    pub fn is_reserved(&self, token: &id::Token) -> bool {
        let Some(job) = self.jobs.get(&token.task.job) else {
            return false;
        };
        let slot = job.slots.get(token.task.rank as usize);
        job.attempt == token.attempt && matches!(slot, Some(Slot::Reserved(..)))
    }

    /// Applies a command. The result depends on nothing but the state and the
    /// command, so that it is the same on every node.
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

    /// The reply to a release note that can't be parsed. It doesn't go through
    /// the log.
    #[must_use]
    pub fn unreadable_note(text: &str, fault: &crate::note::Faults) -> Reply {
        let digest = crate::digest::Digest::of(text.as_bytes());
        let ruling = Ruling::Unreadable(fault.to_string());
        Reply::Note(NoteReply { digest, ruling })
    }
}

/// The reply while a request's answer is pending.
pub(crate) fn pending_reply() -> Reply {
    const RETRY: Span = Span::from_millis(200);
    let outcome = Outcome::may_have_run(Reason::Pending).retry_after(RETRY);
    let detail = "ask again under the same key".to_owned();
    Reply::Refused(Refusal { outcome, detail })
}
