//! Jobs: graphs of steps whose tasks run on called workers.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::unit::{Span, Wall};

/// A job's identity, chosen by its caller.
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

/// One step of one occurrence of a job.
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
    /// The job.
    pub job: Id,
    /// The occurrence, counted from zero.
    pub occurrence: u32,
    /// The step's place in the job.
    pub step: u16,
}

/// One task of a job.
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
    /// The step that the task belongs to.
    pub stage: Stage,
    /// The task's place in the step.
    pub index: u32,
}

/// What a task takes of a worker.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Mebibytes of memory.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether all of this fits into `room`.
    #[must_use]
    pub const fn fits(&self, room: &Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// The sum of two sizes.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// This size less another, and nothing below zero.
    #[must_use]
    pub const fn less(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// What this costs, in thousandths of a core; an accelerator counts as
    /// eight cores.
    #[must_use]
    pub const fn weight(&self) -> u64 {
        self.millicores + self.accelerators * ACCELERATOR_WEIGHT
    }
}

/// How much an accelerator counts beside thousandths of a core; the users'
/// price of thrown away work.
const ACCELERATOR_WEIGHT: u64 = 8_000;

/// One step: tasks of one kind.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each task takes.
    pub resources: Resources,
    /// The caller's estimate of a task's run time.
    pub estimate: Span,
    /// The steps that have to be done first.
    pub depends_on: Vec<u16>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slow unless all run on one rack.
    pub one_rack: bool,
    /// The label that a worker needs.
    pub required_label: Option<String>,
    /// The rack near the data.
    pub preferred_rack: Option<String>,
    /// At most this many of the step's tasks on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The tail of the response times that a lasting task must stay below.
    pub tail_limit: Option<Span>,
    /// Whether the tasks take only processor time that others leave.
    pub best_effort: bool,
    /// How many lasting tasks may be away at once by the system's own doing.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// What a task takes of its worker's room.
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

    /// How many things end by themselves: all tasks of a gang end as one.
    #[must_use]
    pub const fn units(&self) -> u32 {
        if self.gang { 1 } else { self.count }
    }
}

/// Occurrences of a job at set times.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many.
    pub count: u32,
    /// When the first is due.
    pub first: Wall,
    /// The time from one to the next.
    pub interval: Span,
}

/// What a caller hands in.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Given to every task unchanged.
    pub payload: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// The occurrences; without them the job runs once, at once.
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// How many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// When an occurrence is due; at once if the job has no set times.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<Wall> {
        let schedule = self.schedule?;
        Some(
            schedule
                .first
                .after(schedule.interval.times(u64::from(occurrence))),
        )
    }

    /// Whether every step is well formed: tasks, and earlier steps only.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let sound = |(at, step): (usize, &Step)| {
            let earlier = step
                .depends_on
                .iter()
                .all(|&before| usize::from(before) < at);
            step.count > 0 && earlier
        };
        !self.steps.is_empty()
            && self.steps.len() <= STEP_LIMIT
            && self
                .steps
                .iter()
                .map(|step| u64::from(step.count))
                .sum::<u64>()
                <= TASK_LIMIT
            && self.steps.iter().enumerate().all(sound)
    }

    /// The work of one occurrence in core-milliseconds, by the estimates.
    #[must_use]
    pub fn work(&self) -> u64 {
        let one = |step: &Step| {
            step.resources.weight() * step.estimate.as_millis() / 1_000
                * u64::from(step.count)
        };
        self.steps.iter().map(one).sum()
    }
}

/// The most steps of a job; a hundred times what the users send.
const STEP_LIMIT: usize = 512;

/// The most tasks of a job; a hundred times what the users send.
const TASK_LIMIT: u64 = 20_000;

/// What a caller is shown of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Phase {
    /// No task has started.
    #[display("pending")]
    Pending,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks have ended well.
    #[display("completed")]
    Completed,
    /// A task failed as often as it may.
    #[display("failed")]
    Failed,
    /// The caller withdrew the job.
    #[display("cancelled")]
    Cancelled,
}
