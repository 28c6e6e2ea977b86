//! The replicated state, and what each command does to it.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::api::{Announce, Answer, Ending, Finish, NoteReply, Output, Refusal, Reply};
use crate::api::{Leave, Submit};
use crate::cell::job::Settled;
use crate::cell::{After, Command, Job, Phase, Record, Slot, Spec, Status};
use crate::id;
use crate::note::{Book, Note, Ruling};
use crate::place::{Kind, Ledger, Worker};
use crate::unit::{Span, Wall};
use crate::verdict::{Outcome, Reason};

/// How far a key's time may lie ahead of the leader's civil time.
const KEY_AHEAD: Span = Span::from_secs(300);

/// The state that the log builds.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    book: Book,
    ledger: Ledger,
    jobs: IndexMap<id::Job, Job>,
    /// By key, and so by the time at which the key was issued.
    records: BTreeMap<id::Key, Record>,
    /// The tokens whose room is reserved, by worker.
    tokens: IndexMap<id::Worker, IndexSet<id::Token>>,
    /// Keys issued before this have no record any more.
    horizon: Wall,
    last_job: id::Job,
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
    Waiting(id::Job),
    /// A job has got its workers.
    Started(id::Job),
    /// A start didn't hold; the job still waits, if it is there at all.
    NotStarted(id::Job),
    /// A task is gone, and its room is free.
    Released(id::Task, Ending),
    /// A job is over, or was taken out of the queue.
    Over(id::Job),
    /// A request is answered for good.
    Answered(Answer),
    /// A worker has come or changed.
    Worker(id::Worker),
    /// A worker is gone.
    Gone(id::Worker),
    /// Another revision is in force.
    Configured,
    /// A worker has new orders waiting.
    Orders(id::Worker),
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
    pub fn tokens(&self, worker: &id::Worker) -> impl Iterator<Item = id::Token> {
        self.tokens.get(worker).into_iter().flatten().copied()
    }

    /// Whether a token's room is still reserved.
    #[must_use]
    pub fn holds(&self, token: &id::Token) -> bool {
        let Some(job) = self.jobs.get(&token.task.job) else {
            return false;
        };
        let slot = job.slots.get(token.task.rank as usize);
        job.attempt == token.attempt && matches!(slot, Some(Slot::Held(..)))
    }

    /// Does what a command says, the same on every node.
    pub fn apply(&mut self, command: Command) -> Effect {
        let mut events = Vec::new();
        let reply = match command {
            Command::Note(note) => self.note(&note, &mut events),
            Command::Announce(announce) => self.announce(announce, &mut events),
            Command::Leave(leave) => self.leave(&leave, &mut events),
            Command::Lost {
                worker,
                incarnation,
                unsent,
            } => self.lose(&worker, incarnation, &unsent, &mut events),
            Command::Drain { worker, on } => self.drain(&worker, on, &mut events),
            Command::Submit { at, submit } => self.submit(at, submit, &mut events),
            Command::Cancel { key } => self.cancel(key, &mut events),
            Command::Start {
                job,
                attempt,
                workers,
            } => self.start(job, attempt, workers, &mut events),
            Command::Finish(finish) => self.finish(finish, &mut events),
            Command::Preempt { job } => {
                self.stop(job, After::Requeue, &mut events);
                Reply::Done
            }
            Command::Close { job, reason } => self.close(job, reason, &mut events),
            Command::Expire { before } => self.expire(before),
        };
        Effect { reply, events }
    }

    fn note(&mut self, note: &Note, events: &mut Vec<Event>) -> Reply {
        let before = self.book.revision();
        let ruling = self.book.rule(note);
        if self.book.revision() != before {
            events.push(Event::Configured);
            self.reconcile(events);
        }
        Reply::Note(NoteReply {
            digest: note.digest(),
            ruling,
        })
    }

    /// Brings the services' replicas to what the notes in force ask for.
    fn reconcile(&mut self, events: &mut Vec<Event>) {
        let mut standing: IndexMap<id::Workload, Vec<id::Job>> = IndexMap::new();
        for (&id, job) in self.jobs.iter().filter(|(_, job)| job.key.is_none()) {
            standing
                .entry(job.spec.workload.clone())
                .or_default()
                .push(id);
        }
        let mut missing = Vec::new();
        for (name, workload) in self.book.workloads() {
            if workload.kind != Kind::Service {
                continue;
            }
            let wanted = workload.count as usize;
            let jobs = standing.get_mut(name);
            let have = jobs.as_ref().map_or(0, |jobs| jobs.len());
            if let Some(jobs) = jobs {
                jobs.drain(..wanted.min(have));
            }
            let spec = Spec::new(name, workload, &workload.team);
            for _ in have..wanted {
                missing.push(Spec {
                    count: 1,
                    ..spec.clone()
                });
            }
        }
        for job in standing.into_values().flatten() {
            self.stop(job, After::Close(Reason::Withdrawn), events);
        }
        for spec in missing {
            self.open(None, spec, None, events);
        }
    }

    fn open(
        &mut self,
        key: Option<id::Key>,
        spec: Spec,
        deadline: Option<Wall>,
        events: &mut Vec<Event>,
    ) -> id::Job {
        self.last_job = id::Job(self.last_job.0 + 1);
        let job = Job {
            key,
            spec,
            deadline,
            attempt: id::Attempt(0),
            phase: Phase::Waiting,
            slots: Vec::new(),
        };
        self.jobs.insert(self.last_job, job);
        events.push(Event::Waiting(self.last_job));
        self.last_job
    }

    fn announce(&mut self, announce: Announce, events: &mut Vec<Event>) -> Reply {
        let Announce {
            worker: name,
            incarnation,
            size,
            region,
            domain,
            rack,
            ..
        } = announce;
        let old = self.ledger.get(&name);
        let draining = old.is_some_and(|old| old.draining);
        if let Some(known) = old.map(|old| old.incarnation) {
            if known > incarnation {
                let detail = format!("{name} has been announced as {known}");
                return Reply::Refused(Refusal::not_run(Reason::WorkerLost, detail));
            }
            if known < incarnation {
                self.vacate(&name, &[], events);
            }
        }
        let mut worker = Worker::new(incarnation, (region, domain, rack), size);
        worker.draining = draining;
        self.ledger.put(&name, worker);
        events.push(Event::Worker(name));
        Reply::Done
    }

    fn leave(&mut self, leave: &Leave, events: &mut Vec<Event>) -> Reply {
        self.lose(&leave.worker, leave.incarnation, &[], events)
    }

    fn lose(
        &mut self,
        name: &id::Worker,
        incarnation: id::Incarnation,
        unsent: &[id::Token],
        events: &mut Vec<Event>,
    ) -> Reply {
        let known = self.ledger.get(name).map(|worker| worker.incarnation);
        if known == Some(incarnation) {
            self.vacate(name, unsent, events);
            self.ledger.forget(name);
            events.push(Event::Gone(name.clone()));
        }
        Reply::Done
    }

    /// Takes all tasks off a worker on which they are known to be gone.
    fn vacate(
        &mut self,
        name: &id::Worker,
        unsent: &[id::Token],
        events: &mut Vec<Event>,
    ) {
        for token in self.tokens.shift_remove(name).unwrap_or_default() {
            let ending = match unsent.contains(&token) {
                true => Ending::NeverBegan,
                false => Ending::Stopped,
            };
            self.release(token, ending, Output::new(String::new()), events);
        }
    }

    fn drain(&mut self, name: &id::Worker, on: bool, events: &mut Vec<Event>) -> Reply {
        if !self.ledger.drain(name, on) {
            let detail = format!("worker {name} isn't known");
            return Reply::Refused(Refusal::not_run(Reason::Malformed, detail));
        }
        events.push(Event::Worker(name.clone()));
        Reply::Done
    }

    fn submit(&mut self, at: Wall, submit: Submit, events: &mut Vec<Event>) -> Reply {
        let digest = submit.digest();
        if let Some(reply) = self.known(&submit.key, &digest) {
            return reply;
        }
        if let Some(refusal) = self.check(at, &submit) {
            return Reply::Refused(refusal);
        }
        let Some(workload) = self.book.workload(&submit.workload) else {
            let detail = format!("workload {} isn't in force", submit.workload);
            return Reply::Refused(Refusal::not_run(Reason::UnknownWorkload, detail));
        };
        let Submit {
            key,
            team,
            workload: name,
            payload,
            count,
            deadline,
            ..
        } = submit;
        let spec = Spec::new(&name, workload, &team);
        let spec = Spec {
            payload,
            count: count.unwrap_or(spec.count),
            ..spec
        };
        let deadline = deadline.map(|span| at.after(span));
        let job = self.open(Some(key), spec, deadline, events);
        let record = Record {
            digest: Some(digest),
            status: Status::Open(job),
        };
        self.records.insert(key, record);
        pending()
    }

    /// What a key that came before is told.
    fn known(&self, key: &id::Key, digest: &crate::digest::Digest) -> Option<Reply> {
        let record = self.records.get(key)?;
        if record.digest.is_some_and(|known| known != *digest) {
            let detail = "the key came before with another request";
            let refusal = Refusal::not_run(Reason::KeyReused, detail);
            return Some(Reply::Refused(refusal));
        }
        Some(match &record.status {
            Status::Open(_) => pending(),
            Status::Closed(answer) => Reply::Answer(answer.clone()),
        })
    }

    fn check(&self, at: Wall, submit: &Submit) -> Option<Refusal> {
        if submit.key.issued() < self.horizon {
            let outcome = Outcome::may_have_run(Reason::KeyExpired);
            let detail = "records of keys that old are no longer kept".to_owned();
            return Some(Refusal { outcome, detail });
        }
        if submit.key.issued() > at.after(KEY_AHEAD) {
            let detail = "the key's time lies ahead of the cell's";
            return Some(Refusal::not_run(Reason::KeyAhead, detail));
        }
        let workload = self.book.workload(&submit.workload)?;
        if workload.kind == Kind::Service || submit.count == Some(0) {
            let detail = "a service isn't asked for by request, nor no task at all";
            return Some(Refusal::not_run(Reason::Malformed, detail));
        }
        None
    }

    fn cancel(&mut self, key: id::Key, events: &mut Vec<Event>) -> Reply {
        let job = match self.records.get(&key).map(|record| &record.status) {
            Some(Status::Closed(answer)) => return Reply::Answer(answer.clone()),
            Some(Status::Open(job)) => *job,
            None if key.issued() < self.horizon => {
                let outcome = Outcome::may_have_run(Reason::KeyExpired);
                return Reply::Refused(Refusal {
                    outcome,
                    detail: String::new(),
                });
            }
            None => {
                let outcome = Outcome::not_run(Reason::Cancelled);
                let answer = Answer {
                    key,
                    job: None,
                    outcome,
                    outputs: Vec::new(),
                };
                let status = Status::Closed(answer.clone());
                self.records.insert(
                    key,
                    Record {
                        digest: None,
                        status,
                    },
                );
                return Reply::Answer(answer);
            }
        };
        self.stop(job, After::Close(Reason::Cancelled), events);
        match self.records.get(&key).map(|record| &record.status) {
            Some(Status::Closed(answer)) => Reply::Answer(answer.clone()),
            Some(Status::Open(_)) | None => pending(),
        }
    }

    fn start(
        &mut self,
        id: id::Job,
        attempt: id::Attempt,
        workers: Vec<(id::Worker, id::Incarnation)>,
        events: &mut Vec<Event>,
    ) -> Reply {
        if !self.can_start(id, attempt, &workers) {
            events.push(Event::NotStarted(id));
            return Reply::Done;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return Reply::Done;
        };
        let names: Vec<id::Worker> =
            workers.iter().map(|(name, _)| name.clone()).collect();
        if self.ledger.reserve(&names, &job.spec.size).is_err() {
            events.push(Event::NotStarted(id));
            return Reply::Done;
        }
        job.attempt = attempt;
        job.phase = Phase::Running;
        job.slots = workers
            .into_iter()
            .map(|(name, incarnation)| Slot::Held(name, incarnation))
            .collect();
        for (rank, name) in names.into_iter().enumerate() {
            let token = job.token(id, rank);
            self.tokens.entry(name.clone()).or_default().insert(token);
            events.push(Event::Orders(name));
        }
        events.push(Event::Started(id));
        Reply::Done
    }

    fn can_start(
        &self,
        id: id::Job,
        attempt: id::Attempt,
        workers: &[(id::Worker, id::Incarnation)],
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let alive = |(name, incarnation): &(id::Worker, id::Incarnation)| {
            let worker = self.ledger.get(name);
            worker.is_some_and(|worker| worker.incarnation == *incarnation)
        };
        job.phase == Phase::Waiting
            && attempt.0 == job.attempt.0 + 1
            && workers.len() == job.spec.count as usize
            && workers.iter().all(alive)
    }

    fn finish(&mut self, finish: Finish, events: &mut Vec<Event>) -> Reply {
        let Finish {
            worker,
            incarnation,
            token,
            ending,
            output,
        } = finish;
        let Some(job) = self.jobs.get(&token.task.job) else {
            return Reply::Done;
        };
        let slot = job.slots.get(token.task.rank as usize);
        let held = Slot::Held(worker.clone(), incarnation);
        if job.attempt != token.attempt || slot != Some(&held) {
            return Reply::Done;
        }
        if let Some(tokens) = self.tokens.get_mut(&worker) {
            tokens.swap_remove(&token);
        }
        self.release(token, ending, output, events);
        Reply::Done
    }

    /// Frees a task's room, and settles its job if it was the last task.
    fn release(
        &mut self,
        token: id::Token,
        ending: Ending,
        output: Output,
        events: &mut Vec<Event>,
    ) {
        let Some(job) = self.jobs.get_mut(&token.task.job) else {
            return;
        };
        let Some(slot) = job.slots.get_mut(token.task.rank as usize) else {
            return;
        };
        let Slot::Held(name, _) = slot else {
            return;
        };
        self.ledger.release(name, &job.spec.size);
        *slot = Slot::Gone(ending, output);
        events.push(Event::Released(token.task, ending));
        if job.is_gone() {
            self.settle(token.task.job, events);
        } else if ending != Ending::Done && job.phase == Phase::Running {
            self.stop(token.task.job, After::Requeue, events);
        }
    }

    fn settle(&mut self, id: id::Job, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.settle() {
            Settled::Requeue => {
                job.phase = Phase::Waiting;
                job.slots.clear();
                events.push(Event::Waiting(id));
            }
            Settled::Over(outcome) => self.end(id, outcome, events),
        }
    }

    /// Takes a job out and answers its request.
    fn end(&mut self, id: id::Job, outcome: Outcome, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.swap_remove(&id) else {
            return;
        };
        events.push(Event::Over(id));
        let Some(key) = job.key else {
            return;
        };
        let outputs = job.outputs();
        let answer = Answer {
            key,
            job: Some(id),
            outcome,
            outputs,
        };
        if let Some(record) = self.records.get_mut(&key) {
            record.status = Status::Closed(answer.clone());
        }
        events.push(Event::Answered(answer));
    }

    /// Has a job's tasks ended; at once if it holds no worker.
    fn stop(&mut self, id: id::Job, after: After, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match (job.phase, after) {
            (Phase::Waiting, After::Close(reason)) => {
                let outcome = job.never_or_lost(reason);
                return self.end(id, outcome, events);
            }
            (Phase::Waiting | Phase::Stopping(_), After::Requeue) => return,
            (Phase::Stopping(After::Close(_)), After::Close(_)) => return,
            (Phase::Running, _) | (Phase::Stopping(After::Requeue), _) => {
                job.phase = Phase::Stopping(after);
            }
        }
        for (_, name, _) in job.held() {
            events.push(Event::Orders(name.clone()));
        }
    }

    fn close(&mut self, id: id::Job, reason: Reason, events: &mut Vec<Event>) -> Reply {
        let waits = |job: &Job| job.phase == Phase::Waiting;
        if self.jobs.get(&id).is_some_and(waits) {
            self.stop(id, After::Close(reason), events);
        }
        Reply::Done
    }

    fn expire(&mut self, before: Wall) -> Reply {
        self.horizon = self.horizon.max(before);
        let horizon = self.horizon;
        let old = |key: &id::Key, record: &Record| {
            key.issued() < horizon && matches!(record.status, Status::Closed(_))
        };
        self.records.retain(|key, record| !old(key, record));
        Reply::Done
    }

    /// What a note that can't be read is told, without the log.
    #[must_use]
    pub fn unreadable(text: &str, fault: &crate::note::Fault) -> Reply {
        let digest = crate::digest::Digest::of(text.as_bytes());
        let ruling = Ruling::Unreadable(fault.to_string());
        Reply::Note(NoteReply { digest, ruling })
    }
}

impl Job {
    /// The outcome of a job that is given up while it waits.
    ///
    /// Idempotent work that waits for another attempt has run in part before.
    fn never_or_lost(&self, reason: Reason) -> Outcome {
        match self.attempt.0 {
            0 => Outcome::not_run(reason),
            _ => Outcome::may_have_run(reason),
        }
    }
}

/// What is said while the answer isn't known yet.
pub(crate) fn pending() -> Reply {
    const ASK_AGAIN: Span = Span::from_millis(200);
    let outcome = Outcome::may_have_run(Reason::Pending).retry_after(ASK_AGAIN);
    let detail = "ask again under the same key".to_owned();
    Reply::Refused(Refusal { outcome, detail })
}
