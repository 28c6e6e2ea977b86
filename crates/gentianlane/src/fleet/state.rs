//! The replicated state: the plan, the jobs and the registered workers.

mod codec;
mod crash;
mod occurrences;
mod successor;
mod withdrawn;

use crate::collections::IndexMap;
use serde::ser::SerializeStruct;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::VecDeque;

use crate::fleet::Command;
use crate::fleet::crash::{Ledger, Suspicion};
use crate::fleet::job::{Id, Phase, Spec, Stage, Task};
use crate::fleet::plan::{Plan, Queue};
use crate::fleet::team::{Access, Owner, Owners};
use crate::fleet::worker::{Incarnation, Profile};
use crate::id;
use crate::unit::{Span, Wall};

use occurrences::Occurrences;
use successor::Successors;
use withdrawn::Withdrawn;

/// The state machine that applies the log's commands; the same on every node
/// that has applied the same entries.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    plan: Option<Plan>,
    /// Queues that a later plan removed while they had open jobs.
    removed_queues: IndexMap<String, Queue>,
    jobs: IndexMap<Id, Job>,
    workers: IndexMap<id::Worker, Worker>,
    /// The latest starts without an answer, oldest first. They follow the rest in
    /// an encoded state; earlier versions encode none.
    #[serde(skip)]
    unconfirmed: VecDeque<UnconfirmedStart>,
    /// The workers that may have crashed and the tasks charged with crashes, which
    /// follow in turn.
    #[serde(skip)]
    crashes: Ledger,
    /// The sequence number of the report that last changed a worker's profile, if one
    /// has since it registered.
    #[serde(skip)]
    report_sequences: IndexMap<id::Worker, u64>,
    /// The teams and the jobs that they own. A state without any, nor what follows, is
    /// encoded as earlier versions did.
    #[serde(skip)]
    owners: Owners,
    /// The jobs that were cancelled before they were submitted.
    #[serde(skip)]
    withdrawn: Withdrawn,
    /// The workers that have started again under their names, which come last.
    #[serde(skip)]
    successors: Successors,
}

/// A start without an answer, which its worker may carry out seconds later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UnconfirmedStart {
    /// When the leader gave up waiting for the answer, by its wall clock.
    pub(crate) at: Wall,
    pub(crate) worker: id::Worker,
    pub(crate) task: Task,
    pub(crate) run: u64,
}

/// How long a start without an answer is kept; a multiple of the time for which it
/// may be carried out, as wall clocks jump.
const UNCONFIRMED_RETENTION: Span = Span::from_secs(30);

/// A registered worker, which may run tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's name with the start of its process.
    pub incarnation: Incarnation,
    /// The worker's address, pool, capacity and labels.
    pub profile: Profile,
    /// Whether the incarnation is draining and gets no new tasks.
    pub draining: bool,
}

/// A submitted job.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "DenseJob")]
pub struct Job {
    /// The name of the queue that the job belongs to.
    pub queue: String,
    /// When the leader accepted the job, by its wall clock.
    pub submitted_at: Wall,
    /// The job's steps and schedule; empty once the job has finished.
    pub spec: Spec,
    /// The progress of the occurrences; empty once the job has finished.
    pub(crate) occurrences: Occurrences,
    /// The final phase and when it was reached, once the job has finished.
    pub outcome: Option<(Phase, Wall)>,
}

/// A job as earlier versions encoded it, with the progress of each step of each
/// occurrence.
#[derive(Deserialize)]
struct DenseJob {
    queue: String,
    submitted_at: Wall,
    spec: Spec,
    occurrences: Vec<Vec<Progress>>,
    outcome: Option<(Phase, Wall)>,
}

impl From<DenseJob> for Job {
    fn from(dense: DenseJob) -> Self {
        Self {
            queue: dense.queue,
            submitted_at: dense.submitted_at,
            spec: dense.spec,
            occurrences: Occurrences::from_dense(dense.occurrences),
            outcome: dense.outcome,
        }
    }
}

impl Serialize for Job {
    /// Encodes a job as earlier versions did, but for the progress of one with many tasks,
    /// which is encoded by itself.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let occurrences = match self.is_dense() {
            true => self.occurrences.to_dense(&self.spec),
            false => Vec::new(),
        };
        let mut job = serializer.serialize_struct("Job", 5)?;
        job.serialize_field("queue", &self.queue)?;
        job.serialize_field("submitted_at", &self.submitted_at)?;
        job.serialize_field("spec", &self.spec)?;
        job.serialize_field("occurrences", &occurrences)?;
        job.serialize_field("outcome", &self.outcome)?;
        job.end()
    }
}

/// The most tasks in all occurrences of a job of which each is encoded.
const DENSE_LIMIT: u64 = 1_024;

/// The progress of a stage.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The progress of each task, or a single unit for a gang.
    pub units: Vec<Unit>,
    /// The number of units that have succeeded.
    pub done: u32,
}

/// The progress of a unit of completion: a task, or a whole gang.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    /// Whether the unit has succeeded.
    pub done: bool,
    /// The number of runs that have failed.
    pub failures: u32,
    /// The highest run whose failure was counted, so that a failure that two
    /// leaders report counts once.
    pub last_failed_run: u64,
}

impl Progress {
    /// That of a stage of which no run has ended.
    fn of(units: u32) -> Self {
        Self {
            units: vec![Unit::default(); units as usize],
            done: 0,
        }
    }

    /// Whether all of the stage's tasks have succeeded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done as usize == self.units.len()
    }
}

impl Job {
    fn new(queue: String, at: Wall, spec: Spec) -> Self {
        Self {
            queue,
            submitted_at: at,
            spec,
            occurrences: Occurrences::default(),
            outcome: None,
        }
    }

    /// Whether the job hasn't finished yet.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether any task has succeeded or failed.
    #[must_use]
    pub fn has_ended_runs(&self) -> bool {
        self.occurrences.has_ended_runs()
    }

    /// The progress of a stage; none if the job is over, no run of the stage's occurrence
    /// has ended, or the occurrence is complete.
    #[must_use]
    pub fn progress(&self, stage: &Stage) -> Option<&Progress> {
        self.occurrences.progress(stage)
    }

    /// Whether the job is open and has the stage, and not all of its tasks have succeeded.
    #[must_use]
    pub fn is_stage_open(&self, stage: &Stage) -> bool {
        self.is_open()
            && stage.occurrence < self.spec.occurrences()
            && usize::from(stage.step) < self.spec.steps.len()
            && !self.occurrences.is_complete(stage.occurrence)
            && !self.progress(stage).is_some_and(Progress::is_done)
    }

    /// The progress of a unit of a stage, whose runs may not have ended yet.
    #[must_use]
    pub fn unit(&self, stage: &Stage, unit: u32) -> Unit {
        if self.occurrences.is_complete(stage.occurrence) {
            return Unit {
                done: true,
                ..Unit::default()
            };
        }
        let progress = self.progress(stage);
        let unit = progress.and_then(|progress| progress.units.get(unit as usize));
        unit.copied().unwrap_or_default()
    }

    /// Whether all steps that the stage's step depends on are done.
    #[must_use]
    pub fn is_ready(&self, stage: &Stage) -> bool {
        let Some(step) = self.spec.steps.get(usize::from(stage.step)) else {
            return false;
        };
        let done = |&step: &u16| {
            let dependency = Stage { step, ..*stage };
            self.progress(&dependency).is_some_and(Progress::is_done)
        };
        step.depends_on.iter().all(done)
    }

    /// Whether the progress of each task is encoded.
    fn is_dense(&self) -> bool {
        let units = self.spec.steps.iter().map(|step| u64::from(step.units()));
        let units = units.fold(0, u64::saturating_add);
        units.saturating_mul(u64::from(self.spec.occurrences())) <= DENSE_LIMIT
    }

    fn finish(&mut self, phase: Phase, at: Wall) {
        self.outcome = Some((phase, at));
        self.spec = Spec::default();
        self.occurrences = Occurrences::default();
    }
}

/// A change of the state to which the leader reacts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A newer plan is in force.
    PlanReplaced,
    /// A job was added.
    JobSubmitted(Id),
    /// A job wasn't added, as it had been cancelled before.
    SubmissionRejected(Id),
    /// A cancellation found no job that its caller may cancel.
    UnknownJobCancelled(Id),
    /// A job has reached its final phase.
    JobFinished(Id),
    /// The end of a task's run, given by its number, was recorded or is no
    /// longer of interest.
    RunEnded(Task, u64),
    /// A worker was registered, or its incarnation or profile has changed.
    WorkerJoined(id::Worker),
    /// A worker is draining.
    WorkerDraining(id::Worker),
    /// A worker's incarnation has ended.
    WorkerLeft(Incarnation),
    /// A worker's incarnation ended without having announced it.
    WorkerCrashed(Incarnation),
    /// Runs on a worker were recorded, as it may have crashed or may crash.
    RunsExposed(Incarnation),
    /// A task was charged with the crash of a worker. A gang is named by its first
    /// member.
    TaskSuspected(Task, Suspicion),
}

impl State {
    /// The plan in force, if any has been stored.
    #[must_use]
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// The queue with this name, also if it is kept only for its open jobs.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let plan = self.plan.as_ref()?;
        plan.queues
            .get(name)
            .or_else(|| self.removed_queues.get(name))
    }

    /// The teams of the plan in force, and the owners of the jobs.
    #[must_use]
    pub fn owners(&self) -> &Owners {
        &self.owners
    }

    /// The job with this id, unless it has expired.
    #[must_use]
    pub fn job(&self, job: &Id) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// All jobs, open or finished, that haven't expired.
    pub fn jobs(&self) -> impl Iterator<Item = (&Id, &Job)> {
        self.jobs.iter()
    }

    /// The number of all jobs, open or finished, that haven't expired.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// All registered workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// The registered worker with this name.
    #[must_use]
    pub fn worker(&self, worker: &id::Worker) -> Option<&Worker> {
        self.workers.get(worker)
    }

    /// Applies a command and gives the changes that it made.
    pub fn apply(&mut self, command: Command) -> Vec<Event> {
        match command {
            Command::Plan(plan) => self.replace_plan(*plan, None),
            Command::PlanWithAccess(plan, access) => {
                self.replace_plan(*plan, Some(*access))
            }
            Command::SubmitFor {
                team,
                beyond_share,
                at,
                job,
                queue,
                spec,
            } => {
                let owner = Owner::new(team.clone(), beyond_share, &spec);
                let events = self.submit(at, job, queue, *spec, Some(&team));
                if events.contains(&Event::JobSubmitted(job)) {
                    self.owners.insert(job, owner);
                }
                events
            }
            Command::Submit {
                at,
                job,
                queue,
                spec,
            } => self.submit(at, job, queue, *spec, None),
            Command::Cancel { at, job } => self.finish_job(job, Phase::Cancelled, at),
            Command::End {
                at,
                task,
                run,
                done,
            } => self.record_run_end(at, task, run, done),
            Command::Join {
                incarnation,
                profile,
            } => self.join(incarnation, profile),
            Command::Reinstate {
                incarnation,
                profile,
            } => self.register(incarnation, profile),
            Command::Drain { incarnation } => self.drain(&incarnation),
            Command::Leave { incarnation } => self.leave(incarnation),
            Command::Expire { before } => self.expire(before),
            Command::Unconfirmed {
                at,
                worker,
                task,
                run,
            } => self.record_unconfirmed(UnconfirmedStart {
                at,
                worker,
                task,
                run,
            }),
            Command::Expose {
                at,
                incarnation,
                address,
                runs,
            } => {
                self.crashes.expose(incarnation.clone(), address, at, runs);
                vec![Event::RunsExposed(incarnation)]
            }
            Command::Clear { incarnation } => {
                self.crashes.clear(&incarnation);
                Vec::new()
            }
            Command::Crash {
                at,
                incarnation,
                widespread,
            } => self.record_crash(at, incarnation, widespread),
            Command::Update {
                incarnation,
                profile,
                sequence,
            } => self.update_profile(&incarnation, profile, sequence),
            Command::Withdraw {
                at,
                job,
                queue,
                team,
            } => self.withdraw(at, job, &queue, team),
            Command::Settle { incarnation } => self.settle(&incarnation),
        }
    }

    fn replace_plan(&mut self, plan: Plan, access: Option<Access>) -> Vec<Event> {
        let current = self.plan.as_ref().map_or(0, |current| current.version);
        if plan.version <= current {
            return Vec::new();
        }
        self.owners.replace_access(access);
        let Some(old) = self.plan.replace(plan) else {
            return vec![Event::PlanReplaced];
        };
        for (name, queue) in old.queues {
            let stays = |plan: &Plan| plan.queues.contains_key(&name);
            let has_open_jobs = || {
                let mut jobs = self.jobs.values();
                jobs.any(|job| job.is_open() && job.queue == name)
            };
            if !self.plan.as_ref().is_some_and(stays) && has_open_jobs() {
                self.removed_queues.insert(name, queue);
            }
        }
        vec![Event::PlanReplaced]
    }

    fn submit(
        &mut self,
        at: Wall,
        id: Id,
        queue: String,
        spec: Spec,
        team: Option<&id::Team>,
    ) -> Vec<Event> {
        if self.jobs.contains_key(&id) {
            return Vec::new();
        }
        if self.withdrawn.at(team, id).is_some() {
            return vec![Event::SubmissionRejected(id)];
        }
        self.jobs.insert(id, Job::new(queue, at, spec));
        vec![Event::JobSubmitted(id)]
    }

    fn finish_job(&mut self, id: Id, phase: Phase, at: Wall) -> Vec<Event> {
        match self.jobs.get_mut(&id) {
            Some(job) if job.is_open() => {
                job.finish(phase, at);
                self.crashes.remove_job(&id);
                vec![Event::JobFinished(id)]
            }
            _ => Vec::new(),
        }
    }

    fn record_run_end(
        &mut self,
        at: Wall,
        task: Task,
        run: u64,
        done: bool,
    ) -> Vec<Event> {
        let mut events = vec![Event::RunEnded(task, run)];
        let id = task.stage.job;
        let Some(attempts) = self.max_attempts(&id) else {
            return events;
        };
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_open()) else {
            return events;
        };
        let step = usize::from(task.stage.step);
        let long_running = job
            .spec
            .steps
            .get(step)
            .is_some_and(|step| step.long_running);
        if long_running {
            return events;
        }
        let change = |unit: &mut Unit| {
            if done {
                unit.done = true;
            } else if !unit.done && run > unit.last_failed_run {
                unit.last_failed_run = run;
                unit.failures += 1;
            }
            !unit.done && unit.failures >= attempts
        };
        let Some(has_failed) = job.occurrences.update(&job.spec, &task, change) else {
            return events;
        };
        if has_failed {
            events.extend(self.finish_job(id, Phase::Failed, at));
        } else if job.occurrences.are_complete(job.spec.occurrences()) {
            events.extend(self.finish_job(id, Phase::Completed, at));
        }
        events
    }

    /// How many times a task of this job may fail before the job fails.
    #[must_use]
    pub fn max_attempts(&self, job: &Id) -> Option<u32> {
        let queue = self.queue(&self.jobs.get(job)?.queue)?;
        Some(queue.max_attempts.max(1))
    }

    fn join(&mut self, incarnation: Incarnation, profile: Profile) -> Vec<Event> {
        let current = self.workers.get(&incarnation.worker);
        let is_earlier = current.is_some_and(|current| {
            current.incarnation.started_at > incarnation.started_at
        });
        match is_earlier {
            true => Vec::new(),
            false => self.register(incarnation, profile),
        }
    }

    /// Registers a worker in place of any other incarnation.
    fn register(&mut self, incarnation: Incarnation, profile: Profile) -> Vec<Event> {
        let name = incarnation.worker.clone();
        let current = self.workers.get(&name);
        self.successors.register(&incarnation, current);
        let draining = current.is_some_and(|current| {
            current.incarnation == incarnation && current.draining
        });
        let worker = Worker {
            incarnation,
            profile,
            draining,
        };
        self.workers.insert(name.clone(), worker);
        self.report_sequences.swap_remove(&name);
        vec![Event::WorkerJoined(name)]
    }

    fn update_profile(
        &mut self,
        incarnation: &Incarnation,
        profile: Profile,
        sequence: u64,
    ) -> Vec<Event> {
        let name = &incarnation.worker;
        let is_late = sequence <= self.report_sequence(name);
        match self.workers.get_mut(name) {
            Some(worker) if worker.incarnation == *incarnation && !is_late => {
                worker.profile = profile;
                self.report_sequences.insert(name.clone(), sequence);
                vec![Event::WorkerJoined(name.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// The sequence number of the report that last changed a worker's profile; zero if
    /// none has since it registered.
    pub(crate) fn report_sequence(&self, worker: &id::Worker) -> u64 {
        self.report_sequences
            .get(worker)
            .copied()
            .unwrap_or_default()
    }

    fn drain(&mut self, incarnation: &Incarnation) -> Vec<Event> {
        match self.workers.get_mut(&incarnation.worker) {
            Some(worker) if worker.incarnation == *incarnation => {
                worker.draining = true;
                self.crashes.clear(incarnation);
                vec![Event::WorkerDraining(incarnation.worker.clone())]
            }
            _ => Vec::new(),
        }
    }

    fn leave(&mut self, incarnation: Incarnation) -> Vec<Event> {
        self.deregister(&incarnation);
        vec![Event::WorkerLeft(incarnation)]
    }

    /// Removes a worker, unless another incarnation is registered.
    fn deregister(&mut self, incarnation: &Incarnation) {
        let current = self.workers.get(&incarnation.worker);
        if current.is_some_and(|worker| worker.incarnation == *incarnation) {
            if let Some(removed) = self.workers.swap_remove(&incarnation.worker) {
                self.successors.remove(&removed);
            }
            self.report_sequences.swap_remove(&incarnation.worker);
        }
    }

    /// The latest starts without an answer, oldest first.
    pub(crate) fn unconfirmed(&self) -> impl Iterator<Item = &UnconfirmedStart> {
        self.unconfirmed.iter()
    }

    fn record_unconfirmed(&mut self, start: UnconfirmedStart) -> Vec<Event> {
        let is_old =
            |old: &UnconfirmedStart| start.at.since(old.at) > UNCONFIRMED_RETENTION;
        while self.unconfirmed.front().is_some_and(is_old) {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back(start);
        Vec::new()
    }

    fn expire(&mut self, before: Wall) -> Vec<Event> {
        let expired = |job: &Job| job.outcome.is_some_and(|(_, at)| at < before);
        self.jobs.retain(|_, job| !expired(job));
        self.crashes.expire(before);
        self.withdrawn.expire(before);
        let jobs = &self.jobs;
        self.owners.retain(|job| jobs.contains_key(job));
        let has_open_jobs =
            |name: &String| jobs.values().any(|job| job.is_open() && job.queue == *name);
        self.removed_queues.retain(|name, _| has_open_jobs(name));
        Vec::new()
    }
}
