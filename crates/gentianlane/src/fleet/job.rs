//! Jobs: directed acyclic graphs of steps whose tasks run on workers.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::unit::{Span, Wall};

/// A job's id, chosen by its caller and shown as 16 hexadecimal digits.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Id(pub u64);

/// One step of one occurrence of a job, shown as `job.occurrence.step`.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct Stage {
    /// The id of the job.
    pub job: Id,
    /// The index of the occurrence.
    pub occurrence: u32,
    /// The index of the step in [`Spec::steps`].
    pub step: u16,
}

/// One task of a stage, shown as `job.occurrence.step.index`.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{stage}.{index}")]
pub struct Task {
    /// The stage that the task belongs to.
    pub stage: Stage,
    /// The index of the task in its stage, below [`Step::count`].
    pub index: u32,
}

/// An amount of each resource, as demanded by a task or offered by a worker; shown
/// as millicores, MiB and accelerators, separated by slashes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{millicores}/{memory_mib}/{accelerators}")]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub millicores: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// The number of whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether every resource fits into `room`.
    #[must_use]
    pub const fn fits(&self, room: &Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// The sum for each resource.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference for each resource, or zero where `other` has more.
    #[must_use]
    pub const fn less(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Each resource times a number.
    #[must_use]
    pub(crate) const fn times(&self, count: u64) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Whether an amount stays within this limit, of which zero is no limit.
    #[must_use]
    pub(crate) const fn admits(&self, amount: &Self) -> bool {
        (self.millicores == 0 || amount.millicores <= self.millicores)
            && (self.memory_mib == 0 || amount.memory_mib <= self.memory_mib)
            && (self.accelerators == 0 || amount.accelerators <= self.accelerators)
    }

    /// The larger amount of each resource.
    #[must_use]
    pub(crate) fn most(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The smaller amount of each resource.
    #[must_use]
    pub(crate) fn least(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The cost in thousandths of a core: an accelerator counts as eight cores
    /// and memory isn't counted.
    #[must_use]
    pub const fn weight(&self) -> u64 {
        let accelerators = self.accelerators.saturating_mul(ACCELERATOR_WEIGHT);
        self.millicores.saturating_add(accelerators)
    }

    /// How many times this fits into `room`, up to `most`.
    pub(crate) fn times_in(&self, room: &Self, most: u32) -> u32 {
        let quotient = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let times = quotient(room.millicores, self.millicores)
            .min(quotient(room.memory_mib, self.memory_mib))
            .min(quotient(room.accelerators, self.accelerators));
        u32::try_from(times).unwrap_or(u32::MAX).min(most)
    }
}

/// The cost of an accelerator in thousandths of a core, by the rates at which
/// the users charge for wasted work.
const ACCELERATOR_WEIGHT: u64 = 8_000;

/// A step of a job: a number of tasks with the same requirements.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task uses.
    pub resources: Resources,
    /// The caller's estimate of a task's run time.
    pub estimate: Span,
    /// The indexes of the steps that have to complete first, all below this
    /// step's own index.
    pub depends_on: Vec<u16>,
    /// Whether the tasks save checkpoints, from which a later run resumes.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: all run at the same time and succeed or
    /// fail as one.
    pub gang: bool,
    /// Whether the tasks are slow unless all run on one rack.
    pub one_rack: bool,
    /// A label that a worker must have to run the tasks.
    pub required_label: Option<String>,
    /// The rack that holds the tasks' data.
    pub preferred_rack: Option<String>,
    /// The most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled, as services do.
    pub long_running: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// For a long-running task, the limit on its tail response time.
    pub tail_limit: Option<Span>,
    /// Whether the tasks reserve no processor time and use only what other
    /// tasks leave idle.
    pub best_effort: bool,
    /// How many long-running tasks the scheduler may take down at once.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// The resources that a task reserves on its worker; a best-effort task
    /// reserves no processor time.
    #[must_use]
    pub const fn demand(&self) -> Resources {
        let millicores = if self.best_effort {
            0
        } else {
            self.resources.millicores
        };
        Resources {
            millicores,
            memory_mib: self.resources.memory_mib,
            accelerators: self.resources.accelerators,
        }
    }

    /// The number of units that complete or fail on their own: one for a gang,
    /// else one for each task.
    #[must_use]
    pub const fn units(&self) -> u32 {
        if self.gang { 1 } else { self.count }
    }
}

/// The schedule of a job that runs several times.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The number of occurrences.
    pub count: u32,
    /// When the first occurrence is due.
    pub first: Wall,
    /// The time between the starts of two occurrences.
    pub interval: Span,
}

/// A job as its caller specifies it.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that is passed to every task unchanged.
    pub payload: String,
    /// The steps in an order in which each follows those it depends on.
    pub steps: Vec<Step>,
    /// When the job runs; without a schedule it runs once, immediately.
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// The number of times that the steps run, at least one.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// When an occurrence is due, or `None` if the job has no schedule and is
    /// due immediately.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<Wall> {
        let schedule = self.schedule?;
        Some(
            schedule
                .first
                .after(schedule.interval.saturating_mul(u64::from(occurrence))),
        )
    }

    /// How many occurrences are due at a time.
    #[must_use]
    pub fn due_count(&self, wall: Wall) -> u32 {
        let Some(schedule) = self.schedule else {
            return self.occurrences();
        };
        if wall < schedule.first {
            return 0;
        }
        let elapsed = wall.since(schedule.first).as_millis();
        let due = elapsed.checked_div(schedule.interval.as_millis());
        let due = due.map_or(u64::MAX, |intervals| intervals.saturating_add(1));
        u32::try_from(due)
            .unwrap_or(u32::MAX)
            .min(self.occurrences())
    }

    /// Whether the job is within the limits, and each of its steps has tasks
    /// and depends only on earlier steps.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let valid = |(index, step): (usize, &Step)| {
            let earlier = step
                .depends_on
                .iter()
                .all(|&dependency| usize::from(dependency) < index);
            step.count > 0 && earlier
        };
        let counts = self.steps.iter().map(|step| u64::from(step.count));
        let tasks = counts.fold(0, u64::saturating_add);
        !self.steps.is_empty()
            && self.steps.len() <= STEP_LIMIT
            && tasks <= TASK_LIMIT
            && tasks.saturating_mul(u64::from(self.occurrences())) <= TOTAL_LIMIT
            && self.steps.iter().enumerate().all(valid)
    }

    /// The work of one occurrence in core-milliseconds, by the caller's
    /// estimates.
    #[must_use]
    pub fn work(&self) -> u64 {
        let one = |step: &Step| {
            let weight = step.resources.weight();
            let work = weight.saturating_mul(step.estimate.as_millis()) / 1_000;
            work.saturating_mul(u64::from(step.count))
        };
        self.steps.iter().map(one).fold(0, u64::saturating_add)
    }
}

/// The most steps in a job, a hundred times what the users submit.
const STEP_LIMIT: usize = 512;

/// The most tasks in one occurrence of a job, a hundred times what the users
/// submit.
const TASK_LIMIT: u64 = 20_000;

/// The most tasks in all occurrences of a job. The progress of each is kept, in some
/// hundred bytes at most.
const TOTAL_LIMIT: u64 = 100_000;

/// A job's phase, as shown to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Phase {
    /// No task has started.
    #[display("pending")]
    Pending,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks have succeeded.
    #[display("completed")]
    Completed,
    /// A task has failed [`max_attempts`](super::plan::Queue::max_attempts)
    /// times.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}
