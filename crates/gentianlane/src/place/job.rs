//! A job as placement sees it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::unit::{Size, Span, Time};

/// What sort of work a job is, which decides its policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Runs until it is withdrawn; replicas stand apart.
    #[display("service")]
    Service,
    /// Runs to its end by itself.
    #[display("batch")]
    Batch,
    /// All its tasks start at once or none does.
    #[display("gang")]
    Gang,
}

/// A job that waits for workers or holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The job.
    pub id: id::Job,
    /// The team that pays for it.
    pub team: id::Team,
    /// The workload that it belongs to.
    pub workload: id::Workload,
    /// Service, batch or gang.
    pub kind: Kind,
    /// What each of its tasks needs.
    pub size: Size,
    /// How many tasks it has; all start together.
    pub count: u32,
    /// Whether it may take the place of work that isn't urgent.
    pub urgent: bool,
    /// Whether its work may be stopped and run again.
    pub idempotent: bool,
    /// When it came to this planner.
    pub queued_at: Time,
    /// The latest useful start.
    pub deadline: Option<Time>,
    /// How long one task is declared to run.
    pub expected: Option<Span>,
}
