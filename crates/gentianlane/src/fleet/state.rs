//! The replicated state: the plan, the jobs and the workers' lives.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::fleet::Command;
use crate::fleet::job::{Id, Phase, Spec, Stage, Task};
use crate::fleet::plan::{Plan, Queue};
use crate::fleet::worker::{Incarnation, Profile};
use crate::id;
use crate::unit::Wall;

/// The state that the log builds, the same on every node.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    plan: Option<Plan>,
    /// Queues that a later plan dropped while jobs of theirs were open.
    dropped: IndexMap<String, Queue>,
    jobs: IndexMap<Id, Job>,
    workers: IndexMap<id::Worker, Worker>,
}

/// A life of a worker that may run tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The life.
    pub incarnation: Incarnation,
    /// Where it is and what it has.
    pub profile: Profile,
    /// Whether it is being emptied.
    pub draining: bool,
}

/// A job that was taken in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that took it.
    pub queue: String,
    /// When the leader took it in.
    pub submitted_at: Wall,
    /// What it asks for; empty once the job is over.
    pub spec: Spec,
    /// How far each step of each occurrence is.
    pub occurrences: Vec<Vec<Progress>>,
    /// How it ended, and when.
    pub outcome: Option<(Phase, Wall)>,
}

/// How far one step is.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// For each task, or once for a gang: whether it ended well, and how often
    /// it has failed.
    pub units: Vec<Unit>,
    /// How many have ended well.
    pub done: u32,
}

/// How far one task, or one gang, is.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    /// Whether it has ended well.
    pub done: bool,
    /// How often it has failed.
    pub failures: u32,
    /// The newest run whose failure was counted, so that one end that two
    /// leaders report counts once.
    pub last_failed_run: u64,
}

impl Progress {
    /// Whether all of the step's tasks have ended well.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done as usize == self.units.len()
    }
}

impl Job {
    fn new(queue: String, at: Wall, spec: Spec) -> Self {
        let step = |step: &crate::fleet::job::Step| Progress {
            units: vec![Unit::default(); step.units() as usize],
            done: 0,
        };
        let occurrence: Vec<Progress> = spec.steps.iter().map(step).collect();
        let occurrences = vec![occurrence; spec.occurrences() as usize];
        Self {
            queue,
            submitted_at: at,
            spec,
            occurrences,
            outcome: None,
        }
    }

    /// Whether the job isn't over.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether a task has ended, well or not.
    #[must_use]
    pub fn has_ended_runs(&self) -> bool {
        let ended = |unit: &Unit| unit.done || unit.failures > 0;
        let steps = self.occurrences.iter().flatten();
        steps.flat_map(|step| &step.units).any(ended)
    }

    /// How far a step is.
    #[must_use]
    pub fn progress(&self, stage: &Stage) -> Option<&Progress> {
        let occurrence = self.occurrences.get(stage.occurrence as usize)?;
        occurrence.get(usize::from(stage.step))
    }

    /// Whether all steps that a step depends on are done.
    #[must_use]
    pub fn is_ready(&self, stage: &Stage) -> bool {
        let Some(step) = self.spec.steps.get(usize::from(stage.step)) else {
            return false;
        };
        let done = |&step: &u16| {
            let before = Stage { step, ..*stage };
            self.progress(&before).is_some_and(Progress::is_done)
        };
        step.depends_on.iter().all(done)
    }

    fn unit(&mut self, task: &Task) -> Option<&mut Unit> {
        let gang = self.spec.steps.get(usize::from(task.stage.step))?.gang;
        let index = if gang { 0 } else { task.index as usize };
        let occurrence = self.occurrences.get_mut(task.stage.occurrence as usize)?;
        occurrence
            .get_mut(usize::from(task.stage.step))?
            .units
            .get_mut(index)
    }

    fn finish(&mut self, phase: Phase, at: Wall) {
        self.outcome = Some((phase, at));
        self.spec = Spec::default();
        self.occurrences = Vec::new();
    }
}

/// One change that the leader follows up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Another plan is in force.
    PlanReplaced,
    /// A job was taken in.
    JobSubmitted(Id),
    /// A job is over.
    JobFinished(Id),
    /// An end was taken note of.
    RunEnded(Task, u64),
    /// A life was taken in.
    WorkerJoined(id::Worker),
    /// A life is being emptied.
    WorkerDraining(id::Worker),
    /// A life has ended.
    WorkerLeft(Incarnation),
}

impl State {
    /// The plan in force.
    #[must_use]
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// A queue, also one that is kept only for its open jobs.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let plan = self.plan.as_ref()?;
        plan.queues.get(name).or_else(|| self.dropped.get(name))
    }

    /// A job.
    #[must_use]
    pub fn job(&self, job: &Id) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// All jobs that are remembered.
    pub fn jobs(&self) -> impl Iterator<Item = (&Id, &Job)> {
        self.jobs.iter()
    }

    /// All lives of workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// The life under a worker's name.
    #[must_use]
    pub fn worker(&self, worker: &id::Worker) -> Option<&Worker> {
        self.workers.get(worker)
    }

    /// Does what a command says.
    pub fn apply(&mut self, command: Command) -> Vec<Event> {
        match command {
            Command::Plan(plan) => self.put_plan(*plan),
            Command::Submit {
                at,
                job,
                queue,
                spec,
            } => self.submit(at, job, queue, *spec),
            Command::Cancel { at, job } => self.close(job, Phase::Cancelled, at),
            Command::End {
                at,
                task,
                run,
                done,
            } => self.end(at, task, run, done),
            Command::Join {
                incarnation,
                profile,
            } => self.join(incarnation, profile),
            Command::Drain { incarnation } => self.drain(&incarnation),
            Command::Leave { incarnation } => self.leave(incarnation),
            Command::Expire { before } => self.expire(before),
        }
    }

    fn put_plan(&mut self, plan: Plan) -> Vec<Event> {
        let held = self.plan.as_ref().map_or(0, |held| held.version);
        if plan.version <= held {
            return Vec::new();
        }
        let Some(old) = self.plan.replace(plan) else {
            return vec![Event::PlanReplaced];
        };
        for (name, queue) in old.queues {
            let stays = |plan: &Plan| plan.queues.contains_key(&name);
            let used = || {
                let mut jobs = self.jobs.values();
                jobs.any(|job| job.is_open() && job.queue == name)
            };
            if !self.plan.as_ref().is_some_and(stays) && used() {
                self.dropped.insert(name, queue);
            }
        }
        vec![Event::PlanReplaced]
    }

    fn submit(&mut self, at: Wall, id: Id, queue: String, spec: Spec) -> Vec<Event> {
        if self.jobs.contains_key(&id) {
            return Vec::new();
        }
        self.jobs.insert(id, Job::new(queue, at, spec));
        vec![Event::JobSubmitted(id)]
    }

    fn close(&mut self, id: Id, phase: Phase, at: Wall) -> Vec<Event> {
        match self.jobs.get_mut(&id) {
            Some(job) if job.is_open() => {
                job.finish(phase, at);
                vec![Event::JobFinished(id)]
            }
            _ => Vec::new(),
        }
    }

    fn end(&mut self, at: Wall, task: Task, run: u64, done: bool) -> Vec<Event> {
        let mut events = vec![Event::RunEnded(task, run)];
        let id = task.stage.job;
        let Some(attempts) = self.max_attempts(&id) else {
            return events;
        };
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_open()) else {
            return events;
        };
        let step = usize::from(task.stage.step);
        let lasts = job
            .spec
            .steps
            .get(step)
            .is_some_and(|step| step.long_running);
        let Some(unit) = job.unit(&task).filter(|unit| !unit.done && !lasts) else {
            return events;
        };
        if !done {
            if run <= unit.last_failed_run {
                return events;
            }
            unit.last_failed_run = run;
            unit.failures += 1;
            if unit.failures >= attempts {
                events.extend(self.close(id, Phase::Failed, at));
            }
            return events;
        }
        unit.done = true;
        if let Some(occurrence) = job.occurrences.get_mut(task.stage.occurrence as usize)
            && let Some(progress) = occurrence.get_mut(step)
        {
            progress.done += 1;
        }
        if job.occurrences.iter().flatten().all(Progress::is_done) {
            events.extend(self.close(id, Phase::Completed, at));
        }
        events
    }

    /// How often a task of this job may fail.
    #[must_use]
    pub fn max_attempts(&self, job: &Id) -> Option<u32> {
        let queue = self.queue(&self.jobs.get(job)?.queue)?;
        Some(queue.max_attempts.max(1))
    }

    fn join(&mut self, incarnation: Incarnation, profile: Profile) -> Vec<Event> {
        let name = incarnation.worker.clone();
        if self
            .workers
            .get(&name)
            .is_some_and(|held| held.incarnation.started_at > incarnation.started_at)
        {
            return Vec::new();
        }
        let draining = self
            .workers
            .get(&name)
            .is_some_and(|held| held.incarnation == incarnation && held.draining);
        let member = Worker {
            incarnation,
            profile,
            draining,
        };
        self.workers.insert(name.clone(), member);
        vec![Event::WorkerJoined(name)]
    }

    fn drain(&mut self, incarnation: &Incarnation) -> Vec<Event> {
        match self.workers.get_mut(&incarnation.worker) {
            Some(member) if member.incarnation == *incarnation => {
                member.draining = true;
                vec![Event::WorkerDraining(incarnation.worker.clone())]
            }
            _ => Vec::new(),
        }
    }

    fn leave(&mut self, incarnation: Incarnation) -> Vec<Event> {
        let held = self.workers.get(&incarnation.worker);
        if held.is_some_and(|member| member.incarnation == incarnation) {
            self.workers.swap_remove(&incarnation.worker);
        }
        vec![Event::WorkerLeft(incarnation)]
    }

    fn expire(&mut self, before: Wall) -> Vec<Event> {
        let old = |job: &Job| job.outcome.is_some_and(|(_, at)| at < before);
        self.jobs.retain(|_, job| !old(job));
        let jobs = &self.jobs;
        let used =
            |name: &String| jobs.values().any(|job| job.is_open() && job.queue == *name);
        self.dropped.retain(|name, _| used(name));
        Vec::new()
    }
}
