//! What operators see of the leader's work.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::fleet::State;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::rank::assess_deadline;
use crate::fleet::dispatch::stage::Stage;
use crate::unit::Time;

/// The leader's view at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// The version of the plan in force.
    pub plan: Option<u64>,
    /// Each voter's VM and its disk's generation.
    pub voters: Vec<String>,
    /// The leadership's number.
    pub fence: u64,
    /// How many jobs aren't over.
    pub open_jobs: usize,
    /// How many steps have tasks that wait.
    pub waiting_steps: usize,
    /// How many runs there are.
    pub runs: usize,
    /// The queues of the plan in force.
    pub queues: Vec<Queue>,
    /// The steps with tasks that wait, in the order of their turns; the first
    /// ones, if there are many.
    pub steps: Vec<Step>,
    /// The workers.
    pub workers: Vec<Worker>,
}

/// One queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The pool that serves it.
    pub pool: String,
    /// Its urgency; zero comes first.
    pub priority: u32,
    /// How many jobs aren't over.
    pub jobs: usize,
    /// How many tasks that may start wait.
    pub waiting: usize,
    /// How many tasks are at workers.
    pub running: usize,
}

/// One step with tasks that wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Its name, with its job's identity first.
    pub name: String,
    /// Its queue.
    pub queue: String,
    /// How many of its tasks wait.
    pub waiting: usize,
    /// How many are at workers.
    pub running: usize,
    /// How long the job's caller has waited, in milliseconds.
    pub waited_ms: u64,
    /// How long the step can wait before its job is worth less, in
    /// milliseconds.
    pub slack_ms: i64,
    /// What its tasks wait for.
    pub cause: Cause,
}

/// What a step's tasks wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Workers have yet to tell what an earlier leader started.
    #[display("earlier runs")]
    EarlierRuns,
    /// Nobody has said yet which workers may run it.
    #[display("advice")]
    Advice,
    /// No sound worker may run it.
    #[display("a worker")]
    Worker,
    /// A pause after an order that was refused.
    #[display("a pause")]
    Pause,
    /// Those that may run it are full or kept for others.
    #[display("room")]
    Room,
}

/// One worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// When its life began, in milliseconds since 1970.
    pub born: u64,
    /// The pool that it serves.
    pub pool: String,
    /// Whether it is being emptied.
    pub draining: bool,
    /// How many orders in a row found no answer.
    pub silent: u32,
    /// How many runs there are.
    pub runs: usize,
    /// The thousandths of a core that nothing has.
    pub free_millicores: u64,
    /// The mebibytes of memory that nothing has.
    pub free_memory: u64,
    /// The accelerators that nothing has.
    pub free_accelerators: u64,
}

impl Dispatcher {
    /// The leader's view as JSON.
    ///
    /// # Errors
    ///
    /// The serializer's.
    pub fn overview(
        &self,
        state: &State,
        voters: Vec<String>,
        now: Time,
    ) -> serde_json::Result<String> {
        let worker = |session: &super::session::Session| {
            let free = session.free();
            Worker {
                name: session.incarnation.worker.to_string(),
                born: session.incarnation.born.as_millis(),
                pool: session.profile.pool.clone(),
                draining: session.draining,
                silent: session.unanswered,
                runs: session.runs.len(),
                free_millicores: free.millicores,
                free_memory: free.memory,
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
            fence: self.fencing_token,
            open_jobs: self.open_jobs.len(),
            waiting_steps: waiting.count(),
            runs: self.placements.len(),
            queues: self.queues(state),
            steps: self.steps(now),
            workers: self.sessions.values().map(worker).collect(),
        };
        serde_json::to_string(&overview)
    }

    fn queues(&self, state: &State) -> Vec<Queue> {
        let mut jobs: BTreeMap<&str, usize> = BTreeMap::new();
        for id in self.open_jobs.keys() {
            if let Some(job) = state.job(id) {
                *jobs.entry(&job.queue).or_default() += 1;
            }
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
        let of = |counts: &BTreeMap<&str, usize>, name: &str| {
            counts.get(name).copied().unwrap_or_default()
        };
        let queues = state.plan().into_iter().flat_map(|plan| &plan.queues);
        let queue = |(name, queue): (&String, &crate::fleet::plan::Queue)| Queue {
            name: name.clone(),
            pool: queue.pool.clone(),
            priority: queue.priority,
            jobs: of(&jobs, name),
            waiting: of(&waiting, name),
            running: of(&running, name),
        };
        queues.map(queue).collect()
    }

    fn steps(&self, now: Time) -> Vec<Step> {
        let order = self.ranked_steps(now);
        let stages = order.iter().filter_map(|id| self.stages.get(id));
        let step = |stage: &Stage| {
            let running = self.placements.keys().filter(|task| task.stage == stage.id);
            Step {
                name: stage.id.to_string(),
                queue: stage.queue_name.clone(),
                waiting: stage.pending.len(),
                running: running.count(),
                waited_ms: stage.waited(now).as_millis(),
                slack_ms: assess_deadline(stage, now).1,
                cause: self.cause(stage, now),
            }
        };
        stages.take(STEP_LIMIT).map(step).collect()
    }

    /// What the waiting tasks of a step wait for.
    fn cause(&self, stage: &Stage, now: Time) -> Cause {
        let unanswered = stage.needs_advice() && stage.eligible.is_none();
        match () {
            () if stage.recovering => Cause::EarlierRuns,
            () if unanswered => Cause::Advice,
            () if stage.not_before > now => Cause::Pause,
            () if self.feasible_count(stage) == 0 => Cause::Worker,
            () => Cause::Room,
        }
    }
}

/// The most steps that are shown; more than fit a screen say no more.
const STEP_LIMIT: usize = 100;
