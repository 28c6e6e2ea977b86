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
#[display("{job}.{round}.{step}")]
pub struct Stage {
    /// The job.
    pub job: Id,
    /// The occurrence, counted from zero.
    pub round: u32,
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
pub struct Size {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Mebibytes of memory.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Whether all of this fits into `room`.
    #[must_use]
    pub const fn fits(&self, room: &Self) -> bool {
        self.millicores <= room.millicores
            && self.memory <= room.memory
            && self.accelerators <= room.accelerators
    }

    /// The sum of two sizes.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// This size less another, and nothing below zero.
    #[must_use]
    pub const fn less(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory: self.memory.saturating_sub(other.memory),
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
    pub size: Size,
    /// The caller's estimate of a task's run time.
    pub estimate: Span,
    /// The steps that have to be done first.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints.
    pub saves: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slow unless all run on one rack.
    pub one_rack: bool,
    /// The label that a worker needs.
    pub label: Option<String>,
    /// The rack near the data.
    pub near: Option<String>,
    /// At most this many of the step's tasks on one worker.
    pub spread: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasts: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The tail of the response times that a lasting task must stay below.
    pub tail: Option<Span>,
    /// Whether the tasks take only processor time that others leave.
    pub fills: bool,
    /// How many lasting tasks may be away at once by the system's own doing.
    pub may_miss: Option<u32>,
}

impl Step {
    /// What a task takes of its worker's room.
    #[must_use]
    pub const fn room(&self) -> Size {
        let millicores = if self.fills { 0 } else { self.size.millicores };
        Size {
            millicores,
            memory: self.size.memory,
            accelerators: self.size.accelerators,
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
pub struct Repeat {
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
    pub repeat: Option<Repeat>,
}

impl Spec {
    /// How many times the steps run.
    #[must_use]
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// When an occurrence is due; at once if the job has no set times.
    #[must_use]
    pub fn due(&self, round: u32) -> Option<Wall> {
        let repeat = self.repeat?;
        Some(repeat.first.after(repeat.interval.times(u64::from(round))))
    }

    /// Whether every step is well formed: tasks, and earlier steps only.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let sound = |(at, step): (usize, &Step)| {
            let earlier = step.after.iter().all(|&before| usize::from(before) < at);
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
            step.size.weight() * step.estimate.as_millis() / 1_000 * u64::from(step.count)
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
