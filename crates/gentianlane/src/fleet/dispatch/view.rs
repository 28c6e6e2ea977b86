//! The overview of the dispatcher's state for operators.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::fleet::State;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::avoidance::Avoidance;
use crate::fleet::dispatch::rank::assess_deadline;
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::Resources;
use crate::fleet::team::Access;
use crate::id;
use crate::unit::{Span, Time, Wall};

/// A snapshot of the leader's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// The version of the plan in force; none before the first plan.
    pub plan: Option<u64>,
    /// The voters of the replicated log, each as its VM and its disk's
    /// generation.
    pub voters: Vec<String>,
    /// The leader's term, which its fencing tokens begin with.
    #[serde(rename = "fence")]
    pub term: u64,
    /// The number of jobs that are not over yet.
    pub open_jobs: usize,
    /// The memory that all jobs are reckoned to take, in bytes.
    #[serde(default)]
    pub job_memory: u64,
    /// The most that they may take, in bytes; for one team or queue, as much as is free.
    #[serde(default)]
    pub job_memory_limit: u64,
    /// The number of jobs with due occurrences that aren't opened for want of that memory.
    #[serde(default)]
    pub jobs_held_for_memory: usize,
    /// The number of steps with pending tasks.
    pub waiting_steps: usize,
    /// The number of tasks that are assigned to a worker: starting, running or
    /// being stopped.
    pub runs: usize,
    /// The queues of the plan in force.
    pub queues: Vec<Queue>,
    /// The teams of the plan in force that have a share or a limit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
    /// The steps with pending tasks in rank order, at most the first hundred.
    pub steps: Vec<Step>,
    /// All workers that the leader knows.
    pub workers: Vec<Worker>,
}

/// One queue of the plan in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name, as in the plan.
    pub name: String,
    /// The pool whose workers run its tasks.
    pub pool: String,
    /// Its priority; zero is the highest.
    pub priority: u32,
    /// The number of its jobs that are not over yet.
    pub jobs: usize,
    /// The number of pending tasks, in steps whose predecessors are done.
    pub waiting: usize,
    /// The number of tasks that are assigned to a worker.
    pub running: usize,
}

/// One team of the plan in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Its name, as in the plan.
    pub name: String,
    /// Its share, in thousandths of a job per second; zero if all of its jobs are
    /// within it.
    pub share_permille: u64,
    /// What its runs may use, zero if there is no limit, for each resource.
    pub limit: Resources,
    /// What they use, as far as the leader knows, and what earlier runs may use that it
    /// doesn't know of yet.
    pub used: Resources,
    /// The number of its jobs that are not over yet.
    pub jobs: usize,
    /// How many of its steps wait for its limit.
    pub held_steps: usize,
    /// How many of its waiting steps lie beyond its share.
    pub steps_beyond_share: usize,
}

/// One step with pending tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The job's identity, the occurrence and the step's index in the job,
    /// joined by dots.
    pub name: String,
    /// The name of the job's queue.
    pub queue: String,
    /// The number of pending tasks.
    pub waiting: usize,
    /// The number of tasks that are assigned to a worker.
    pub running: usize,
    /// How long the job's caller has waited, in milliseconds.
    pub waited_ms: u64,
    /// How long the step can wait before its job loses value, in milliseconds;
    /// negative if that has happened.
    pub slack_ms: i64,
    /// Why its pending tasks don't start.
    pub cause: Blocker,
    /// For how long it waits for a better place at most, in milliseconds, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub better_place_ms: Option<u64>,
    /// Workers with room that it avoids, as runs have failed there; a few at most.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub avoided_workers: Vec<AvoidedWorker>,
    /// For how long it avoids them at most, in milliseconds; none if it waits for its turn
    /// in a busy pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub avoided_ms: Option<u64>,
}

/// A worker with room that a step avoids.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvoidedWorker {
    /// The name under which it registered.
    pub name: String,
    /// Why the step doesn't go there yet.
    pub reason: Avoidance,
}

/// What a step's pending tasks wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Blocker {
    /// Workers that haven't reported yet may run what an earlier leader
    /// started.
    #[display("earlier runs")]
    EarlierRuns,
    /// Advice on which workers may run it hasn't come yet.
    #[display("advice")]
    Advice,
    /// No available worker may run it.
    #[display("a worker")]
    Worker,
    /// A retry delay after a refused start.
    #[display("a pause")]
    Pause,
    /// An earlier start of each task may still be carried out, at a worker that
    /// can't take the task now.
    #[display("a late start")]
    LateStart,
    /// A task of it was charged with crashes of workers, and waits for a worker of its
    /// own or to learn what became of silent workers.
    #[display("a trial")]
    Trial,
    /// A place where its tasks run faster, near their data, on one rack or on a fast
    /// worker; others are free.
    #[display("a better place")]
    BetterPlace,
    /// The team that owns the job runs as much as it may.
    #[display("the team's limit")]
    TeamLimit,
    /// The workers that have room for it are avoided, as runs have failed there.
    #[display("avoided workers")]
    Avoidance,
    /// The workers that may run it are full or reserved for other steps.
    #[display("room")]
    Room,
}

/// One worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The name under which it registered.
    pub name: String,
    /// When its present incarnation started, in milliseconds since 1970.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// The pool that it belongs to.
    pub pool: String,
    /// Whether it gets no new tasks because it is about to leave.
    pub draining: bool,
    /// The number of lease renewals in a row without a valid answer.
    #[serde(rename = "silent")]
    pub unanswered: u32,
    /// How many failed runs count against it; if any do, it takes one probe at a time.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// For how long it gets no new tasks, as runs failed, stood still or were refused
    /// there, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub paused_ms: u64,
    /// The number of runs that occupy capacity there.
    pub runs: usize,
    /// Unallocated thousandths of a core.
    pub free_millicores: u64,
    /// Unallocated memory in mebibytes.
    pub free_memory: u64,
    /// Unallocated accelerators.
    pub free_accelerators: u64,
}

impl Dispatcher {
    /// The [`Overview`] as JSON.
    ///
    /// # Errors
    ///
    /// Those of the serializer.
    pub fn overview(
        &self,
        state: &State,
        voters: Vec<String>,
        now: Time,
        wall: Wall,
    ) -> serde_json::Result<String> {
        let worker = |session: &super::session::Session| {
            let free = session.free();
            Worker {
                name: session.incarnation.worker.to_string(),
                started_at_ms: session.incarnation.started_at.as_millis(),
                pool: session.profile.pool.clone(),
                draining: session.draining,
                unanswered: session.unanswered,
                failures: session.probation.failures(),
                paused_ms: session
                    .probation
                    .pause_left(now)
                    .max(session.avoid_until.since(now))
                    .as_millis(),
                runs: session.runs.len(),
                free_millicores: free.millicores,
                free_memory: free.memory_mib,
                free_accelerators: free.accelerators,
            }
        };
        let waiting = self
            .stages
            .values()
            .filter(|stage| !stage.pending.is_empty());
        let overview = Overview {
            plan: state.plan().map(|plan| plan.version),
            voters,
            term: self.term,
            open_jobs: self.open_jobs.count(),
            job_memory: self.job_memory(state),
            job_memory_limit: self.setup.job_memory,
            jobs_held_for_memory: self.recurrences.due(wall).count(),
            waiting_steps: waiting.count(),
            runs: self.placements.len(),
            queues: self.queues(state),
            teams: self.team_rows(state),
            steps: self.steps(now),
            workers: self.sessions.values().map(worker).collect(),
        };
        serde_json::to_string(&overview)
    }

    /// All queues of the plan in force, with their numbers of jobs and tasks.
    fn queues(&self, state: &State) -> Vec<Queue> {
        let mut jobs: BTreeMap<&str, usize> = BTreeMap::new();
        for queue in self.open_jobs.queues() {
            *jobs.entry(queue).or_default() += 1;
        }
        let mut running: BTreeMap<&str, usize> = BTreeMap::new();
        for task in self.placements.keys() {
            if let Some(stage) = self.stages.get(&task.stage) {
                *running.entry(&stage.queue_name).or_default() += 1;
            }
        }
        let mut waiting: BTreeMap<&str, usize> = BTreeMap::new();
        for stage in self.stages.values() {
            *waiting.entry(&stage.queue_name).or_default() += stage.pending.len();
        }
        let count_of = |counts: &BTreeMap<&str, usize>, name: &str| {
            counts.get(name).copied().unwrap_or_default()
        };
        let queues = state.plan().into_iter().flat_map(|plan| &plan.queues);
        let queue = |(name, queue): (&String, &crate::fleet::plan::Queue)| Queue {
            name: name.clone(),
            pool: queue.pool.clone(),
            priority: queue.priority,
            jobs: count_of(&jobs, name),
            waiting: count_of(&waiting, name),
            running: count_of(&running, name),
        };
        queues.map(queue).collect()
    }

    /// The teams of the plan in force that have a share or a limit.
    fn team_rows(&self, state: &State) -> Vec<Team> {
        let mut jobs: BTreeMap<&id::Team, usize> = BTreeMap::new();
        let owners = state.owners();
        let open = self.open_jobs.ids().filter_map(|job| owners.of(job));
        for owner in open {
            *jobs.entry(&owner.team).or_default() += 1;
        }
        let mut held: BTreeMap<&id::Team, usize> = BTreeMap::new();
        let mut beyond: BTreeMap<&id::Team, usize> = BTreeMap::new();
        let waiting = self.stages.values().filter(|it| !it.pending.is_empty());
        for stage in waiting {
            let Some(team) = &stage.owner else {
                continue;
            };
            *held.entry(team).or_default() +=
                usize::from(self.team_allowance(stage) == 0);
            *beyond.entry(team).or_default() += usize::from(stage.beyond_share);
        }
        let count = |counts: &BTreeMap<&id::Team, usize>, team: &id::Team| {
            counts.get(team).copied().unwrap_or_default()
        };
        let teams = owners.access().into_iter().flat_map(Access::teams);
        let bounded = teams.filter(|(_, team)| **team != Default::default());
        bounded
            .map(|(name, team)| Team {
                name: name.to_string(),
                share_permille: team.share_permille,
                limit: team.limit,
                used: self.ledger.used(name).unwrap_or_default(),
                jobs: count(&jobs, name),
                held_steps: count(&held, name),
                steps_beyond_share: count(&beyond, name),
            })
            .collect()
    }

    /// The first steps with pending tasks, in rank order.
    fn steps(&self, now: Time) -> Vec<Step> {
        let order = self.ranked_steps(now);
        let stages = order.iter().filter_map(|id| self.stages.get(id));
        let step = |stage: &Stage| {
            let running = self.placements.keys().filter(|task| task.stage == stage.id);
            let avoided = self.avoided_workers(stage, AVOIDED_WORKER_LIMIT, now);
            let avoided_ms = self
                .avoidance_left(stage, now)
                .filter(|_| !avoided.is_empty())
                .map(Span::as_millis);
            let avoided_workers =
                avoided.into_iter().map(|(name, reason)| AvoidedWorker {
                    name: name.to_string(),
                    reason,
                });
            Step {
                name: stage.id.to_string(),
                queue: stage.queue_name.clone(),
                waiting: stage.pending.len(),
                running: running.count(),
                waited_ms: stage.waited(now).as_millis(),
                slack_ms: assess_deadline(stage, now).1,
                cause: self.blocker(stage, now),
                better_place_ms: stage
                    .wait
                    .filter(|wait| wait.is_current)
                    .map(|wait| wait.until.since(now).as_millis()),
                avoided_workers: avoided_workers.collect(),
                avoided_ms,
            }
        };
        stages.take(STEP_LIMIT).map(step).collect()
    }

    /// What a step's pending tasks wait for.
    fn blocker(&self, stage: &Stage, now: Time) -> Blocker {
        let unanswered = stage.needs_advice() && stage.eligible.is_none();
        match () {
            () if stage.recovering => Blocker::EarlierRuns,
            () if unanswered => Blocker::Advice,
            () if stage.not_before > now => Blocker::Pause,
            () if self.team_allowance(stage) == 0 => Blocker::TeamLimit,
            () if stage.wait.is_some_and(|it| it.is_current) => Blocker::BetterPlace,
            () if self.is_bound(stage, now) => Blocker::LateStart,
            () if self.waits_for_trial(stage) => Blocker::Trial,
            () if self.feasible_count(stage) == 0 => Blocker::Worker,
            () if !self.avoided_workers(stage, 1, now).is_empty() => Blocker::Avoidance,
            () => Blocker::Room,
        }
    }
}

/// The most steps that the overview lists; an operator can't make use of more
/// than fit on a screen.
const STEP_LIMIT: usize = 100;

/// The most workers that it names as avoided by a step.
const AVOIDED_WORKER_LIMIT: usize = 3;

/// Whether a count is left out of the JSON.
fn is_zero<T: Default + PartialEq>(count: &T) -> bool {
    *count == T::default()
}
